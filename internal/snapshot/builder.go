package snapshot

import (
	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// Builder builds the parts of snapshots that depend on the membership view, and
// returns a cached part if its input has not changed. The cache pays off because
// snapshots are published several times a second but members change only a few
// times a minute. The zero Builder is ready for use. A Builder is not safe for
// concurrent use. The values that it returns never change.
type Builder struct {
	// view is the view that peers was built from.
	view  *membership.View
	peers map[membership.Identity]string
	// zones holds the cached parts of the zones without load reports, by name.
	zones map[string]cachedZone
}

// cachedZone is the part of a snapshot that was built for one zone.
type cachedZone struct {
	// source holds the members of the zone that result was built from.
	source []membership.Instance
	result []Instance
}

// Peers returns the peer addresses of all incarnations that may be alive.
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

// Instances returns the instances of the zone that may receive requests, with the
// load that each reported. loads is nil for a zone whose instances do not report
// their loads to this instance; only such a zone is cached.
func (b *Builder) Instances(z membership.ZoneView, loads map[membership.Identity]map[string]load.Report) []Instance {
	if loads != nil {
		return instances(z, loads)
	}
	if old, ok := b.zones[z.Name]; ok && sameSlice(old.source, z.Instances) {
		return old.result
	}
	if b.zones == nil {
		b.zones = map[string]cachedZone{}
	}
	result := instances(z, nil)
	b.zones[z.Name] = cachedZone{z.Instances, result}
	return result
}

// instances returns the live instances of the zone with their loads.
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

// sameSlice reports whether a and b are the same part of one array. Successive
// views share the slices of zones that did not change.
func sameSlice(a, b []membership.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
