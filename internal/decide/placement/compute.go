package placement

import (
	"cmp"
	"slices"

	"github.com/banyandeal/banyandeal/internal/decide/proportion"
)

// Matrix holds the flow of each cell (edge region, zone), and of each edge
// region the overflow that no zone takes.
type Matrix struct {
	// Edges and Zones are the sizes of the matrix.
	Edges, Zones int
	// Values holds Zones+1 values for each edge region; the last is the overflow.
	Values []Rate
}

// NewMatrix returns a matrix of zeros.
func NewMatrix(edges, zones int) Matrix {
	return Matrix{Edges: edges, Zones: zones, Values: make([]Rate, edges*(zones+1))}
}

// Row returns the flows of one edge region, its overflow last. It shares the
// matrix's memory.
func (m Matrix) Row(edge int) []Rate {
	n := m.Zones + 1
	return m.Values[edge*n : (edge+1)*n : (edge+1)*n]
}

// Overflow returns the edge region's flow that no zone takes.
func (m Matrix) Overflow(edge int) Rate { return m.Row(edge)[m.Zones] }

// Clone returns a copy.
func (m Matrix) Clone() Matrix {
	m.Values = slices.Clone(m.Values)
	return m
}

// ServicePlan is the placement of one service.
type ServicePlan struct {
	Name string
	// Flow is the target. Each row adds up to the edge region's demand, no
	// zone's column exceeds its capacity.
	Flow Matrix
	// FailoverWeights weighs, for each edge region, the zones that it may turn to when
	// those of Flow fail: unused capacity behind unused links, at least 1 for
	// any zone that has capacity and can be reached.
	FailoverWeights Matrix
}

// Plan is the placement of all services. The sum of all services on a link
// does not exceed the link's cap.
type Plan struct {
	// Input is what the plan was made of.
	Input    Input
	Services []ServicePlan
}

// Compute places the input's demand. It fails with a *SizeError.
func Compute(in Input) (*Plan, error) {
	if len(in.Zones) > MaxZones {
		return nil, &SizeError{Zones: len(in.Zones)}
	}
	g := newGraph(&in)
	flows := make([]*flow, len(in.Services))
	for i := range in.Services {
		flows[i] = newFlow(g, &in.Services[i])
	}
	for i, caps := range g.splitLinks(flows) {
		flows[i].reset()
		flows[i].fill(caps)
	}
	for _, f := range flows {
		f.augment(g.capsFor(f, flows))
	}
	p := &Plan{Input: in}
	for _, f := range flows {
		spare := g.capsFor(f, flows)
		p.Services = append(p.Services, ServicePlan{Name: f.service.Name, Flow: f.cells(), FailoverWeights: f.spares(spare)})
	}
	return p, nil
}

// graph is the regions and their links.
type graph struct {
	regions int
	zones   []Zone
	// links holds the cap from each region to each, 0 where there is no link
	// and Unlimited within a region.
	links [][]Rate
	// prefer lists, for each edge region, itself and then the regions it has a
	// link to, the widest link first.
	prefer [][]int
}

func newGraph(in *Input) *graph {
	g := &graph{regions: len(in.Regions), zones: in.Zones, links: square(len(in.Regions))}
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
		g.prefer = append(g.prefer, order)
	}
	return g
}

// splitLinks shares each link's cap among services in proportion to what each
// would send over it if no link had a cap. What that leaves is shared evenly:
// caps of other links may turn more flow to this one.
func (g *graph) splitLinks(flows []*flow) [][][]Rate {
	open := square(g.regions)
	for e, order := range g.prefer {
		for _, r := range order {
			open[e][r] = Unlimited
		}
	}
	for _, f := range flows {
		f.fill(open)
	}
	shares := make([][][]Rate, len(flows))
	for i, f := range flows {
		shares[i] = square(g.regions)
		for e := range g.links {
			for r, limit := range g.links[e] {
				need := used(flows, e, r)
				if need > limit {
					shares[i][e][r] = proportion.MulDiv(limit, f.to[e][r], need)
				} else {
					shares[i][e][r] = f.to[e][r] + (limit-need)/Rate(len(flows))
				}
			}
		}
	}
	return shares
}

// capsFor returns what f may send over each link: its own flow and what no
// service uses.
func (g *graph) capsFor(f *flow, flows []*flow) [][]Rate {
	caps := square(g.regions)
	for e := range g.links {
		for r, limit := range g.links[e] {
			caps[e][r] = limit - used(flows, e, r) + f.to[e][r]
		}
	}
	return caps
}

// used returns the flow of all services over a link.
func used(flows []*flow, e, r int) Rate {
	var sum Rate
	for _, f := range flows {
		sum += f.to[e][r]
	}
	return sum
}

func square(n int) [][]Rate {
	m := make([][]Rate, n)
	for i := range m {
		m[i] = make([]Rate, n)
	}
	return m
}
