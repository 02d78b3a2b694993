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
	slices.Sort(faults)
	return faults
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
	for _, t := range r.Targets {
		if c.Services[t.Service] == nil {
			faults = append(faults, fmt.Sprintf("service %q: declare it", t.Service))
		}
	}
	return faults
}
