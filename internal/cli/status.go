package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/operator/client"
)

// defaultInterval is the time between two prints of status --watch.
const defaultInterval = 2 * time.Second

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what is in force and how full it is",
		Description: `Asks every instance that any --operator endpoint leads to. Tables: instances
with the version in force, services by zone with weight, target and slots,
links with headroom, drains. Instances that give no answer are listed as
silent, and the exit code is then 8.

Examples:
  banyanctl --operator 10.0.0.11:8300 status
  banyanctl status --watch --interval 1s
  banyanctl status --output json | jq '.links[] | select(.headroom < 5)'`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "watch", Usage: "print again until interrupted"},
			&cli.DurationFlag{Name: "interval", Value: defaultInterval, Usage: "`TIME` between prints of --watch"},
			&cli.StringFlag{Name: "output", Value: outputTable, Usage: "`FORMAT`, table or json"},
			&cli.BoolFlag{Name: "backends", Usage: "add the table of backend servers"},
		},
		Action: action(0, a.status),
	}
}

func (a *app) status(ctx context.Context, c *cli.Command) error {
	show, err := a.printer(c)
	if err != nil {
		return err
	}
	endpoints, operators, err := operators(c)
	if err != nil {
		return err
	}
	defer operators.Close()
	watch, interval := c.Bool("watch"), c.Duration("interval")
	if interval <= 0 {
		return usagef("give a time such as 2s", "--interval is %s", interval)
	}
	for {
		if watch && c.String("output") == outputTable {
			a.printf("-- %s\n", a.Clock.Now().UTC().Format(time.RFC3339))
		}
		err := a.statusOnce(ctx, operators, endpoints, show)
		if !watch {
			return err
		}
		if err != nil && ctx.Err() == nil {
			fmt.Fprintf(a.Stderr, "banyanctl: %v\n", err)
		}
		if a.Clock.Sleep(ctx, interval) != nil {
			return nil // an interrupt is how watching ends
		}
	}
}

// printer returns the function that prints a view as the flags say.
func (a *app) printer(c *cli.Command) (func(view) error, error) {
	switch c.String("output") {
	case outputTable:
		return func(v view) error { return writeTables(a.Stdout, v, c.Bool("backends")) }, nil
	case outputJSON:
		return func(v view) error {
			enc := json.NewEncoder(a.Stdout)
			enc.SetIndent("", "  ")
			return enc.Encode(v)
		}, nil
	}
	return nil, usagef("write table or json", "--output is %q", c.String("output"))
}

func (a *app) statusOnce(ctx context.Context, operators *client.Client, endpoints []string, show func(view) error) error {
	answers, err := operators.Gather(ctx, endpoints)
	if err != nil {
		return errors.Trace(err)
	}
	if err := show(newView(answers)); err != nil {
		return errors.Trace(err)
	}
	for _, answer := range answers {
		if answer.Err != nil {
			return errors.Trace(answer.Err)
		}
	}
	return nil
}

// Layout of the tables, in columns.
const (
	tableMinWidth = 0
	tableTabWidth = 8
	tablePadding  = 2
)

// table writes rows in aligned columns.
func table(w io.Writer, header string, rows func(line func(format string, args ...any))) error {
	t := tabwriter.NewWriter(w, tableMinWidth, tableTabWidth, tablePadding, ' ', 0)
	fmt.Fprintln(t, header)
	rows(func(format string, args ...any) { fmt.Fprintf(t, format+"\n", args...) })
	return t.Flush()
}

func writeTables(w io.Writer, v view, backends bool) error {
	tables := []func(io.Writer, view) error{writeInstances, writeServices, writeLinks}
	if backends {
		tables = append(tables, writeBackends)
	}
	if len(v.Drains) > 0 {
		tables = append(tables, writeDrains)
	}
	for i, write := range tables {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := write(w, v); err != nil {
			return err
		}
	}
	return nil
}

func writeInstances(w io.Writer, v view) error {
	return table(w, "ZONE\tINSTANCE\tSTATE\tVERSION\tPLATFORM\tOPERATOR", func(line func(string, ...any)) {
		for _, i := range v.Instances {
			version, platform := fmt.Sprint(i.Version), upOrDown(i.PlatformUp)
			if i.State == stateSilent {
				version, platform = "?", "?"
			}
			line("%s\t%s\t%s\t%s\t%s\t%s", orUnknown(i.Zone), i.Instance, i.State, version, platform, i.Operator)
		}
	})
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func orUnknown(s string) string {
	if s == "" {
		return "?"
	}
	return s
}

func writeServices(w io.Writer, v view) error {
	return table(w, "SERVICE\tZONE\tWEIGHT\tTARGET\tSLOTS\tFREE", func(line func(string, ...any)) {
		for _, s := range v.Services {
			line("%s\t%s\t%s\t%.3f\t%d\t%d", s.Service, s.Zone, bounds(s.WeightMin, s.WeightMax), s.Target, s.Slots, s.Free)
		}
	})
}

// bounds shows one number where both ends look the same.
func bounds(low, high float64) string {
	a, b := fmt.Sprintf("%.3f", low), fmt.Sprintf("%.3f", high)
	if a == b {
		return a
	}
	return a + "-" + b
}

func writeLinks(w io.Writer, v view) error {
	return table(w, "LINK\tIN FLIGHT\tCAP\tHEADROOM\tRIGHTS\tRATE CAP\tRATE RIGHTS", func(line func(string, ...any)) {
		for _, l := range v.Links {
			line("%s->%s\t%d\t%d\t%d\t%d\t%g/s\t%g/s", l.From, l.To, l.InFlight, l.MaxInFlight, l.Headroom,
				l.RightsInFlight, l.MaxRate, l.RightsRate)
		}
	})
}

func writeBackends(w io.Writer, v view) error {
	return table(w, "SERVICE\tBACKEND\tSITE\tOWNER\tSTATE\tIN FLIGHT\tSLOTS", func(line func(string, ...any)) {
		for _, b := range v.Backends {
			line("%s\t%s\t%s\t%s\t%s\t%d\t%d", b.Service, b.Name, b.Site, orUnknown(b.Owner), orUnknown(b.State), b.InFlight, b.Slots)
		}
	})
}

func writeDrains(w io.Writer, v view) error {
	return table(w, "DRAIN\tSINCE\tIN FLIGHT\tTOOK", func(line func(string, ...any)) {
		for _, d := range v.Drains {
			took := "not yet empty"
			if d.TookSeconds > 0 {
				took = fmt.Sprintf("%.1fs", d.TookSeconds)
			}
			line("%s\t%s\t%d\t%s", d.What, d.Since.UTC().Format(time.RFC3339), d.InFlight, took)
		}
	})
}
