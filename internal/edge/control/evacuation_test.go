package control

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// TestHeldEvacuationSurvivesWholeReads guards against an evacuation that the operator has not
// taken back and that ends at the second whole read after the store came back from an older
// copy, before the operator could write it again (rule EVAC).
func TestHeldEvacuationSurvivesWholeReads(t *testing.T) {
	now := time.Now()
	s := newState()
	s.apply(Update{Kind: KindOperator, Full: true, Evacuated: map[string]bool{"z": true}}, now)
	s.apply(Update{Kind: KindOperator, Full: true, NewEra: true}, now)
	require.True(t, s.evacuated["z"])
	for n := range 5 {
		at := now.Add(time.Duration(n+1) * 50 * time.Millisecond)
		s.apply(Update{Kind: KindOperator, Full: true}, at)
		require.True(t, s.evacuated["z"], "whole read %d", n)
	}
	require.False(t, s.expireEvacuations(now.Add(evacuationHold-time.Millisecond)))
	require.True(t, s.evacuated["z"])
	require.True(t, s.expireEvacuations(now.Add(evacuationHold)), "whole reads do not make it last longer")
	require.Empty(t, s.evacuated)
}

// TestHeldEvacuationOutlastsReadsThatAreBehind guards against an evacuation that the operator has
// written again and that ends with its hold, because the reads of the instance have failed or were
// behind all the time (rule EVAC).
func TestHeldEvacuationOutlastsReadsThatAreBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var readAt atomic.Pointer[time.Time]
		now := time.Now()
		readAt.Store(&now)
		c := New(nil, func() time.Time { return *readAt.Load() }, zerolog.Nop())
		go c.Run(t.Context())
		c.Push(t.Context(), Update{Kind: KindOperator, Full: true, Evacuated: map[string]bool{"z": true}})
		c.Push(t.Context(), Update{Kind: KindOperator, Full: true, NewEra: true})
		time.Sleep(10 * evacuationHold)
		require.True(t, c.View().Evacuated["z"])
		later := time.Now()
		readAt.Store(&later)
		time.Sleep(2 * missingCheckInterval)
		require.False(t, c.View().Evacuated["z"], "it was read later and is missing")
	})
}

// TestSecondWholeReadBringsNothingBack guards against a backend server that leaves and gets
// requests again by the second whole read of a store that came back from an older copy, since
// only the first one was compared with what was known before (rule DRAIN).
func TestSecondWholeReadBringsNothingBack(t *testing.T) {
	now := time.Now()
	s := newState()
	older := backends(backend("leaves", 1, false), backend("gone", 3, false), backend("stays", 2, false))
	s.apply(Update{Kind: KindBackends, Full: true, Backends: older}, now)
	s.apply(Update{Kind: KindBackends, Backends: map[string]*traffic.Backend{"leaves": backend("leaves", 5, true), "gone": nil}}, now)
	s.apply(Update{Kind: KindBackends, Full: true, NewEra: true, Backends: older}, now)
	require.Equal(t, []string{"stays"}, usable(s))
	s.apply(Update{Kind: KindBackends, Full: true, Backends: older}, now.Add(50*time.Millisecond))
	require.Equal(t, []string{"stays"}, usable(s))

	// An incarnation that starts its counts anew is in use once there was time to write.
	s.apply(Update{Kind: KindBackends, Full: true, Backends: backends(backend("stays", 1, false))}, now.Add(reregistrationWindow))
	require.Equal(t, []string{"stays"}, usable(s))
	require.Equal(t, int64(1), s.backends["stays"].Seq)
}
