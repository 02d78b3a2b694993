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

// TestReadsArePaced holds that failures back off, that success waits for the
// poll period, and that news of a version cuts the wait short.
func TestReadsArePaced(t *testing.T) {
	r, now := start()
	var waits []time.Duration
	for range 8 {
		read, _ := r.Next(now)
		require.True(t, read)
		read, _ = r.Next(now)
		require.False(t, read, "one read at a time")
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
	require.False(t, read, "known already")
	r.Hint(now, 4)
	read, _ = r.Next(now)
	require.True(t, read)
}

// TestLostReply walks through the settling of a write whose reply was lost.
func TestLostReply(t *testing.T) {
	r, now := start()
	require.False(t, r.CanWrite(), "the row is not known")
	r.Next(now)
	r.Observe(now, row(3), poll)
	id := r.Propose([]byte("{}"))
	_, w := r.Next(now)
	require.Equal(t, id, w.ID)
	r.Failed(now, id)
	_, w = r.Next(now)
	require.Nil(t, w, "it is read back first")
	now = r.readAt
	read, _ := r.Next(now)
	require.True(t, read)
	require.False(t, r.Observe(now, row(2), poll), "a stale read")
	require.False(t, r.Observe(now, row(3), poll))
	require.False(t, r.CanWrite())
	_, w = r.Next(now)
	require.Equal(t, id, w.ID, "the same write again")
	r.Replied(now, id, platform.TxnReply{Rows: []platform.Row{row(5)}}, poll)
	require.True(t, r.CanWrite(), "it can take effect no more")
	require.NotEqual(t, id, r.Propose(nil))
}

// TestLostRow holds that a row that went back is neither written in a loop nor
// believed.
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
