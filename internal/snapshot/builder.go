package snapshot

import (
	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// Builder makes the parts of snapshots that follow the membership view, and
// hands out again what has not changed: snapshots are published several times a
// second, members change a few times a minute. The zero Builder is ready. It is
// not safe for concurrent use; what it returned is never changed.
type Builder struct {
	view  *membership.View
	peers map[membership.Identity]string
	// zones holds what was made of each zone that reports no loads.
	zones map[string]built
}

// built is a zone's part of a view and what was made of it.
type built struct {
	from []membership.Instance
	to   []Instance
}

// Peers returns the peer addresses of all instances that may be alive.
func (b *Builder) Peers(v *membership.View) map[membership.Identity]string {
	if v == b.view {
		return b.peers
	}
	peers := make(map[membership.Identity]string, len(b.peers))
	for _, z := range v.Zones {
		for _, in := range z.Instances {
			if in.State != membership.Gone {
				peers[in.Identity] = in.Peer
			}
		}
	}
	b.view, b.peers = v, peers
	return peers
}

// Instances returns the zone's instances that may be given work, with what each
// reported. loads is nil for a zone whose instances report nothing here.
func (b *Builder) Instances(z membership.ZoneView, loads map[membership.Identity]map[string]load.Report) []Instance {
	if loads != nil {
		return instances(z, loads)
	}
	if old, ok := b.zones[z.Name]; ok && sameSlice(old.from, z.Instances) {
		return old.to
	}
	if b.zones == nil {
		b.zones = map[string]built{}
	}
	to := instances(z, nil)
	b.zones[z.Name] = built{z.Instances, to}
	return to
}

func instances(z membership.ZoneView, loads map[membership.Identity]map[string]load.Report) []Instance {
	var out []Instance
	for i := range z.Instances {
		in := &z.Instances[i]
		if in.State != membership.Live {
			continue
		}
		out = append(out, Instance{
			ID: in.ID, Incarnation: in.Incarnation, Zone: in.Zone, Caller: in.Caller, Peer: in.Peer, Loads: loads[in.Identity],
		})
	}
	return out
}

// sameSlice reports whether a and b are the same part of one array. Views share
// the parts of zones that did not change.
func sameSlice(a, b []membership.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
