package placement

import (
	"math/bits"
	"slices"
)

// zoneRing is a ring of zones. A caller starts at a zone drawn by weight.
// Adjacent zones are in different regions where possible, so that the callers
// of a lost region spread over several regions.
type zoneRing struct {
	// zones holds the zones in ring order.
	zones []ZoneIndex
	// cumulative holds, at index i, the sum of the weights of zones[0..i].
	cumulative []Rate
}

// newZoneRing returns the ring of the zones whose weight is above 0.
func newZoneRing(zones []Zone, weights []Rate) zoneRing {
	var r zoneRing
	perRegion := map[int]int{}
	rankInRegion := make([]int, len(zones))
	for z, w := range weights {
		if w > 0 {
			rankInRegion[z] = perRegion[zones[z].Region]
			perRegion[zones[z].Region]++
			r.zones = append(r.zones, ZoneIndex(z))
		}
	}
	slices.SortStableFunc(r.zones, func(a, b ZoneIndex) int { return rankInRegion[a] - rankInRegion[b] })
	var sum Rate
	for _, z := range r.zones {
		sum += weights[z]
		r.cumulative = append(r.cumulative, sum)
	}
	return r
}

// startIndex returns the index in the ring at which a caller starts. The ring
// must not be empty.
func (r *zoneRing) startIndex(prefixHash uint64) int {
	hi, _ := bits.Mul64(mix(prefixHash, seedIPv4), uint64(r.cumulative[len(r.cumulative)-1]))
	for i, cumulative := range r.cumulative {
		if Rate(hi) < cumulative {
			return i
		}
	}
	return 0
}

// first returns the zone at which a caller starts. It reports false if the ring
// is empty.
func (r *zoneRing) first(prefixHash uint64) (ZoneIndex, bool) {
	if len(r.zones) == 0 {
		return 0, false
	}
	return r.zones[r.startIndex(prefixHash)], true
}

// appendTo appends all zones of the ring to dst, from the caller's start on.
func (r *zoneRing) appendTo(dst []ZoneIndex, prefixHash uint64) []ZoneIndex {
	if len(r.zones) == 0 {
		return dst
	}
	i := r.startIndex(prefixHash)
	return append(append(dst, r.zones[i:]...), r.zones[:i]...)
}
