// Command experiment measures the daemon's policy against the plain baseline
// and prints a table for each scenario.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/emulator"
	"github.com/banyandeal/banyandeal/internal/experiment"
)

// timeLimit bounds one scenario with both policies.
const timeLimit = 2 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	var about strings.Builder
	for _, s := range experiment.Scenarios {
		fmt.Fprintf(&about, "%-16s%s\n", s.Name, s.Summary)
	}
	return &cli.Command{
		Name: "experiment", Usage: "measure the daemon's policy against the plain baseline",
		Description: "The scenarios are:\n" + about.String(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "estate", Value: "examples/tiszahid", Usage: "`DIR` of the declared estate"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIR` of the programs"},
			&cli.StringFlag{Name: "scenario", Usage: "run only the scenario of this `NAME`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.StringFlag{Name: "keep", Usage: "keep logs and run logs in `DIR`, which must be empty"},
		},
		Action:   run,
		Commands: []*cli.Command{emulateCommand()},
	}
}

// emulateCommand weighs policies on modelled deployments.
func emulateCommand() *cli.Command {
	var about strings.Builder
	about.WriteString("Deployments and days:\n")
	for _, d := range emulator.Deployments {
		fmt.Fprintf(&about, "%s\n", d.Name)
	}
	for _, d := range emulator.Days {
		fmt.Fprintf(&about, "%s (%s)\n", d.Name, d.Length)
	}
	return &cli.Command{
		Name: "emulate", Usage: "weigh policies for requests on the platform in an emulator, without sockets",
		Description: about.String(),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "deployment", Usage: "only the deployment of this `NAME`"},
			&cli.StringSliceFlag{Name: "day", Usage: "only the day of this `NAME`"},
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "number of seeds of each day"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := emulator.Compare(emulator.Selection{
				Deployments: c.StringSlice("deployment"), Days: c.StringSlice("day"), Seeds: c.Int("seeds"),
			})
			if err != nil {
				return errors.Trace(err)
			}
			return errors.Trace(emulator.Print(os.Stdout, rows))
		},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	scenarios := experiment.Scenarios
	if name := c.String("scenario"); name != "" {
		s, err := experiment.Find(name)
		if err != nil {
			return errors.Trace(err)
		}
		scenarios = []experiment.Scenario{s}
	}
	bin, err := filepath.Abs(c.String("bin"))
	if err != nil {
		return errors.Trace(err)
	}
	for _, s := range scenarios {
		if err := one(ctx, s, c, bin); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// one runs a scenario and prints its table.
func one(ctx context.Context, s experiment.Scenario, c *cli.Command, bin string) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	work := c.String("keep")
	if work == "" {
		dir, err := os.MkdirTemp("", "banyandeal-experiment-")
		if err != nil {
			return errors.Trace(err)
		}
		defer os.RemoveAll(dir)
		work = dir
	}
	result, err := experiment.Run(ctx, s, experiment.Options{
		Dir: c.String("estate"), Bin: bin, Work: work, Seed: c.Uint64("seed"), Progress: os.Stderr,
	})
	if err != nil {
		return errors.Trace(err)
	}
	result.Print(os.Stdout)
	return nil
}
