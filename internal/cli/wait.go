package cli

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/banyandeal/banyandeal/internal/operator/client"
)

const (
	// waitPoll is the time between two polls of --wait.
	waitPoll = 200 * time.Millisecond
	// waitCallTimeout bounds one call of a poll, so that an instance that is
	// silent does not hold up the others.
	waitCallTimeout = 500 * time.Millisecond
	// waitConcurrent is the most instances polled at once.
	waitConcurrent = 32
)

// waiter waits until a version is in force everywhere.
type waiter struct {
	app       *app
	endpoints []string
	operators *client.Client
	timeout   time.Duration
}

func (a *app) newWaiter(c *cli.Command) (*waiter, error) {
	endpoints, _, err := operators(c)
	if err != nil {
		return nil, err
	}
	timeout := min(waitCallTimeout, c.Duration(flagTimeout))
	return &waiter{app: a, endpoints: endpoints, operators: client.New(timeout), timeout: c.Duration("wait-timeout")}, nil
}

// arrival is an instance that is waited for.
type arrival struct {
	addr, id, zone string
	// version is the last one seen; answered is whether any was.
	version  uint64
	answered bool
	// took is the time from the start until the version was seen in force.
	took time.Duration
}

func (r *arrival) behind(version uint64) bool { return r.version < version }

// wait polls until every instance has at least the version in force, prints
// them and returns nil or a NotInForceError. Times count from start.
func (w *waiter) wait(ctx context.Context, version uint64, start time.Time) error {
	defer w.operators.Close()
	var list []*arrival
	for {
		if len(list) == 0 {
			list = w.discover(ctx)
		} else {
			w.poll(ctx, list, version)
		}
		took := w.app.Clock.Now().Sub(start)
		done := len(list) > 0
		for _, r := range list {
			if r.behind(version) {
				done = false
			} else if r.took == 0 {
				r.took = max(took, time.Millisecond)
			}
		}
		if done || took >= w.timeout || w.app.Clock.Sleep(ctx, waitPoll) != nil {
			return w.report(list, version, took, done)
		}
	}
}

// discover finds the instances; none if no endpoint answers.
func (w *waiter) discover(ctx context.Context) []*arrival {
	answers, err := w.operators.Gather(ctx, w.endpoints)
	if err != nil {
		return nil
	}
	list := make([]*arrival, len(answers))
	for i, a := range answers {
		list[i] = &arrival{addr: a.Addr, id: a.ID(), zone: a.Zone(), version: a.Status.Version, answered: a.Err == nil}
	}
	return list
}

// poll asks the instances that are behind.
func (w *waiter) poll(ctx context.Context, list []*arrival, version uint64) {
	var group errgroup.Group
	group.SetLimit(waitConcurrent)
	for _, r := range list {
		if !r.behind(version) {
			continue
		}
		group.Go(func() error {
			s, err := w.operators.Status(ctx, r.addr)
			r.answered = err == nil
			if err == nil {
				r.version, r.id, r.zone = s.Version, cmp.Or(s.Instance, r.id), cmp.Or(s.Zone, r.zone)
			}
			return nil
		})
	}
	_ = group.Wait() // an instance that gives no answer is behind
}

func (w *waiter) report(list []*arrival, version uint64, took time.Duration, done bool) error {
	slices.SortFunc(list, func(a, b *arrival) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.id, b.id))
	})
	err := table(w.app.Stdout, "ZONE\tINSTANCE\tVERSION\tSECONDS", func(line func(string, ...any)) {
		for _, r := range list {
			if r.behind(version) {
				line("%s\t%s\t%s\t-", orUnknown(r.zone), r.id, r.seen())
				continue
			}
			line("%s\t%s\t%d\t%.1f", orUnknown(r.zone), r.id, r.version, r.took.Seconds())
		}
	})
	if err != nil {
		return err
	}
	if done {
		w.app.printf("version %d is in force at %d instances after %.1fs\n", version, len(list), took.Seconds())
		return nil
	}
	return w.notInForce(list, version)
}

func (r *arrival) seen() string {
	if !r.answered {
		return "silent"
	}
	return versionName(r.version)
}

func (w *waiter) notInForce(list []*arrival, version uint64) error {
	e := &NotInForceError{Version: version, Total: len(list)}
	for _, r := range list {
		if r.behind(version) {
			e.Behind = append(e.Behind, r.id+" ("+r.seen()+")")
		}
	}
	if len(list) == 0 { // no endpoint answered
		for _, addr := range w.endpoints {
			e.Behind = append(e.Behind, addr+" (silent)")
		}
		e.Total = len(w.endpoints)
	}
	return e
}
