package edgetest

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// objects is how many objects the tests of places ask for.
const objects = 24

// hall is an estate with two instances and four backend servers.
func hall(t *testing.T) (*Estate, []*Instance, []*Backend) {
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"})
	var backends []*Backend
	for n := range 4 {
		backends = append(backends, e.Backend(Start{Name: fmt.Sprint("i-", n), Zone: "a1", Service: "shop"}))
	}
	instances := []*Instance{e.Instance("one", "a1"), e.Instance("two", "a2")}
	for _, i := range instances {
		require.Eventually(t, func() bool {
			return e.Do(i, Call{Path: "/read/warm"}).Status == 200 && len(i.Addresses("a1")) == 2
		}, 3*time.Second, 10*time.Millisecond)
	}
	// Both know by now who assigns.
	time.Sleep(700 * time.Millisecond)
	return e, instances, backends
}

// ask sends a request for each object and returns who ran them.
func ask(t *testing.T, e *Estate, i *Instance, backends []*Backend) map[int]string {
	places := map[int]string{}
	for n := range objects {
		r := e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint("object-", n)})
		require.Equal(t, 200, r.Status)
		for _, b := range backends {
			if runsOf([]*Backend{b}, r.ID) > 0 {
				places[n] = b.Name
			}
		}
	}
	return places
}

// TestPlacesAreShared: few objects spread evenly over the backend servers, and
// all instances of a region send each to the same one.
func TestPlacesAreShared(t *testing.T) {
	t.Parallel()
	e, instances, backends := hall(t)
	first := ask(t, e, instances[0], backends)
	require.Equal(t, first, ask(t, e, instances[1], backends))
	counts := map[string]int{}
	for _, name := range first {
		counts[name]++
	}
	for _, b := range backends {
		require.InDelta(t, objects/len(backends), counts[b.Name], 1)
	}
}

// TestPlacesOutliveTheInstances: after a stop of all instances, objects go where
// they were.
func TestPlacesOutliveTheInstances(t *testing.T) {
	t.Parallel()
	e, instances, backends := hall(t)
	before := ask(t, e, instances[0], backends)
	require.Eventually(t, func() bool { return len(e.Store.Keys("places")) == 1 }, 8*time.Second, 50*time.Millisecond)
	for _, i := range instances {
		i.Stop()
		<-i.Done
	}
	again := e.Instance("three", "a1")
	require.Eventually(t, func() bool { return e.Do(again, Call{Path: "/read/warm"}).Status == 200 }, 3*time.Second, 10*time.Millisecond)
	require.Equal(t, before, ask(t, e, again, backends))
}

// TestPlacesWithoutTheOneThatAssigns: when either instance has gone, the other
// serves at once, and knows the places.
func TestPlacesWithoutTheOneThatAssigns(t *testing.T) {
	t.Parallel()
	for n, name := range []string{"first", "second"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, instances, backends := hall(t)
			gone, left := instances[n], instances[1-n]
			before := ask(t, e, left, backends)
			gone.Stop()
			<-gone.Done
			began := time.Now()
			require.Equal(t, before, ask(t, e, left, backends))
			require.Less(t, time.Since(began), 2*time.Second)
			require.Equal(t, 200, e.Do(left, Call{Path: "/read/x", Object: "new"}).Status)
		})
	}
}
