package membership

import (
	"cmp"
	"slices"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

// View is an immutable picture of all known instances.
type View struct {
	// Zones is sorted by name.
	Zones []ZoneView
}

// ZoneView is one zone of a View.
type ZoneView struct {
	Name string
	// Instances is sorted by identity and includes gone ones until they are
	// forgotten.
	Instances []Instance
	// Relays are the identities that relay for the zone, best first; at most
	// RelaysPerZone.
	Relays []Identity
}

// Zone returns the named zone, or an empty one.
func (v *View) Zone(name string) ZoneView {
	i, ok := slices.BinarySearchFunc(v.Zones, name, func(z ZoneView, n string) int { return cmp.Compare(z.Name, n) })
	if !ok {
		return ZoneView{Name: name}
	}
	return v.Zones[i]
}

// Instance returns what is believed of one identity.
func (v *View) Instance(id Identity) (Instance, bool) {
	for _, z := range v.Zones {
		i, ok := slices.BinarySearchFunc(z.Instances, id, func(in Instance, d Identity) int { return in.Compare(d) })
		if ok {
			return z.Instances[i], true
		}
	}
	return Instance{}, false
}

// Usable returns the zone's instances that may be given work: the live ones.
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

// IsRelay reports whether id relays for the zone.
func (z ZoneView) IsRelay(id Identity) bool { return slices.Contains(z.Relays, id) }

// relaysOf returns the zone's best instances by rendezvous hash: live ones
// first, then leaving, then suspect ones, so that two sides that suspect each
// other still speak once they can.
func relaysOf(zone string, instances []Instance) []Identity {
	var out []Identity
	for _, want := range []State{Live, Leaving, Suspect} {
		out = append(out, rankState(zone, instances, want)...)
		if len(out) >= RelaysPerZone {
			return out[:RelaysPerZone]
		}
	}
	return out
}

// rankState ranks the instances of one state.
func rankState(zone string, instances []Instance, want State) []Identity {
	byName := make(map[string]Identity)
	var names []string
	for _, in := range instances {
		if in.State == want {
			byName[in.Identity.String()] = in.Identity
			names = append(names, in.Identity.String())
		}
	}
	out := make([]Identity, 0, len(names))
	for _, n := range hrw.Rank("relay/"+zone, names) {
		out = append(out, byName[n])
	}
	return out
}

// targetsOf returns whom self sends heartbeats to: its zone's relays and, when
// it is one itself, one relay of every other zone.
func (v *View) targetsOf(self Instance) []Identity {
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
// zone z: relays pass them on among themselves, so that one is enough. Each
// instance chooses a live one for itself. ok is false when self is a relay,
// which exchanges with all, and when there is none.
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

// chooseRelay spreads the relays of one zone over those of another.
func chooseRelay(self Identity, z ZoneView) Identity {
	best := z.Relays[0]
	for _, r := range z.Relays[1:] {
		if hrw.Score(self.String(), r.String(), 1) > hrw.Score(self.String(), best.String(), 1) {
			best = r
		}
	}
	return best
}
