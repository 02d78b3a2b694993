package placement

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/banyandeal/banyandeal/internal/blocktable"
)

// Granularity sets the prefix length by which callers are steered: Bits4 for
// IPv4, Bits6 for IPv6 addresses. All callers with the same prefix get the same
// zones. The longer of the block's own prefix and the given length applies, so
// 0 steers whole blocks. Where blocks are few or of uneven size, longer
// prefixes follow the planned shares more closely.
type Granularity struct{ Bits4, Bits6 uint8 }

// Table orders the zones for the callers of one service. It is immutable and
// safe for concurrent use.
type Table struct {
	blocks      *blocktable.Table
	granularity Granularity
	// fallback is the edge region of callers that are in no block.
	fallback    int
	edgeRegions []edgeRegion
}

// edgeRegion holds the zones of one edge region for lookups.
type edgeRegion struct {
	// planned holds the zones that take flow, and the overflow if there is any.
	planned []candidate
	// failover holds the zones that take no flow but have a failover weight.
	failover zoneRing
}

// candidate is a zone, or the overflow, with its weight for rendezvous hashing.
type candidate struct {
	// seed is the hash of the service and zone names.
	seed uint64
	// inverseWeight is 1/weight.
	inverseWeight float64
	zone          ZoneIndex
	// overflow is set for the candidate that stands for no zone.
	overflow bool
}

// NewTable returns the table for the service with the given index in the plan.
// flows holds the target flows of the service plan or the shares of a ramp on
// the way to them. The class of a block is the index of its edge region;
// fallback is the edge region of all other callers.
func NewTable(p *Plan, service int, flows Matrix, blocks *blocktable.Table, granularity Granularity, fallback int) *Table {
	s := &p.Services[service]
	t := &Table{blocks: blocks, granularity: granularity, fallback: fallback, edgeRegions: make([]edgeRegion, max(flows.Edges, 1))}
	if t.fallback < 0 || t.fallback >= len(t.edgeRegions) {
		t.fallback = 0
	}
	for e := range flows.Edges {
		t.edgeRegions[e] = newEdgeRegion(p.Input.Zones, s, flows.Row(e), s.FailoverWeights.Row(e))
	}
	return t
}

// newEdgeRegion returns the candidates and the failover zones of one edge
// region.
func newEdgeRegion(zones []Zone, s *ServicePlan, flow, failoverWeights []Rate) edgeRegion {
	var out edgeRegion
	weights := make([]Rate, len(zones))
	for z := range zones {
		if flow[z] == 0 {
			weights[z] = failoverWeights[z]
			continue
		}
		seed := xxhash.Sum64String(s.Name + "\x00" + zones[z].Name)
		out.planned = append(out.planned, candidate{seed: seed, inverseWeight: 1 / float64(flow[z]), zone: ZoneIndex(z)})
	}
	if overflowRate := flow[len(zones)]; overflowRate > 0 {
		c := candidate{seed: xxhash.Sum64String(s.Name), inverseWeight: 1 / float64(overflowRate), overflow: true}
		out.planned = append(out.planned, c)
	}
	out.failover = newZoneRing(zones, weights)
	return out
}

// Order appends the zones for a caller to dst, best first: the zones that take
// flow from the caller's edge region, of which the first sortedCount are sorted
// by rendezvous hashing, and then the failover zones. It appends nothing for a
// caller in the overflow; such a caller is to be rejected and may retry.
func (t *Table) Order(addr netip.Addr, dst []ZoneIndex) []ZoneIndex {
	e, prefixHash := t.locate(addr)
	var ranked [MaxZones + 1]scoredZone
	n := rank(&ranked, prefixHash, e.planned)
	if n > 0 && ranked[0].overflow {
		return dst
	}
	for i := range n {
		if !ranked[i].overflow {
			dst = append(dst, ranked[i].zone)
		}
	}
	return e.failover.appendTo(dst, prefixHash)
}

// First returns the first zone of Order. It reports false for a caller in the
// overflow.
func (t *Table) First(addr netip.Addr) (zone ZoneIndex, ok bool) {
	e, prefixHash := t.locate(addr)
	best, at := 0.0, -1
	for i := range e.planned {
		if s := e.planned[i].score(prefixHash); at < 0 || s < best {
			best, at = s, i
		}
	}
	if at < 0 {
		return e.failover.first(prefixHash)
	}
	return e.planned[at].zone, !e.planned[at].overflow
}

// Edge returns the index of the caller's edge region.
func (t *Table) Edge(addr netip.Addr) int {
	if m, ok := t.blocks.Lookup(addr); ok && int(m.Class) < len(t.edgeRegions) {
		return int(m.Class)
	}
	return t.fallback
}

// locate returns the caller's edge region and the hash of the caller's prefix. A
// caller in no block has a prefix of at least 24 bits for IPv4, 48 for IPv6.
func (t *Table) locate(addr netip.Addr) (*edgeRegion, uint64) {
	m, ok := t.blocks.Lookup(addr)
	if !ok || int(m.Class) >= len(t.edgeRegions) {
		return &t.edgeRegions[t.fallback], hashPrefix(addr, max(t.granularity.Bits4, 24), max(t.granularity.Bits6, 48))
	}
	return &t.edgeRegions[m.Class], hashPrefix(addr, max(t.granularity.Bits4, m.Bits), max(t.granularity.Bits6, m.Bits))
}

// scoredZone is a candidate with its score for one caller.
type scoredZone struct {
	score    float64
	zone     ZoneIndex
	overflow bool
}

// sortedCount is how many of a caller's zones are sorted by score.
const sortedCount = 3

// rank writes the candidates to out, the first sortedCount of them sorted by
// score, and returns the number of candidates.
func rank(out *[MaxZones + 1]scoredZone, prefixHash uint64, candidates []candidate) int {
	for i := range candidates {
		s := scoredZone{score: candidates[i].score(prefixHash), zone: candidates[i].zone, overflow: candidates[i].overflow}
		j := i
		if j > sortedCount {
			out[j] = out[sortedCount]
			j = sortedCount
		}
		for ; j > 0 && out[j-1].score > s.score; j-- {
			out[j] = out[j-1]
		}
		out[j] = s
	}
	return len(candidates)
}

// score returns a number that is exponentially distributed with the candidate's
// weight as its rate. In a set of candidates, each therefore has the lowest
// score with a probability in proportion to its weight.
func (c *candidate) score(prefixHash uint64) float64 {
	return float64(negLog2(mix(prefixHash, c.seed))) * c.inverseWeight
}
