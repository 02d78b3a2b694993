package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvacuationBindsInTime guards against a check that does not see requests in an evacuated
// zone, or reports those that the rule allows.
func TestEvacuationBindsInTime(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	e := &environment{evacuations: []*evacuation{{zone: "east-a", from: at(10), to: at(25)}, {zone: "west-a", from: at(10)}}}
	binds := func(zone string, seconds float64) bool { return e.evacuationInForce(zone, at(seconds)) != nil }
	require.False(t, binds("east-a", 14.9))
	require.True(t, binds("east-a", 15.1))
	require.True(t, binds("east-a", 24.9))
	require.False(t, binds("east-a", 25.1), "taken back")
	require.True(t, binds("west-a", 60), "not taken back")
	require.False(t, binds("east-b", 20))

	e.unstable = []*span{{from: at(16), to: at(18)}}
	require.True(t, binds("east-a", 15.1), "the store was stable while it had to be in force")
	e.unstable = []*span{{from: at(5), to: at(7)}}
	require.False(t, binds("east-a", 20.9))
	require.True(t, binds("east-a", 21.1))
}
