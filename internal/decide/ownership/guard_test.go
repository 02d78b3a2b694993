package ownership

import (
	"encoding/json"
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
	a = w.Start("a")
	w.Run(time.Second, compareStep, false)
	require.True(t, a.State.open["s00"])
	b = w.Start("b")
	w.Believe(a, b, membership.Live)
	a.M.Leave(w.Now)
	return w, a, b
}

// TestNoResumeWhileWritePending holds that a giver whose write may still take
// effect does not go on, also when the receiver is no longer wanted.
func TestNoResumeWhileWritePending(t *testing.T) {
	w, a, b := giverWorld(t)
	r := a.M.Ready()
	require.Len(t, r.Stops, 1)
	a.M.Drained(w.Now, "s00", r.Stops[0].Attempt)
	r = a.M.Ready()
	require.NotNil(t, r.Write, "the row is given")
	a.M.SetView(w.Now, membership.ZoneView{Instances: []membership.Instance{a.Instance, suspect(b.Instance)}})
	require.Empty(t, a.M.Ready().Starts, "the write may still take effect")
	a.M.WriteFailed(w.Now, r.Write.ID)
	require.Empty(t, a.M.Ready().Starts, "the write may have taken effect")

	// The row as before shows only that the write has not taken effect yet.
	before := w.Table.Read(RowPrefix + testZone)
	require.NoError(t, a.M.RowRead(w.Now, before))
	again := a.M.Ready()
	require.Empty(t, again.Starts)
	require.Equal(t, r.Write.ID, again.Write.ID, "the same write is sent again")

	// Another's write makes it void.
	after := before
	after.Version++
	require.NoError(t, a.M.RowRead(w.Now, after))
	starts := a.M.Ready().Starts
	require.Len(t, starts, 1)
	require.True(t, starts[0].Resumed)
}

// TestDrainedOfEarlierStop holds that the answer to a Stop that was taken back
// does not count for the next one.
func TestDrainedOfEarlierStop(t *testing.T) {
	w, a, b := giverWorld(t)
	first := a.M.Ready().Stops[0].Attempt
	live := membership.ZoneView{Instances: []membership.Instance{a.Instance, b.Instance}}
	a.M.SetView(w.Now, membership.ZoneView{Instances: []membership.Instance{a.Instance, suspect(b.Instance)}})
	require.Len(t, a.M.Ready().Starts, 1)
	a.M.SetView(w.Now, live)
	second := a.M.Ready().Stops[0].Attempt
	a.M.Drained(w.Now, "s00", first)
	require.Nil(t, a.M.Ready().Write, "work may have started since")
	a.M.Drained(w.Now, "s00", second)
	require.NotNil(t, a.M.Ready().Write)
}

// TestStaleRead holds that an old version of the row starts nothing.
func TestStaleRead(t *testing.T) {
	w, a, b := giverWorld(t)
	old := w.Table.Read(RowPrefix + testZone)
	a.M.Drained(w.Now, "s00", a.M.Ready().Stops[0].Attempt)
	w.Write(a, *a.M.Ready().Write)
	w.Run(time.Second, compareStep, false)
	require.True(t, b.State.open["s00"])
	require.NoError(t, a.M.RowRead(w.Now, old))
	require.Empty(t, a.M.Ready().Starts)
	require.False(t, a.M.MayHaveInFlight("s00"))
}

// TestBrokenRow holds that a row that cannot be decoded is neither obeyed nor
// written over.
func TestBrokenRow(t *testing.T) {
	w := newWorld(1)
	a := w.Start("a")
	w.Run(time.Second, compareStep, false)
	row := w.Table.Read(RowPrefix + testZone)
	row.Version++
	row.Value = []byte(`{"assignments":7}`)
	require.ErrorContains(t, a.M.RowRead(w.Now, row), "restore it")
	b := w.Start("b")
	w.Believe(a, b, membership.Live)
	a.M.Leave(w.Now)
	r := a.M.Ready()
	a.M.Drained(w.Now, "s00", r.Stops[0].Attempt)
	require.Nil(t, a.M.Ready().Write)
	require.Empty(t, r.Lost)
}

// TestRetryIsOneWrite holds that a write sent twice takes effect once.
func TestRetryIsOneWrite(t *testing.T) {
	w, a, b := giverWorld(t)
	a.M.Drained(w.Now, "s00", a.M.Ready().Stops[0].Attempt)
	txn := *a.M.Ready().Write
	require.True(t, w.Table.Apply(txn).Committed)
	reply := w.Table.Apply(txn)
	require.Equal(t, platform.TxnReply{Rows: []platform.Row{w.Table.Read(RowPrefix + testZone)}}, reply)
	require.NoError(t, a.M.WriteReplied(w.Now, txn.ID, reply))
	require.Equal(t, []string{"s00"}, a.M.Ready().HandedOver)
	owner, _ := a.M.OwnerOf("s00")
	require.Equal(t, b.Identity, owner.Owner)
}

func suspect(in membership.Instance) membership.Instance {
	in.State = membership.Suspect
	return in
}

// TestTakeoverBeforeConfiguration holds that an instance which owns a backend
// server before it has a configuration starts to use it only with one, since
// the configuration says how long the work of the dead owner may go on.
func TestTakeoverBeforeConfiguration(t *testing.T) {
	self := membership.Identity{ID: "a", Incarnation: 2}
	now := time.Unix(0, 0)
	m := New(Config{Self: self, Zone: "z"}, now)
	table, err := json.Marshal(RowValue{Assignments: []Assignment{{Backend: "s", Owner: self, Epoch: 2, Inherited: true}}})
	require.NoError(t, err)
	require.NoError(t, m.RowRead(now, platform.Row{Name: RowPrefix + "z", Version: 1, Value: table}))
	require.Empty(t, m.Ready().Starts)
	m.SetBackends(now, []Backend{{Name: "s", Slots: 1, Deadline: 2 * time.Second}})
	require.Equal(t, []Start{{Backend: "s", Epoch: 2, OccupiedUntil: now.Add(2 * time.Second)}}, m.Ready().Starts)
}
