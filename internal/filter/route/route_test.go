package route

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/links"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/snapshot"
	"github.com/banyandeal/banyandeal/internal/telemetry"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// TestNoCapacityIsReportedImmediately: if no destination has capacity, the caller
// gets the error without a wait and without a retry, however short the error's
// RetryAfter is.
func TestNoCapacityIsReportedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snap := &snapshot.Snapshot{Self: snapshot.Instance{ID: "a1"}, Zone: "a", Region: "r"}
		linkCaps := links.New()
		linkCaps.Use("r", nil)
		f := Filter{
			Policy: Steered{}, Snapshot: func() *snapshot.Snapshot { return snap }, Slots: slots{1, 1}, Links: linkCaps,
			RetryBudgets: NewRetryBudgets(), PeerObservations: NewPeerObservations(), Metrics: telemetry.NewMetrics(), Recorder: trace.NewRecorder("a1", 16, nil),
		}
		calls := 0
		h := f.Wrap(filter.HandlerFunc(func(context.Context, *filter.Request) (*filter.Response, error) {
			calls++
			return nil, outcome.NotRunError(outcome.KindNoCapacity, 200*time.Millisecond, "full")
		}))
		start := time.Now()
		_, err := h.Serve(t.Context(), &filter.Request{
			Service:  &estate.Service{Name: testService, Retry: estate.RetryPolicy{MaxAttempts: 3, BudgetShare: 0.1}},
			Deadline: start.Add(time.Minute), Idempotent: true,
		})
		e := outcome.AsError(err)
		require.Equal(t, outcome.NotRun, e.Outcome)
		require.Equal(t, outcome.KindNoCapacity, e.Kind)
		require.Equal(t, 200*time.Millisecond, e.RetryAfter)
		require.Zero(t, time.Since(start))
		require.Equal(t, 1, calls)
	})
}
