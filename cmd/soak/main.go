// Command soak runs the system as separate processes, injects random faults, and
// checks that the guarantees of the system hold. It terminates only processes
// that it has started.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// maxInstancesPerZone bounds the processes of a run to a few hundred.
const maxInstancesPerZone = 60

func newCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run the system under random faults and check its promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/banyandeald", Usage: "executable `FILE` of the daemon"},
			&cli.StringFlag{Name: "work", Usage: "`DIR` for settings and logs; the files of successful runs are removed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "maximum number of concurrent runs"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "duration of each run"},
			&cli.IntFlag{Name: "instances", Value: 1, Usage: "instances in each of the four availability zones, at most 60"},
			&cli.StringFlag{Name: "plan", Value: string(soak.Mixed), Usage: "steps of a run: mixed faults, or faults at roles (mixed, roles), or evacuations beside both (evacuations), or instances that reach no backend server (partitions)"},
			&cli.BoolFlag{Name: "regressions", Usage: "also run the seeds that failed in the past"},
			&cli.BoolFlag{Name: "steps", Usage: "print the progress of each run"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	program, err := filepath.Abs(c.String("program"))
	if err != nil {
		return errors.Trace(err)
	}
	workDir := c.String("work")
	if workDir == "" {
		if workDir, err = os.MkdirTemp("", "banyandeal-soak-"); err != nil {
			return errors.Trace(err)
		}
	}
	var progress io.Writer = io.Discard
	if c.Bool("steps") {
		progress = os.Stdout
	}
	if n := c.Int("instances"); n < 1 || n > maxInstancesPerZone {
		return errors.NotValidf("--instances %d (choose 1 to %d)", n, maxInstancesPerZone)
	}
	if p := c.String("plan"); !soak.PlanName(p).Valid() {
		return errors.NotValidf("--plan %q (choose mixed, roles, evacuations or partitions)", p)
	}
	return runAll(ctx, buildRuns(c, soak.Options{Program: program, WorkDir: workDir, Progress: progress}), c.Int("jobs"))
}

// buildRuns returns the options of all runs. Only Seed, RunTime, Plan and
// InstancesPerZone differ from common.
func buildRuns(c *cli.Command, common soak.Options) []soak.Options {
	var list []soak.Options
	if c.Bool("regressions") {
		for _, r := range soak.Regressions {
			if r.Open {
				fmt.Printf("seed %d: known red, not run: %s\n", r.Seed, r.Cause)
				continue
			}
			common.Seed, common.RunTime, common.InstancesPerZone = r.Seed, r.RunTime, r.InstancesPerZone
			common.Plan = r.Plan
			list = append(list, common)
		}
	}
	common.Plan = soak.PlanName(c.String("plan"))
	for n := range c.Int("seeds") {
		common.Seed, common.RunTime, common.InstancesPerZone = c.Uint64("seed")+uint64(n), c.Duration("length"), c.Int("instances")
		list = append(list, common)
	}
	return list
}

// runAll executes the runs with at most jobs of them at a time. It returns an error
// if a run could not be carried out or if a run violated a guarantee.
func runAll(ctx context.Context, list []soak.Options, jobs int) error {
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		failed int
		runErr error
		slots  = make(chan struct{}, max(1, jobs))
	)
	for _, opts := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			report, err := soak.Run(ctx, opts)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				runErr = errors.Annotatef(err, "seed %d", opts.Seed)
			case print(report):
				failed++
			}
		})
	}
	wg.Wait()
	if runErr != nil {
		return runErr
	}
	if failed > 0 {
		return errors.Errorf("%d of %d runs violated a guarantee; see the logs in %s", failed, len(list), list[0].WorkDir)
	}
	return nil
}

// maxListed is the maximum number of violations that are printed for one seed.
const maxListed = 10

// print prints a report and returns whether the run violated a guarantee. It
// removes the logs of a run without violations.
func print(r *soak.Report) bool {
	fmt.Printf("seed %d: %d requests, %d served, %d promises broken\n", r.Seed, r.Requests, r.Served, len(r.Violations))
	for n, text := range r.Violations {
		if n == maxListed {
			fmt.Printf("  ... and %d more\n", len(r.Violations)-maxListed)
			break
		}
		fmt.Printf("  BROKEN: %s\n", text)
	}
	if len(r.Violations) == 0 {
		// A failed removal is ignored because files that remain in the working
		// directory do no harm.
		_ = os.RemoveAll(r.WorkDir)
	}
	return len(r.Violations) > 0
}
