package storeclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClockZero guards against instances whose shared clocks differ because a response was
// held up, and against a clock that stays wrong after the store's clock was set back or this
// machine was suspended.
func TestClockZero(t *testing.T) {
	zero := time.Unix(1000, 0)
	at := func(seconds float64, delay time.Duration) time.Time {
		return zero.Add(time.Duration(seconds*float64(time.Second)) + delay)
	}
	var c Estimator
	require.True(t, c.Zero().IsZero())
	c.Observe(0, at(1, 0))
	require.True(t, c.Zero().IsZero())
	c.Observe(10, at(10, 1900*time.Millisecond))
	c.Observe(11, at(11, 4*time.Millisecond))
	c.Observe(12, at(12, 30*time.Millisecond))
	for n := range clockJumpResponses - 1 {
		c.Observe(13+float64(n), at(13+float64(n), 1500*time.Millisecond))
	}
	require.Equal(t, zero.Add(4*time.Millisecond), c.Zero())

	c.Observe(16, at(16, 10*time.Millisecond))

	// The store's clock begins again from 0 at second 20.
	for n := range clockJumpResponses {
		c.Observe(1+float64(n), at(21+float64(n), time.Duration(10-n)*time.Millisecond))
	}
	require.Equal(t, zero.Add(20*time.Second+7*time.Millisecond), c.Zero())

	// While this machine is suspended for 5 s, its own clock stands.
	c.Observe(30, at(45, 0))
	require.Equal(t, zero.Add(15*time.Second), c.Zero())
}
