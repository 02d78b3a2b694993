package presence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSuspects checks that only the reader suspects instances, only after the
// silence timeout, and that a new reader gives every instance that time to
// contact it.
func TestSuspects(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := New()
	both := []string{"a", "b"}
	require.Empty(t, tracker.Suspects(both, false, start.Add(time.Hour)))
	now := start.Add(2 * time.Hour)
	require.Empty(t, tracker.Suspects(both, true, now))
	tracker.RecordContact("a", now.Add(silenceTimeout))
	require.Equal(t, []string{"b"}, tracker.Suspects(both, true, now.Add(silenceTimeout+1)))
	require.Empty(t, tracker.Suspects(both, false, now.Add(silenceTimeout+1)))
	require.Empty(t, tracker.Suspects(both, true, now.Add(silenceTimeout+2)))
}
