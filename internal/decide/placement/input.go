// Package placement decides which zones serve which client blocks.
//
// Compute spreads the demand of each edge region over zones: the region's own
// zones first, then those behind declared links, within the capacity of zones
// and the caps of links. It works on cells (edge region, zone), so its cost
// does not depend on the number of blocks. A Table applies the cells to single
// callers at look-up time by weighted rendezvous hashing.
//
// All arithmetic is on integers, or on single correctly rounded floating point
// operations, and every tie is settled by index: the same input gives the same
// answer on every instance and processor.
package placement

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/proportion"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// Rate is a flow of requests in millionths of a request per second.
type Rate int64

const (
	// PerSecond is one request per second.
	PerSecond Rate = 1_000_000
	// Unlimited is the cap of a link that has none.
	Unlimited Rate = 1 << 50
	// nominalDemand stands in for the demand of an edge region without any,
	// so that it has zones to answer with.
	nominalDemand = PerSecond / 1000
	// linkRoundTrip is the time a request adds to its stay on a link.
	linkRoundTrip = 70 * time.Millisecond
	// shareUnit is the scale of shares taken from the configuration.
	shareUnit = 1_000_000
	// MaxZones is the most zones in an estate.
	MaxZones = 64
)

// ZoneIndex is the place of a zone in Input.Zones.
type ZoneIndex uint16

// Zone is one availability zone.
type Zone struct {
	Name string
	// Region is the place of the zone's region in Input.Regions.
	Region int
}

// Link caps the requests that flow from one region to another. Regions without
// a link exchange nothing.
type Link struct {
	From, To int
	Cap      Rate
}

// Service is one service's demand and capacity.
type Service struct {
	Name string
	// Demand is the expected flow from each edge region.
	Demand []Rate
	// Capacity is what may be planned on each zone; 0 for a zone that drains.
	Capacity []Rate
	// Weight splits a region's flow among its zones, before capacity clips it.
	// Zones of a region in which all weights are 0 share by capacity.
	Weight []int64
	// LookupTTL is how long callers may go on after an answer has changed.
	LookupTTL time.Duration
}

// Input is all that a placement depends on.
type Input struct {
	Regions  []string
	Zones    []Zone
	Links    []Link
	Services []Service
}

// SizeError reports an input that is larger than the package is made for.
type SizeError struct{ Zones int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d zones in one estate, at most %d are supported; split the estate", e.Zones, MaxZones)
}

// Demand is the flow from each edge region over all services. It is a sum of
// integers, so blocks may be added and taken away in any order.
type Demand []Rate

// NewDemand sums the demand of the estate's blocks by region.
func NewDemand(e *estate.Estate) Demand {
	d := make(Demand, len(e.Regions))
	for _, b := range e.Blocks {
		d.Add(e, b)
	}
	return d
}

// Add adds the demand of a block.
func (d Demand) Add(e *estate.Estate, b estate.Block) {
	if i := regionIndex(e, b.Region); i >= 0 {
		d[i] += rate(b.Demand)
	}
}

// Remove takes the demand of a block away.
func (d Demand) Remove(e *estate.Estate, b estate.Block) {
	if i := regionIndex(e, b.Region); i >= 0 {
		d[i] -= rate(b.Demand)
	}
}

// NewInput returns the input for an estate whose blocks have the demand d,
// which is split among services by their capacity.
func NewInput(e *estate.Estate, d Demand) Input {
	in := Input{Zones: make([]Zone, len(e.Zones))}
	for _, r := range e.Regions {
		in.Regions = append(in.Regions, r.Name)
	}
	for i, z := range e.Zones {
		in.Zones[i] = Zone{Name: z.Name, Region: regionIndex(e, z.Region)}
	}
	var total Rate
	sums := make([]Rate, len(e.Services))
	for i := range e.Services {
		s := newService(e, &e.Services[i])
		sums[i] = declaredCapacity(&e.Services[i])
		total += sums[i]
		in.Services = append(in.Services, s)
	}
	for i := range in.Services {
		in.Services[i].Demand = make([]Rate, len(d))
		for r := range d {
			in.Services[i].Demand[r] = proportion.MulDiv(d[r], sums[i], max(total, 1))
		}
	}
	in.Links = newLinks(e)
	return in
}

func newService(e *estate.Estate, s *estate.Service) Service {
	out := Service{Name: s.Name, LookupTTL: s.LookupTTL, Capacity: make([]Rate, len(e.Zones)), Weight: make([]int64, len(e.Zones))}
	for i, z := range e.Zones {
		out.Weight[i] = share(s.Weights[z.Name])
	}
	perSlot := slotRate(s)
	for _, b := range s.Backends {
		if e.BackendDraining(b) {
			continue
		}
		z, ok := slices.BinarySearchFunc(e.Zones, b.Zone, func(z estate.Zone, n string) int { return strings.Compare(z.Name, n) })
		if !ok {
			continue
		}
		weight := int64(shareUnit)
		if site, ok := e.SiteOf(b.Site); ok {
			weight = share(site.Weight)
		}
		out.Capacity[z] += proportion.MulDiv(perSlot*Rate(b.Slots), Rate(weight), shareUnit)
	}
	return out
}

// slotRate returns the flow that may be planned on one slot.
func slotRate(s *estate.Service) Rate {
	if s.MeanTime <= 0 {
		return 0
	}
	return proportion.MulDiv(proportion.MulDiv(PerSecond, Rate(time.Second), Rate(s.MeanTime)), Rate(share(s.MaxUtilisation)), shareUnit)
}

// declaredCapacity counts draining backend servers too, so that a drain does
// not move demand from one service to another.
func declaredCapacity(s *estate.Service) Rate {
	var slots Rate
	for _, b := range s.Backends {
		slots += Rate(b.Slots)
	}
	return slots * slotRate(s)
}

func newLinks(e *estate.Estate) []Link {
	var longest time.Duration
	for i := range e.Services {
		longest = max(longest, e.Services[i].MeanTime)
	}
	var links []Link
	for _, l := range e.Links {
		from, to := regionIndex(e, l.From), regionIndex(e, l.To)
		if from < 0 || to < 0 || from == to {
			continue
		}
		inFlight := proportion.MulDiv(Rate(l.MaxInFlight)*PerSecond, Rate(time.Second), Rate(longest+linkRoundTrip))
		links = append(links, Link{From: from, To: to, Cap: min(rate(l.MaxRate), inFlight)})
	}
	slices.SortFunc(links, func(a, b Link) int {
		if a.From != b.From {
			return a.From - b.From
		}
		return a.To - b.To
	})
	return links
}

func regionIndex(e *estate.Estate, name string) int {
	i, ok := slices.BinarySearchFunc(e.Regions, name, func(r estate.Region, n string) int { return strings.Compare(r.Name, n) })
	if !ok {
		return -1
	}
	return i
}

func rate(perSecond float64) Rate { return Rate(math.Round(perSecond * float64(PerSecond))) }

func share(s float64) int64 { return int64(math.Round(s * shareUnit)) }
