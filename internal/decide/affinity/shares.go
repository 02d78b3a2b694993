package affinity

import (
	"maps"
	"slices"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Shares returns the weight of each backend server in the order of objects, so
// that a region keeps as many of its callers' requests as its slots bear and
// sends the rest where slots are left over. Regions with more callers than
// slots thereby move a fixed set of objects, which stay warm where they went.
//
// Callers are taken to be spread over the availability zones evenly.
func Shares(region string, regionOf map[string]string, backends []*traffic.Backend) map[string]float64 {
	slots, total := map[string]float64{}, 0.0
	for _, b := range backends {
		slots[regionOf[b.Zone]] += float64(b.Slots)
		total += float64(b.Slots)
	}
	demand := demandByRegion(regionOf, total)
	kept := 1.0
	if demand[region] > 0 {
		kept = min(1, slots[region]/demand[region])
	}
	spare, allSpare := map[string]float64{}, 0.0
	for _, r := range slices.Sorted(maps.Keys(slots)) {
		if r != region && slots[r] > demand[r] {
			spare[r] = slots[r] - demand[r]
			allSpare += spare[r]
		}
	}
	weights := make(map[string]float64, len(backends))
	for _, b := range backends {
		r := regionOf[b.Zone]
		share := 0.0
		switch {
		case r == region:
			share = kept
		case allSpare > 0:
			share = (1 - kept) * spare[r] / allSpare
		}
		weights[b.ID] = share * float64(b.Slots) / slots[r]
	}
	return weights
}

// demandByRegion splits the slots over the regions by their number of zones.
func demandByRegion(regionOf map[string]string, total float64) map[string]float64 {
	demand := map[string]float64{}
	for _, r := range regionOf {
		demand[r] += total / float64(len(regionOf))
	}
	return demand
}
