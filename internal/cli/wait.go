package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/operator/client"
)

const (
	// waitPoll is the time between two polls of --wait.
	waitPoll = 200 * time.Millisecond
	// findEvery is the number of polls from one that looks for instances
	// that joined or died to the next.
	findEvery = 10
	// waitCallTimeout bounds one call of a poll, so that an instance that is
	// silent does not hold up the others.
	waitCallTimeout = 500 * time.Millisecond
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

// wait polls until every instance has at least the version in force, prints
// them and returns nil or a NotInForceError. Times count from start.
func (w *waiter) wait(ctx context.Context, version uint64, start time.Time) error {
	defer w.operators.Close()
	behind := func(a client.Result) bool { return a.Err != nil || a.Status.Version < version }
	var answers []client.Result
	took := map[string]time.Duration{}
	for round := 0; ; round++ {
		answers = w.poll(ctx, round, answers, behind)
		now := w.app.Clock.Now().Sub(start)
		done := len(answers) > 0
		for _, a := range answers {
			_, seen := took[a.Addr]
			if !seen && !behind(a) {
				took[a.Addr], seen = now, true
			}
			done = done && seen
		}
		if done || now >= w.timeout || w.app.Clock.Sleep(ctx, waitPoll) != nil {
			return w.report(answers, took, version, now)
		}
	}
}

// poll asks the instances that are behind again. At times it finds all
// instances anew, since some may have joined or died. While no endpoint
// answers, what is known stays.
func (w *waiter) poll(ctx context.Context, round int, answers []client.Result, behind func(client.Result) bool) []client.Result {
	if len(answers) > 0 && round%findEvery != 0 {
		w.operators.Refresh(ctx, answers, behind)
		return answers
	}
	fresh, err := w.operators.Discover(ctx, w.endpoints)
	if err != nil {
		return answers
	}
	return fresh
}

// report prints the instances, those in force with the time they took.
func (w *waiter) report(answers []client.Result, took map[string]time.Duration, version uint64, now time.Duration) error {
	lagging := &NotInForceError{Version: version, Total: len(answers)}
	err := table(w.app.Stdout, "ZONE\tINSTANCE\tVERSION\tSECONDS", func(line func(string, ...any)) {
		for _, a := range answers {
			seconds := "-"
			if t, ok := took[a.Addr]; ok {
				seconds = fmt.Sprintf("%.1f", t.Seconds())
			} else {
				lagging.Behind = append(lagging.Behind, a.ID()+" ("+seen(a)+")")
			}
			line("%s\t%s\t%s\t%s", orUnknown(a.Zone()), a.ID(), seen(a), seconds)
		}
	})
	if err != nil {
		return err
	}
	if len(answers) == 0 {
		for _, addr := range w.endpoints {
			lagging.Behind = append(lagging.Behind, addr+" (silent)")
		}
		lagging.Total = len(w.endpoints)
	}
	if len(lagging.Behind) > 0 {
		return lagging
	}
	w.app.printf("version %d is in force at %d instances after %.1fs\n", version, len(answers), now.Seconds())
	return nil
}

// seen is the version that an instance was last seen with.
func seen(a client.Result) string {
	if a.Err != nil {
		return stateSilent
	}
	return versionName(a.Status.Version)
}
