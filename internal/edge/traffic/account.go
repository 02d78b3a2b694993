package traffic

import (
	"slices"

	"github.com/banyandeal/banyandeal/internal/edge/credential"
)

// Account is a client account: those who send requests with one of its keys.
type Account struct {
	// Name is what backend servers are told.
	Name string
	// Priority is the rank of its requests, 0 being the highest; nil leaves that of the route.
	Priority *int
	// HomeRegions holds the only regions that may run its requests. If it is empty, all
	// regions may.
	HomeRegions []string
	// Quota bounds its requests.
	Quota Quota
}

// Quota bounds the requests of a client account, over all instances.
type Quota struct {
	// PerSecond is the rate, and Burst what may come at once beyond it. A PerSecond of 0 is no
	// limit.
	PerSecond, Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// HasAccounts reports whether callers show client accounts by keys.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Account returns the client account of a request on a route, nil if it has none. It returns
// false if the route requires one.
func (c *Config) Account(r *Route, presented credential.Credential) (*Account, bool) {
	if !c.HasAccounts() {
		return nil, true
	}
	if presented.State == credential.Present {
		if a := c.Keys[presented.Digest]; a != nil {
			return a, true
		}
	}
	return nil, r.Public
}

// Priority returns the rank of a request, 0 being the highest. a may be nil.
func Priority(r *Route, a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// HomeRegions returns the only regions that may run a request, or none if all may. It returns
// false if the route and the account, which may be nil, have no region in common.
func HomeRegions(r *Route, a *Account) ([]string, bool) {
	switch {
	case a == nil || len(a.HomeRegions) == 0:
		return r.HomeRegions, true
	case len(r.HomeRegions) == 0:
		return a.HomeRegions, true
	}
	var both []string
	for _, region := range r.HomeRegions {
		if slices.Contains(a.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}
