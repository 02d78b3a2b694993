package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var policy = Policy{Fresh: time.Second, Stale: 5 * time.Second, Share: 700, RefusalHold: time.Second}

func TestBusy(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		age  time.Duration
		busy Milli
		ev   Evidence
		want Milli
	}{
		{"fresh", time.Second, 2000, Evidence{}, 2000},
		{"half believed", 3 * time.Second, 2000, Evidence{}, 4500},
		{"stale idle moves to the configured share, not to free", time.Hour, 0, Evidence{}, 7000},
		{"stale full moves to the configured share, not to empty", time.Hour, 10000, Evidence{}, 7000},
		{"from the future", -time.Hour, 0, Evidence{}, 7000},
		{"what was sent since counts", 0, 2000, Evidence{Sent: 3}, 5000},
		{"a refusal beats a report of idle", 0, 0, Evidence{Refused: at.Add(-time.Millisecond)}, 10000},
		{"a refusal is forgotten", 0, 0, Evidence{Refused: at.Add(-time.Second)}, 0},
		{"a report beyond its slots", 0, 99000, Evidence{}, 10000},
	} {
		got := policy.Busy(at, 10, Report{Busy: c.busy, Slots: 10, At: at.Add(-c.age)}, c.ev)
		require.Equal(t, c.want, got, c.name)
	}
	require.Equal(t, Milli(7000), policy.Busy(at, 10, Report{}, Evidence{}), "no report at all")
	require.True(t, policy.Blind(at, Report{}))
}

// TestAgeMovesTowardsTheShare checks that an estimate never leaves the range
// between the report and the configured share as the report ages.
func TestAgeMovesTowardsTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		r := Report{Busy: Milli(rapid.IntRange(-1000, 20000).Draw(t, "busy")), Slots: 10, At: at}
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		share := Milli(slots) * Slot * 7 / 10
		last := policy.Busy(at, slots, r, Evidence{})
		for age := time.Duration(0); age < 6*time.Second; age += 100 * time.Millisecond {
			b := policy.Busy(at.Add(age), slots, r, Evidence{})
			require.LessOrEqual(t, (b - share).abs(), (last - share).abs())
			last = b
		}
		require.Equal(t, share, last)
	})
}

func (m Milli) abs() Milli { return max(m, -m) }
