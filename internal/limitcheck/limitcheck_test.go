package limitcheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMost checks that the span may begin at any time, that both of its ends belong to it,
// and that the order of the times does not matter.
func TestMost(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	require.Zero(t, Most(nil, time.Second))
	times := []time.Time{at(2600), at(0), at(900), at(1900), at(1500), at(1000)}
	require.Equal(t, 4, Most(times, time.Second))
	require.Equal(t, at(2600), times[0])
}

// TestAllowed checks the figures that the users' rule gives as examples.
func TestAllowed(t *testing.T) {
	require.Equal(t, 26, Allowed(3.5))
	require.Equal(t, 11, Allowed(1))
	require.Equal(t, 5, Allowed(0))
}
