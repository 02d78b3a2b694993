// Command demo runs a complete deployment as separate processes on loopback,
// generates load, injects faults, and prints a report. It exits with code 1 if a
// guarantee was violated and with code 2 if the demo could not be carried out.
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
	exitViolation = 1
	exitFailed    = 2
	timeLimit     = 60 * time.Second
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
			&cli.StringFlag{Name: "estate", Value: "examples/tiszahid", Usage: "`DIR` of the declared deployment"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIR` of the executables"},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "fraction of the declared demand to send"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the load generator"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the logs and run logs even after a successful demo"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	workDir, err := os.MkdirTemp("", "banyandeal-demo-")
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
		Dir: c.String("estate"), Bin: bin, Work: workDir, LoadShare: c.Float("load"),
		Seed: c.Uint64("seed"), Progress: os.Stdout,
	})
	if err != nil {
		return errors.Annotatef(err, "logs are in %s", workDir)
	}
	fmt.Println()
	report.Print(os.Stdout)
	if report.Failed() {
		fmt.Println("logs are in", workDir)
		return cli.Exit("", exitViolation)
	}
	if c.Bool("keep") {
		fmt.Println("logs are in", workDir)
		return nil
	}
	return os.RemoveAll(workDir)
}
