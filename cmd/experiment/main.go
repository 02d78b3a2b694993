// Command experiment compares the policy of the daemon with the baseline policy
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

// timeLimit is the maximum duration of one scenario, including the runs of both
// policies.
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
	var description strings.Builder
	for _, s := range experiment.Scenarios {
		fmt.Fprintf(&description, "%-16s%s\n", s.Name, s.Summary)
	}
	return &cli.Command{
		Name: "experiment", Usage: "measure the daemon's policy against the plain baseline",
		Description: "The scenarios are:\n" + description.String(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "estate", Value: "examples/tiszahid", Usage: "`DIR` of the declared deployment"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIR` of the executables"},
			&cli.StringFlag{Name: "scenario", Usage: "run only the scenario with this `NAME`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the load generator"},
			&cli.StringFlag{Name: "keep", Usage: "keep logs and run logs in `DIR`, which must be empty"},
		},
		Action:   run,
		Commands: []*cli.Command{emulateCommand()},
	}
}

// emulateCommand returns the command that compares policies on modelled
// deployments.
func emulateCommand() *cli.Command {
	var description strings.Builder
	description.WriteString("Deployments and days:\n")
	for _, d := range emulator.Deployments {
		fmt.Fprintf(&description, "%s\n", d.Name)
	}
	for _, d := range emulator.Days {
		fmt.Fprintf(&description, "%s (%s)\n", d.Name, d.Length)
	}
	return &cli.Command{
		Name: "emulate", Usage: "weigh policies for requests on the platform in an emulator, without sockets",
		Description: description.String(),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "deployment", Usage: "emulate only the deployment with this `NAME`"},
			&cli.StringSliceFlag{Name: "day", Usage: "emulate only the day with this `NAME`"},
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "number of seeds for each day"},
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
		if err := runScenario(ctx, s, c, bin); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// runScenario runs a scenario with both policies and prints its table. It is
// canceled after timeLimit.
func runScenario(ctx context.Context, s experiment.Scenario, c *cli.Command, bin string) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	workDir := c.String("keep")
	if workDir == "" {
		dir, err := os.MkdirTemp("", "banyandeal-experiment-")
		if err != nil {
			return errors.Trace(err)
		}
		defer os.RemoveAll(dir)
		workDir = dir
	}
	result, err := experiment.Run(ctx, s, experiment.Options{
		Dir: c.String("estate"), Bin: bin, Work: workDir, Seed: c.Uint64("seed"), Progress: os.Stderr,
	})
	if err != nil {
		return errors.Trace(err)
	}
	result.Print(os.Stdout)
	return nil
}
