package ownership

import (
	"testing"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// FuzzRow checks that any value of the row yields either an error or a machine
// that keeps working without a panic.
func FuzzRow(f *testing.F) {
	f.Add([]byte(`{"assignments":[{"backend":"s00","owner":{"id":"a","incarnation":1},"peer":"a","epoch":1}]}`))
	f.Add([]byte(`{"assignments":[{"backend":"s01"},{"backend":"s00"},{"backend":"s00"}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		now := time.Unix(0, 0)
		self := membership.Instance{Identity: membership.Identity{ID: "a", Incarnation: 1}, Peer: "a"}
		m := New(Config{Self: self.Identity, Peer: "a", Zone: testZone}, now)
		m.SetBackends(now, []Backend{{Name: "s00", Slots: testSlots, Deadline: testDeadline}})
		m.SetView(now, membership.ZoneView{Name: testZone, Instances: []membership.Instance{self}})
		if err := m.Row(now, platform.Row{Name: RowPrefix + testZone, Version: 1, Value: value}); err != nil {
			return
		}
		for range 20 {
			now = now.Add(time.Second)
			m.Tick(now)
			for _, s := range m.Ready().Stops {
				m.Drained(now, s.Backend, s.Attempt)
			}
		}
	})
}
