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

// TestNoRoomIsAnsweredAtOnce: a caller that no place has room for is not held,
// however short the time is after which it may come back.
func TestNoRoomIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snap := &snapshot.Snapshot{Self: snapshot.Instance{ID: "a1"}, Zone: "a", Region: "r"}
		gate := links.New()
		gate.SetMachine("r", nil)
		f := Filter{
			Policy: Steered{}, Snapshot: func() *snapshot.Snapshot { return snap }, Slots: slots{1, 1}, Links: gate,
			Budgets: NewBudgets(), Outbox: NewOutbox(), Metrics: telemetry.NewMetrics(), Recorder: trace.NewRecorder("a1", 16, nil),
		}
		asked := 0
		h := f.Wrap(filter.HandlerFunc(func(context.Context, *filter.Request) (*filter.Answer, error) {
			asked++
			return nil, outcome.NotRunError(outcome.KindNoCapacity, 200*time.Millisecond, "full")
		}))
		began := time.Now()
		_, err := h.Serve(t.Context(), &filter.Request{
			Service:  &estate.Service{Name: testService, Retry: estate.RetryPolicy{MaxAttempts: 3, BudgetShare: 0.1}},
			Deadline: began.Add(time.Minute), Idempotent: true,
		})
		e := outcome.AsError(err)
		require.Equal(t, outcome.NotRun, e.Outcome)
		require.Equal(t, outcome.KindNoCapacity, e.Kind)
		require.Equal(t, 200*time.Millisecond, e.RetryAfter)
		require.Zero(t, time.Since(began))
		require.Equal(t, 1, asked)
	})
}
