package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/operator/client"
	"github.com/banyandeal/banyandeal/internal/trace"
)

func (a *app) traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show the way of one request as a tree of spans",
		ArgsUsage: "ID",
		Description: `Gathers the spans of a trace from every instance and prints them as a tree with
the start offset and duration of each hop. The ID is the second field of the
traceparent header that every answer to a caller carries; the whole header is
taken too.

Examples:
  banyanctl trace 4bf92f3577b34da6a3ce929d0e0e4736
  banyanctl trace --last`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "last", Usage: "show the newest trace instead of ID"},
		},
		Action: a.traceAction,
	}
}

func (a *app) traceAction(ctx context.Context, c *cli.Command) error {
	args := 1
	if c.Bool("last") {
		args = 0
	}
	return action(args, a.trace)(ctx, c)
}

func (a *app) trace(ctx context.Context, c *cli.Command) error {
	endpoints, operators, err := operators(c)
	if err != nil {
		return err
	}
	defer operators.Close()
	id := traceID(c.Args().First())
	if c.Bool("last") {
		if id, err = lastTrace(ctx, operators, endpoints); err != nil {
			return err
		}
	}
	spans, silent, err := operators.Trace(ctx, endpoints, id)
	if err != nil {
		return errors.Trace(err)
	}
	if len(spans) == 0 {
		return errors.Errorf("no instance has spans of trace %s; check the ID, or send the request again: old spans are dropped", id)
	}
	a.printf("trace %s\n", id)
	trace.WriteTree(a.Stdout, spans)
	if len(silent) > 0 {
		fmt.Fprintf(a.Stderr, "banyanctl: spans may be missing, no answer from %s\n", strings.Join(silent, ", "))
	}
	return nil
}

// traceID takes a trace ID or a whole traceparent.
func traceID(s string) string {
	const fields = 4
	if parts := strings.Split(s, "-"); len(parts) == fields {
		return parts[1]
	}
	return s
}

func lastTrace(ctx context.Context, operators *client.Client, endpoints []string) (string, error) {
	roots, _, err := operators.LastRoots(ctx, endpoints)
	if err != nil {
		return "", errors.Trace(err)
	}
	if len(roots) == 0 {
		return "", errors.New("no instance has a trace yet; send a request first")
	}
	return roots[0].Trace, nil
}
