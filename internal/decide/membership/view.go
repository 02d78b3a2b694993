package membership

import (
	"cmp"
	"slices"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

// View is an immutable snapshot of all known instances.
type View struct {
	// Zones lists the zones, sorted by name.
	Zones []ZoneView
}

// ZoneView is one zone of a View.
type ZoneView struct {
	Name string
	// Instances lists the zone's instances, sorted by identity. It includes gone
	// instances until their retention time has passed.
	Instances []Instance
	// Relays lists the instances that relay for the zone, in descending order of
	// preference. It has at most RelaysPerZone elements.
	Relays []Identity
}

// Zone returns the named zone, or a zone without instances if it is unknown.
func (v *View) Zone(name string) ZoneView {
	i, ok := slices.BinarySearchFunc(v.Zones, name, func(z ZoneView, n string) int { return cmp.Compare(z.Name, n) })
	if !ok {
		return ZoneView{Name: name}
	}
	return v.Zones[i]
}

// Instance returns the instance with the given identity and reports whether it
// is known.
func (v *View) Instance(id Identity) (Instance, bool) {
	for _, z := range v.Zones {
		i, ok := slices.BinarySearchFunc(z.Instances, id, func(in Instance, d Identity) int { return in.Compare(d) })
		if ok {
			return z.Instances[i], true
		}
	}
	return Instance{}, false
}

// Usable returns the zone's instances that may receive work, which are the live
// ones.
func (z ZoneView) Usable() []Instance {
	var out []Instance
	for _, in := range z.Instances {
		if in.State == Live {
			out = append(out, in)
		}
	}
	return out
}

// AnyUsable reports whether the zone has a live instance.
func (z ZoneView) AnyUsable() bool {
	return slices.ContainsFunc(z.Instances, func(in Instance) bool { return in.State == Live })
}

// IsRelay reports whether the instance id relays for the zone.
func (z ZoneView) IsRelay(id Identity) bool { return slices.Contains(z.Relays, id) }

// selectRelays returns the zone's relays, ranked by rendezvous hashing. Live
// instances come first, then leaving ones, then suspect ones. Suspect instances
// are eligible so that the two sides of a network partition that suspect each
// other exchange heartbeats again as soon as the network allows it.
func selectRelays(zone string, instances []Instance) []Identity {
	var out []Identity
	for _, want := range []State{Live, Leaving, Suspect} {
		out = append(out, rankByState(zone, instances, want)...)
		if len(out) >= RelaysPerZone {
			return out[:RelaysPerZone]
		}
	}
	return out
}

// rankByState returns the instances in state want, ranked by rendezvous hashing.
func rankByState(zone string, instances []Instance, want State) []Identity {
	byID := make(map[string]Identity)
	var names []string
	for _, in := range instances {
		if in.State == want {
			byID[in.Identity.String()] = in.Identity
			names = append(names, in.Identity.String())
		}
	}
	out := make([]Identity, 0, len(names))
	for _, n := range hrw.Rank("relay/"+zone, names) {
		out = append(out, byID[n])
	}
	return out
}

// selectHeartbeatTargets returns the instances to which self sends heartbeats, sorted.
// They are the relays of its own zone and, when self is a relay, one relay of
// every other zone.
func (v *View) selectHeartbeatTargets(self Instance) []Identity {
	own := v.Zone(self.Zone)
	var out []Identity
	for _, r := range own.Relays {
		if r != self.Identity {
			out = append(out, r)
		}
	}
	if own.IsRelay(self.Identity) {
		for _, z := range v.Zones {
			if z.Name != self.Zone && len(z.Relays) > 0 {
				out = append(out, chooseRelay(self.Identity, z))
			}
		}
	}
	slices.SortFunc(out, Identity.Compare)
	return out
}

// RecordRelay returns the relay with which self exchanges records of its own
// zone z. One relay is enough because relays exchange the records among
// themselves. RecordRelay prefers live relays and spreads the instances of the
// zone over them. ok is false when self is a relay, because relays exchange
// records with all instances, and when the zone has no relay.
func (z ZoneView) RecordRelay(self Identity) (relay Identity, ok bool) {
	if z.IsRelay(self) || len(z.Relays) == 0 {
		return Identity{}, false
	}
	live := slices.DeleteFunc(slices.Clone(z.Relays), func(id Identity) bool {
		i, known := slices.BinarySearchFunc(z.Instances, id, func(in Instance, d Identity) int { return in.Compare(d) })
		return !known || z.Instances[i].State != Live
	})
	if len(live) == 0 {
		return z.Relays[0], true
	}
	return chooseRelay(self, ZoneView{Relays: live}), true
}

// chooseRelay returns the relay of z that self uses, chosen by rendezvous hashing
// so that different instances spread over the relays of z.
func chooseRelay(self Identity, z ZoneView) Identity {
	best := z.Relays[0]
	for _, r := range z.Relays[1:] {
		if hrw.Score(self.String(), r.String(), 1) > hrw.Score(self.String(), best.String(), 1) {
			best = r
		}
	}
	return best
}
