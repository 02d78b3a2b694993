package testbed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

func TestLinkUseByRuns(t *testing.T) {
	region := map[string]string{"e-pos": "pos", "e-sfo": "sfo", "b-sfo": "sfo"}
	var records []bench.Record
	var runs []backend.Run
	add := func(entry string, end bench.End, from, to time.Duration) {
		run := backend.Run{
			Backend: "b-sfo", Number: uint64(len(runs)) + 1,
			Started: time.Unix(0, 0).Add(from), Ended: time.Unix(0, 0).Add(to),
		}
		runs = append(runs, run)
		records = append(records, bench.Record{Entry: entry, End: end, Answer: backend.Answer{Backend: "b-sfo", Run: run.Number}})
	}
	add("e-pos", bench.Done, 1500*time.Millisecond, 3*time.Second)
	add("e-pos", bench.Done, 0, 2*time.Second)
	add("e-pos", bench.Done, 2*time.Second, 4*time.Second)
	add("e-pos", bench.Unknown, 0, 9*time.Second)
	add("e-sfo", bench.Done, 0, 9*time.Second)

	on := crossings(records, runs, region)
	require.Len(t, on, 1, "what enters in the region of its run crosses no link")
	link := on[linkName{"pos", "sfo"}]
	require.Len(t, link, 3)
	require.Equal(t, 2, mostInFlight(link), "one ends as the next starts")
	require.Equal(t, 2, mostStarted(link, time.Second))
	require.Equal(t, 1, mostStarted(link, 500*time.Millisecond))
}
