package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// weightTolerance is how far weights may be from adding up to 1.
const weightTolerance = 1e-6

// validate checks what the fields mean to each other.
func (c *collector) validate(e *estate.Estate, d *declared) {
	c.checkZones(e)
	c.checkLinks(d.base.links, e)
	for i := range e.Services {
		c.checkWeights(&e.Services[i], e)
	}
	c.checkBackends(e, d.groups())
	c.checkBlocks(d.blocks, e)
	if len(c.faults) == 0 {
		c.checkCommitted(e)
	}
}

func (c *collector) dangling(path, what, name string) {
	c.fault(KindDangling, c.at(path), fmt.Sprintf("declare the %s or correct the name", what), "there is no %s %q", what, name)
}

func (c *collector) checkZones(e *estate.Estate) {
	for _, z := range e.Zones {
		if _, ok := e.RegionOf(z.Region); !ok {
			c.dangling("zones."+z.Name+".region", "region", z.Region)
		}
	}
	for _, s := range e.Sites {
		if _, ok := e.ZoneOf(s.Zone); !ok {
			c.dangling("sites."+s.Name+".zone", "zone", s.Zone)
		}
	}
}

func (c *collector) checkLinks(links []link, e *estate.Estate) {
	type ends struct{ from, to string }
	first := map[ends]int{}
	for _, l := range links {
		if _, ok := e.RegionOf(l.From); !ok {
			c.dangling(l.at.path+".from", "region", l.From)
		}
		if _, ok := e.RegionOf(l.To); !ok {
			c.dangling(l.at.path+".to", "region", l.To)
		}
		if l.From == l.To {
			c.fault(KindOutOfRange, l.at, "name two regions", "the link leads from %q to itself", l.From)
		}
		if line, dup := first[ends{l.From, l.To}]; dup {
			c.fault(KindDuplicateName, l.at, "keep one of the two", "the link from %s to %s stands already on line %d", l.From, l.To, line)
			continue
		}
		first[ends{l.From, l.To}] = l.at.line
	}
}

// checkWeights compares a service's weights with the zones that it has backend
// servers in.
func (c *collector) checkWeights(s *estate.Service, e *estate.Estate) {
	path := "services." + s.Name
	if len(s.Backends) == 0 {
		c.fault(KindMissingField, c.at(path), "declare its backend servers", "the service %q has no backend server", s.Name)
		return
	}
	path += ".weights"
	served := map[string]bool{}
	for _, b := range s.Backends {
		served[b.Zone] = true
	}
	sum := 0.0
	for _, zone := range sortedKeys(s.Weights) {
		sum += s.Weights[zone]
		if _, ok := e.ZoneOf(zone); !ok {
			c.dangling(path+"."+zone, "zone", zone)
		} else if !served[zone] {
			c.fault(KindWeights, c.at(path+"."+zone), "remove the weight or declare a backend server there",
				"the service has no backend server in zone %q", zone)
		}
	}
	for _, zone := range sortedKeys(served) {
		if _, ok := s.Weights[zone]; !ok {
			c.fault(KindWeights, c.at(path), "give the zone a weight", "zone %q has backend servers and no weight", zone)
		}
	}
	if math.Abs(sum-1) > weightTolerance {
		c.fault(KindWeights, c.at(path), "make them add up to 1, or leave weights out to take the share of the slots",
			"the weights add up to %.6g", sum)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// groups returns every declared group by file and line.
func (d *declared) groups() []group {
	var out []group
	for i := range d.base.services {
		out = append(out, d.base.services[i].groups...)
	}
	for i := range d.overlays {
		out = append(out, d.overlays[i].add...)
	}
	return out
}

// checkBackends finds names and addresses that two groups declare.
func (c *collector) checkBackends(e *estate.Estate, groups []group) {
	names := map[string]place{}
	addresses := map[string]place{}
	quiet := &collector{} // the merge has recorded the faults of an expansion
	for i := range groups {
		g := &groups[i]
		for _, b := range g.expand(quiet, "", g.limits) {
			c.checkFirst(names, b.Name, g.at, KindDuplicateName, "give each backend server a name of its own")
			c.checkFirst(addresses, b.Address, g.at, KindDuplicateAddress, "give each backend server an address of its own")
		}
	}
}

func (c *collector) checkFirst(seen map[string]place, what string, at place, kind Kind, remedy string) {
	if first, dup := seen[what]; dup {
		c.fault(kind, at, remedy, "%s is declared already in %s:%d", what, first.file, first.line)
		return
	}
	seen[what] = at
}

func (c *collector) checkBlocks(blocks []block, e *estate.Estate) {
	first := make(map[netip.Prefix]int, len(blocks))
	for _, b := range blocks {
		if _, ok := e.RegionOf(b.Region); !ok {
			c.fault(KindDangling, b.at, "declare the region or correct the name", "there is no region %q", b.Region)
		}
		if line, dup := first[b.Prefix]; dup {
			c.fault(KindDuplicateBlock, b.at, "keep one of the two lines", "the block %s stands already on line %d", b.Prefix, line)
			continue
		}
		first[b.Prefix] = b.at.line
	}
}
