// Command demo runs a whole estate as separate processes on loopback, drives
// load and faults, prints what came of it, and exits 1 when a promise was
// broken and 2 when the demo could not be carried out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/demo"
)

const (
	exitBroken = 1
	exitFailed = 2
	timeLimit  = 60 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(exitFailed)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole estate on loopback with load and faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "estate", Value: "examples/tiszahid", Usage: "`DIR` of the declared estate"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIR` of the programs"},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "share of the declared demand to send"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the logs and run logs also after success"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	work, err := os.MkdirTemp("", "banyandeal-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	bin, err := filepath.Abs(c.String("bin"))
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	report, err := demo.Run(ctx, demo.Options{
		Dir: c.String("estate"), Bin: bin, Work: work, LoadShare: c.Float("load"),
		Seed: c.Uint64("seed"), Progress: os.Stdout,
	})
	if err != nil {
		return errors.Annotatef(err, "logs are in %s", work)
	}
	fmt.Println()
	report.Print(os.Stdout)
	if report.Failed() {
		fmt.Println("logs are in", work)
		return cli.Exit("", exitBroken)
	}
	if c.Bool("keep") {
		fmt.Println("logs are in", work)
		return nil
	}
	return os.RemoveAll(work)
}
