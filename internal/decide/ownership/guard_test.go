package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// giverWorld returns a world in which a owns s00 and has begun to hand it over
// to b.
func giverWorld(t *testing.T) (w *world, a, b *node) {
	t.Helper()
	w = newWorld(1)
	a = w.start("a")
	w.run(time.Second, compareStep)
	require.True(t, a.open["s00"])
	b = w.start("b")
	w.believe(a, b, membership.Live)
	a.m.Leave(w.now)
	return w, a, b
}

// TestNoResumeWhileWritePending holds that a giver whose write may still take
// effect does not go on, also when the receiver is no longer wanted.
func TestNoResumeWhileWritePending(t *testing.T) {
	w, a, b := giverWorld(t)
	r := a.m.Ready()
	require.Len(t, r.Stops, 1)
	a.m.Drained(w.now, "s00", r.Stops[0].Attempt)
	r = a.m.Ready()
	require.NotNil(t, r.Write, "the row is given")
	a.m.SetView(w.now, membership.ZoneView{Instances: []membership.Instance{a.Instance, suspect(b.Instance)}})
	require.Empty(t, a.m.Ready().Starts, "the write may still take effect")
	a.m.WriteFailed(w.now, r.Write.ID)
	require.Empty(t, a.m.Ready().Starts, "the write may have taken effect")

	// The row as before shows only that the write has not taken effect yet.
	before := w.table.Read(RowPrefix + testZone)
	require.NoError(t, a.m.Row(w.now, before))
	again := a.m.Ready()
	require.Empty(t, again.Starts)
	require.Equal(t, r.Write.ID, again.Write.ID, "the same write is sent again")

	// Another's write makes it void.
	after := before
	after.Version++
	require.NoError(t, a.m.Row(w.now, after))
	starts := a.m.Ready().Starts
	require.Len(t, starts, 1)
	require.True(t, starts[0].Resumed)
}

// TestDrainedOfEarlierStop holds that the answer to a Stop that was taken back
// does not count for the next one.
func TestDrainedOfEarlierStop(t *testing.T) {
	w, a, b := giverWorld(t)
	first := a.m.Ready().Stops[0].Attempt
	live := membership.ZoneView{Instances: []membership.Instance{a.Instance, b.Instance}}
	a.m.SetView(w.now, membership.ZoneView{Instances: []membership.Instance{a.Instance, suspect(b.Instance)}})
	require.Len(t, a.m.Ready().Starts, 1)
	a.m.SetView(w.now, live)
	second := a.m.Ready().Stops[0].Attempt
	a.m.Drained(w.now, "s00", first)
	require.Nil(t, a.m.Ready().Write, "work may have started since")
	a.m.Drained(w.now, "s00", second)
	require.NotNil(t, a.m.Ready().Write)
}

// TestStaleRead holds that an old version of the row starts nothing.
func TestStaleRead(t *testing.T) {
	w, a, b := giverWorld(t)
	old := w.table.Read(RowPrefix + testZone)
	a.m.Drained(w.now, "s00", a.m.Ready().Stops[0].Attempt)
	w.write(a, *a.m.Ready().Write, false)
	w.run(time.Second, compareStep)
	require.True(t, b.open["s00"])
	require.NoError(t, a.m.Row(w.now, old))
	require.Empty(t, a.m.Ready().Starts)
	require.False(t, a.m.Holds("s00"))
}

// TestBrokenRow holds that a row that cannot be decoded is neither obeyed nor
// written over.
func TestBrokenRow(t *testing.T) {
	w := newWorld(1)
	a := w.start("a")
	w.run(time.Second, compareStep)
	row := w.table.Read(RowPrefix + testZone)
	row.Version++
	row.Value = []byte(`{"assignments":7}`)
	require.ErrorContains(t, a.m.Row(w.now, row), "restore it")
	b := w.start("b")
	w.believe(a, b, membership.Live)
	a.m.Leave(w.now)
	r := a.m.Ready()
	a.m.Drained(w.now, "s00", r.Stops[0].Attempt)
	require.Nil(t, a.m.Ready().Write)
	require.Empty(t, r.Lost)
}

// TestRetryIsOneWrite holds that a write sent twice takes effect once.
func TestRetryIsOneWrite(t *testing.T) {
	w, a, b := giverWorld(t)
	a.m.Drained(w.now, "s00", a.m.Ready().Stops[0].Attempt)
	txn := *a.m.Ready().Write
	require.True(t, w.table.Apply(txn).Committed)
	reply := w.table.Apply(txn)
	require.Equal(t, platform.TxnReply{Rows: []platform.Row{w.table.Read(RowPrefix + testZone)}}, reply)
	require.NoError(t, a.m.Written(w.now, txn.ID, reply))
	require.Equal(t, []string{"s00"}, a.m.Ready().Gave)
	owner, _ := a.m.OwnerOf("s00")
	require.Equal(t, b.Identity, owner.Owner)
}

func suspect(in membership.Instance) membership.Instance {
	in.State = membership.Suspect
	return in
}
