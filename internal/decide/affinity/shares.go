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

// ZoneShares is like Shares for the callers of one availability zone: the zone keeps as much of their
// demand as its slots can serve, the rest goes to other zones of the region with spare slots, and what
// does not fit there to other regions.
func ZoneShares(zone string, regionOf map[string]string, backends []*traffic.Backend) map[string]float64 {
	slots, total := map[string]float64{}, 0.0
	for _, b := range backends {
		slots[b.Zone] += float64(b.Slots)
		total += float64(b.Slots)
	}
	demand := total / float64(max(1, len(regionOf)))
	shares := zoneShares(zone, regionOf, slots, demand)
	weights := make(map[string]float64, len(backends))
	for _, b := range backends {
		weights[b.ID] = shares[b.Zone] * float64(b.Slots) / slots[b.Zone]
	}
	return weights
}

// zoneShares returns the share of the demand of a zone's callers that each zone serves. demand is that
// of each zone, in slots.
func zoneShares(zone string, regionOf map[string]string, slots map[string]float64, demand float64) map[string]float64 {
	if demand <= 0 {
		return nil
	}
	// spare holds the spare slots of zones in the same region and in others, and needy counts the
	// zones of the region that cannot serve their callers.
	spare, needy := [2]map[string]float64{{}, {}}, 0
	for z := range regionOf {
		other := 0
		if regionOf[z] != regionOf[zone] {
			other = 1
		}
		if slots[z] > demand {
			spare[other][z] = slots[z] - demand
		}
		if other == 0 && slots[z] < demand {
			needy++
		}
	}
	shares := map[string]float64{zone: min(1, slots[zone]/demand)}
	rest := 1 - shares[zone]
	inRegion := min(rest, sum(spare[0])/float64(max(1, needy))/demand)
	for part, amount := range [2]float64{inRegion, rest - inRegion} {
		for z, s := range spare[part] {
			shares[z] += amount * s / sum(spare[part])
		}
	}
	return shares
}

// sum returns the sum of the values, in the order of their keys.
func sum(values map[string]float64) float64 {
	total := 0.0
	for _, k := range slices.Sorted(maps.Keys(values)) {
		total += values[k]
	}
	return total
}
