package placement

import "github.com/banyandeal/banyandeal/internal/decide/proportion"

// flow is the flow of one service between regions.
type flow struct {
	g       *graph
	service *Service
	// unplaced is the demand of each edge region that is not yet placed.
	unplaced []Rate
	// spareCapacity is the unused capacity of each region.
	spareCapacity []Rate
	// placed holds the flow from each edge region (first index) to each region
	// (second index).
	placed [][]Rate
}

// newFlow returns a flow in which no demand is placed.
func newFlow(g *graph, s *Service) *flow {
	f := &flow{g: g, service: s}
	f.reset()
	return f
}

// reset removes all placed flow.
func (f *flow) reset() {
	f.placed = newSquareMatrix(f.g.regions)
	f.spareCapacity = make([]Rate, f.g.regions)
	f.unplaced = make([]Rate, f.g.regions)
	for z, c := range f.service.Capacity {
		f.spareCapacity[f.g.zones[z].Region] += c
	}
	for e, d := range f.service.Demand {
		f.unplaced[e] = max(d, nominalDemand)
	}
}

// placeNearest places demand in the nearest regions first. In each round every
// edge region requests capacity of the next region in its order of preference.
// A region that has less capacity than requested divides it in proportion to
// the requests. No flow exceeds caps.
func (f *flow) placeNearest(caps [][]Rate) {
	for round := range f.g.regions {
		requested := newSquareMatrix(f.g.regions)
		for e, order := range f.g.preference {
			if round < len(order) {
				r := order[round]
				requested[r][e] = min(f.unplaced[e], caps[e][r]-f.placed[e][r])
			}
		}
		for r := range requested {
			for e, amount := range proportion.Divide(f.spareCapacity[r], requested[r], requested[r]) {
				f.place(e, r, amount)
			}
		}
	}
}

// place moves amount from the unplaced demand of edge region e to region r.
func (f *flow) place(e, r int, amount Rate) {
	f.unplaced[e] -= amount
	f.spareCapacity[r] -= amount
	f.placed[e][r] += amount
}

// augment moves flow along shortest augmenting paths until no more demand can
// be placed. The demand that is then unplaced fits nowhere.
func (f *flow) augment(caps [][]Rate) {
	for e := range f.unplaced {
		for f.unplaced[e] > 0 && f.augmentFrom(e, caps) {
		}
	}
}

// augmentFrom finds a shortest augmenting path from edge region e by
// breadth-first search and places some of its unplaced demand. Flow of other
// edge regions may move to regions with spare capacity. It reports whether it
// found a path.
func (f *flow) augmentFrom(e int, caps [][]Rate) bool {
	// reachedFrom[r] is the edge region that region r was reached from.
	// displacedFrom[x] is the region that edge region x would move flow away
	// from. Both are -1 where the search has not been.
	reachedFrom, displacedFrom := repeatedInts(f.g.regions, -1), repeatedInts(f.g.regions, -1)
	queue, seen := []int{e}, repeatedInts(f.g.regions, 0)
	seen[e] = 1
	for len(queue) > 0 {
		x := queue[0]
		queue = queue[1:]
		for _, r := range f.g.preference[x] {
			if reachedFrom[r] >= 0 || caps[x][r] <= f.placed[x][r] {
				continue
			}
			reachedFrom[r] = x
			if f.spareCapacity[r] > 0 {
				f.augmentPath(e, r, reachedFrom, displacedFrom, caps)
				return true
			}
			for y := range f.placed {
				if seen[y] == 0 && f.placed[y][r] > 0 {
					seen[y], displacedFrom[y] = 1, r
					queue = append(queue, y)
				}
			}
		}
	}
	return false
}

// augmentPath moves as much flow as possible along the path from edge region e
// to region end.
func (f *flow) augmentPath(e, end int, reachedFrom, displacedFrom []int, caps [][]Rate) {
	amount := min(f.unplaced[e], f.spareCapacity[end])
	for r := end; ; r = displacedFrom[reachedFrom[r]] {
		x := reachedFrom[r]
		amount = min(amount, caps[x][r]-f.placed[x][r])
		if x == e {
			break
		}
		amount = min(amount, f.placed[x][displacedFrom[x]])
	}
	f.unplaced[e] -= amount
	f.spareCapacity[end] -= amount
	for r := end; ; r = displacedFrom[reachedFrom[r]] {
		x := reachedFrom[r]
		f.placed[x][r] += amount
		if x == e {
			break
		}
		f.placed[x][displacedFrom[x]] -= amount
	}
}

// splitByZone divides the flow into each region among the region's zones. The
// unplaced demand becomes the overflow.
func (f *flow) splitByZone() Matrix {
	m := NewMatrix(f.g.regions, len(f.g.zones))
	for r := range f.g.regions {
		zones := f.zonesIn(r)
		inflow := make([]Rate, f.g.regions)
		for e := range f.placed {
			inflow[e] = f.placed[e][r]
		}
		zoneLoads := f.splitAmongZones(zones, proportion.Sum(inflow))
		for e, row := range proportion.Table(inflow, zoneLoads) {
			for i, z := range zones {
				m.Row(e)[z] = row[i]
			}
		}
	}
	for e, u := range f.unplaced {
		m.Row(e)[m.Zones] = u
	}
	return m
}

// failoverWeights returns the weights of the zones that each edge region may
// fail over to. caps holds the flow that the service may send over each link,
// its present flow included.
func (f *flow) failoverWeights(caps [][]Rate) Matrix {
	m := NewMatrix(f.g.regions, len(f.g.zones))
	for r := range f.g.regions {
		zones := f.zonesIn(r)
		var load Rate
		for e := range f.placed {
			load += f.placed[e][r]
		}
		unused := f.splitAmongZones(zones, load)
		for i, z := range zones {
			unused[i] = f.service.Capacity[z] - unused[i]
		}
		for e := range f.placed {
			reachable := min(caps[e][r]-f.placed[e][r], f.spareCapacity[r])
			for i, z := range zones {
				if f.service.Capacity[z] > 0 && f.g.links[e][r] > 0 {
					m.Row(e)[z] = max(proportion.MulDiv(reachable, unused[i], max(f.spareCapacity[r], 1)), 1)
				}
			}
		}
	}
	return m
}

// zonesIn returns the indexes of the zones in region r.
func (f *flow) zonesIn(r int) []int {
	var zones []int
	for z := range f.g.zones {
		if f.g.zones[z].Region == r {
			zones = append(zones, z)
		}
	}
	return zones
}

// splitAmongZones divides a load among the zones of a region by weight, and
// limits each zone to its capacity. If all weights are 0, it divides by
// capacity.
func (f *flow) splitAmongZones(zones []int, load Rate) []Rate {
	weights, limits := make([]Rate, len(zones)), make([]Rate, len(zones))
	for i, z := range zones {
		limits[i] = f.service.Capacity[z]
		if z < len(f.service.Weight) && limits[i] > 0 {
			weights[i] = Rate(f.service.Weight[z])
		}
	}
	if proportion.Sum(weights) == 0 {
		copy(weights, limits)
	}
	return proportion.Divide(load, weights, limits)
}

// repeatedInts returns a slice of n elements, all of which are v.
func repeatedInts(n, v int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = v
	}
	return s
}
