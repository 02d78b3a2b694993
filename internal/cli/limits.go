package cli

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
)

// Events by which an instance tells of request limits of backend servers.
const (
	eventLimitLearnt  = "limit_learnt"
	eventLimitChanged = "limit_changed"
	eventLimitEnded   = "limit_ended"
)

func (a *app) limitsCommand() *cli.Command {
	return &cli.Command{
		Name:      "limits",
		Usage:     "show the backend servers that state a request limit, from the logs of instances",
		ArgsUsage: "FILE...",
		Description: `Reads logs of entry instances on the users' platform and prints the backend servers
whose request limit holds at the end of the logs: the limit and the rate that all
instances together send, in requests a second, the number of instances that know of it,
the time of its last change, and the number of logged refusals because of it.

Examples:
  banyanctl limits front-*.log`,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return usagef("write banyanctl limits FILE...", "limits takes one log file or more")
			}
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return &actionError{cause: err}
			}
			a.printLimits(collectLimits(lines))
			return nil
		},
	}
}

// limitedBackend is what the logs say of a backend server with a request limit.
type limitedBackend struct {
	id string
	// limit and issued are requests per second.
	limit, issued float64
	// knownAt holds the instances that know of the limit.
	knownAt map[string]bool
	// changed is the time of the last change in Unix milliseconds.
	changed int64
	// refused is the number of requests that were refused because of the limit.
	refused int
}

// collectLimits returns the backend servers that have a limit at the end of the lines, which
// are in the order of time, ordered by ID.
func collectLimits(lines []logLine) []*limitedBackend {
	byID := map[string]*limitedBackend{}
	for _, l := range lines {
		switch l.Event {
		case eventLimitLearnt, eventLimitChanged:
			b := byID[l.Backend]
			if b == nil {
				b = &limitedBackend{id: l.Backend, knownAt: map[string]bool{}}
				byID[l.Backend] = b
			}
			b.knownAt[l.Instance] = true
			b.limit, b.issued, b.changed = l.Limit, l.Issued, l.Time
		case eventLimitEnded:
			if b := byID[l.Backend]; b != nil {
				delete(b.knownAt, l.Instance)
			}
		case "start":
			// A process that starts knows of no limit yet.
			for _, b := range byID {
				delete(b.knownAt, l.Instance)
			}
		case "refusal":
			if b := byID[l.LimitedBackend]; b != nil {
				b.refused++
			}
		}
	}
	maps.DeleteFunc(byID, func(_ string, b *limitedBackend) bool { return len(b.knownAt) == 0 })
	return slices.SortedFunc(maps.Values(byID), func(x, y *limitedBackend) int { return cmp.Compare(x.id, y.id) })
}

func (a *app) printLimits(limited []*limitedBackend) {
	if len(limited) == 0 {
		a.printf("no backend server has a request limit at the end of the logs\n")
		return
	}
	a.printf("%-20s %8s %8s %8s %9s  %s\n", "BACKEND", "LIMIT/S", "SENT/S", "KNOWN AT", "REFUSED", "LAST CHANGE")
	for _, b := range limited {
		a.printf("%-20s %8.2f %8.2f %8d %9d  %s\n", b.id, b.limit, b.issued, len(b.knownAt), b.refused, time.UnixMilli(b.changed).UTC().Format(time.RFC3339))
	}
}
