package ownership

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// newWorldDuringHandover returns a world in which a owns s00 and has started to
// hand it over to b.
func newWorldDuringHandover(t *testing.T) (w *world, a, b *node) {
	t.Helper()
	w = newWorld(1)
	a = w.Start("a")
	w.Run(time.Second, compareStep, false)
	require.True(t, a.State.open["s00"])
	b = w.Start("b")
	w.SetPeerState(a, b, membership.Live)
	a.M.Leave(w.Now)
	return w, a, b
}

// TestNoResumeWhileWritePending checks that an instance whose handover write
// may still take effect does not resume, even when the receiver is no longer
// eligible. Otherwise both could use the backend server.
func TestNoResumeWhileWritePending(t *testing.T) {
	w, a, b := newWorldDuringHandover(t)
	r := a.M.Ready()
	require.Len(t, r.Stops, 1)
	a.M.Drained(w.Now, "s00", r.Stops[0].Attempt)
	r = a.M.Ready()
	require.NotNil(t, r.Write, "the handover must be written")
	a.M.SetView(w.Now, membership.ZoneView{Instances: []membership.Instance{a.Instance, suspect(b.Instance)}})
	require.Empty(t, a.M.Ready().Starts, "the write may still take effect")
	a.M.WriteFailed(w.Now, r.Write.ID)
	require.Empty(t, a.M.Ready().Starts, "the write may have taken effect")

	// The unchanged row shows only that the write has not taken effect yet.
	before := w.Table.Read(RowPrefix + testZone)
	require.NoError(t, a.M.Row(w.Now, before))
	again := a.M.Ready()
	require.Empty(t, again.Starts)
	require.Equal(t, r.Write.ID, again.Write.ID, "the same write must be sent again")

	// A write by another instance means that this one can no longer take
	// effect.
	after := before
	after.Version++
	require.NoError(t, a.M.Row(w.Now, after))
	starts := a.M.Ready().Starts
	require.Len(t, starts, 1)
	require.True(t, starts[0].Resumed)
}

// TestDrainedForEarlierStopIsIgnored checks that the answer to a Stop that was
// revoked does not count for the next Stop, because requests may have started
// in between.
func TestDrainedForEarlierStopIsIgnored(t *testing.T) {
	w, a, b := newWorldDuringHandover(t)
	first := a.M.Ready().Stops[0].Attempt
	live := membership.ZoneView{Instances: []membership.Instance{a.Instance, b.Instance}}
	a.M.SetView(w.Now, membership.ZoneView{Instances: []membership.Instance{a.Instance, suspect(b.Instance)}})
	require.Len(t, a.M.Ready().Starts, 1)
	a.M.SetView(w.Now, live)
	second := a.M.Ready().Stops[0].Attempt
	a.M.Drained(w.Now, "s00", first)
	require.Nil(t, a.M.Ready().Write, "requests may have started since the first Stop")
	a.M.Drained(w.Now, "s00", second)
	require.NotNil(t, a.M.Ready().Write)
}

// TestStaleReadStartsNothing checks that an old version of the row, which still
// names this instance as the owner, starts nothing.
func TestStaleReadStartsNothing(t *testing.T) {
	w, a, b := newWorldDuringHandover(t)
	old := w.Table.Read(RowPrefix + testZone)
	a.M.Drained(w.Now, "s00", a.M.Ready().Stops[0].Attempt)
	w.Write(a, *a.M.Ready().Write)
	w.Run(time.Second, compareStep, false)
	require.True(t, b.State.open["s00"])
	require.NoError(t, a.M.Row(w.Now, old))
	require.Empty(t, a.M.Ready().Starts)
	require.False(t, a.M.MayHaveInFlight("s00"))
}

// TestUndecodableRowIsNotOverwritten checks that a row that cannot be decoded
// is neither applied nor overwritten.
func TestUndecodableRowIsNotOverwritten(t *testing.T) {
	w := newWorld(1)
	a := w.Start("a")
	w.Run(time.Second, compareStep, false)
	row := w.Table.Read(RowPrefix + testZone)
	row.Version++
	row.Value = []byte(`{"assignments":7}`)
	require.ErrorContains(t, a.M.Row(w.Now, row), "restore it")
	b := w.Start("b")
	w.SetPeerState(a, b, membership.Live)
	a.M.Leave(w.Now)
	r := a.M.Ready()
	a.M.Drained(w.Now, "s00", r.Stops[0].Attempt)
	require.Nil(t, a.M.Ready().Write)
	require.Empty(t, r.Lost)
}

// TestRetriedWriteAppliesOnce checks that a write that is sent twice takes
// effect once and counts as a handover.
func TestRetriedWriteAppliesOnce(t *testing.T) {
	w, a, b := newWorldDuringHandover(t)
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

// TestTakeoverBeforeConfiguration checks that an instance that owns a backend
// server before it has a configuration starts to use it only once it has one.
// Only the configuration says how long requests of the dead owner may continue
// to run.
func TestTakeoverBeforeConfiguration(t *testing.T) {
	self := membership.Identity{ID: "a", Incarnation: 2}
	now := time.Unix(0, 0)
	m := New(Config{Self: self, Zone: "z"}, now)
	table, err := json.Marshal(RowValue{Assignments: []Assignment{{Backend: "s", Owner: self, Epoch: 2, Inherited: true}}})
	require.NoError(t, err)
	require.NoError(t, m.Row(now, platform.Row{Name: RowPrefix + "z", Version: 1, Value: table}))
	require.Empty(t, m.Ready().Starts)
	m.SetBackends(now, []Backend{{Name: "s", Slots: 1, Deadline: 2 * time.Second}})
	require.Equal(t, []Start{{Backend: "s", Epoch: 2, OccupiedUntil: now.Add(2 * time.Second)}}, m.Ready().Starts)
}
