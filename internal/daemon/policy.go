package daemon

import (
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
		return policy{placement.ComputeFixed, route.Baseline{}, balance.Random}
	}
	return policy{placement.Compute, route.Steered{}, balance.LeastLoaded}
}
