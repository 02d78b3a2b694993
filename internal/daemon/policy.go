package daemon

import (
	"slices"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/filter/route"
)

// policy holds the algorithms that differ between the steered policy and the
// baseline that it is compared with.
type policy struct {
	place   func(placement.Input) (*placement.Plan, error)
	route   route.Policy
	balance balance.Policy
}

// newPolicy returns the policy with the given name of the settings.
func newPolicy(name string) policy {
	if name == static.PolicyBaseline {
		return policy{placeByWeight, route.Baseline{}, balance.Random}
	}
	return policy{placement.Compute, route.Steered{}, balance.LeastLoaded}
}

// placeByWeight distributes demand by the configured weights over the zones that
// have capacity. It excludes draining zones because an operator would also remove
// them from a conventional load balancer.
func placeByWeight(in placement.Input) (*placement.Plan, error) {
	services := slices.Clone(in.Services)
	for i := range services {
		s := &services[i]
		s.Weight = slices.Clone(s.Weight)
		for z, c := range s.Capacity {
			if c == 0 {
				s.Weight[z] = 0
			}
		}
	}
	in.Services = services
	return placement.ComputeByWeight(in)
}
