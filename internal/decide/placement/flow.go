package placement

import "github.com/banyandeal/banyandeal/internal/decide/proportion"

// flow is the flow of one service between regions.
type flow struct {
	g       *graph
	service *Service
	// unmet is the demand of each edge region that is not placed.
	unmet []Rate
	// spare is the unused capacity of each region.
	spare []Rate
	// to holds the flow from each edge region to each region.
	to [][]Rate
}

func newFlow(g *graph, s *Service) *flow {
	f := &flow{g: g, service: s}
	f.reset()
	return f
}

// reset takes all flow away.
func (f *flow) reset() {
	f.to = square(f.g.regions)
	f.spare = make([]Rate, f.g.regions)
	f.unmet = make([]Rate, f.g.regions)
	for z, c := range f.service.Capacity {
		f.spare[f.g.zones[z].Region] += c
	}
	for e, d := range f.service.Demand {
		f.unmet[e] = max(d, nominalDemand)
	}
}

// fill places demand nearest first. In each round every edge region asks the
// next region of its preference; a region that is asked for more than it has
// shares what it has in proportion.
func (f *flow) fill(caps [][]Rate) {
	for round := range f.g.regions {
		asked := square(f.g.regions)
		for e, order := range f.g.prefer {
			if round < len(order) {
				r := order[round]
				asked[r][e] = min(f.unmet[e], caps[e][r]-f.to[e][r])
			}
		}
		for r := range asked {
			for e, amount := range proportion.Divide(f.spare[r], asked[r], asked[r]) {
				f.move(e, r, amount)
			}
		}
	}
}

// move places amount of an edge region's unmet demand in a region.
func (f *flow) move(e, r int, amount Rate) {
	f.unmet[e] -= amount
	f.spare[r] -= amount
	f.to[e][r] += amount
}

// augment moves flow along shortest augmenting paths until no more demand can
// be placed, so that what stays unmet fits nowhere.
func (f *flow) augment(caps [][]Rate) {
	for e := range f.unmet {
		for f.unmet[e] > 0 && f.augmentFrom(e, caps) {
		}
	}
}

// augmentFrom places some of the edge region's unmet demand, if need be by
// moving others' flow on to regions with room.
func (f *flow) augmentFrom(e int, caps [][]Rate) bool {
	// via[r] is the edge region that region r was reached from; from[x] is the
	// region whose flow edge region x would give up.
	via, from := filled(f.g.regions, -1), filled(f.g.regions, -1)
	queue, seen := []int{e}, filled(f.g.regions, 0)
	seen[e] = 1
	for len(queue) > 0 {
		x := queue[0]
		queue = queue[1:]
		for _, r := range f.g.prefer[x] {
			if via[r] >= 0 || caps[x][r] <= f.to[x][r] {
				continue
			}
			via[r] = x
			if f.spare[r] > 0 {
				f.apply(e, r, via, from, caps)
				return true
			}
			for y := range f.to {
				if seen[y] == 0 && f.to[y][r] > 0 {
					seen[y], from[y] = 1, r
					queue = append(queue, y)
				}
			}
		}
	}
	return false
}

// apply moves the most that the path from edge region e to region end takes.
func (f *flow) apply(e, end int, via, from []int, caps [][]Rate) {
	amount := min(f.unmet[e], f.spare[end])
	for r := end; ; r = from[via[r]] {
		x := via[r]
		amount = min(amount, caps[x][r]-f.to[x][r])
		if x == e {
			break
		}
		amount = min(amount, f.to[x][from[x]])
	}
	f.unmet[e] -= amount
	f.spare[end] -= amount
	for r := end; ; r = from[via[r]] {
		x := via[r]
		f.to[x][r] += amount
		if x == e {
			break
		}
		f.to[x][from[x]] -= amount
	}
}

// cells splits the flow into each region among its zones.
func (f *flow) cells() Matrix {
	m := NewMatrix(f.g.regions, len(f.g.zones))
	for r := range f.g.regions {
		zones := f.zonesOf(r)
		inflow := make([]Rate, f.g.regions)
		for e := range f.to {
			inflow[e] = f.to[e][r]
		}
		alloc := f.fillZones(zones, proportion.Sum(inflow))
		for e, row := range proportion.Table(inflow, alloc) {
			for i, z := range zones {
				m.Row(e)[z] = row[i]
			}
		}
	}
	for e, u := range f.unmet {
		m.Row(e)[m.Zones] = u
	}
	return m
}

// spares weighs the zones an edge region may turn to.
func (f *flow) spares(caps [][]Rate) Matrix {
	m := NewMatrix(f.g.regions, len(f.g.zones))
	for r := range f.g.regions {
		zones := f.zonesOf(r)
		var load Rate
		for e := range f.to {
			load += f.to[e][r]
		}
		left := f.fillZones(zones, load)
		for i, z := range zones {
			left[i] = f.service.Capacity[z] - left[i]
		}
		for e := range f.to {
			reach := min(caps[e][r]-f.to[e][r], f.spare[r])
			for i, z := range zones {
				if f.service.Capacity[z] > 0 && f.g.links[e][r] > 0 {
					m.Row(e)[z] = max(proportion.MulDiv(reach, left[i], max(f.spare[r], 1)), 1)
				}
			}
		}
	}
	return m
}

func (f *flow) zonesOf(r int) []int {
	var zones []int
	for z := range f.g.zones {
		if f.g.zones[z].Region == r {
			zones = append(zones, z)
		}
	}
	return zones
}

// fillZones splits a load among a region's zones by weight, within capacity.
func (f *flow) fillZones(zones []int, load Rate) []Rate {
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

func filled(n, v int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = v
	}
	return s
}
