package links

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// serveRounds bounds the reads and writes of serve.
const serveRounds = 8

// serve plays the table to a machine until it wants nothing more.
func serve(m *linkcap.Machine, now time.Time) error {
	row := platform.Row{Name: linkcap.RowPrefix + "north"}
	for range serveRounds {
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
