package placement

import (
	"cmp"
	"slices"

	"github.com/banyandeal/banyandeal/internal/decide/proportion"
)

// Matrix holds one value for each cell, which is a pair of an edge region and a
// zone, and one overflow for each edge region. The values are flows, weights,
// or shares of an edge region's traffic. The overflow is the traffic that no
// zone can take.
type Matrix struct {
	// Edges and Zones are the numbers of edge regions and of zones.
	Edges, Zones int
	// Values holds Zones+1 values for each edge region, region by region. The
	// last of them is the region's overflow.
	Values []Rate
}

// NewMatrix returns a matrix of zeros.
func NewMatrix(edges, zones int) Matrix {
	return Matrix{Edges: edges, Zones: zones, Values: make([]Rate, edges*(zones+1))}
}

// Row returns the values of one edge region, with its overflow last. The slice
// shares the matrix's memory.
func (m Matrix) Row(edge int) []Rate {
	n := m.Zones + 1
	return m.Values[edge*n : (edge+1)*n : (edge+1)*n]
}

// Overflow returns the overflow of an edge region.
func (m Matrix) Overflow(edge int) Rate { return m.Row(edge)[m.Zones] }

// Clone returns a copy that shares no memory with m.
func (m Matrix) Clone() Matrix {
	m.Values = slices.Clone(m.Values)
	return m
}

// ServicePlan is the placement of one service.
type ServicePlan struct {
	Name string
	// Flow is the target flow of each cell. Each row adds up to the edge
	// region's demand. The column of a zone adds up to at most the zone's
	// capacity in a plan of Compute; ComputeByWeight ignores capacities.
	Flow Matrix
	// FailoverWeights holds, for each edge region, the weight of each zone as a
	// failover target when the zones of Flow fail. The weight is the zone's
	// unused capacity, as far as the unused link capacity reaches it. It is at
	// least 1 for any zone that has capacity and can be reached. In a plan of
	// ComputeByWeight all weights are 0.
	FailoverWeights Matrix
}

// Plan is the placement of all services. In a plan of Compute the flow of all
// services over a link is at most the link's cap.
type Plan struct {
	// Input is the input that the plan was computed from.
	Input    Input
	Services []ServicePlan
}

// Compute places the demand of the input. It fails with a *SizeError if the
// input has more than MaxZones zones.
func Compute(in Input) (*Plan, error) {
	if len(in.Zones) > MaxZones {
		return nil, &SizeError{Zones: len(in.Zones)}
	}
	g := newGraph(&in)
	flows := make([]*flow, len(in.Services))
	for i := range in.Services {
		flows[i] = newFlow(g, &in.Services[i])
	}
	for i, caps := range g.splitLinkCaps(flows) {
		flows[i].reset()
		flows[i].placeNearest(caps)
	}
	for _, f := range flows {
		f.augment(g.capsAvailableTo(f, flows))
	}
	p := &Plan{Input: in}
	for _, f := range flows {
		remainingCaps := g.capsAvailableTo(f, flows)
		p.Services = append(p.Services, ServicePlan{Name: f.service.Name, Flow: f.splitByZone(), FailoverWeights: f.failoverWeights(remainingCaps)})
	}
	return p, nil
}

// graph holds the regions, their zones and the links between regions.
type graph struct {
	regions int
	zones   []Zone
	// links holds the cap of the link from each region to each other one: 0
	// where there is no link, and Unlimited within a region.
	links [][]Rate
	// preference lists, for each edge region, the region itself and then the
	// regions that it has a link to, in descending order of the link's cap.
	preference [][]int
}

func newGraph(in *Input) *graph {
	g := &graph{regions: len(in.Regions), zones: in.Zones, links: newSquareMatrix(len(in.Regions))}
	for _, l := range in.Links {
		g.links[l.From][l.To] = min(l.Cap, Unlimited)
	}
	for e := range g.links {
		g.links[e][e] = Unlimited
		order := []int{e}
		for r, c := range g.links[e] {
			if r != e && c > 0 {
				order = append(order, r)
			}
		}
		slices.SortStableFunc(order[1:], func(a, b int) int { return cmp.Compare(g.links[e][b], g.links[e][a]) })
		g.preference = append(g.preference, order)
	}
	return g
}

// splitLinkCaps divides each link's cap among services in proportion to the
// flow that each would send over the link if no link had a cap. The rest of the
// cap is divided evenly, because the caps of other links may divert more flow
// to this one.
func (g *graph) splitLinkCaps(flows []*flow) [][][]Rate {
	uncapped := newSquareMatrix(g.regions)
	for e, order := range g.preference {
		for _, r := range order {
			uncapped[e][r] = Unlimited
		}
	}
	for _, f := range flows {
		f.placeNearest(uncapped)
	}
	shares := make([][][]Rate, len(flows))
	for i, f := range flows {
		shares[i] = newSquareMatrix(g.regions)
		for e := range g.links {
			for r, limit := range g.links[e] {
				wanted := totalLinkFlow(flows, e, r)
				if wanted > limit {
					shares[i][e][r] = proportion.MulDiv(limit, f.placed[e][r], wanted)
				} else {
					shares[i][e][r] = f.placed[e][r] + (limit-wanted)/Rate(len(flows))
				}
			}
		}
	}
	return shares
}

// capsAvailableTo returns the flow that f may send over each link: its own flow
// plus the part of the cap that no service uses.
func (g *graph) capsAvailableTo(f *flow, flows []*flow) [][]Rate {
	caps := newSquareMatrix(g.regions)
	for e := range g.links {
		for r, limit := range g.links[e] {
			caps[e][r] = limit - totalLinkFlow(flows, e, r) + f.placed[e][r]
		}
	}
	return caps
}

// totalLinkFlow returns the flow of all services from edge region e to region
// r.
func totalLinkFlow(flows []*flow, e, r int) Rate {
	var sum Rate
	for _, f := range flows {
		sum += f.placed[e][r]
	}
	return sum
}

// newSquareMatrix returns an n by n matrix of zeros.
func newSquareMatrix(n int) [][]Rate {
	m := make([][]Rate, n)
	for i := range m {
		m[i] = make([]Rate, n)
	}
	return m
}
