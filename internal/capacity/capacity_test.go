package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	l := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 3, l.Base, 1e-9)
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 1, l.R2, 1e-9)
	require.InDelta(t, 23, l.At(10), 1e-9)
	require.InDelta(t, 0.75, Fit([]Point{{0, 0}, {1, 1}, {2, 1}}).R2, 1e-9)
	require.Equal(t, Line{Base: 3, R2: 1}, Fit([]Point{{1, 3}, {1, 3}}), "one size has no slope")
}

func TestAtTargetTellsMeasuredFromComputed(t *testing.T) {
	s := Series{Points: []Point{{1, 5}, {2, 7}, {4, 12}}, Target: 4}
	v, measured := s.AtTarget()
	require.True(t, measured)
	require.Equal(t, 12.0, v)
	s.Target = 8
	_, measured = s.AtTarget()
	require.False(t, measured)
}

// TestRefreshFindsItsWayBack holds that every way to refresh state gets two
// sets equal again, at a size that tells them apart.
func TestRefreshFindsItsWayBack(t *testing.T) {
	for _, p := range RefreshPolicies {
		c := refreshCost(p, manyStates(1000))
		require.NotZero(t, c.Lost.Exchanges, p.Name)
		require.NotZero(t, c.Restart.Exchanges, p.Name)
	}
}

// TestMeasuredAtRest holds that the machines whose ticks are measured have
// nothing to write, so that no tick is one of a change.
func TestMeasuredAtRest(t *testing.T) {
	for _, after := range []time.Duration{0, time.Minute} {
		owners, links := newOwnership(100), newLinks(100)
		owners.Tick(start.Add(after))
		links.Tick(start.Add(after))
		require.Nil(t, owners.Ready().Write)
		require.Nil(t, links.Ready().Write)
	}
}
