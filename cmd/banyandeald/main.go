// Command banyandeald is the daemon of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/daemon"
	edge "github.com/banyandeal/banyandeal/internal/edge/daemon"
	"github.com/banyandeal/banyandeal/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// version is set at link time by releases.
var version = "dev"

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "banyandeald:", err)
		os.Exit(exitFailed)
	}
}

func newCommand() *cli.Command {
	stringFlag := func(name, env, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(env)}
	}
	return &cli.Command{
		Name:    "banyandeald",
		Usage:   "answer look-ups and requests of callers on one entry instance",
		Version: version,
		Description: "Settings come from a YAML file; environment variables lie over the file and flags over both.\n" +
			"Example: banyandeald --settings /etc/banyandeal.yaml --log-level debug",
		Flags: []cli.Flag{
			stringFlag("settings", "BANYAND_SETTINGS", "settings file"),
			stringFlag("id", "BANYAND_ID", "name of the instance"),
			stringFlag("zone", "BANYAND_ZONE", "availability zone of the instance"),
			stringFlag("listen-caller", "BANYAND_LISTEN_CALLER", "IP:port for lookups and requests of callers"),
			stringFlag("listen-peer", "BANYAND_LISTEN_PEER", "IP:port for other instances"),
			stringFlag("listen-operator", "BANYAND_LISTEN_OPERATOR", "IP:port for operators"),
			&cli.StringSliceFlag{Name: "platform", Usage: "base URL of the platform", Sources: cli.EnvVars("BANYAND_PLATFORM")},
			&cli.StringSliceFlag{Name: "neighbour", Usage: "address of a peer to query when the platform is unavailable", Sources: cli.EnvVars("BANYAND_NEIGHBOURS")},
			stringFlag("trace-file", "BANYAND_TRACE_FILE", "file to which each span is written as a JSON line"),
			stringFlag("log-level", "BANYAND_LOG_LEVEL", "debug, info, warn or error"),
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{platformCommand()},
	}
}

// platformCommand returns the command that runs the daemon on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve as an entry instance of the users' platform; " + platform.SettingsEnv + " names the settings file",
		Action: func(ctx context.Context, _ *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			return errors.Trace(edge.Main(ctx, os.Getenv(platform.SettingsEnv), reload, os.Stdout))
		},
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := loadSettings(cmd)
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	if cmd.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return errors.Trace(daemon.Run(ctx, s, os.Stderr))
}

// loadSettings reads the settings file, applies environment variables and flags
// over it, and validates the result.
func loadSettings(cmd *cli.Command) (static.Settings, error) {
	s := static.Default()
	if path := cmd.String("settings"); path != "" {
		var err error
		if s, err = static.Load(path); err != nil {
			return s, err
		}
	}
	for name, field := range map[string]*string{
		"id": &s.ID, "zone": &s.Zone, "listen-caller": &s.Listen.Caller, "listen-peer": &s.Listen.Peer,
		"listen-operator": &s.Listen.Operator, "trace-file": &s.Trace.File, "log-level": &s.Log.Level,
	} {
		if cmd.IsSet(name) {
			*field = cmd.String(name)
		}
	}
	if cmd.IsSet("platform") {
		s.Platform.Endpoints = cmd.StringSlice("platform")
	}
	if cmd.IsSet("neighbour") {
		s.Neighbours = cmd.StringSlice("neighbour")
	}
	return s, s.Validate()
}
