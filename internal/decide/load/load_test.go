package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var policy = Policy{FreshAge: time.Second, StaleAge: 5 * time.Second, AssumedUtilisation: 700, RefusalHold: time.Second}

func TestBusy(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		age  time.Duration
		busy MilliSlots
		ev   Observation
		want MilliSlots
	}{
		{"fresh", time.Second, 2000, Observation{}, 2000},
		{"half of the weight", 3 * time.Second, 2000, Observation{}, 4500},
		{"a stale report of idle counts at the assumed utilisation", time.Hour, 0, Observation{}, 7000},
		{"a stale report of full counts at the assumed utilisation", time.Hour, 10000, Observation{}, 7000},
		{"dated in the future", -time.Hour, 0, Observation{}, 7000},
		{"requests sent since the report count", 0, 2000, Observation{SentSinceReport: 3}, 5000},
		{"a recent refusal overrides a report of idle", 0, 0, Observation{Refused: at.Add(-time.Millisecond)}, 10000},
		{"a refusal expires", 0, 0, Observation{Refused: at.Add(-time.Second)}, 0},
		{"a report of more busy slots than there are", 0, 99000, Observation{}, 10000},
	} {
		got := policy.Busy(at, 10, Report{Busy: c.busy, Slots: 10, At: at.Add(-c.age)}, c.ev)
		require.Equal(t, c.want, got, c.name)
	}
	require.Equal(t, MilliSlots(7000), policy.Busy(at, 10, Report{}, Observation{}), "no report")
	require.True(t, policy.Expired(at, Report{}))
}

// TestEstimateConvergesToAssumedUtilisation checks that an estimate stays between
// the report and the assumed utilisation, and approaches the latter, as the report
// ages.
func TestEstimateConvergesToAssumedUtilisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		r := Report{Busy: MilliSlots(rapid.IntRange(-1000, 20000).Draw(t, "busy")), Slots: 10, At: at}
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		assumed := MilliSlots(slots) * Slot * 7 / 10
		last := policy.Busy(at, slots, r, Observation{})
		for age := time.Duration(0); age < 6*time.Second; age += 100 * time.Millisecond {
			b := policy.Busy(at.Add(age), slots, r, Observation{})
			require.LessOrEqual(t, (b - assumed).abs(), (last - assumed).abs())
			last = b
		}
		require.Equal(t, assumed, last)
	})
}

func (m MilliSlots) abs() MilliSlots { return max(m, -m) }
