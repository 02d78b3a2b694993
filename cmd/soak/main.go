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
	var (
		all     sync.WaitGroup
		mu      sync.Mutex
		failed  int
		places  = make(chan struct{}, max(1, c.Int("jobs")))
		problem error
	)
	for n := range c.Int("seeds") {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			opts := soak.Options{Program: program, Work: work, Seed: c.Uint64("seed") + uint64(n), Length: c.Duration("length"), Progress: steps}
			report, err := soak.Run(ctx, opts)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				problem = errors.Annotatef(err, "seed %d", opts.Seed)
				return
			}
			if print(report, work) {
				failed++
			}
		})
	}
	all.Wait()
	if problem != nil {
		return problem
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise; the logs are in %s", failed, c.Int("seeds"), work)
	}
	return nil
}

// maxListed bounds what is printed of one seed.
const maxListed = 10

// print shows a report and reports whether a promise was broken. Logs of runs
// that broke none are removed.
func print(r *soak.Report, work string) bool {
	fmt.Printf("seed %d: %d requests, %d served, %d promises broken\n", r.Seed, r.Requests, r.Served, len(r.Broken))
	for n, text := range r.Broken {
		if n == maxListed {
			fmt.Printf("  ... and %d more\n", len(r.Broken)-maxListed)
			break
		}
		fmt.Printf("  BROKEN: %s\n", text)
	}
	if len(r.Broken) == 0 {
		// What is left over in a temporary directory harms nothing.
		_ = os.RemoveAll(filepath.Join(work, fmt.Sprint("seed-", r.Seed)))
	}
	return len(r.Broken) > 0
}
