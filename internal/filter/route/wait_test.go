package route

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/telemetry"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// delayedSlots implements Slots with one slot, which is free from freeAt on.
type delayedSlots struct{ freeAt time.Time }

func (s delayedSlots) Free(string) (free, all int) {
	if time.Now().Before(s.freeAt) {
		return 0, 1
	}
	return 1, 1
}

// unlimitedLinks implements Links without caps.
type unlimitedLinks struct{}

func (unlimitedLinks) Acquire(string) (release func(), ok bool) { return func() {}, true }

const testMeanTime = 100 * time.Millisecond

// timeAttempt makes an attempt at an instance whose only slot becomes free after
// slotDelay and that has no other destination, and returns how long it took.
func timeAttempt(ctx context.Context, slotDelay time.Duration, stage filter.Stage) (elapsed time.Duration, err error) {
	s := testSearch(Steered{}, slots{}, 0)
	s.Slots, s.Links = delayedSlots{time.Now().Add(slotDelay)}, unlimitedLinks{}
	s.Metrics, s.Recorder = telemetry.NewMetrics(), trace.NewRecorder("a1", 1, nil)
	s.snap.Zones = s.snap.Zones[:1]
	s.request.Service.MeanTime, s.request.Stage = testMeanTime, stage
	s.ownHandler = filter.HandlerFunc(func(context.Context, *filter.Request) (*filter.Response, error) { return &filter.Response{}, nil })
	start := time.Now()
	_, err = s.attempt(ctx)
	return time.Since(start), err
}

func TestRequestWaitsForSlotAtMostMeanTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		elapsed, err := timeAttempt(t.Context(), testMeanTime/2, filter.StageEntry)
		require.NoError(t, err)
		require.GreaterOrEqual(t, elapsed, testMeanTime/2)
		require.Less(t, elapsed, testMeanTime)

		elapsed, err = timeAttempt(t.Context(), time.Hour, filter.StageEntry)
		require.Equal(t, outcome.KindNoCapacity, outcome.AsError(err).Kind)
		require.LessOrEqual(t, elapsed, testMeanTime)

		elapsed, err = timeAttempt(t.Context(), time.Hour, filter.StageZone)
		require.Equal(t, outcome.KindNoCapacity, outcome.AsError(err).Kind)
		require.Zero(t, elapsed, "the sender in another zone tries other destinations")

		ctx, cancel := context.WithTimeout(t.Context(), testMeanTime/20)
		defer cancel()
		elapsed, err = timeAttempt(ctx, time.Hour, filter.StageEntry)
		require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
		require.LessOrEqual(t, elapsed, testMeanTime/20)
	})
}

func TestLastRejectionHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSearch(Steered{}, slots{1, 1}, 0)
		s.Links, s.Metrics, s.Recorder = unlimitedLinks{}, telemetry.NewMetrics(), trace.NewRecorder("a1", 1, nil)
		s.snap.Zones = s.snap.Zones[:1]
		s.request.Service.MeanTime = testMeanTime
		s.ownHandler = filter.HandlerFunc(func(context.Context, *filter.Request) (*filter.Response, error) {
			return nil, outcome.NotRunError(outcome.KindNoCapacity, 0, "the backend server rejected the request")
		})
		_, err := s.attempt(t.Context())
		require.Positive(t, outcome.AsError(err).RetryAfter)
	})
}
