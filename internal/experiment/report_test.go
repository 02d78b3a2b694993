package experiment

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

// TestPrintComparison guards the layout of the table, including the omission of
// unused links and the notes about unfinished drains and skipped arrivals.
func TestPrintComparison(t *testing.T) {
	result := func(policy string, p50 time.Duration, least int) *Result {
		return &Result{
			Policy: policy,
			Services: []bench.OpResult{{
				Service: "casework", Outcomes: map[bench.End]int{bench.Done: 9, bench.NotRun: 1},
				Done: bench.Quantiles{Count: 9, P50: p50, P99: 3 * p50},
			}},
			Headrooms: []testbed.Headroom{
				{Name: "region pos, slots", Capacity: 10, Least: least},
				{Name: "link pos to sfo, in flight", Capacity: 10, Least: 10, Link: true},
			},
			Links:      []testbed.LinkUse{{Name: "pos to sfo", MaxRate: 10, Requests: 3, MostStarted: 2}, {Name: "sfo to pos", MaxRate: 10}},
			Violations: map[bench.Fault]int{bench.Lost: 1},
		}
	}
	c := &Comparison{
		Scenario: Scenario{Name: "calm", Summary: "nothing happens"}, Deployment: "caroni",
		Baseline: result("baseline", 40*time.Millisecond, -2), Steered: result("steered", 30*time.Millisecond, 5),
	}
	c.Baseline.DrainTime, c.Baseline.DrainUnfinished, c.Steered.DrainTime, c.Steered.Skipped = 8*time.Second, true, 6*time.Second, 2
	var out strings.Builder
	c.Print(&out)
	want, err := os.ReadFile("testdata/comparison.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}

// A flash crowd has only the non-idempotent operations of the service with the
// lowest rate; the flash factor includes the usual rate.
func TestFlashWorkloadHasOnlyNonIdempotentOps(t *testing.T) {
	w := flashWorkload([]bench.Workload{
		{Service: "directory", Rate: 5, Ops: []bench.Op{{Name: "profile", Idempotent: true}}},
		{Service: "casework", Rate: 10, Ops: []bench.Op{{Name: "case", Idempotent: true}, {Name: "booking"}}},
		{Service: "other", Rate: 20, Ops: []bench.Op{{Name: "booking"}}},
	})
	require.Equal(t, "casework", w.Service)
	require.Equal(t, []bench.Op{{Name: "booking"}}, w.Ops)
	require.InDelta(t, 30, w.Rate, 1e-9)
	require.Equal(t, warmUp, w.StartDelay)
}

// Zones with as many slots are ordered by name. An unknown scenario gives an
// error that points to --help.
func TestBySlotsAndUnknownScenario(t *testing.T) {
	e := &estate.Estate{
		Zones:    []estate.Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Services: []estate.Service{{Backends: []estate.Backend{{Zone: "b", Slots: 4}, {Zone: "c", Slots: 4}, {Zone: "a", Slots: 3}}}},
	}
	require.Equal(t, []string{"b", "c", "a"}, bySlots(e, func(zone string) string { return zone }))
	_, err := Find("storm")
	require.ErrorContains(t, err, "--help")
}
