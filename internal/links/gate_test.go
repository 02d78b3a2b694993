package links

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// holder returns the machine of the only instance of a region, which holds all
// rights on the link to south.
func holder(t *testing.T) *linkcap.Machine {
	m, err := soleHolder(time.Now())
	require.NoError(t, err)
	require.Positive(t, m.Usable("south").InFlight)
	return m
}

func soleHolder(now time.Time) (*linkcap.Machine, error) {
	self := membership.Instance{Identity: membership.Identity{ID: "e1", Incarnation: 1}, Zone: "a", Peer: "e1:90"}
	m := linkcap.New(linkcap.Config{Self: self.Identity, Peer: self.Peer, Region: "north"}, now)
	m.SetMembers(now, []membership.Instance{self})
	m.SetCaps(now, map[string]linkcap.Rights{"south": {InFlight: 4, Rate: 100}}, time.Second)
	return m, serve(m, now)
}

// A stopped gate gives no right, also when it held some; a request that is
// under way ends as usual. Inside the region requests go on.
func TestStop(t *testing.T) {
	g := New()
	m := holder(t)
	g.SetMachine("north", m)
	release, ok := g.Acquire("south")
	require.True(t, ok)
	g.Stop()
	_, ok = g.Acquire("south")
	require.False(t, ok)
	_, ok = g.Acquire("north")
	require.True(t, ok)
	release()
	require.Zero(t, m.Used("south", time.Now()).InFlight)
}

// A request gives its right back to the machine that it was taken from.
func TestReleaseAfterUse(t *testing.T) {
	g := New()
	first, second := holder(t), holder(t)
	g.SetMachine("north", first)
	old, ok := g.Acquire("south")
	require.True(t, ok)
	g.SetMachine("north", second)
	_, ok = g.Acquire("south")
	require.True(t, ok)
	old()
	require.EqualValues(t, 1, second.Used("south", time.Now()).InFlight)
	require.Zero(t, first.Used("south", time.Now()).InFlight)
}
