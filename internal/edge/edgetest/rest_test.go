package edgetest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/restcheck"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

const (
	// drainPeriod is the time after a backend server has said that it leaves, or reported
	// it, from which on it gets no more requests.
	drainPeriod = 2500 * time.Millisecond
	// servedBesideRest is the least share of the requests that is served while backend
	// servers without rest have room.
	servedBesideRest = 0.97
)

// loadFor sends a load for a while.
func (f *fleet) loadFor(c CallerRequest, objects, perSecond int, length time.Duration) []sentRequest {
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	return f.load(c, objects, perSecond, stop)
}

// worstRest returns the largest number of requests from one instance in a rest.
func worstRest(backends []*Backend, sent []sentRequest) int {
	instanceOf, worst := map[string]int{}, 0
	for _, r := range sent {
		instanceOf[r.ID] = r.instance
	}
	for _, b := range backends {
		byInstance := map[int][]restcheck.Arrival{}
		for _, a := range b.Arrivals() {
			i := instanceOf[a.ID]
			byInstance[i] = append(byInstance[i], restcheck.Arrival{At: a.At, Rest: restcheck.Rest(a.RetryAfter), Answered: a.Answered})
		}
		for _, arrivals := range byInstance {
			worst = max(worst, restcheck.Worst(arrivals))
		}
	}
	return worst
}

// TestRestIsKept guards against backend servers that turn requests away, ask an instance for
// rest and go on to get its requests (rule BUDGET): of all kinds, with objects, at several
// numbers of instances; and against callers who are refused although others have room.
func TestRestIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		path               string
		objects, instances int
		every              int
	}{
		"idempotent":                   {"/read/x", 1000, 4, 3},
		"not idempotent":               {"/write/x", 1000, 4, 3},
		"few objects":                  {"/read/x", 12, 4, 2},
		"all turned away, 8 instances": {"/write/x", 60, 8, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 9, Start{Work: 10 * time.Millisecond}, zonesOf(c.instances)...)
			for _, b := range f.backends[:3] {
				b.SetRest("3", c.every)
			}
			sent := f.loadFor(CallerRequest{Method: http.MethodPost, Path: c.path, Body: "x"}, c.objects, 120, 9*time.Second)
			worst, served := worstRest(f.backends, sent), servedShare(sent, time.Time{}, time.Now())
			t.Logf("%d requests of an instance in a rest, %.3f of %d served", worst, served, len(sent))
			require.LessOrEqual(t, worst, restcheck.Allowed)
			require.GreaterOrEqual(t, served, servedBesideRest)
		})
	}
}

// TestRestOfAllIsKept guards against requests to backend servers that have all asked for
// rest (rule BUDGET), and against a service that is lost for the whole rest because its last
// backend server turned one request away.
func TestRestOfAllIsKept(t *testing.T) {
	for name, count := range map[string]int{"six": 6, "one": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, count, Start{Work: 10 * time.Millisecond}, "a1", "b1")
			for _, b := range f.backends {
				b.SetRest("2", 40)
			}
			sent := f.loadFor(CallerRequest{Method: http.MethodPost, Path: "/write/x", Body: "x"}, 100, 100, 9*time.Second)
			worst := worstRest(f.backends, sent)
			t.Logf("%d requests of an instance in a rest, %.3f of %d served", worst, servedShare(sent, time.Time{}, time.Now()), len(sent))
			require.LessOrEqual(t, worst, restcheck.Allowed)
			for _, r := range sent {
				if r.Status == http.StatusServiceUnavailable {
					require.NotEmpty(t, r.Header.Get("Retry-After"))
				}
			}
		})
	}
}

// TestLeavingInResponseIsKept guards against requests to a backend server that says in its
// responses that it leaves while its entry says that it is ready (rule DRAIN), with and
// without the store; another incarnation under its name is free of it.
func TestLeavingInResponseIsKept(t *testing.T) {
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprint("store away: ", away), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 9, Start{Work: 10 * time.Millisecond, Down: 200 * time.Millisecond}, "a1", "a2", "b1")
			if away {
				f.Store.SetTrouble(func(*http.Request) store.Trouble { return store.Refuse })
			}
			for _, b := range f.backends[:3] {
				b.SayLeaving()
			}
			sent := f.loadFor(CallerRequest{Method: http.MethodPost, Path: "/read/x", Body: "x"}, 60, 120, 7*time.Second)
			late, served := lateAfterLeaving(f.backends[:3], sent), servedShare(sent, time.Time{}, time.Now())
			t.Logf("%d requests later than %s, %.3f of %d served", late, drainPeriod, served, len(sent))
			require.Zero(t, late)
			require.GreaterOrEqual(t, served, servedBesideRest)
			if away {
				return
			}
			f.backends[0].Crash()
			time.Sleep(time.Second)
			before := len(f.backends[0].Arrivals())
			f.loadFor(CallerRequest{Method: http.MethodPost, Path: "/read/x", Body: "x"}, 60, 120, 2*time.Second)
			require.Greater(t, len(f.backends[0].Arrivals()), before)
		})
	}
}

// lateAfterLeaving counts the requests that callers sent later than drainPeriod after the
// instance had been told that the backend server leaves, and that reached it.
func lateAfterLeaving(backends []*Backend, sent []sentRequest) int {
	byID, late := map[string]sentRequest{}, 0
	for _, r := range sent {
		byID[r.ID] = r
	}
	for _, b := range backends {
		told := map[int]time.Time{}
		for _, a := range b.Arrivals() {
			r := byID[a.ID]
			if first, ok := told[r.instance]; ok && r.at.After(first.Add(drainPeriod)) {
				late++
			}
			if _, ok := told[r.instance]; !ok && a.Leaving {
				told[r.instance] = a.Answered
			}
		}
	}
	return late
}
