package traffic

import (
	"fmt"
	"slices"
	"strings"
)

// Validate returns the faults of the configuration, sorted. Each text names the
// host, the route and the field, and tells how to correct it.
func (c *Config) Validate() []string {
	var faults []string
	for host, routes := range c.Hosts {
		for _, r := range routes {
			for _, fault := range c.validateRoute(r) {
				faults = append(faults, fmt.Sprintf("host %s, route %s: %s", host, r.Name, fault))
			}
		}
	}
	faults = append(faults, c.validateAccounts()...)
	slices.Sort(faults)
	return faults
}

// validateAccounts returns the faults of the client accounts.
func (c *Config) validateAccounts() []string {
	holders := map[*Account]bool{}
	for _, a := range c.Keys {
		holders[a] = true
	}
	var faults []string
	for _, a := range c.Accounts {
		if !holders[a] {
			faults = append(faults, fmt.Sprintf("account %s: give it a key, or remove it", a.Name))
		}
		if a.Quota.Burst > 0 && !a.Quota.Limited() {
			faults = append(faults, fmt.Sprintf("account %s: a burst without a rate has no effect; set the rate above 0, or remove the burst", a.Name))
		}
	}
	return faults
}

// maxNamed bounds the names that one fault lists.
const maxNamed = 3

// homeless returns the accounts whose home regions have none in common with those of a route.
func (c *Config) homeless(r *Route) []string {
	var names []string
	for _, a := range c.Accounts {
		if _, ok := HomeRegions(r, a); !ok {
			names = append(names, a.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Config) validateRoute(r *Route) []string {
	var faults []string
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults = append(faults, fmt.Sprintf("prefix %q: begin and end it with a slash", r.Prefix))
	}
	if r.Timeout <= 0 {
		faults = append(faults, "timeout: set it above 0")
	}
	if len(r.Targets) == 0 {
		faults = append(faults, "service: name one, or a split with weights above 0")
	}
	if names := c.homeless(r); len(names) > 0 && !r.Public {
		faults = append(faults, fmt.Sprintf("home regions: %d accounts have none of them and can't use the route, such as %s; add a region to either", len(names), strings.Join(names[:min(len(names), maxNamed)], ", ")))
	}
	for _, t := range r.Targets {
		if c.Services[t.Service] == nil {
			faults = append(faults, fmt.Sprintf("service %q: declare it", t.Service))
		}
	}
	return faults
}
