package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/standin/faultnet"
)

const (
	// crashExitCode is the exit code of a process that terminates because of a
	// crashing request.
	crashExitCode     = 70
	drainTimeout      = 10 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "serve one backend server, or a group of them, each on a port of its own",
		Description: "The admin address serves /NAME/admin/... of each backend server,\n" +
			"also while that backend server refuses connections.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "group", Usage: "YAML `FILE` with the backend servers; the flags for a single backend server are then ignored"},
			&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` that serves the admin paths of all backend servers"},
			&cli.StringFlag{Name: "runs", Usage: "append each run to `FILE` as JSON lines"},
			&cli.BoolFlag{Name: "exit-on-crash", Usage: "terminate the process on a crashing request"},
			&cli.StringFlag{Name: "name", Value: "backend", Usage: "name of the backend server"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address of the backend server"},
			&cli.IntFlag{Name: "slots", Value: 3, Usage: "maximum number of concurrent requests"},
			&cli.IntFlag{Name: "queue", Value: 6, Usage: "maximum number of queued requests"},
			&cli.DurationFlag{Name: "mean", Value: 20 * time.Millisecond, Usage: "mean service time"},
			&cli.StringFlag{Name: "kind", Value: backend.Constant, Usage: "distribution of the service times: constant, uniform or exponential"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the service times"},
			&cli.IntFlag{Name: "cold-requests", Usage: "number of initial requests that take longer"},
			&cli.FloatFlag{Name: "cold-factor", Value: 1, Usage: "factor by which the service time of the initial requests is longer"},
			&cli.DurationFlag{Name: "drain-grace", Value: 2 * time.Second, Usage: "how long new requests are accepted after draining begins"},
			&cli.StringFlag{Name: "crash-path", Usage: "crash on requests whose URL contains this text"},
		},
		Action: runBackends,
	}
}

func runBackends(ctx context.Context, c *cli.Command) error {
	group, err := readConfigs(c)
	if err != nil {
		return errors.Trace(err)
	}
	log, closeLog, err := openRunLog(c.String("runs"))
	if err != nil {
		return errors.Trace(err)
	}
	defer closeLog()
	var crash func()
	if c.Bool("exit-on-crash") {
		crash = func() { os.Exit(crashExitCode) }
	}
	admin := http.NewServeMux()
	var servers []*backend.Server
	for _, cfg := range group.Backends {
		s := backend.New(cfg, log, crash)
		if err := s.Open(); err != nil {
			return errors.Trace(err)
		}
		defer s.Close()
		admin.Handle("/"+cfg.Name+"/", http.StripPrefix("/"+cfg.Name, s.AdminHandler()))
		fmt.Printf("event=listening role=backend name=%s address=%s\n", s.Name(), s.Addr())
		servers = append(servers, s)
	}
	if addr := c.String("admin"); addr != "" {
		a := faultnet.New(addr, admin)
		if err := a.Open(); err != nil {
			return errors.Trace(err)
		}
		defer a.Close()
		fmt.Printf("event=listening role=admin address=%s\n", a.Addr())
	}
	<-ctx.Done()
	drainAll(servers, group)
	return nil
}

func readConfigs(c *cli.Command) (backend.Group, error) {
	path := c.String("group")
	if path == "" {
		return backend.Group{Backends: []backend.Config{{
			Name: c.String("name"), Address: c.String("listen"),
			Slots: c.Int("slots"), Queue: c.Int("queue"),
			Mean: c.Duration("mean"), Kind: c.String("kind"), Seed: c.Uint64("seed"),
			ColdRequests: c.Int("cold-requests"), ColdFactor: c.Float("cold-factor"),
			DrainGrace: c.Duration("drain-grace"), CrashPath: c.String("crash-path"),
		}}}, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return backend.Group{}, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return backend.ReadGroup(f)
}

func openRunLog(path string) (io.Writer, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	return f, func() { _ = f.Close() }, nil
}

// drainAll drains every backend server and waits until the longest drain grace
// period has passed and no request is running or queued. It waits for at most
// drainTimeout.
func drainAll(servers []*backend.Server, group backend.Group) {
	var grace time.Duration
	for i, s := range servers {
		s.SetDraining(true)
		grace = max(grace, group.Backends[i].DrainGrace)
	}
	started := time.Now()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for now := range tick.C {
		if now.Sub(started) > drainTimeout || now.Sub(started) > grace && idle(servers) {
			return
		}
	}
}

func idle(servers []*backend.Server) bool {
	for _, s := range servers {
		if l := s.Load(); l.Busy > 0 || l.Queued > 0 {
			return false
		}
	}
	return true
}
