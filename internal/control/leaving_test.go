package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/ownership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// maxRounds is the maximum number of ticks until the ownership machine writes.
const maxRounds = 20

// firstWrite runs the ownership machine until its first write, and returns that
// write and the reply to it.
func firstWrite(t *testing.T, c *Control, now time.Time) (txn platform.Txn, reply platform.TxnReply) {
	for range maxRounds {
		now = now.Add(time.Second)
		c.tickOwners(now)
		ready := c.owners.machine.Ready()
		if ready.Read {
			require.NoError(t, c.owners.machine.Row(now, platform.Row{Name: ownership.RowPrefix + "a"}))
		}
		if w := ready.Write; w != nil {
			row := platform.Row{Name: w.Writes[0].Row, Version: 1, ChangeID: w.ID, Value: w.Writes[0].Value}
			return *w, platform.TxnReply{Committed: true, Rows: []platform.Row{row}}
		}
	}
	require.FailNow(t, "the ownership machine requested no write")
	return txn, reply
}

// An instance that others have declared gone must not acquire a backend server
// or rights on a link, even if a write that it had in progress succeeds:
// another instance may have taken them over.
func TestDeclaredGoneAcquiresNothing(t *testing.T) {
	for _, declaredGone := range []bool{false, true} {
		c := newTestControl(t, nil)
		c.install(epoch, installed(t, 1, testEstate(), nil, nil))
		now := epoch.Add(maxRounds * time.Second)
		txn, reply := firstWrite(t, c, epoch)
		if declaredGone {
			c.serveExchange(now, heartbeatOf(t, instance("e2", 1, "a"), 1, []refresh.Record{goneRecord(t, c.Self)}, nil))
			c.handleMembershipOutput(now)
			require.ErrorIs(t, <-c.Fatal(), ErrDeclaredGone)
		}
		require.NoError(t, c.owners.machine.WriteReplied(now, txn.ID, reply))
		c.handleOwnershipOutput(now)
		require.Equal(t, declaredGone, len(c.owners.owned) == 0)
		machine := false
		c.Links.WithMachine(func(*linkcap.Machine) { machine = true })
		require.Equal(t, !declaredGone, machine)
	}
}
