package placement

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/banyandeal/banyandeal/internal/blocktable"
)

// Granularity says in what pieces blocks are steered. A piece is the longer of the
// block's prefix and the given length; 0 steers whole blocks. Short pieces
// follow the planned shares closely where blocks are few or uneven.
type Granularity struct{ Bits4, Bits6 uint8 }

// Table orders the zones for callers of one service. It is immutable.
type Table struct {
	blocks *blocktable.Table
	units  Granularity
	// fallback is the edge region of callers in no block.
	fallback int
	edges    []edge
}

// edge is what a look-up needs of one edge region.
type edge struct {
	// planned holds the zones that take flow, and the overflow if there is any.
	planned []candidate
	others  rotation
}

// candidate is a zone with its weight.
type candidate struct {
	seed uint64
	// inverse is 1/weight.
	inverse float64
	zone    ZoneIndex
	// overflow marks the candidate that stands for no zone.
	overflow bool
}

// NewTable returns the table that applies the flows, which are the target of
// the service plan or a ramp on the way to it. The class of a block is the
// index of its edge region; fallback is the edge region of all other callers.
func NewTable(p *Plan, service int, flows Matrix, blocks *blocktable.Table, units Granularity, fallback int) *Table {
	s := &p.Services[service]
	t := &Table{blocks: blocks, units: units, fallback: fallback, edges: make([]edge, max(flows.Edges, 1))}
	if t.fallback < 0 || t.fallback >= len(t.edges) {
		t.fallback = 0
	}
	for e := range flows.Edges {
		t.edges[e] = newEdge(p.Input.Zones, s, flows.Row(e), s.FailoverWeights.Row(e))
	}
	return t
}

func newEdge(zones []Zone, s *ServicePlan, flow, spare []Rate) edge {
	var out edge
	weights := make([]Rate, len(zones))
	for z := range zones {
		if flow[z] == 0 {
			weights[z] = spare[z]
			continue
		}
		seed := xxhash.Sum64String(s.Name + "\x00" + zones[z].Name)
		out.planned = append(out.planned, candidate{seed: seed, inverse: 1 / float64(flow[z]), zone: ZoneIndex(z)})
	}
	if over := flow[len(zones)]; over > 0 {
		c := candidate{seed: xxhash.Sum64String(s.Name), inverse: 1 / float64(over), overflow: true}
		out.planned = append(out.planned, c)
	}
	out.others = newRotation(zones, weights)
	return out
}

// Order appends the zones for a caller to dst, best first: the zones that take
// flow from the caller's edge region, the first sorted of them by rendezvous,
// and then those with room to spare. It appends nothing for a caller in the share that fits
// nowhere; such a caller is to be told to come back.
func (t *Table) Order(addr netip.Addr, dst []ZoneIndex) []ZoneIndex {
	e, unit := t.locate(addr)
	var ranked [MaxZones + 1]scored
	n := rank(&ranked, unit, e.planned)
	if n > 0 && ranked[0].overflow {
		return dst
	}
	for i := range n {
		if !ranked[i].overflow {
			dst = append(dst, ranked[i].zone)
		}
	}
	return e.others.appendTo(dst, unit)
}

// First returns the first zone of Order; ok is false for a caller in the share
// that fits nowhere.
func (t *Table) First(addr netip.Addr) (zone ZoneIndex, ok bool) {
	e, unit := t.locate(addr)
	best, at := 0.0, -1
	for i := range e.planned {
		if s := e.planned[i].score(unit); at < 0 || s < best {
			best, at = s, i
		}
	}
	if at < 0 {
		return e.others.first(unit)
	}
	return e.planned[at].zone, !e.planned[at].overflow
}

// Edge returns the caller's edge region.
func (t *Table) Edge(addr netip.Addr) int {
	if m, ok := t.blocks.Lookup(addr); ok && int(m.Class) < len(t.edges) {
		return int(m.Class)
	}
	return t.fallback
}

// locate returns the caller's edge region and the hash of its piece.
func (t *Table) locate(addr netip.Addr) (*edge, uint64) {
	m, ok := t.blocks.Lookup(addr)
	if !ok || int(m.Class) >= len(t.edges) {
		return &t.edges[t.fallback], hashUnit(addr, max(t.units.Bits4, 24), max(t.units.Bits6, 48))
	}
	return &t.edges[m.Class], hashUnit(addr, max(t.units.Bits4, m.Bits), max(t.units.Bits6, m.Bits))
}

// scored is a candidate with its score for one caller.
type scored struct {
	score    float64
	zone     ZoneIndex
	overflow bool
}

// sorted is how many of a caller's zones are put in order of their score.
const sorted = 3

// rank writes the candidates to out, the first of them sorted by score, and
// returns how many there are.
func rank(out *[MaxZones + 1]scored, unit uint64, cs []candidate) int {
	for i := range cs {
		s := scored{score: cs[i].score(unit), zone: cs[i].zone, overflow: cs[i].overflow}
		j := i
		if j > sorted {
			out[j] = out[sorted]
			j = sorted
		}
		for ; j > 0 && out[j-1].score > s.score; j-- {
			out[j] = out[j-1]
		}
		out[j] = s
	}
	return len(cs)
}

// score is exponentially distributed with the candidate's weight as its rate,
// so the lowest score of a set falls on each in proportion to its weight.
func (c *candidate) score(unit uint64) float64 {
	return float64(negLog2(mix(unit, c.seed))) * c.inverse
}
