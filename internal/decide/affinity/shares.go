package affinity

import (
	"maps"
	"slices"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Shares returns the weight of each backend server, by its ID, for ranking the
// objects of a region's callers. The region keeps as much of its callers'
// demand as its slots can serve. The rest goes to regions with spare slots, in
// proportion to these. A region with more demand than slots thereby moves a
// fixed set of objects, which stay warm in the region to which they move.
//
// The callers are assumed to be spread evenly over the availability zones.
func Shares(region string, regionOf map[string]string, backends []*traffic.Backend) map[string]float64 {
	slots, total := map[string]float64{}, 0.0
	for _, b := range backends {
		slots[regionOf[b.Zone]] += float64(b.Slots)
		total += float64(b.Slots)
	}
	demand := demandByRegion(regionOf, total)
	localShare := 1.0
	if demand[region] > 0 {
		localShare = min(1, slots[region]/demand[region])
	}
	spareSlots, totalSpare := map[string]float64{}, 0.0
	for _, r := range slices.Sorted(maps.Keys(slots)) {
		if r != region && slots[r] > demand[r] {
			spareSlots[r] = slots[r] - demand[r]
			totalSpare += spareSlots[r]
		}
	}
	weights := make(map[string]float64, len(backends))
	for _, b := range backends {
		r := regionOf[b.Zone]
		share := 0.0
		switch {
		case r == region:
			share = localShare
		case totalSpare > 0:
			share = (1 - localShare) * spareSlots[r] / totalSpare
		}
		weights[b.ID] = share * float64(b.Slots) / slots[r]
	}
	return weights
}

// demandByRegion splits the total number of slots over the regions in
// proportion to their numbers of availability zones.
func demandByRegion(regionOf map[string]string, total float64) map[string]float64 {
	demand := map[string]float64{}
	for _, r := range regionOf {
		demand[r] += total / float64(len(regionOf))
	}
	return demand
}
