package links

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// machineWithAllRights returns the machine of the only instance of a region. It
// holds all rights on the link to south.
func machineWithAllRights(t *testing.T) *linkcap.Machine {
	m, err := newMachineWithAllRights(time.Now())
	require.NoError(t, err)
	require.Positive(t, m.Usable("south").InFlight)
	return m
}

// newMachineWithAllRights is machineWithAllRights without a testing.T.
func newMachineWithAllRights(now time.Time) (*linkcap.Machine, error) {
	self := membership.Instance{Identity: membership.Identity{ID: "e1", Incarnation: 1}, Zone: "a", Peer: "e1:90"}
	m := linkcap.New(linkcap.Config{Self: self.Identity, Peer: self.Peer, Region: "north"}, now)
	m.SetMembers(now, []membership.Instance{self})
	m.SetCaps(now, map[string]linkcap.Rights{"south": {InFlight: 4, Rate: 100}}, time.Second)
	return m, runTable(m, now)
}

// TestStopGrantsNoMoreRights checks that a stopped gate grants no right even if
// its machine has some left, that a request in flight still releases its right,
// and that requests within the region continue.
func TestStopGrantsNoMoreRights(t *testing.T) {
	g := New()
	m := machineWithAllRights(t)
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

// TestReleaseReturnsRightToItsMachine checks that a right is released to the
// machine that granted it after the gate got another machine.
func TestReleaseReturnsRightToItsMachine(t *testing.T) {
	g := New()
	first, second := machineWithAllRights(t), machineWithAllRights(t)
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
