package cli

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/estate"
)

const (
	flagAuthor = "author"
	envAuthor  = "BANYAN_AUTHOR"
	envUser    = "USER"
	// defaultWaitTimeout is how long --wait waits.
	defaultWaitTimeout = 30 * time.Second
)

func (a *app) applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put the configuration in a directory in force",
		ArgsUsage: "DIR",
		Description: `Checks DIR, stores it and makes it the next version, if the version in force is
still the one that you started from. "banyanctl diff" names that version; 0
stands for none. When another operator was first nothing is changed. To roll
back, apply the older directory as a new version.

When the outcome is unknown (exit code 6), run the command again with the
--change-id that the message names: it takes effect once at most.

Examples:
  banyanctl apply examples/tiszahid --expect-version 0 --note "first version"
  banyanctl apply . --expect-version 41 --wait --wait-timeout 10s`,
		Flags: append(writeFlags(), &cli.Uint64Flag{
			Name: "expect-version", Required: true, Usage: "`VERSION` in force that the directory was made from",
		}),
		Action: action(1, a.apply),
	}
}

// writeFlags are those of every command that makes a version.
func writeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAuthor, Sources: cli.EnvVars(envAuthor, envUser), Usage: "`NAME` that other operators see"},
		&cli.StringFlag{Name: "note", Usage: "`TEXT` that other operators see"},
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of an earlier run whose outcome is unknown"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until every instance has the version in force"},
		&cli.DurationFlag{Name: "wait-timeout", Value: defaultWaitTimeout, Usage: "`TIME` that --wait waits"},
	}
}

func (a *app) apply(ctx context.Context, c *cli.Command) error {
	e, err := config.Load(c.Args().First())
	if err != nil {
		return err
	}
	w, err := a.newWriter(c)
	if err != nil {
		return err
	}
	start := a.Clock.Now()
	version, err := w.commit(ctx, e, c.Uint64("expect-version"))
	if err != nil {
		return err
	}
	return w.await(ctx, version, start)
}

// writer makes versions.
type writer struct {
	app    *app
	store  publish.Store
	opts   publish.Options
	waiter *waiter // nil without --wait
}

// newWriter checks the flags of writing before anything is written.
func (a *app) newWriter(c *cli.Command) (*writer, error) {
	store, err := platformClient(c)
	if err != nil {
		return nil, err
	}
	w := &writer{app: a, store: store, opts: publish.Options{
		Author: c.String(flagAuthor), Note: c.String("note"), ChangeID: c.String("change-id"), Now: a.Clock.Now(),
	}}
	if w.opts.Author == "" {
		return nil, usagef("give --author NAME or set "+envAuthor, "the author of the change is not known")
	}
	if w.opts.ChangeID == "" {
		w.opts.ChangeID = a.NewID()
	}
	if c.Bool("wait") {
		w.waiter, err = a.newWaiter(c)
	}
	return w, err
}

// commit makes the estate the version after expect and returns its number.
func (w *writer) commit(ctx context.Context, e *estate.Estate, expect uint64) (uint64, error) {
	w.opts.ExpectVersion = expect
	result, err := publish.Apply(ctx, w.store, e, w.opts)
	if err != nil {
		return 0, errors.Trace(err)
	}
	already := ""
	if result.AlreadyApplied {
		already = " already"
	}
	w.app.printf("version %d by %s is accepted%s\n", result.Head.Version, result.Head.Author, already)
	return result.Head.Version, nil
}

// await waits for a version with --wait. Times count from start.
func (w *writer) await(ctx context.Context, version uint64, start time.Time) error {
	if w.waiter == nil {
		return nil
	}
	return w.waiter.wait(ctx, version, start)
}

func versionName(v uint64) string { return strconv.FormatUint(v, 10) }
