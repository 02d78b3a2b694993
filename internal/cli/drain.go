package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
)

func (a *app) drainCommand() *cli.Command {
	return a.stateCommand("drain", "declare a backend server, site, zone or region draining", estate.Draining,
		`New work leaves the target under the caps of the shift policy and of the links;
work in flight is finished.`)
}

func (a *app) fillCommand() *cli.Command {
	return a.stateCommand("fill", "declare a backend server, site, zone or region active", estate.Active,
		`Work comes back under the caps of the shift policy, slower while caches are
cold.`)
}

func (a *app) stateCommand(name, usage string, state estate.State, effect string) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "backend|zone|region|site NAME",
		Description: effect + `

Edits the declared configuration in --dir and prints the changed lines, to be
committed to version control. With --apply the edit is put in force first, by
the same versioned path as apply: the directory must be what is in force, so
that nothing else goes with it.

Examples:
  banyanctl ` + name + ` zone pecs-a --dir . --apply --wait
  banyanctl ` + name + ` backend scoring-bpa-2 --dir . --dry-run`,
		Flags: append(writeFlags(),
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIR` of the declared configuration"},
			&cli.BoolFlag{Name: "apply", Usage: "put the edit in force"},
			&cli.BoolFlag{Name: "dry-run", Usage: "print the lines and change nothing"},
		),
		Action: action(2, func(ctx context.Context, c *cli.Command) error { return a.setState(ctx, c, state) }),
	}
}

func (a *app) setState(ctx context.Context, c *cli.Command, state estate.State) error {
	target, err := targetOf(c)
	if err != nil {
		return err
	}
	if err := checkEditFlags(c); err != nil {
		return err
	}
	e := editor{app: a, dir: c.String("dir")}
	if c.Bool("apply") {
		if e.writer, err = a.newWriter(c); err != nil {
			return err
		}
	}
	if err := e.load(target, state); err != nil {
		return err
	}
	e.show(target, state)
	if c.Bool("dry-run") {
		return nil
	}
	return e.carryOut(ctx)
}

func checkEditFlags(c *cli.Command) error {
	switch apply := c.Bool("apply"); {
	case apply && c.Bool("dry-run"):
		return usagef("give one of them", "--apply and --dry-run exclude each other")
	case c.Bool("wait") && !apply:
		return usagef("add --apply", "--wait waits for what --apply puts in force")
	}
	return nil
}

func targetOf(c *cli.Command) (config.Target, error) {
	t := config.Target{Kind: config.TargetKind(c.Args().Get(0)), Name: c.Args().Get(1)}
	switch t.Kind {
	case config.TargetBackend, config.TargetSite, config.TargetZone, config.TargetRegion:
		return t, nil
	}
	return t, usagef("write backend, zone, region or site before the name", "%q cannot be drained or filled", t.Kind)
}
