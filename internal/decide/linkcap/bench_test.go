package linkcap

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// settledMachine returns the machine of one of n holders in a region with seven
// links, after the ledger has stopped changing, and the size of the ledger row
// in bytes.
func settledMachine(b *testing.B, n int) (m *Machine, now time.Time, size int) {
	now = time.Unix(0, 0)
	caps := map[string]Rights{}
	for i := range 7 {
		caps[fmt.Sprintf("r%d", i)] = Rights{int64(50 * n), int64(500 * n)}
	}
	var members []membership.Instance
	for i := range n {
		id := fmt.Sprintf("pos-a-%04d", i)
		members = append(members, membership.Instance{Identity: membership.Identity{ID: id, Incarnation: 1764000000000}, Peer: "10.12.104.211:7002"})
	}
	self := members[0]
	self.Peer = "10.12.104.212:7002"
	members[0] = self
	m = New(Config{Self: self.Identity, Peer: self.Peer, Region: testRegion}, now)
	m.SetCaps(now, caps, testMaxRequestTime)
	m.SetMembers(now, members)
	if err := m.Row(now, platform.Row{Name: RowPrefix + testRegion}); err != nil {
		b.Fatal(err)
	}
	for range 30 {
		now = now.Add(time.Second)
		m.Tick(now)
		if w := m.Ready().Write; w != nil {
			row := platform.Row{Name: RowPrefix + testRegion, Version: w.Writes[0].Expect + 1, ChangeID: w.ID, Value: w.Writes[0].Value}
			if err := m.WriteReplied(now, w.ID, platform.TxnReply{Committed: true, Rows: []platform.Row{row}}); err != nil {
				b.Fatal(err)
			}
		}
	}
	value, err := json.Marshal(m.ledger)
	if err != nil {
		b.Fatal(err)
	}
	return m, now, len(value)
}

// BenchmarkTick measures one tick, a second apart, of a machine whose ledger no
// longer changes. It also reports the size of the ledger row.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 800} {
		b.Run(fmt.Sprintf("holders=%d", n), func(b *testing.B) {
			m, now, size := settledMachine(b, n)
			for b.Loop() {
				now = now.Add(time.Second)
				m.Tick(now)
				m.Ready()
			}
			b.ReportMetric(float64(size), "B/row")
		})
	}
}
