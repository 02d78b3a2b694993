package linkcap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// TestBorrowedRightsAreNotLent checks that a holder lends only its own rights.
// If it lent borrowed rights, the loans could not be settled when it dies
// between its lender and its borrower.
func TestBorrowedRightsAreNotLent(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b, c := w.Start("a"), w.Start("b"), w.Start("c")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	move := func(from, to *node) {
		for range 8 {
			from.M.RightsRequested(w.Now, to.Identity, "sfo", Rights{12, 12})
			w.Execute(from)
			w.Run(100*time.Millisecond, 100*time.Millisecond, true)
			w.checkCaps(t)
		}
	}
	move(a, b)
	require.Equal(t, Rights{8, 8}, b.M.Usable("sfo"))
	move(b, c)
	require.Equal(t, Rights{8, 8}, c.M.Usable("sfo"), "c must have four rights of its own and four of b")
	require.Equal(t, Rights{4, 4}, b.M.Usable("sfo"), "b must keep the rights that it borrowed from a")
	b.Alive = false
	for range 60 {
		w.Run(500*time.Millisecond, 500*time.Millisecond, true)
		w.checkCaps(t)
	}
	sum := a.M.Usable("sfo").add(c.M.Usable("sfo"))
	require.Equal(t, Rights{12, 12}, sum)
}

// TestTransferIsIdempotent checks that a transfer counts once, regardless of
// how often and in which order its messages arrive, and that none counts after
// the sender's death.
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
	w.SyncPeerStates(a)
	late := Rights{5, 5}
	require.False(t, a.M.TransferReceived(w.Now, b.Identity, "sfo", late))
	w.Run(30*time.Second, 500*time.Millisecond, true)
	require.False(t, a.M.TransferReceived(w.Now, b.Identity, "sfo", late))
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
}

// newWorldWithLoan returns a world in which b has borrowed rights from a and
// uses all the rights it has.
func newWorldWithLoan(t *testing.T) (w *world, a, b *node) {
	t.Helper()
	w = newWorld(map[string]Rights{"sfo": {12, 12}})
	a, b = w.Start("a"), w.Start("b")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	a.M.RightsRequested(w.Now, b.Identity, "sfo", Rights{6, 6})
	w.Execute(a)
	w.Run(time.Second, 500*time.Millisecond, true)
	require.Equal(t, Rights{9, 9}, b.M.Usable("sfo"))
	for range 9 {
		require.True(t, w.startRequest(b, "sfo", 9*time.Second))
	}
	require.False(t, w.startRequest(b, "sfo", time.Second))
	return w, a, b
}

// TestRightsLentToDeadPartnerStayReserved checks that rights borrowed by a
// partner that died are not used again while its requests may still be running.
func TestRightsLentToDeadPartnerStayReserved(t *testing.T) {
	w, a, b := newWorldWithLoan(t)
	b.Alive = false
	for range 60 {
		w.Run(500*time.Millisecond, 500*time.Millisecond, true)
		w.checkCaps(t)
	}
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
}

// TestLeavingHolderKeepsRightsInUse checks that a leaving holder returns only
// spare rights. If it returned rights in use, the link would exceed its cap.
func TestLeavingHolderKeepsRightsInUse(t *testing.T) {
	w, a, b := newWorldWithLoan(t)
	w.Leave(b)
	for range 60 {
		w.Run(500*time.Millisecond, 500*time.Millisecond, true)
		w.checkCaps(t)
	}
	require.False(t, b.Alive, "b must end once it has returned its rights")
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
}

// TestDecodeRejectsInvalidLedger checks that a ledger that this package never
// writes is rejected.
func TestDecodeRejectsInvalidLedger(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON":         `{`,
		"unsorted":         `{"holders":[{"id":"b"},{"id":"a"}]}`,
		"duplicate holder": `{"holders":[{"id":"a"},{"id":"a"}]}`,
		"duplicate link":   `{"holders":[{"id":"a","links":[{"to":"x"},{"to":"x"}]}]}`,
		"negative rights":  `{"caps":[{"to":"x","rate":5}],"holders":[{"id":"a","links":[{"to":"x","rate":-5}]}]}`,
		"no cap":           `{"holders":[{"id":"a","links":[{"to":"x","rate":1}]}]}`,
		"above the cap":    `{"caps":[{"to":"x","rate":5}],"holders":[{"id":"a","links":[{"to":"x","rate":3}]},{"id":"b","links":[{"to":"x","rate":3}]}]}`,
	} {
		_, err := decode([]byte(value))
		require.Error(t, err, name)
	}
}

// TestRelinquishedRightsAreUnusableWhileWritePending checks that rights are out
// of use before the write that gives them up is sent, and until it is known
// that the write cannot take effect. Otherwise two holders could use the same
// rights.
func TestRelinquishedRightsAreUnusableWhileWritePending(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {12, 12}})
	a := w.Start("a")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	require.Equal(t, Rights{12, 12}, a.M.Usable("sfo"))
	b := w.Start("b")
	a.M.SetMembers(w.Now, []membership.Instance{a.Instance, b.Instance})
	join := a.M.Ready().Write
	require.NoError(t, a.M.WriteReplied(w.Now, join.ID, w.Table.Apply(*join)))
	txn := a.M.Ready().Write
	require.NotNil(t, txn, "a must write b's share after b has joined")
	require.Equal(t, Rights{6, 6}, a.M.Usable("sfo"))
	a.M.WriteFailed(w.Now, txn.ID)
	require.Equal(t, Rights{6, 6}, a.M.Usable("sfo"))
	before := w.Table.Read(w.RowName)
	require.NoError(t, a.M.Row(w.Now, before))
	require.Equal(t, Rights{6, 6}, a.M.Usable("sfo"), "the write may still take effect")
	require.Equal(t, txn.ID, a.M.Ready().Write.ID, "the same write must be sent again")
}

// TestLowerCapWithRightsInUse checks that a lower cap limits new requests even
// while the rights above it are in use and cannot be given up.
func TestLowerCapWithRightsInUse(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {99, 99}})
	for _, id := range []string{"a", "b", "c"} {
		w.Start(id)
	}
	w.Run(10*time.Second, 500*time.Millisecond, true)
	for _, n := range w.Nodes {
		for range 33 {
			require.True(t, w.startRequest(n, "sfo", 9*time.Second))
		}
	}
	var sum Rights
	for _, n := range w.Nodes {
		n.M.SetCaps(w.Now, map[string]Rights{"sfo": {50, 40}}, testMaxRequestTime)
		sum = sum.add(n.M.Usable("sfo"))
	}
	require.Equal(t, Rights{48, 39}, sum, "the three scaled shares are rounded down")
}
