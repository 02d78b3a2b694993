// Command standin runs stand-ins for the external dependencies of the system, which
// are the platform and the backend servers. Tests and the demo use it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for the platform and for backend servers, for tests and the demo",
		Commands: []*cli.Command{
			platformCommand(),
			backendCommand(),
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the table, the object store and the instance list from memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8500", Usage: "address of the API"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:8501", Usage: "address that serves /admin even while the API refuses calls"},
			&cli.DurationFlag{Name: "list-lag", Value: 2 * time.Second, Usage: "propagation delay of the instance list"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the faults that affect a fraction of calls"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := platform.New(platform.Config{
				Addr: c.String("listen"), Admin: c.String("admin"),
				ListLag: c.Duration("list-lag"), Seed: c.Uint64("seed"),
			})
			if err := s.Open(); err != nil {
				return errors.Trace(err)
			}
			defer s.Close()
			fmt.Printf("event=listening role=platform api=%s admin=%s\n", s.URL(), s.AdminURL())
			<-ctx.Done()
			return nil
		},
	}
}
