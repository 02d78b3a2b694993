// Command soak runs the system as processes under random faults and checks its
// promises. It ends only processes that it has started.
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

func newCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run the system under random faults and check its promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/banyandeald", Usage: "`FILE` of the daemon"},
			&cli.StringFlag{Name: "work", Usage: "`DIR` for settings and logs; those of runs without a finding are removed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after the other"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "runs at once"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "length of a run"},
			&cli.BoolFlag{Name: "regressions", Usage: "run the seeds that once failed, too"},
			&cli.BoolFlag{Name: "steps", Usage: "print what happens"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	program, err := filepath.Abs(c.String("program"))
	if err != nil {
		return errors.Trace(err)
	}
	work := c.String("work")
	if work == "" {
		if work, err = os.MkdirTemp("", "banyandeal-soak-"); err != nil {
			return errors.Trace(err)
		}
	}
	var steps io.Writer = io.Discard
	if c.Bool("steps") {
		steps = os.Stdout
	}
	return play(ctx, runs(c, soak.Options{Program: program, WorkDir: work, Progress: steps}), c.Int("jobs"))
}

// runs returns what to run, of which all but seed and length is the same.
func runs(c *cli.Command, common soak.Options) []soak.Options {
	var list []soak.Options
	if c.Bool("regressions") {
		for _, r := range soak.Regressions {
			common.Seed, common.RunTime = r.Seed, r.RunTime
			list = append(list, common)
		}
	}
	for n := range c.Int("seeds") {
		common.Seed, common.RunTime = c.Uint64("seed")+uint64(n), c.Duration("length")
		list = append(list, common)
	}
	return list
}

// play makes the runs, some at once.
func play(ctx context.Context, list []soak.Options, jobs int) error {
	var (
		all     sync.WaitGroup
		mu      sync.Mutex
		failed  int
		problem error
		places  = make(chan struct{}, max(1, jobs))
	)
	for _, opts := range list {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			report, err := soak.Run(ctx, opts)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				problem = errors.Annotatef(err, "seed %d", opts.Seed)
			case print(report):
				failed++
			}
		})
	}
	all.Wait()
	if problem != nil {
		return problem
	}
	if failed > 0 {
		return errors.Errorf("%d of %d runs broke a promise; the logs are in %s", failed, len(list), list[0].WorkDir)
	}
	return nil
}

// maxListed bounds what is printed of one seed.
const maxListed = 10

// print shows a report and reports whether a promise was broken. Logs of runs
// that broke none are removed.
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
		// What is left over in a temporary directory harms nothing.
		_ = os.RemoveAll(r.WorkDir)
	}
	return len(r.Violations) > 0
}
