// Package cli is the operators' command-line tool, one file per command. It
// talks to the platform and to the operator endpoints of instances and keeps
// nothing of its own.
package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/operator/client"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Names of the global flags and of the variables that set them.
const (
	flagPlatform = "platform"
	envPlatform  = "BANYAN_PLATFORM"
	flagOperator = "operator"
	envOperator  = "BANYAN_OPERATOR"
	flagTimeout  = "timeout"
	envTimeout   = "BANYAN_TIMEOUT"
)

// defaultTimeout bounds one call to an instance or to the platform.
const defaultTimeout = 2 * time.Second

// Clock is the time that the tool waits and measures by.
type Clock interface {
	Now() time.Time
	// Sleep waits for d or until ctx is done, whose error it then returns.
	Sleep(ctx context.Context, d time.Duration) error
}

// Options are what the tool takes from its surroundings.
type Options struct {
	Stdout, Stderr io.Writer
	// Version names the build.
	Version string
	Clock   Clock
	// NewID returns a new id for a change.
	NewID func() string
}

// Run runs the command line, whose first element is the name of the program,
// and returns the exit code. Errors are written to Stderr.
func Run(ctx context.Context, args []string, o Options) int {
	a := &app{Options: o}
	err := a.command().Run(ctx, args)
	var acted *actionError
	if err != nil && !errors.As(err, &acted) {
		// The library refuses a command line before any action runs.
		err = usagef("see banyanctl --help", "%s", err)
	}
	if err != nil {
		fmt.Fprintf(o.Stderr, "banyanctl: %v\n", err)
	}
	return exitCode(err)
}

// app is one run of the tool.
type app struct{ Options }

func (a *app) command() *cli.Command {
	return &cli.Command{
		Name:                  "banyanctl",
		Usage:                 "steer the traffic of an estate",
		Version:               a.Version,
		HideVersion:           true, // the version command tells it
		Description:           rootDescription,
		Flags:                 globalFlags(),
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print the completion script of a shell"
		},
		Writer: a.Stdout, ErrWriter: a.Stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action:         a.root,
		Commands:       a.commands(),
	}
}

const rootDescription = `Declared configuration is a directory with base.yaml and overlays/; it comes
into force by "apply" and at no other time. Every command has examples:
banyanctl COMMAND --help.

` + exitCodeHelp

func (a *app) commands() []*cli.Command {
	all := []*cli.Command{
		a.validateCommand(),
		a.diffCommand(),
		a.applyCommand(),
		a.drainCommand(),
		a.fillCommand(),
		a.statusCommand(),
		a.lookupCommand(),
		a.traceCommand(),
		a.versionCommand(),
		a.checkCommand(), a.reportCommand(),
		a.explainCommand(),
		a.limitsCommand(),
	}
	for _, c := range all {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	}
	return all
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: flagPlatform, Sources: cli.EnvVars(envPlatform),
			Usage: "base `URL` of the platform, such as http://10.0.0.1:8500; repeatable, one that answers is used",
		},
		&cli.StringSliceFlag{
			Name: flagOperator, Sources: cli.EnvVars(envOperator),
			Usage: "operator address, `IP:PORT`, of an instance; repeatable, the others are found through any one",
		},
		&cli.DurationFlag{
			Name: flagTimeout, Sources: cli.EnvVars(envTimeout), Value: defaultTimeout,
			Usage: "`TIME` that one call to the platform or an instance may take",
		},
	}
}

// root runs when no command is named.
func (a *app) root(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return fmt.Errorf("there is no command %q", name)
	}
	return cli.ShowRootCommandHelp(c)
}

// actionError marks an error of a command's action, as against one of the
// command line.
type actionError struct{ cause error }

func (e *actionError) Error() string { return e.cause.Error() }
func (e *actionError) Unwrap() error { return e.cause }

// action wraps what a command does. args is how many arguments it takes.
func action(args int, do cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		err := checkArgs(c, args)
		if err == nil {
			err = do(ctx, c)
		}
		if err != nil {
			return &actionError{cause: err}
		}
		return nil
	}
}

func checkArgs(c *cli.Command, want int) error {
	if got := c.Args().Len(); got != want {
		return usagef(fmt.Sprintf("write banyanctl %s %s", c.Name, c.ArgsUsage), "%s takes %d arguments and was given %d", c.Name, want, got)
	}
	return nil
}

// operators returns the operator endpoints and a client of them.
func operators(c *cli.Command) ([]string, *client.Client, error) {
	endpoints := c.StringSlice(flagOperator)
	if len(endpoints) == 0 {
		return nil, nil, usagef("give --operator IP:PORT or set "+envOperator, "no operator endpoint is known")
	}
	timeout, err := callTimeout(c)
	return endpoints, client.New(timeout), err
}

// callTimeout is how long one call may take.
func callTimeout(c *cli.Command) (time.Duration, error) {
	timeout := c.Duration(flagTimeout)
	if timeout <= 0 {
		return 0, usagef("give a time such as 2s", "--%s is %s", flagTimeout, timeout)
	}
	return timeout, nil
}

// platformClient returns a client of the platform.
func platformClient(c *cli.Command) (*platform.Client, error) {
	endpoints := c.StringSlice(flagPlatform)
	if len(endpoints) == 0 {
		return nil, usagef("give --platform URL or set "+envPlatform, "no platform endpoint is known")
	}
	timeout, err := callTimeout(c)
	if err != nil {
		return nil, err
	}
	p, err := platform.New(endpoints, platform.Options{Timeout: timeout})
	if err != nil {
		return nil, usagef("correct --platform or "+envPlatform, "%v", err)
	}
	return p, nil
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.Stdout, format, args...) }
