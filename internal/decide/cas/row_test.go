package cas

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/platform"
)

const poll = 10 * time.Second

func row(version uint64) platform.Row { return platform.Row{Name: "r", Version: version} }

func start() (*Row, time.Time) {
	now := time.Unix(0, 0)
	return NewRow("r", "a#1", now), now
}

// TestReadBackoffAndPolling checks that failed reads are retried with a growing
// delay, that a successful read is followed by the poll period, and that a hint
// of a newer version causes an immediate read.
func TestReadBackoffAndPolling(t *testing.T) {
	r, now := start()
	var waits []time.Duration
	for range 8 {
		read, _ := r.Next(now)
		require.True(t, read)
		read, _ = r.Next(now)
		require.False(t, read, "only one read may be in flight")
		r.ReadFailed(now)
		require.True(t, r.readAt.After(now))
		waits = append(waits, r.readAt.Sub(now))
		now = r.readAt
	}
	require.Less(t, waits[0], 2*minBackoff)
	require.Greater(t, waits[7], maxBackoff/3)
	require.LessOrEqual(t, waits[7], maxBackoff)
	r.Next(now)
	require.True(t, r.Observe(now, row(3), poll))
	require.GreaterOrEqual(t, r.readAt.Sub(now), poll/2)
	r.Hint(now, 3)
	read, _ := r.Next(now)
	require.False(t, read, "a hint of the current version must not cause a read")
	r.Hint(now, 4)
	read, _ = r.Next(now)
	require.True(t, read)
}

// TestLostReply checks that a write whose reply was lost is sent again until a
// read shows a newer version, and is dropped then.
func TestLostReply(t *testing.T) {
	r, now := start()
	require.False(t, r.CanWrite(), "no write is allowed before the first read")
	r.Next(now)
	r.Observe(now, row(3), poll)
	id := r.Propose([]byte("{}"))
	_, w := r.Next(now)
	require.Equal(t, id, w.ID)
	r.Failed(now, id)
	_, w = r.Next(now)
	require.Nil(t, w, "the row must be read before the write is sent again")
	now = r.readAt
	read, _ := r.Next(now)
	require.True(t, read)
	require.False(t, r.Observe(now, row(2), poll), "a stale read must be ignored")
	require.False(t, r.Observe(now, row(3), poll))
	require.False(t, r.CanWrite())
	_, w = r.Next(now)
	require.Equal(t, id, w.ID, "the same write must be sent again")
	r.Replied(now, id, platform.TxnReply{Rows: []platform.Row{row(5)}}, poll)
	require.True(t, r.CanWrite(), "the old write can no longer take effect")
	require.NotEqual(t, id, r.Propose(nil))
}

// TestLostRow checks the case of a row lost from the table, so that its version
// is lower than before: the write is not repeated in a loop, and the lower
// version is not adopted.
func TestLostRow(t *testing.T) {
	r, now := start()
	r.Next(now)
	r.Observe(now, row(3), poll)
	id := r.Propose([]byte("{}"))
	r.Next(now)
	r.Replied(now, id, platform.TxnReply{}, poll)
	read, w := r.Next(now)
	require.False(t, read)
	require.Nil(t, w)
	cur, _ := r.Current()
	require.Equal(t, uint64(3), cur.Version)
}
