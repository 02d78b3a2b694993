package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/health"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/platform"
)

const listedBackend = "a-1-1"

// own makes c the owner of listedBackend, which answers its probes.
func own(c *Control, now time.Time) {
	c.owners.held[listedBackend] = &holding{since: now}
	c.installHealth(now)
	c.health.machine.Step(health.Event{Name: listedBackend, Source: health.Probe, Signal: health.OK, At: now})
}

// relayRecord returns what a relay tells its zone after it read a list.
func relayRecord(t *testing.T, relay *Control, now time.Time, list ...platform.Instance) refresh.Record {
	relay.takeBackendList(now, list)
	rec, ok := relay.records.local.Get(relay.Self.ID, recordBackends)
	require.True(t, ok)
	return rec
}

// An owner that does not read the platform's list learns from a relay of its
// zone that a backend server is leaving, or is listed no more.
func TestOwnerLearnsOfListFromRelay(t *testing.T) {
	relay, owner := newTestControl(t, nil), newTestControl(t, nil)
	owner.Self = instance("e2", 1, "a")
	for _, c := range []*Control{relay, owner} {
		c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	}
	own(owner, epoch)
	tell := func(now time.Time, list ...platform.Instance) health.State {
		rec := relayRecord(t, relay, now, list...)
		owner.serveExchange(now, heartbeatOf(t, instance("e1", 1, "a"), 1, nil, []refresh.Record{rec}))
		return owner.health.machine.State(listedBackend)
	}
	line := platform.Instance{ID: listedBackend, Kind: platform.KindBackend, Zone: "a", State: platform.InstanceLive}
	other := platform.Instance{ID: "b-1-1", Kind: platform.KindBackend, Zone: "b", State: platform.InstanceLeaving}
	require.Equal(t, health.Healthy, tell(epoch, line, other))
	require.Equal(t, listedBackends{listedBackend: false}, owner.health.last, "of its own zone only")
	line.State = platform.InstanceLeaving
	require.Equal(t, health.Draining, tell(epoch.Add(time.Second), line, other))
	line.State = platform.InstanceLive
	require.Equal(t, health.Draining, tell(epoch.Add(2*time.Second), line), "a notice stands for a time")

	// One that is owned only later is known to be leaving at once.
	line.State = platform.InstanceLeaving
	delete(owner.owners.held, listedBackend)
	owner.installHealth(epoch)
	tell(epoch.Add(3*time.Second), line)
	own(owner, epoch.Add(4*time.Second))
	require.Equal(t, health.Draining, owner.health.machine.State(listedBackend))
}

// An unchanged list is told again only after a time, so that the owners know
// that it still stands.
func TestUnchangedListIsRepeatedSeldom(t *testing.T) {
	c := newTestControl(t, nil)
	c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	line := platform.Instance{ID: listedBackend, Kind: platform.KindBackend, Zone: "a", State: platform.InstanceLive}
	first := relayRecord(t, c, epoch, line).Sequence
	require.Equal(t, first, relayRecord(t, c, epoch.Add(maxListedAge-1), line).Sequence)
	require.Greater(t, relayRecord(t, c, epoch.Add(maxListedAge), line).Sequence, first)
	c.records.forget(epoch, membership.Identity{ID: "e1", Incarnation: 1})
	_, ok := c.records.local.Get("e1", recordBackends)
	require.False(t, ok)
}

// A relay whose list has not named a backend server yet says nothing of it.
func TestAbsenceCountsPerReader(t *testing.T) {
	c := newTestControl(t, nil)
	c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	own(c, epoch)
	named := listedBackends{listedBackend: false}
	c.stepListed(epoch, "e2", named)
	c.stepListed(epoch, "e3", listedBackends{})
	require.Equal(t, health.Healthy, c.health.machine.State(listedBackend))
	c.stepListed(epoch, "e2", listedBackends{})
	require.Equal(t, health.Suspect, c.health.machine.State(listedBackend))
	c.instanceGone(epoch, instance("e2", 1, "a"))
	require.Empty(t, c.health.listed)
}
