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

// tableRounds bounds the reads and writes of one machine.
const tableRounds = 20

// claim drives the ownership machine to its first write, and returns the reply
// to it.
func claim(t *testing.T, c *Control, now time.Time) (txn platform.Txn, reply platform.TxnReply) {
	for range tableRounds {
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
	require.FailNow(t, "nothing was written")
	return txn, reply
}

// An instance that others hold for dead takes no backend server and no right on
// a link any more, also when a write that it had under way succeeds.
func TestCondemnedTakesNothing(t *testing.T) {
	for _, condemned := range []bool{false, true} {
		c := newTestControl(t, nil)
		c.install(epoch, installed(t, 1, testEstate(), nil, nil))
		now := epoch.Add(tableRounds * time.Second)
		txn, reply := claim(t, c, epoch)
		if condemned {
			c.serveExchange(now, heartbeatOf(t, instance("e2", 1, "a"), 1, []refresh.Record{gone(t, c.Self)}, nil))
			c.settleMembers(now)
			require.ErrorIs(t, <-c.Fatal(), ErrDeclaredGone)
		}
		require.NoError(t, c.owners.machine.WriteReplied(now, txn.ID, reply))
		c.settleOwners(now)
		require.Equal(t, condemned, len(c.owners.held) == 0)
		machine := false
		c.Links.With(func(*linkcap.Machine) { machine = true })
		require.Equal(t, !condemned, machine)
	}
}
