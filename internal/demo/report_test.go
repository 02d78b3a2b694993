package demo

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

func TestReport(t *testing.T) {
	r := &Report{
		Estate: "caroni", Processes: 3, Took: 2 * time.Second,
		Load: &bench.Result{Ops: []bench.OpResult{{
			Service: "casework", Op: "booking", Outcomes: map[bench.End]int{bench.Done: 5, bench.Unknown: 1}, Retried: 2,
			Done: bench.Quantiles{Count: 5, P50: 40 * time.Millisecond, P99: time.Second, Max: 1500 * time.Millisecond},
		}}},
		Violations: []bench.Violation{{Fault: bench.Duplicated, Record: bench.Record{Service: "casework", Op: "booking", Token: "t", Key: "k", End: bench.Done}, Detail: "run 2 times"}},
		Measures:   []Measure{{Name: "drain", Took: 2500 * time.Millisecond, Limit: 20 * time.Second}, {Name: "stop", Limit: time.Second}},
		Links:      []testbed.LinkUse{{Name: "pos to sfo", Requests: 9, MaxInFlight: 10, MostInFlight: 3, MaxRate: 60, MostStarted: 7}},
		Broken:     []string{"a cap"},
	}
	r.Headrooms = []testbed.Headroom{{Name: "region pos, slots", Capacity: 4, Least: 1}, {Name: "link pos to sfo, in flight", Capacity: 10, Least: -2}}
	r.Samples = 0
	var out strings.Builder
	r.Print(&out)
	want, err := os.ReadFile("testdata/report.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
	require.True(t, r.Failed())
	require.False(t, (&Report{}).Failed())
}
