package edgetest

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// objectCount is the number of objects that the placement tests request.
const objectCount = 24

// startPlacementEnvironment starts two instances in one region and four backend
// servers, and waits until the instances agree on the leader, which assigns
// placements.
func startPlacementEnvironment(t *testing.T) (*Environment, []*Instance, []*Backend) {
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"})
	var backends []*Backend
	for n := range 4 {
		backends = append(backends, e.Backend(Start{Name: fmt.Sprint("i-", n), Zone: "a1", Service: "shop"}))
	}
	instances := []*Instance{e.Instance("one", "a1"), e.Instance("two", "a2")}
	for _, i := range instances {
		require.Eventually(t, func() bool {
			return e.Do(i, CallerRequest{Path: "/read/warm"}).Status == 200 && len(i.Addresses("a1")) == 2
		}, 3*time.Second, 10*time.Millisecond)
	}
	// After this time both instances agree on the leader.
	time.Sleep(700 * time.Millisecond)
	return e, instances, backends
}

// placementsOf sends a request for each object and returns the name of the backend
// server that ran it, by object number.
func placementsOf(t *testing.T, e *Environment, i *Instance, backends []*Backend) map[int]string {
	placements := map[int]string{}
	for n := range objectCount {
		r := e.Do(i, CallerRequest{Path: "/read/x", Object: fmt.Sprint("object-", n)})
		require.Equal(t, 200, r.Status)
		for _, b := range backends {
			if runsOf([]*Backend{b}, r.ID) > 0 {
				placements[n] = b.Name
			}
		}
	}
	return placements
}

// TestPlacementsAreShared checks that a small number of objects is spread evenly
// over the backend servers, and that all instances of a region send the requests
// for an object to the same backend server.
func TestPlacementsAreShared(t *testing.T) {
	t.Parallel()
	e, instances, backends := startPlacementEnvironment(t)
	first := placementsOf(t, e, instances[0], backends)
	require.Equal(t, first, placementsOf(t, e, instances[1], backends))
	counts := map[string]int{}
	for _, name := range first {
		counts[name]++
	}
	for _, b := range backends {
		require.InDelta(t, objectCount/len(backends), counts[b.Name], 1)
	}
}

// TestPlacementsSurviveRestart checks that the placements are restored from the
// store after all instances have stopped.
func TestPlacementsSurviveRestart(t *testing.T) {
	t.Parallel()
	e, instances, backends := startPlacementEnvironment(t)
	before := placementsOf(t, e, instances[0], backends)
	require.Eventually(t, func() bool { return len(e.Store.Keys("places")) == 1 }, 8*time.Second, 50*time.Millisecond)
	for _, i := range instances {
		i.Stop()
		<-i.Done
	}
	restarted := e.Instance("three", "a1")
	require.Eventually(t, func() bool { return e.Do(restarted, CallerRequest{Path: "/read/warm"}).Status == 200 }, 3*time.Second, 10*time.Millisecond)
	require.Equal(t, before, placementsOf(t, e, restarted, backends))
}

// TestPlacementsAfterInstanceLoss checks that after either instance has stopped,
// which includes the leader, the other one serves without
// delay and keeps the placements.
func TestPlacementsAfterInstanceLoss(t *testing.T) {
	t.Parallel()
	for n, name := range []string{"first", "second"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, instances, backends := startPlacementEnvironment(t)
			stopped, remaining := instances[n], instances[1-n]
			before := placementsOf(t, e, remaining, backends)
			stopped.Stop()
			<-stopped.Done
			began := time.Now()
			require.Equal(t, before, placementsOf(t, e, remaining, backends))
			require.Less(t, time.Since(began), 2*time.Second)
			require.Equal(t, 200, e.Do(remaining, CallerRequest{Path: "/read/x", Object: "new"}).Status)
		})
	}
}
