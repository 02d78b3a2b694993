// Command banyanctl is the command-line tool for operators.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/banyandeal/banyandeal/internal/cli"
)

// version is set at link time by releases.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, cli.Options{
		Stdout: os.Stdout, Stderr: os.Stderr, Version: version, Clock: cli.SystemClock{}, NewID: rand.Text,
	})
	stop()
	os.Exit(code)
}
