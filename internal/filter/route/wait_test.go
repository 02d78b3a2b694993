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

// laterSlots has a free slot from a time on.
type laterSlots struct{ from time.Time }

func (s laterSlots) Free(string) (free, all int) {
	if time.Now().Before(s.from) {
		return 0, 1
	}
	return 1, 1
}

// allLinks never is full.
type allLinks struct{}

func (allLinks) Acquire(string) (release func(), ok bool) { return func() {}, true }

const testMean = 100 * time.Millisecond

// attemptWith makes an attempt at an instance that stands alone and whose slot
// comes free after a time.
func attemptWith(ctx context.Context, free time.Duration, stage filter.Stage) (took time.Duration, err error) {
	s := testSearch(Steered{}, slots{}, 0)
	s.Slots, s.Links = laterSlots{time.Now().Add(free)}, allLinks{}
	s.Metrics, s.Recorder = telemetry.NewMetrics(), trace.NewRecorder("a1", 1, nil)
	s.snap.Zones = s.snap.Zones[:1]
	s.r.Service.MeanTime, s.r.Stage = testMean, stage
	s.own = filter.HandlerFunc(func(context.Context, *filter.Request) (*filter.Response, error) { return &filter.Response{}, nil })
	began := time.Now()
	_, err = s.attempt(ctx)
	return time.Since(began), err
}

func TestRequestWaitsForASlotButNotLongerThanOneTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, err := attemptWith(t.Context(), testMean/2, filter.StageEntry)
		require.NoError(t, err)
		require.GreaterOrEqual(t, took, testMean/2)
		require.Less(t, took, testMean)

		took, err = attemptWith(t.Context(), time.Hour, filter.StageEntry)
		require.Equal(t, outcome.KindNoCapacity, outcome.AsError(err).Kind)
		require.LessOrEqual(t, took, testMean)

		took, err = attemptWith(t.Context(), time.Hour, filter.StageZone)
		require.Equal(t, outcome.KindNoCapacity, outcome.AsError(err).Kind)
		require.Zero(t, took, "who sent it from another zone looks elsewhere")

		ctx, cancel := context.WithTimeout(t.Context(), testMean/20)
		defer cancel()
		took, err = attemptWith(ctx, time.Hour, filter.StageEntry)
		require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
		require.LessOrEqual(t, took, testMean/20)
	})
}

func TestRefusalOfTheLastPlaceNamesATimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSearch(Steered{}, slots{1, 1}, 0)
		s.Links, s.Metrics, s.Recorder = allLinks{}, telemetry.NewMetrics(), trace.NewRecorder("a1", 1, nil)
		s.snap.Zones = s.snap.Zones[:1]
		s.r.Service.MeanTime = testMean
		s.own = filter.HandlerFunc(func(context.Context, *filter.Request) (*filter.Response, error) {
			return nil, outcome.NotRunError(outcome.KindNoCapacity, 0, "the backend server refused the request")
		})
		_, err := s.attempt(t.Context())
		require.Positive(t, outcome.AsError(err).RetryAfter)
	})
}
