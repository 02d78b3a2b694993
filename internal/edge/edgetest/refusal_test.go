package edgetest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/filter/refusal"
)

// ownRefusals are acts that run a request and respond with a status that promises the opposite.
var ownRefusals = map[string]Act{"503": Own503, "429": Own429, "408": Own408, "421": Own421, "503 without stamp": BareOwn503, "429 without stamp": BareOwn429}

// oneInFour returns a function that chooses act for one request of four of all backend servers
// that share it.
func oneInFour(act Act) func(*Arrival) Act {
	var mu sync.Mutex
	n := 0
	return func(*Arrival) Act {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%4 == 0 {
			return act
		}
		return Run
	}
}

// checkRefusals sends requests and checks that none has run that the caller is told has not, that
// unsafe ones run at most once, and that most are served.
func checkRefusals(t *testing.T, e *Environment, backends []*Backend, instances []*Instance, minServed float64) {
	const requests = 60
	for path, method := range map[string]string{"/write/x": http.MethodPost, "/read/x": http.MethodGet} {
		served := 0
		for n := range requests {
			r := e.Do(instances[n%len(instances)], CallerRequest{Method: method, Path: path, Object: fmt.Sprint(n), DeadlineMs: 2000})
			runs := runsOf(backends, r.ID)
			if refusal.PromisesNotRun(r.Status) {
				require.Zero(t, runs, "%s got %d", path, r.Status)
			}
			if path == "/write/x" {
				require.LessOrEqual(t, runs, 1)
			}
			if r.Status == http.StatusBadGateway {
				require.Empty(t, r.Header.Get("Retry-After"))
				require.Empty(t, r.Header.Get("X-Banyandeal-Server-Stamp"))
			}
			if r.Status == http.StatusOK {
				served++
			}
		}
		t.Logf("%s: %d of %d served", path, served, requests)
		require.GreaterOrEqual(t, served, int(minServed*requests))
	}
}

// TestOwnRefusalsAreNoPromise guards against a status that promises callers that their request has
// not run, or a second run by the instance itself, where a backend server has run it and responds
// with such a status of its own; and against a backend server that counts as replaced by its own
// 421, whose requests are refused from then on.
func TestOwnRefusalsAreNoPromise(t *testing.T) {
	t.Parallel()
	for name, act := range ownRefusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, i, backends := startShop(t)
			other := e.Instance("two", "a1")
			treat := oneInFour(act)
			for _, b := range backends {
				b.SetAct(treat)
			}
			// Three of four attempts succeed.
			checkRefusals(t, e, backends, []*Instance{i, other}, 0.7)
		})
	}
}

// TestHandedOverOwnRefusalsAreNoPromise guards against the same where the instance of the caller
// reaches no backend server and hands its requests over.
func TestHandedOverOwnRefusalsAreNoPromise(t *testing.T) {
	t.Parallel()
	for name, act := range ownRefusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 2, Start{Slots: 8}, "a1", "a2")
			cut := f.instance(0)
			cut.Partition(Reset)
			require.Eventually(t, func() bool {
				return f.Do(cut, CallerRequest{Path: "/read/warm", DeadlineMs: 2000}).Status == http.StatusOK && cut.counter("handovers_replied_total") > 0
			}, 5*time.Second, 50*time.Millisecond)
			treat := oneInFour(act)
			for _, b := range f.backends {
				b.SetAct(treat)
			}
			checkRefusals(t, f.Environment, f.backends, []*Instance{cut}, 0.7)
		})
	}
}

// TestOwnRefusalStillSaysLeaving guards against a backend server that goes on getting requests
// though an answer that callers must not see has said that it leaves.
func TestOwnRefusalStillSaysLeaving(t *testing.T) {
	t.Parallel()
	for _, act := range []Act{Own503, Own429, Own421} {
		e, i, backends := startShop(t)
		leaving := backends[0]
		leaving.SetAct(always(act))
		leaving.SayLeaving()
		send := func(n int) {
			e.Do(i, CallerRequest{Method: http.MethodPost, Path: "/write/x", Object: fmt.Sprint(n), DeadlineMs: 2000})
		}
		before := len(leaving.Arrivals())
		for n := 0; len(leaving.Arrivals()) == before; n++ {
			require.Less(t, n, 100, "no request reaches it")
			send(n)
		}
		time.Sleep(500 * time.Millisecond)
		before = len(leaving.Arrivals())
		for n := range 40 {
			send(n)
		}
		require.Len(t, leaving.Arrivals(), before)
	}
}
