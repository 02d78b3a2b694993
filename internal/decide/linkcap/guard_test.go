package linkcap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNoLendingOn holds that what a holder lends is backed by rights of its
// own, so that the loans can be settled when it dies between two others.
func TestNoLendingOn(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b, c := w.start("a"), w.start("b"), w.start("c")
	w.run(5*time.Second, 500*time.Millisecond, true)
	move := func(from, to *node) {
		for range 8 {
			from.m.Wanted(w.now, to.Identity, "sfo", Rights{12, 12})
			w.obey(from)
			w.run(100*time.Millisecond, 100*time.Millisecond, true)
			w.check(t)
		}
	}
	move(a, b)
	require.Equal(t, Rights{8, 8}, b.m.Usable("sfo"))
	move(b, c)
	require.Equal(t, Rights{8, 8}, c.m.Usable("sfo"), "four of its own and four of b's")
	require.Equal(t, Rights{4, 4}, b.m.Usable("sfo"), "borrowed of a")
	b.alive = false
	for range 60 {
		w.run(500*time.Millisecond, 500*time.Millisecond, true)
		w.check(t)
	}
	sum := a.m.Usable("sfo").add(c.m.Usable("sfo"))
	require.Equal(t, Rights{12, 12}, sum)
}

// TestTransferIsIdempotent holds that a transfer counts once, however often and
// in whatever order its messages arrive, and not after its sender's death.
func TestTransferIsIdempotent(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b := w.start("a"), w.start("b")
	w.run(5*time.Second, 500*time.Millisecond, true)
	b.m.Wanted(w.now, a.Identity, "sfo", Rights{1, 1})
	first := b.m.Ready().Transfers[0]
	b.m.Wanted(w.now, a.Identity, "sfo", Rights{2, 2})
	second := b.m.Ready().Transfers[0]
	for _, tr := range []Transfer{second, first, second, first} {
		require.True(t, a.m.Transferred(w.now, b.Identity, tr.Link, tr.Total))
		require.Equal(t, Rights{9, 9}, a.m.Usable("sfo"))
	}
	b.alive = false
	w.truth(a)
	late := Rights{5, 5}
	require.False(t, a.m.Transferred(w.now, b.Identity, "sfo", late))
	w.run(30*time.Second, 500*time.Millisecond, true)
	require.False(t, a.m.Transferred(w.now, b.Identity, "sfo", late))
	require.Equal(t, Rights{12, 12}, a.m.Usable("sfo"))
}

// lentWorld returns a world in which b holds rights of a and uses all it has.
func lentWorld(t *testing.T) (w *world, a, b *node) {
	t.Helper()
	w = newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b = w.start("a"), w.start("b")
	w.run(5*time.Second, 500*time.Millisecond, true)
	a.m.Wanted(w.now, b.Identity, "sfo", Rights{6, 6})
	w.obey(a)
	w.run(time.Second, 500*time.Millisecond, true)
	require.Equal(t, Rights{9, 9}, b.m.Usable("sfo"))
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
	b.alive = false
	for range 60 {
		w.run(500*time.Millisecond, 500*time.Millisecond, true)
		w.check(t)
	}
	require.Equal(t, Rights{12, 12}, a.m.Usable("sfo"))
}

// TestRightsInUseStay holds that a leaving holder returns only what is spare.
func TestRightsInUseStay(t *testing.T) {
	w, a, b := lentWorld(t)
	b.m.Leave(w.now)
	w.obey(b)
	for range 60 {
		w.run(500*time.Millisecond, 500*time.Millisecond, true)
		w.check(t)
	}
	require.False(t, b.alive, "released")
	require.Equal(t, Rights{12, 12}, a.m.Usable("sfo"))
}
