package cli

import (
	"context"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// againstInForce is the value of --against for the version in force.
const againstInForce = "in-force"

func (a *app) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a directory would change",
		ArgsUsage: "DIR",
		Description: `Compares the merged configuration of DIR with the version in force, or with
another directory, and prints a line for each difference: + added, - removed,
~ changed. The first line names the version in force, for --expect-version.

Examples:
  banyanctl diff examples/tiszahid
  banyanctl diff . --against ../last-week`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Value: againstInForce, Usage: "a `DIR`, or in-force"},
		},
		Action: action(1, a.diff),
	}
}

func (a *app) diff(ctx context.Context, c *cli.Command) error {
	next, err := config.Load(c.Args().First())
	if err != nil {
		return err
	}
	if dir := c.String("against"); dir != againstInForce {
		old, err := config.Load(dir)
		if err != nil {
			return errors.Annotatef(err, "--against %s", dir)
		}
		a.printChanges(changes(old, next))
		return nil
	}
	store, err := platformClient(c)
	if err != nil {
		return err
	}
	head, old, err := inForce(ctx, store)
	if err != nil {
		return err
	}
	a.printf("%s\n", headLine(head))
	a.printChanges(changes(old, next))
	return nil
}

func (a *app) printChanges(list []config.Change) {
	if len(list) == 0 {
		a.printf("no difference\n")
	}
	for _, change := range list {
		a.printf("%s\n", change)
	}
}

// inForce returns the version in force as the platform reads it, and its
// content: an empty estate before the first version. A read may be stale;
// apply finds that out.
func inForce(ctx context.Context, store publish.Store) (publish.Head, *estate.Estate, error) {
	head, err := publish.ReadHead(ctx, store)
	if err != nil || head.Version == 0 {
		return head, &estate.Estate{}, errors.Trace(err)
	}
	content, err := publish.ReadContent(ctx, store, head)
	if err != nil {
		return head, nil, errors.Trace(err)
	}
	e, err := content.Estate(head.Version)
	return head, e, errors.Trace(err)
}

func headLine(h publish.Head) string {
	if h.Version == 0 {
		return "no version is in force"
	}
	line := "version " + versionName(h.Version) + " in force by " + h.Author
	if h.Note != "" {
		line += ": " + h.Note
	}
	return line
}

// changes leaves out the times at which states were declared: a directory has
// none.
func changes(old, next *estate.Estate) []config.Change {
	var out []config.Change
	for _, change := range config.Diff(old, next) {
		if !strings.HasSuffix(change.Path, ".since") {
			out = append(out, change)
		}
	}
	return out
}
