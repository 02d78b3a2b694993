package testbed

import (
	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// RegionCapacity returns the requests per second that the slots in a region can
// carry.
func RegionCapacity(e *estate.Estate, region string) float64 {
	zones := map[string]bool{}
	for _, z := range e.Zones {
		zones[z.Name] = z.Region == region
	}
	sum := 0.0
	for i := range e.Services {
		s := &e.Services[i]
		for _, b := range s.Backends {
			if zones[b.Zone] {
				sum += float64(b.Slots) / s.MeanTime.Seconds()
			}
		}
	}
	return sum
}

// CallersIn returns the callers of a region.
func (b *Bed) CallersIn(region string) []bench.Caller {
	var out []bench.Caller
	callers, _ := b.Callers()
	n := 0
	for _, block := range b.Estate.Blocks {
		if block.Demand <= 0 {
			continue
		}
		if block.Region == region {
			out = append(out, callers[n])
		}
		n++
	}
	return out
}

// AddressesIn returns the caller addresses of the entry instances of a region.
func (b *Bed) AddressesIn(region string) []string {
	var out []string
	for _, e := range b.Entries {
		if b.Watch.Region(e.Zone) == region {
			out = append(out, e.Advertise.Caller)
		}
	}
	return out
}
