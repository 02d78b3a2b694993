// Package placement decides which zones serve which client blocks.
//
// Compute divides the demand of each edge region among zones: first the
// region's own zones, then the zones behind declared links. It keeps to the
// capacity of zones and to the caps of links. It computes on cells, which are
// pairs of an edge region and a zone, so its cost does not depend on the number
// of blocks. A Table applies the flows of the cells to single callers at lookup
// time by weighted rendezvous hashing.
//
// All arithmetic uses integers or single, correctly rounded floating-point
// operations, and every tie is broken by index. The same input therefore gives
// the same result on every instance and processor.
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

// Rate is a flow of requests, in millionths of a request per second.
type Rate int64

const (
	// PerSecond is one request per second.
	PerSecond Rate = 1_000_000
	// Unlimited is the cap of a link without a limit.
	Unlimited Rate = 1 << 50
	// nominalDemand replaces the demand of an edge region that has less, so
	// that the region always has zones for its lookups.
	nominalDemand = PerSecond / 1000
	// linkRoundTrip is the time that a link adds to the service time of a
	// request.
	linkRoundTrip = 70 * time.Millisecond
	// shareScale is the fixed-point scale of shares and weights from the
	// configuration: shareScale stands for 1.
	shareScale = 1_000_000
	// MaxZones is the maximum number of zones in an estate.
	MaxZones = 64
)

// ZoneIndex is the index of a zone in Input.Zones.
type ZoneIndex uint16

// Zone is one availability zone.
type Zone struct {
	Name string
	// Region is the index of the zone's region in Input.Regions.
	Region int
}

// Link limits the flow of requests from one region to another. No requests flow
// between regions without a link.
type Link struct {
	From, To int
	Cap      Rate
}

// Service holds the demand and the capacity of one service.
type Service struct {
	Name string
	// Demand is the expected flow from each edge region.
	Demand []Rate
	// Capacity is the largest planned flow to each zone. It is 0 for a draining
	// zone.
	Capacity []Rate
	// Weight holds the weights by which a region's flow is divided among its
	// zones, before it is limited by capacity. If all weights in a region are
	// 0, the flow is divided by capacity.
	Weight []int64
	// LookupTTL is how long callers may use a lookup answer after it has
	// changed.
	LookupTTL time.Duration
}

// Input is everything that a placement depends on.
type Input struct {
	Regions  []string
	Zones    []Zone
	Links    []Link
	Services []Service
}

// SizeError reports an input with more zones than MaxZones.
type SizeError struct{ Zones int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d zones in one estate, at most %d are supported; split the estate", e.Zones, MaxZones)
}

// Demand is the flow from each edge region, over all services. It is a sum of
// integers, so the result does not depend on the order in which blocks are
// added and removed.
type Demand []Rate

// NewDemand returns the demand of the estate's blocks, summed by region.
func NewDemand(e *estate.Estate) Demand {
	d := make(Demand, len(e.Regions))
	for _, b := range e.Blocks {
		d.Add(e, b)
	}
	return d
}

// Add adds the demand of block b. A block in an undeclared region is ignored.
func (d Demand) Add(e *estate.Estate, b estate.Block) {
	if i := regionIndex(e, b.Region); i >= 0 {
		d[i] += rateOf(b.Demand)
	}
}

// Remove subtracts the demand of block b. A block in an undeclared region is
// ignored.
func (d Demand) Remove(e *estate.Estate, b estate.Block) {
	if i := regionIndex(e, b.Region); i >= 0 {
		d[i] -= rateOf(b.Demand)
	}
}

// NewInput returns the input for an estate whose blocks have the demand d. The
// demand is divided among services in proportion to their declared capacity.
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

// newService returns the service's capacity and weight in each zone of the
// estate. It leaves the demand empty.
func newService(e *estate.Estate, s *estate.Service) Service {
	out := Service{Name: s.Name, LookupTTL: s.LookupTTL, Capacity: make([]Rate, len(e.Zones)), Weight: make([]int64, len(e.Zones))}
	for i, z := range e.Zones {
		out.Weight[i] = scaledShare(s.Weights[z.Name])
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
		weight := int64(shareScale)
		if site, ok := e.SiteOf(b.Site); ok {
			weight = scaledShare(site.Weight)
		}
		out.Capacity[z] += proportion.MulDiv(perSlot*Rate(b.Slots), Rate(weight), shareScale)
	}
	return out
}

// slotRate returns the flow that may be planned on one slot, at the service's
// mean time and maximum utilisation. It is 0 if the mean time is not known.
func slotRate(s *estate.Service) Rate {
	if s.MeanTime <= 0 {
		return 0
	}
	return proportion.MulDiv(proportion.MulDiv(PerSecond, Rate(time.Second), Rate(s.MeanTime)), Rate(scaledShare(s.MaxUtilisation)), shareScale)
}

// declaredCapacity returns the capacity of all backend servers of the service.
// It includes draining ones, so that a drain does not move demand from one
// service to another.
func declaredCapacity(s *estate.Service) Rate {
	var slots Rate
	for _, b := range s.Backends {
		slots += Rate(b.Slots)
	}
	return slots * slotRate(s)
}

// newLinks returns the estate's links between different declared regions,
// sorted by From and To. The cap is the lower of the link's maximum rate and
// the rate that keeps its maximum number of requests in flight, if each of them
// takes the longest mean time of any service plus linkRoundTrip.
func newLinks(e *estate.Estate) []Link {
	var longestMeanTime time.Duration
	for i := range e.Services {
		longestMeanTime = max(longestMeanTime, e.Services[i].MeanTime)
	}
	var links []Link
	for _, l := range e.Links {
		from, to := regionIndex(e, l.From), regionIndex(e, l.To)
		if from < 0 || to < 0 || from == to {
			continue
		}
		inFlight := proportion.MulDiv(Rate(l.MaxInFlight)*PerSecond, Rate(time.Second), Rate(longestMeanTime+linkRoundTrip))
		links = append(links, Link{From: from, To: to, Cap: min(rateOf(l.MaxRate), inFlight)})
	}
	slices.SortFunc(links, func(a, b Link) int {
		if a.From != b.From {
			return a.From - b.From
		}
		return a.To - b.To
	})
	return links
}

// regionIndex returns the index of a region in the estate, or -1 if it is not
// declared.
func regionIndex(e *estate.Estate, name string) int {
	i, ok := slices.BinarySearchFunc(e.Regions, name, func(r estate.Region, n string) int { return strings.Compare(r.Name, n) })
	if !ok {
		return -1
	}
	return i
}

// rateOf converts requests per second to a Rate.
func rateOf(perSecond float64) Rate { return Rate(math.Round(perSecond * float64(PerSecond))) }

// scaledShare converts a share to a multiple of 1/shareScale.
func scaledShare(s float64) int64 { return int64(math.Round(s * shareScale)) }
