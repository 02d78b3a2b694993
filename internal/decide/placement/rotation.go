package placement

import (
	"math/bits"
	"slices"
)

// rotation is a circle of zones that callers enter at a place drawn by weight.
// Neighbours on it are of different regions where that can be had, so that the
// callers of a lost region part.
type rotation struct {
	zones []ZoneIndex
	// upto holds the sum of the weights of zones[0..i].
	upto []Rate
}

// newRotation returns the circle of the zones with a weight above 0.
func newRotation(zones []Zone, weights []Rate) rotation {
	var r rotation
	perRegion := map[int]int{}
	place := make([]int, len(zones))
	for z, w := range weights {
		if w > 0 {
			place[z] = perRegion[zones[z].Region]
			perRegion[zones[z].Region]++
			r.zones = append(r.zones, ZoneIndex(z))
		}
	}
	slices.SortStableFunc(r.zones, func(a, b ZoneIndex) int { return place[a] - place[b] })
	var sum Rate
	for _, z := range r.zones {
		sum += weights[z]
		r.upto = append(r.upto, sum)
	}
	return r
}

// enter returns the place that a caller enters at.
func (r *rotation) enter(unit uint64) int {
	hi, _ := bits.Mul64(mix(unit, seed4), uint64(r.upto[len(r.upto)-1]))
	for i, upto := range r.upto {
		if Rate(hi) < upto {
			return i
		}
	}
	return 0
}

// first returns the zone that a caller enters at.
func (r *rotation) first(unit uint64) (ZoneIndex, bool) {
	if len(r.zones) == 0 {
		return 0, false
	}
	return r.zones[r.enter(unit)], true
}

// appendTo appends all zones to dst, from the caller's place on.
func (r *rotation) appendTo(dst []ZoneIndex, unit uint64) []ZoneIndex {
	if len(r.zones) == 0 {
		return dst
	}
	i := r.enter(unit)
	return append(append(dst, r.zones[i:]...), r.zones[:i]...)
}
