package linkcap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// TestNoLendingOn holds that what a holder lends is backed by rights of its
// own, so that the loans can be settled when it dies between two others.
func TestNoLendingOn(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b, c := w.Start("a"), w.Start("b"), w.Start("c")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	move := func(from, to *node) {
		for range 8 {
			from.M.RightsRequested(w.Now, to.Identity, "sfo", Rights{12, 12})
			w.Obey(from)
			w.Run(100*time.Millisecond, 100*time.Millisecond, true)
			w.check(t)
		}
	}
	move(a, b)
	require.Equal(t, Rights{8, 8}, b.M.Usable("sfo"))
	move(b, c)
	require.Equal(t, Rights{8, 8}, c.M.Usable("sfo"), "four of its own and four of b's")
	require.Equal(t, Rights{4, 4}, b.M.Usable("sfo"), "borrowed of a")
	b.Alive = false
	for range 60 {
		w.Run(500*time.Millisecond, 500*time.Millisecond, true)
		w.check(t)
	}
	sum := a.M.Usable("sfo").add(c.M.Usable("sfo"))
	require.Equal(t, Rights{12, 12}, sum)
}

// TestTransferIsIdempotent holds that a transfer counts once, however often and
// in whatever order its messages arrive, and not after its sender's death.
func TestTransferIsIdempotent(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b := w.Start("a"), w.Start("b")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	b.M.RightsRequested(w.Now, a.Identity, "sfo", Rights{1, 1})
	first := b.M.Ready().Transfers[0]
	b.M.RightsRequested(w.Now, a.Identity, "sfo", Rights{2, 2})
	second := b.M.Ready().Transfers[0]
	for _, tr := range []Transfer{second, first, second, first} {
		require.True(t, a.M.TransferReceived(w.Now, b.Identity, tr.Link, tr.Total))
		require.Equal(t, Rights{9, 9}, a.M.Usable("sfo"))
	}
	b.Alive = false
	w.Truth(a)
	late := Rights{5, 5}
	require.False(t, a.M.TransferReceived(w.Now, b.Identity, "sfo", late))
	w.Run(30*time.Second, 500*time.Millisecond, true)
	require.False(t, a.M.TransferReceived(w.Now, b.Identity, "sfo", late))
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
}

// lentWorld returns a world in which b holds rights of a and uses all it has.
func lentWorld(t *testing.T) (w *world, a, b *node) {
	t.Helper()
	w = newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b = w.Start("a"), w.Start("b")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	a.M.RightsRequested(w.Now, b.Identity, "sfo", Rights{6, 6})
	w.Obey(a)
	w.Run(time.Second, 500*time.Millisecond, true)
	require.Equal(t, Rights{9, 9}, b.M.Usable("sfo"))
	for range 9 {
		require.True(t, w.begin(b, "sfo", 9*time.Second))
	}
	require.False(t, w.begin(b, "sfo", time.Second))
	return w, a, b
}

// TestLentRightsWaitForTheDead holds that what a dead partner had borrowed is
// not used again while its requests may run.
func TestLentRightsWaitForTheDead(t *testing.T) {
	w, a, b := lentWorld(t)
	b.Alive = false
	for range 60 {
		w.Run(500*time.Millisecond, 500*time.Millisecond, true)
		w.check(t)
	}
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
}

// TestRightsInUseStay holds that a leaving holder returns only what is spare.
func TestRightsInUseStay(t *testing.T) {
	w, a, b := lentWorld(t)
	w.Leave(b)
	for range 60 {
		w.Run(500*time.Millisecond, 500*time.Millisecond, true)
		w.check(t)
	}
	require.False(t, b.Alive, "released")
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
}

// TestDecode holds that a ledger that this package could not have written is
// refused.
func TestDecode(t *testing.T) {
	for name, value := range map[string]string{
		"no JSON":         `{`,
		"out of order":    `{"holders":[{"id":"b"},{"id":"a"}]}`,
		"one twice":       `{"holders":[{"id":"a"},{"id":"a"}]}`,
		"a link twice":    `{"holders":[{"id":"a","links":[{"to":"x"},{"to":"x"}]}]}`,
		"negative rights": `{"caps":[{"to":"x","rate":5}],"holders":[{"id":"a","links":[{"to":"x","rate":-5}]}]}`,
		"no cap":          `{"holders":[{"id":"a","links":[{"to":"x","rate":1}]}]}`,
		"above the cap":   `{"caps":[{"to":"x","rate":5}],"holders":[{"id":"a","links":[{"to":"x","rate":3}]},{"id":"b","links":[{"to":"x","rate":3}]}]}`,
	} {
		_, err := decode([]byte(value))
		require.Error(t, err, name)
	}
}

// TestGiverFirst holds that rights are out of use before the write that gives
// them can take effect, and until it is known that it cannot.
func TestGiverFirst(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {12, 12}})
	a := w.Start("a")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
	b := w.Start("b")
	a.M.SetMembers(w.Now, []membership.Instance{a.Instance, b.Instance})
	join := a.M.Ready().Write
	require.NoError(t, a.M.WriteReplied(w.Now, join.ID, w.Table.Apply(*join)))
	txn := a.M.Ready().Write
	require.NotNil(t, txn, "b has joined and gets its share")
	require.Equal(t, Rights{6, 6}, a.M.Usable("sfo"))
	a.M.WriteFailed(w.Now, txn.ID)
	require.Equal(t, Rights{6, 6}, a.M.Usable("sfo"))
	before := w.Table.Read(w.RowName)
	require.NoError(t, a.M.RowRead(w.Now, before))
	require.Equal(t, Rights{6, 6}, a.M.Usable("sfo"), "it may still take effect")
	require.Equal(t, txn.ID, a.M.Ready().Write.ID, "the same write is sent again")
}

// TestLowerCapWithRightsInUse holds that a lower cap binds new requests also
// while the rights above it are in use and cannot be given up.
func TestLowerCapWithRightsInUse(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {99, 99}})
	for _, id := range []string{"a", "b", "c"} {
		w.Start(id)
	}
	w.Run(10*time.Second, 500*time.Millisecond, true)
	for _, n := range w.Nodes {
		for range 33 {
			require.True(t, w.begin(n, "sfo", 9*time.Second))
		}
	}
	var sum Rights
	for _, n := range w.Nodes {
		n.M.SetCaps(w.Now, map[string]Rights{"sfo": {50, 40}}, testHold)
		sum = sum.add(n.M.Usable("sfo"))
	}
	require.Equal(t, Rights{48, 39}, sum, "three shares, rounded down")
}
