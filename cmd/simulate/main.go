// Command simulate plays days of a whole estate in simulated time, with the daemon as it ships,
// and tells which of the users' rules break.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"github.com/banyandeal/banyandeal/internal/simulation"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "simulate:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name: "simulate", Usage: "play days of a whole estate in simulated time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/simulation.test", Usage: "`FILE` with the compiled tests of internal/simulation; make build makes it"},
			&cli.IntFlag{Name: "instances", Value: 8, Usage: "instances, over four availability zones"},
			&cli.IntFlag{Name: "rate", Value: 40, Usage: "requests a second"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the reports as JSON"},
			&cli.StringFlag{Name: "html", Usage: "`FILE` for the reports as a page with plots"},
		},
		Commands: []*cli.Command{
			{
				Name: "play", Usage: "play the day of a file", ArgsUsage: "DAY.toml", Action: playFile,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "verbose", Usage: "tell what became of the request with this `ID`, such as id-17"},
					&cli.StringFlag{Name: "log", Usage: "`FILE` for the log lines of the instances"},
				},
			},
			{
				Name: "seeds", Usage: "play days that are drawn from seeds", Action: playSeeds,
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
					&cli.IntFlag{Name: "seeds", Value: 100, Usage: "number of consecutive seeds"},
					&cli.IntFlag{Name: "jobs", Value: 4, Usage: "days that are played at a time"},
					&cli.BoolFlag{Name: "shrink", Usage: "print a smaller day for each one that breaks a rule"},
				},
			},
		},
	}
}

// runnerOf returns the runner that the flags describe, for so many days at a time.
func runnerOf(c *cli.Command, jobs int) (simulation.Runner, error) {
	r := simulation.Runner{Program: c.String("program"), Options: simulation.Options{Instances: c.Int("instances"), PerSecond: c.Int("rate")}}
	for name, value := range map[string]int{"instances": r.Instances, "rate": r.PerSecond, "jobs": jobs} {
		if value < 1 {
			return r, errors.NotValidf("--%s %d (choose 1 or more)", name, value)
		}
	}
	if _, err := os.Stat(r.Program); err != nil {
		return r, errors.Annotatef(err, "--program (build it with \"make build\")")
	}
	half, err := halfOfMemory()
	if err != nil {
		return r, err
	}
	return r, errors.Trace(simulation.CheckMemory(r.Instances, jobs, half))
}

// halfOfMemory returns half of the machine's memory in bytes.
func halfOfMemory() (uint64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, errors.Annotate(err, "read the size of the memory")
	}
	return info.Totalram * uint64(info.Unit) / 2, nil
}

func playFile(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.NotValidf("%d arguments (name one file with a day)", c.Args().Len())
	}
	text, err := os.ReadFile(c.Args().First())
	if err != nil {
		return errors.Trace(err)
	}
	d, err := simulation.ParseDay(string(text))
	if err != nil {
		return errors.Annotate(err, c.Args().First())
	}
	r, err := runnerOf(c, 1)
	if err != nil {
		return err
	}
	r.Follow, r.Log = c.String("verbose"), c.String("log")
	report, err := r.Play(ctx, d)
	if err != nil {
		return err
	}
	for _, line := range report.Life {
		fmt.Println(line)
	}
	if r.Follow != "" && len(report.Life) == 0 {
		return errors.NotFoundf("request %s (ids run from id-1 to id-%d)", r.Follow, report.Requests)
	}
	fmt.Println(report.Summary())
	return finish(c, []simulation.Report{report})
}

func playSeeds(ctx context.Context, c *cli.Command) error {
	r, err := runnerOf(c, c.Int("jobs"))
	if err != nil {
		return err
	}
	if c.Int("seeds") < 1 {
		return errors.NotValidf("--seeds %d (choose 1 or more)", c.Int("seeds"))
	}
	began := time.Now()
	reports, err := r.PlaySeeds(ctx, c.Uint64("first"), c.Int("seeds"), c.Int("jobs"))
	if err != nil {
		return err
	}
	for _, report := range reports {
		if len(report.Violations) == 0 {
			continue
		}
		fmt.Printf("%s\n%s\n", report.Day, report.Summary())
		if c.Bool("shrink") {
			if err := shrink(ctx, r, report); err != nil {
				return err
			}
		}
	}
	fmt.Println(simulation.Total(reports), "in", time.Since(began).Round(time.Second))
	return finish(c, reports)
}

// shrink prints a smaller day that breaks the first rule of a report too.
func shrink(ctx context.Context, r simulation.Runner, report simulation.Report) error {
	d, err := simulation.ParseDay(report.Day)
	if err != nil {
		return errors.Trace(err)
	}
	rule := report.Violations[0].Rule
	smaller := simulation.Shrink(d, func(d simulation.Day) bool {
		played, playErr := r.Play(ctx, d)
		if playErr != nil {
			err = playErr
		}
		return played.Rules()[rule] > 0
	})
	fmt.Printf("smaller:\n%s\n", smaller)
	return err
}

// finish writes the files that the flags ask for, and fails if a rule was broken.
func finish(c *cli.Command, reports []simulation.Report) error {
	if file := c.String("json"); file != "" {
		raw, err := json.MarshalIndent(reports, "", " ")
		if err != nil {
			return errors.Trace(err)
		}
		if err := os.WriteFile(file, raw, 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	if file := c.String("html"); file != "" {
		if err := writePage(file, reports); err != nil {
			return err
		}
	}
	broken := 0
	for _, r := range reports {
		if len(r.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d days broke a rule; play one again with \"simulate play\" and --verbose", broken, len(reports))
	}
	return nil
}
