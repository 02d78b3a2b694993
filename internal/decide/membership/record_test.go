package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/refresh"
)

// TestRecordOrder checks that replicated records supersede one another in the same
// order as in Machine: a suspicion replaces the original record, a refutation
// replaces the suspicion, and a tombstone replaces every other record.
func TestRecordOrder(t *testing.T) {
	set := refresh.NewSet(refresh.Limits{})
	now := time.Unix(0, 0)
	in := Instance{Identity: Identity{"b", 7}, Zone: "z1", Caller: "c", Peer: "p", Sequence: 1}
	suspicion, refutation, gone := in, in, in
	suspicion.State = Suspect
	refutation.Sequence = 2
	gone.State, gone.Sequence = Gone, 2
	for _, want := range []Instance{in, suspicion, refutation, gone} {
		require.True(t, set.Put(now, want.Record()))
		r, ok := set.Get("b", RecordName)
		require.True(t, ok)
		got, err := FromRecord(r)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.False(t, set.Put(now, in.Record()))
	require.True(t, set.Put(now, gone.Tombstone()))
	_, ok := set.Get("b", RecordName)
	require.False(t, ok)
}

// FuzzFromRecord checks that FromRecord rejects an invalid record only with an
// error, never with a panic, and that an accepted instance is unchanged after
// encoding and decoding.
func FuzzFromRecord(f *testing.F) {
	f.Add("b", uint64(4), Instance{Zone: "z1", Caller: "c", Peer: "p"}.Record().Value)
	f.Add("b", uint64(1<<63), []byte{0x0a, 0xff})
	f.Add("", uint64(0), []byte{0x08, 0x01})
	f.Fuzz(func(t *testing.T, owner string, sequence uint64, value []byte) {
		in, err := FromRecord(refresh.Record{Owner: owner, Name: RecordName, Incarnation: 1, Sequence: sequence, Value: value})
		if err != nil {
			return
		}
		again, err := FromRecord(in.Record())
		require.NoError(t, err)
		require.Equal(t, in, again)
	})
}
