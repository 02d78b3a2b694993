package ownership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// BenchmarkTick measures computing the desired owners in a zone with five
// backend servers per instance. A machine whose row no longer changes does this
// every second. It also reports the size of the zone's row.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{5, 50, 250} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
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

// settledMachine returns the machine of one of n instances after the row has
// stopped changing, and the size of the row in bytes.
func settledMachine(b *testing.B, n int) (m *Machine, now time.Time, size int) {
	now = time.Unix(0, 0)
	view := membership.ZoneView{Name: testZone}
	var backends []Backend
	for i := range n {
		id := membership.Identity{ID: fmt.Sprintf("pos-a-%04d", i), Incarnation: 1764000000000}
		view.Instances = append(view.Instances, membership.Instance{Identity: id, Peer: fmt.Sprintf("10.12.%d.%d:7002", i/256, i%256)})
		for j := range 5 {
			backends = append(backends, Backend{Name: fmt.Sprintf("scoring-%04d-%d", i, j), Slots: 3, Deadline: testDeadline})
		}
	}
	self := view.Instances[0]
	m = New(Config{Self: self.Identity, Peer: self.Peer, Zone: testZone}, now)
	m.SetBackends(now, backends)
	m.SetView(now, view)
	if err := m.Row(now, platform.Row{Name: RowPrefix + testZone}); err != nil {
		b.Fatal(err)
	}
	for range 30 {
		now = now.Add(time.Second)
		m.Tick(now)
		if w := m.Ready().Write; w != nil {
			row := platform.Row{Name: RowPrefix + testZone, Version: w.Writes[0].Expect + 1, ChangeID: w.ID, Value: w.Writes[0].Value}
			if err := m.WriteReplied(now, w.ID, platform.TxnReply{Committed: true, Rows: []platform.Row{row}}); err != nil {
				b.Fatal(err)
			}
		}
	}
	value, err := json.Marshal(m.rowValue)
	if err != nil {
		b.Fatal(err)
	}
	return m, now, len(value)
}
