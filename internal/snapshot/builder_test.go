package snapshot

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

func TestMain(m *testing.M) {
	decidetest.FixSeed()
	os.Exit(m.Run())
}

// TestBuilderEqualsFreshBuilder guards against stale cached parts: after any
// changes of members, a builder returns the same values as a new builder. It also
// checks that the values returned earlier do not change.
func TestBuilderEqualsFreshBuilder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		self := membership.Instance{Identity: membership.Identity{ID: "self", Incarnation: 1}, Zone: "z0", Peer: "self"}
		m := membership.New(membership.Config{Self: self}, now)
		b := &Builder{}
		var sequence uint64
		var kept, copied [][]Instance
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			sequence++
			id := rapid.IntRange(0, 8).Draw(t, "instance")
			m.Report(now, membership.Instance{
				Identity: membership.Identity{ID: fmt.Sprint("i", id), Incarnation: 1}, Zone: fmt.Sprint("z", id%3), Peer: fmt.Sprint("i", id),
				State: membership.State(rapid.IntRange(0, 3).Draw(t, "state")), Sequence: sequence,
			})
			require.Equal(t, (&Builder{}).Peers(m.View()), b.Peers(m.View()))
			for _, z := range m.View().Zones {
				got := b.Instances(z, nil)
				require.Equal(t, (&Builder{}).Instances(z, nil), got)
				kept, copied = append(kept, got), append(copied, slices.Clone(got))
			}
		}
		require.Equal(t, copied, kept)
	})
}

// TestBuilderDoesNotCacheLoads checks that new loads of an unchanged zone appear in
// the result.
func TestBuilderDoesNotCacheLoads(t *testing.T) {
	in := membership.Instance{Identity: membership.Identity{ID: "a", Incarnation: 1}, Zone: "z"}
	z := membership.ZoneView{Name: "z", Instances: []membership.Instance{in}}
	b := &Builder{}
	for slots := range 3 {
		reports := map[string]load.Report{"scoring": {Slots: slots}}
		got := b.Instances(z, map[membership.Identity]map[string]load.Report{in.Identity: reports})
		require.Equal(t, slots, got[0].Loads["scoring"].Slots)
	}
}
