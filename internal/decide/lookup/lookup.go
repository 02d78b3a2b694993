// Package lookup decides which entry instances a caller is told of.
package lookup

import "github.com/banyandeal/banyandeal/internal/edge/traffic"

// wideShare is the part of the largest capacity from which on an instance counts as wide.
const wideShare = 0.5

// Wide returns the instances that can pass on most: those with at least wideShare of the largest
// capacity, in their order. It returns all of them if these are fewer than atLeast.
func Wide(instances []traffic.Member, atLeast int) []traffic.Member {
	most := 0.0
	for _, m := range instances {
		most = max(most, m.Capacity)
	}
	var wide []traffic.Member
	for _, m := range instances {
		if m.Capacity >= wideShare*most {
			wide = append(wide, m)
		}
	}
	if len(wide) < atLeast {
		return instances
	}
	return wide
}
