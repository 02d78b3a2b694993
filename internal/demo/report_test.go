package demo

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

func TestReport(t *testing.T) {
	e := &estate.Estate{
		Regions:  []estate.Region{{Name: "pos"}, {Name: "sfo"}},
		Zones:    []estate.Zone{{Name: "pos-a", Region: "pos"}},
		Links:    []estate.Link{{From: "pos", To: "sfo", MaxInFlight: 10}},
		Services: []estate.Service{{Name: "casework", Backends: []estate.Backend{{Name: "b1", Zone: "pos-a", Slots: 4}}}},
	}
	w := newWatcher(e, []entrySpec{{id: "e1"}, {id: "e2"}})
	link := operator.LinkStatus{From: "pos", To: "sfo", InFlight: 6}
	w.status = map[string]operator.Status{
		"e1": {Version: 2, InForceSince: time.Unix(5, 0), Links: []operator.LinkStatus{link}},
		"e2": {Version: 1, Links: []operator.LinkStatus{link}},
	}
	w.load = map[string]backend.Load{"b1": {Busy: 3}}
	w.observeLinks()
	w.observeRegions()
	_, ok := w.inForce(2)
	require.False(t, ok, "one instance has it, the other not")

	r := &Report{
		Estate: "caroni", Processes: 3, Took: 2 * time.Second,
		Load: &bench.Result{Ops: []bench.OpResult{{
			Service: "casework", Op: "booking", Ends: map[bench.End]int{bench.Done: 5, bench.Unknown: 1}, Resent: 2,
			Done: bench.Quantiles{Count: 5, P50: 40 * time.Millisecond, P99: time.Second, Max: 1500 * time.Millisecond},
		}}},
		Violations: []bench.Violation{{Fault: bench.Doubled, Record: bench.Record{Service: "casework", Op: "booking", Token: "t", Key: "k", End: bench.Done}, Detail: "run 2 times"}},
		Measures:   []Measure{{Name: "drain", Took: 2500 * time.Millisecond, Limit: 20 * time.Second}, {Name: "stop", Limit: time.Second}},
		Links:      []LinkUse{{Name: "pos to sfo", Requests: 9, MaxInFlight: 10, MostInFlight: 3, MaxRate: 60, MostStarted: 7}},
		Broken:     []string{"a cap"},
	}
	r.Headrooms, r.Samples = w.headrooms()
	var out strings.Builder
	r.Print(&out)
	want, err := os.ReadFile("testdata/report.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
	require.True(t, r.Failed())
	require.False(t, (&Report{}).Failed())
}
