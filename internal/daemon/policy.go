package daemon

import (
	"slices"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/filter/route"
)

// policy holds the choices that differ between the daemon's policy and the
// baseline that it is measured against.
type policy struct {
	place   func(placement.Input) (*placement.Plan, error)
	route   route.Policy
	balance balance.Policy
}

// policyOf returns the policy of the settings.
func policyOf(name string) policy {
	if name == static.PolicyBaseline {
		return policy{fixedPlacement, route.Baseline{}, balance.Random}
	}
	return policy{placement.Compute, route.Steered{}, balance.LeastLoaded}
}

// fixedPlacement spreads by the configured weights over the zones that have
// capacity: an operator takes a zone that drains out of a plain balancer, too.
func fixedPlacement(in placement.Input) (*placement.Plan, error) {
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
