package presence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSuspects: only the reader suspects, only after the silence, and a new
// reader gives everyone the time to find it.
func TestSuspects(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := New()
	both := []string{"a", "b"}
	require.Empty(t, tracker.Suspects(both, false, start.Add(time.Hour)))
	now := start.Add(2 * time.Hour)
	require.Empty(t, tracker.Suspects(both, true, now))
	tracker.RecordContact("a", now.Add(silence))
	require.Equal(t, []string{"b"}, tracker.Suspects(both, true, now.Add(silence+1)))
	require.Empty(t, tracker.Suspects(both, false, now.Add(silence+1)))
	require.Empty(t, tracker.Suspects(both, true, now.Add(silence+2)))
}
