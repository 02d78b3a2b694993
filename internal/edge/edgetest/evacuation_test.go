package edgetest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// evacuationBound is how long after its acknowledgement an evacuation may take to be in force,
// as the users' rules say.
const evacuationBound = 5 * time.Second

// maxReadLag is how far the whole reads of the store are behind.
const maxReadLag = 3 * time.Second

// evacuated is a region of three instances with an evacuated zone.
type evacuated struct {
	*Environment
	instances []*Instance
	// inside are the backend servers of the evacuated zone.
	inside []*Backend
}

// evacuate starts instances and backend servers in two zones and evacuates one of them.
func evacuate(t *testing.T) *evacuated {
	e := &evacuated{Environment: New(t)}
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"})
	for n := range 2 {
		e.inside = append(e.inside, e.Backend(Start{Name: fmt.Sprint("i-in-", n), Zone: "a1", Service: "shop"}))
		e.Backend(Start{Name: fmt.Sprint("i-out-", n), Zone: "a2", Service: "shop"})
	}
	for n, zone := range []string{"a1", "a2", "a1"} {
		e.instances = append(e.instances, e.Instance(fmt.Sprint("instance-", n), zone))
	}
	// Reads that are behind by maxReadLag still have the backend servers.
	time.Sleep(maxReadLag + time.Second)
	e.Store.Put("op", "evacuate/a1", map[string]any{})
	require.Eventually(t, func() bool { return e.runsInside(t, 20) == 0 }, evacuationBound, 50*time.Millisecond)
	return e
}

// runsInside sends so many requests to each instance and returns how many of them ran in the
// evacuated zone.
func (e *evacuated) runsInside(t *testing.T, requests int) int {
	count := func() int {
		sum := 0
		for _, b := range e.inside {
			sum += b.Runs()
		}
		return sum
	}
	before := count()
	for _, i := range e.instances {
		for n := range requests {
			require.Equal(t, http.StatusOK, e.Do(i, CallerRequest{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
		}
	}
	return count() - before
}

// dropHistory makes the store drop the changes since what the instances have read. A row of
// another table moves the version on.
func (e *evacuated) dropHistory() {
	e.Store.PutRaw("other", "row", nil)
	e.Store.Compact()
}

// requireEmpty requires that no request reaches the evacuated zone for a while.
func (e *evacuated) requireEmpty(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		require.Zero(t, e.runsInside(t, 20), "requests ran in the evacuated zone")
	}
}

// TestEvacuationSurvivesOlderReads guards against requests in a zone that the operator has not
// taken back, after the store has dropped its history while its whole reads are behind (rule
// EVAC).
func TestEvacuationSurvivesOlderReads(t *testing.T) {
	t.Parallel()
	e := evacuate(t)
	e.Store.SetReadLag(maxReadLag)
	e.dropHistory()
	e.requireEmpty(t, 3*time.Second)
	e.Store.SetReadLag(0)
	e.requireEmpty(t, 2*time.Second)
	e.Store.Remove("op", "evacuate/a1")
	require.Eventually(t, func() bool { return e.runsInside(t, 20) > 0 }, 3*time.Second, 50*time.Millisecond, "the zone is used again")
}

// TestEvacuationSurvivesReturnOfOlderStore guards against requests in a zone that the operator
// has not taken back, after the store came back from a copy without the evacuation and was read
// whole more than once before the operator wrote it again (rule EVAC).
func TestEvacuationSurvivesReturnOfOlderStore(t *testing.T) {
	t.Parallel()
	e := evacuate(t)
	lost := e.Store.Rollback(1)
	for range 4 {
		e.requireEmpty(t, 300*time.Millisecond)
		e.dropHistory()
	}
	e.Store.WriteAgain(lost)
	e.requireEmpty(t, 2*time.Second)
}
