package edgetest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restCallsPerSecond is the most calls of a region's reader for each operation and table
// while nothing changes: one when the wait of the feed ends. What is not listed is not
// called at rest.
var restCallsPerSecond = map[string]float64{
	"changes_op": 1, "changes_servers": 1 / 1.5, "changes_members": 1.0 / 15, "changes_quarantine": 1.0 / 15,
}

// TestStoreCallsAtRest guards against tables whose reads cost calls to the store unseen, and
// against instances beside the region's reader that call it at all.
func TestStoreCallsAtRest(t *testing.T) {
	t.Parallel()
	const period = 6 * time.Second
	f := startFleet(t, 6, Start{}, "a1", "a1", "a2", "b1", "b1")
	time.Sleep(5 * time.Second)
	readers := 0
	before := make([]map[string]int, len(f.instances))
	for n, i := range f.instances {
		before[n] = i.StoreCalls()
		require.NotZero(t, before[n]["write_members"])
	}
	time.Sleep(period)
	for n, i := range f.instances {
		calls := callsSince(before[n], i.StoreCalls())
		t.Logf("%s: %v", i.Settings.Instance, calls)
		if len(calls) > 0 {
			readers++
		}
		for name, count := range calls {
			require.LessOrEqual(t, float64(count), 1+restCallsPerSecond[name]*period.Seconds(), name)
			require.Contains(t, restCallsPerSecond, name)
		}
	}
	require.Equal(t, 2, readers, "one for each region")
}

// callsSince returns the calls since before, without those of which there was none.
func callsSince(before, now map[string]int) map[string]int {
	calls := map[string]int{}
	for name, count := range now {
		if d := count - before[name]; d > 0 {
			calls[name] = d
		}
	}
	return calls
}
