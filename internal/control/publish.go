package control

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

// publish makes the state visible to traffic.
func (c *Control) publish(now time.Time) {
	old := c.snap.Load()
	s := &snapshot.Snapshot{
		Self: c.selfView(), Zone: c.Self.Zone, Estate: c.steer.estate, InForce: c.config.inForce,
		Leaving: c.leaving != nil, Tables: c.steer.tables, Peers: c.peers(), Version: old.Version + 1,
	}
	if e := c.steer.estate; e != nil {
		z, _ := e.ZoneOf(c.Self.Zone)
		s.Region = z.Region
		for _, z := range e.Zones {
			s.Zones = append(s.Zones, c.zoneView(z))
		}
	}
	c.applyOwners(now)
	c.snap.Store(s)
}

func (c *Control) zoneView(z estate.Zone) snapshot.Zone {
	v := snapshot.Zone{
		Name: z.Name, Region: z.Region, Instances: c.usable(z.Name), Slots: c.steer.slots[z.Name],
		Loads: map[string]load.Report{}, Closed: c.steer.estate.ZoneDraining(z.Name),
	}
	for _, s := range c.steer.estate.Services {
		if rep, ok := c.zoneLoad(z.Name, s.Name); ok {
			v.Loads[s.Name] = rep
		}
	}
	return v
}

func (c *Control) usable(zone string) []snapshot.Instance {
	var out []snapshot.Instance
	for _, in := range c.members.View().Zone(zone).Usable() {
		out = append(out, c.instanceView(in))
	}
	return out
}

func (c *Control) instanceView(in membership.Instance) snapshot.Instance {
	return snapshot.Instance{
		ID: in.ID, Incarnation: in.Incarnation, Zone: in.Zone, Caller: in.Caller, Peer: in.Peer, Loads: c.steer.loads[in.Identity],
	}
}

func (c *Control) selfView() snapshot.Instance {
	return snapshot.Instance{
		ID: c.Self.ID, Incarnation: c.Self.Incarnation, Zone: c.Self.Zone, Caller: c.Self.Caller, Peer: c.Self.Peer,
	}
}

// AddressOf returns the peer address of one incarnation, unless it is known to
// be dead.
func (c *Control) AddressOf(h once.Home) (string, bool) {
	addr, ok := c.snap.Load().Peers[membership.Identity{ID: h.ID, Incarnation: h.Incarnation}]
	return addr, ok
}

// peers returns the peer addresses of all instances that may be alive.
func (c *Control) peers() map[membership.Identity]string {
	out := map[membership.Identity]string{}
	for _, z := range c.members.View().Zones {
		for _, in := range z.Instances {
			if in.State != membership.Gone {
				out[in.Identity] = in.Peer
			}
		}
	}
	return out
}
