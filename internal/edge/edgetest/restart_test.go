package edgetest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/limitcheck"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

const (
	// coldAllowed is how many requests a cold backend server may get within a second: cold_per_s of
	// the Environment x cold_overshoot + cold_slack.
	coldAllowed = 2*1.5 + 5
	// usualRate is about how many requests a second each of three backend servers gets when it is
	// not cold.
	usualRate = 12
)

// troubleDuringOutage lets the first of three backend servers have a trouble once the store has been
// away for a time, and returns the fleet, the requests that were sent for so long afterwards, and when
// the trouble began.
func troubleDuringOutage(t *testing.T, instances int, away, watched time.Duration, s Start, trouble func(b *Backend)) (*fleet, []sentRequest, time.Time) {
	const objects, perSecond = 24, 3 * usualRate
	f := startFleet(t, 3, s, zonesOf(instances)...)
	stop := make(chan struct{})
	var sent []sentRequest
	var all sync.WaitGroup
	all.Go(func() { sent = f.load(CallerRequest{Path: "/read/x"}, objects, perSecond, stop) })
	time.Sleep(loadBefore)
	f.Store.SetTrouble(func(*http.Request) store.Trouble { return store.Refuse })
	time.Sleep(away)
	began := time.Now()
	trouble(f.backends[0])
	time.Sleep(watched)
	close(stop)
	all.Wait()
	return f, sent, began
}

// restartDuringOutage is troubleDuringOutage of a backend server that crashes and starts again.
func restartDuringOutage(t *testing.T, instances int, away, down, cold time.Duration) (*fleet, []sentRequest, time.Time) {
	s := Start{Work: 20 * time.Millisecond, Down: down, ColdTime: cold}
	return troubleDuringOutage(t, instances, away, down+5*time.Second, s, (*Backend).Crash)
}

// checkCold checks that a cold backend server got as many requests within a second as it may, and that
// most of those sent since a time were served.
func checkCold(t *testing.T, f *fleet, sent []sentRequest, since time.Time) {
	var cold []time.Time
	for _, a := range f.backends[0].Arrivals() {
		if a.Cold {
			cold = append(cold, a.At)
		}
	}
	worst, served := limitcheck.Most(cold, time.Second), servedShare(sent, since, time.Now())
	t.Logf("%d requests while cold, %d within a second, %.3f of %d served", len(cold), worst, served, len(sent))
	require.LessOrEqual(t, float64(worst), float64(coldAllowed))
	require.GreaterOrEqual(t, served, 0.9)
}

// TestColdRestartWithoutStoreIsPaced guards against a backend server that starts again, cold and
// under its id, while the store is away, and gets its full share, because only its entry told that
// it is cold (review/11, rule FAILBACK).
func TestColdRestartWithoutStoreIsPaced(t *testing.T) {
	for _, instances := range []int{1, 2, 6} {
		for _, down := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprint(instances, " instances, gone for ", down), func(t *testing.T) {
				t.Parallel()
				f, sent, crashed := restartDuringOutage(t, instances, 500*time.Millisecond, down, 3*time.Second)
				checkCold(t, f, sent, crashed)
			})
		}
	}
}

// eachColdAgain checks the bound on requests to a backend server that becomes cold while it runs, once the
// store has been away for a time.
func eachColdAgain(t *testing.T, away time.Duration) {
	for _, instances := range []int{1, 2, 6} {
		t.Run(fmt.Sprint(instances, " instances, store away for ", away), func(t *testing.T) {
			t.Parallel()
			becomeCold := func(b *Backend) { b.BecomeCold(3 * time.Second) }
			f, sent, since := troubleDuringOutage(t, instances, away, 4*time.Second, Start{Work: 20 * time.Millisecond}, becomeCold)
			checkCold(t, f, sent, since)
		})
	}
}

// TestColdAgainWithoutStoreIsPaced guards against a backend server that becomes cold while it runs and
// the store is away, and gets its full share, because no connection breaks (rule FAILBACK).
func TestColdAgainWithoutStoreIsPaced(t *testing.T) {
	eachColdAgain(t, 1500*time.Millisecond)
	eachColdAgain(t, 3*time.Second)
}

// TestColdAgainAtLossOfStoreIsPaced guards against the same before an instance has noticed that the store
// is away.
func TestColdAgainAtLossOfStoreIsPaced(t *testing.T) { eachColdAgain(t, 500*time.Millisecond) }

// TestBrokenConnectionsDoNotStarve guards against a backend server that gets little for long,
// because its connections broke while the store was away, though it is not cold.
func TestBrokenConnectionsDoNotStarve(t *testing.T) {
	t.Parallel()
	f, sent, crashed := restartDuringOutage(t, 2, 500*time.Millisecond, 100*time.Millisecond, 0)
	from := crashed.Add(2 * time.Second)
	arrived := len(arrivalTimes(f.backends[0], from, from.Add(3*time.Second)))
	t.Logf("%d requests in 3 s, from 2 s after the break; %.3f of %d served", arrived, servedShare(sent, crashed, time.Now()), len(sent))
	require.GreaterOrEqual(t, float64(arrived), 0.5*3*usualRate)
}
