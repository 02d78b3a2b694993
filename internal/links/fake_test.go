package links

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// tableRounds is the number of steps that runTable gives a machine.
const tableRounds = 8

// runTable simulates the table service for a machine: it serves the reads and
// writes that the machine requests in tableRounds steps of one second.
func runTable(m *linkcap.Machine, now time.Time) error {
	row := platform.Row{Name: linkcap.RowPrefix + "north"}
	for range tableRounds {
		now = now.Add(time.Second)
		m.Tick(now)
		ready := m.Ready()
		if ready.Read {
			if err := m.Row(now, row); err != nil {
				return err
			}
		}
		if ready.Write != nil {
			row.Version, row.ChangeID, row.Value = row.Version+1, ready.Write.ID, ready.Write.Writes[0].Value
			if err := m.WriteReplied(now, ready.Write.ID, platform.TxnReply{Committed: true, Rows: []platform.Row{row}}); err != nil {
				return err
			}
		}
	}
	return nil
}
