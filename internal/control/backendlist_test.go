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

// listedBackend is the backend server of zone a.
const listedBackend = "a-1-1"

// own makes c the owner of listedBackend and records a successful probe of it.
func own(c *Control, now time.Time) {
	c.owners.owned[listedBackend] = &ownedBackend{since: now}
	c.updateHealthBackends(now)
	c.health.machine.Step(health.Event{Name: listedBackend, Source: health.Probe, Signal: health.OK, At: now})
}

// relayRecord returns the record that a relay publishes after it has read the
// given list.
func relayRecord(t *testing.T, relay *Control, now time.Time, list ...platform.Instance) refresh.Record {
	relay.handleBackendList(now, list)
	rec, ok := relay.records.local.Get(relay.Self.ID, recordBackends)
	require.True(t, ok)
	return rec
}

// An owner that does not read the platform's list itself must learn from a
// relay of its zone that a backend server is leaving.
func TestOwnerReceivesBackendListFromRelay(t *testing.T) {
	relay, owner := newTestControl(t, nil), newTestControl(t, nil)
	owner.Self = instance("e2", 1, "a")
	for _, c := range []*Control{relay, owner} {
		c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	}
	own(owner, epoch)
	deliver := func(now time.Time, list ...platform.Instance) health.State {
		rec := relayRecord(t, relay, now, list...)
		owner.serveExchange(now, heartbeatOf(t, instance("e1", 1, "a"), 1, nil, []refresh.Record{rec}))
		return owner.health.machine.State(listedBackend)
	}
	entry := platform.Instance{ID: listedBackend, Kind: platform.KindBackend, Zone: "a", State: platform.InstanceLive}
	other := platform.Instance{ID: "b-1-1", Kind: platform.KindBackend, Zone: "b", State: platform.InstanceLeaving}
	require.Equal(t, health.Healthy, deliver(epoch, entry, other))
	require.Equal(t, listedBackends{listedBackend: false}, owner.health.lastList, "only backend servers of the own zone")
	entry.State = platform.InstanceLeaving
	require.Equal(t, health.Draining, deliver(epoch.Add(time.Second), entry, other))
	entry.State = platform.InstanceLive
	require.Equal(t, health.Draining, deliver(epoch.Add(2*time.Second), entry), "the leaving signal holds for leaveHold")

	// An owner whose ownership begins after the list was received must see at
	// once that the backend server is leaving.
	entry.State = platform.InstanceLeaving
	delete(owner.owners.owned, listedBackend)
	owner.updateHealthBackends(epoch)
	deliver(epoch.Add(3*time.Second), entry)
	own(owner, epoch.Add(4*time.Second))
	require.Equal(t, health.Draining, owner.health.machine.State(listedBackend))
}

// An unchanged backend list is published again only after maxBackendListAge, so
// that owners know that it is still current. When its publisher is gone, the
// record is deleted.
func TestUnchangedBackendListIsRepeated(t *testing.T) {
	c := newTestControl(t, nil)
	c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	entry := platform.Instance{ID: listedBackend, Kind: platform.KindBackend, Zone: "a", State: platform.InstanceLive}
	first := relayRecord(t, c, epoch, entry).Sequence
	require.Equal(t, first, relayRecord(t, c, epoch.Add(maxBackendListAge-1), entry).Sequence)
	require.Greater(t, relayRecord(t, c, epoch.Add(maxBackendListAge), entry).Sequence, first)
	c.records.forget(epoch, membership.Identity{ID: "e1", Incarnation: 1})
	_, ok := c.records.local.Get("e1", recordBackends)
	require.False(t, ok)
}

// A list without a backend server means that the backend server was removed
// only if an earlier list of the same reader had named it. Otherwise a lagging
// list would make a new backend server suspect.
func TestDelistingIsPerReader(t *testing.T) {
	c := newTestControl(t, nil)
	c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	own(c, epoch)
	named := listedBackends{listedBackend: false}
	c.applyBackendList(epoch, "e2", named)
	c.applyBackendList(epoch, "e3", listedBackends{})
	require.Equal(t, health.Healthy, c.health.machine.State(listedBackend))
	c.applyBackendList(epoch, "e2", listedBackends{})
	require.Equal(t, health.Suspect, c.health.machine.State(listedBackend))
	c.handleInstanceGone(epoch, instance("e2", 1, "a"))
	require.Empty(t, c.health.listed)
}
