package control

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

// publish builds a snapshot of the state, passes the owned backend servers to
// the pool, and makes the snapshot visible to request handling.
func (c *Control) publish(now time.Time) {
	old := c.snap.Load()
	s := &snapshot.Snapshot{
		Self: c.selfView(), Zone: c.Self.Zone, Estate: c.steer.estate, InForceSince: c.config.activeSince,
		Leaving: c.leaving != nil, Tables: c.steer.tables, Peers: c.builder.Peers(c.members.View()), Version: old.Version + 1,
	}
	if e := c.steer.estate; e != nil {
		z, _ := e.ZoneOf(c.Self.Zone)
		s.Region = z.Region
		for _, z := range e.Zones {
			s.Zones = append(s.Zones, c.zoneView(z))
		}
	}
	c.updatePool(now)
	c.snap.Store(s)
}

func (c *Control) zoneView(z estate.Zone) snapshot.Zone {
	v := snapshot.Zone{
		Name: z.Name, Region: z.Region, Instances: c.usable(z.Name), Slots: c.steer.slots[z.Name],
		Loads: map[string]load.Report{}, Draining: c.steer.estate.ZoneDraining(z.Name),
	}
	for _, s := range c.steer.estate.Services {
		if rep, ok := c.zoneLoad(z.Name, s.Name); ok {
			v.Loads[s.Name] = rep
		}
	}
	return v
}

// usable returns the instances of a zone that may be given requests. They have
// loads only in the own zone, whose instances report their load individually.
func (c *Control) usable(zone string) []snapshot.Instance {
	v := c.members.View().Zone(zone)
	if zone != c.Self.Zone {
		return c.builder.Instances(v, nil)
	}
	return c.builder.Instances(v, c.steer.loads)
}

func (c *Control) selfView() snapshot.Instance {
	return snapshot.Instance{
		ID: c.Self.ID, Incarnation: c.Self.Incarnation, Zone: c.Self.Zone, Caller: c.Self.Caller, Peer: c.Self.Peer,
	}
}

// AddressOf returns the peer address of an incarnation. The result is false if
// the incarnation is unknown or gone. It is safe for concurrent use.
func (c *Control) AddressOf(h once.Home) (string, bool) {
	addr, ok := c.snap.Load().Peers[membership.Identity{ID: h.ID, Incarnation: h.Incarnation}]
	return addr, ok
}
