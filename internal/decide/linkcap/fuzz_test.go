package linkcap

import (
	"testing"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// FuzzRow checks that any value of the row either yields an error or a working
// machine that does not use more than the cap.
func FuzzRow(f *testing.F) {
	f.Add([]byte(`{"caps":[{"to":"sfo","in_flight":12,"rate":60}],"holders":[{"id":"a","incarnation":1,"peer":"a","links":[{"to":"sfo","in_flight":6,"rate":30}],"partners":[{"id":"b","incarnation":1}]}]}`))
	f.Add([]byte(`{"holders":[{"id":"b"},{"id":"a"}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		now := time.Unix(0, 0)
		self := membership.Instance{Identity: membership.Identity{ID: "a", Incarnation: 1}, Peer: "a"}
		m := New(Config{Self: self.Identity, Peer: "a", Region: testRegion}, now)
		m.SetCaps(now, map[string]Rights{"sfo": {12, 60}}, testMaxRequestTime)
		m.SetMembers(now, []membership.Instance{self})
		if err := m.Row(now, platform.Row{Name: RowPrefix + testRegion, Version: 1, Value: value}); err != nil {
			return
		}
		for range 20 {
			now = now.Add(time.Second)
			m.Tick(now)
			m.Ready()
			if u := m.Usable("sfo"); u.InFlight > 12 || u.Rate > 60 {
				t.Fatalf("usable rights %v are above the cap", u)
			}
		}
	})
}
