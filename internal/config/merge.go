package config

import (
	"slices"
	"strings"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// merge puts the overlays onto the base and returns the sorted estate. Faults
// of references are recorded; the estate is only good without any.
func (d *declared) merge(c *collector) *estate.Estate {
	e := &estate.Estate{
		Name: d.base.name, Regions: d.base.regions, Zones: d.base.zones, Sites: d.base.sites,
		Shift: d.base.shift,
	}
	for _, l := range d.base.links {
		e.Links = append(e.Links, l.Link)
	}
	sortNamed(e)
	for i := range d.overlays {
		d.overlays[i].applySite(c, e)
	}
	m := merger{c: c, d: d, e: e, owner: map[string]string{}}
	for i := range d.base.services {
		e.Services = append(e.Services, m.service(&d.base.services[i]))
	}
	m.checkOverlays()
	e.Blocks = make([]estate.Block, len(d.blocks))
	for i, b := range d.blocks {
		e.Blocks[i] = b.Block
	}
	sortServices(e)
	sortBlocks(e.Blocks)
	return e
}

func sortNamed(e *estate.Estate) {
	slices.SortFunc(e.Regions, func(a, b estate.Region) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(e.Zones, func(a, b estate.Zone) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(e.Sites, func(a, b estate.Site) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(e.Links, estate.Link.Compare)
}

func sortServices(e *estate.Estate) {
	slices.SortFunc(e.Services, func(a, b estate.Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range e.Services {
		s := &e.Services[i]
		slices.SortFunc(s.Operations, func(a, b estate.Operation) int { return strings.Compare(a.Name, b.Name) })
		sortBackends(s.Backends)
	}
}

func sortBackends(backends []estate.Backend) {
	slices.SortFunc(backends, func(a, b estate.Backend) int { return strings.Compare(a.Name, b.Name) })
}

func sortBlocks(blocks []estate.Block) {
	slices.SortFunc(blocks, func(a, b estate.Block) int { return a.Prefix.Compare(b.Prefix) })
}

// applySite puts an overlay's state and weight onto its site.
func (o *overlay) applySite(c *collector, e *estate.Estate) {
	i, ok := slices.BinarySearchFunc(e.Sites, o.site, func(s estate.Site, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		c.fault(KindDangling, c.at(o.file+".site"), "declare the site in base.yaml or remove the overlay", "there is no site %q", o.site)
		return
	}
	if o.state != "" {
		e.Sites[i].State = o.state
	}
	if o.weight != 0 {
		e.Sites[i].Weight = o.weight
	}
}

// merger resolves the services of an estate.
type merger struct {
	c *collector
	d *declared
	e *estate.Estate
	// owner is the site of each backend server.
	owner map[string]string
}

func (m *merger) overlayOf(site string) *overlay {
	for i := range m.d.overlays {
		if m.d.overlays[i].site == site {
			return &m.d.overlays[i]
		}
	}
	return nil
}

func (m *merger) service(s *service) estate.Service {
	out := s.Service
	for i := range s.groups {
		g := &s.groups[i]
		o := m.overlayOf(g.site)
		out.Backends = append(out.Backends, m.group(s, g, o)...)
	}
	for i := range m.d.overlays {
		o := &m.d.overlays[i]
		for j := range o.add {
			if o.add[j].service == s.Name {
				out.Backends = append(out.Backends, m.group(s, &o.add[j], o)...)
			}
		}
	}
	if out.Weights == nil {
		out.Weights = slotWeights(out.Backends)
	}
	return out
}

// group expands a group: what the overlay says of one backend server goes
// before the group's own limits, and these before those of the overlay and of
// the service.
func (m *merger) group(s *service, g *group, o *overlay) []estate.Backend {
	site, ok := m.e.SiteOf(g.site)
	if !ok {
		m.c.fault(KindDangling, m.c.at(g.at.path+".site"), "declare the site under sites or correct the name", "there is no site %q", g.site)
		return nil
	}
	l := g.limits
	if o != nil {
		l = l.or(o.services[s.Name])
	}
	l = l.or(s.defaults)
	if l.slots == 0 || l.connections == 0 {
		m.c.fault(KindMissingField, g.at, "state slots and connections here or at the service", "the backend servers have no slots or no connections")
	}
	backends := g.expand(m.c, site.Zone, l)
	for i, b := range backends {
		m.owner[b.Name] = b.Site
		if o != nil {
			backends[i] = o.backends[b.Name].apply(b)
		}
	}
	return backends
}

func (ch change) apply(b estate.Backend) estate.Backend {
	l := ch.limits.or(limits{b.Slots, b.MaxConnections})
	b.Slots, b.MaxConnections = l.slots, l.connections
	if ch.state != "" {
		b.State = ch.state
	}
	return b
}

// slotWeights is the default share of each zone: that of the service's slots.
func slotWeights(backends []estate.Backend) map[string]float64 {
	total := 0
	slots := map[string]int{}
	for _, b := range backends {
		slots[b.Zone] += b.Slots
		total += b.Slots
	}
	weights := make(map[string]float64, len(slots))
	for zone, n := range slots {
		weights[zone] = float64(n) / float64(total)
	}
	return weights
}

// checkOverlays finds names in overlays that are not their site's.
func (m *merger) checkOverlays() {
	for i := range m.d.overlays {
		o := &m.d.overlays[i]
		for name, ch := range o.backends {
			switch site, ok := m.owner[name]; {
			case !ok:
				m.c.fault(KindDangling, ch.at, "correct the name, or declare the backend server under add", "there is no backend server %q", name)
			case site != o.site:
				m.c.fault(KindForeign, ch.at, "move it to "+overlayFile(site), "the backend server %q belongs to site %q", name, site)
			}
		}
		for name := range o.services {
			m.checkService(name, o.file+".services."+name)
		}
		for _, g := range o.add {
			m.checkService(g.service, g.at.path+".service")
		}
	}
}

func (m *merger) checkService(name, path string) {
	for i := range m.d.base.services {
		if m.d.base.services[i].Name == name {
			return
		}
	}
	m.c.fault(KindDangling, m.c.at(path), "declare the service in base.yaml or correct the name", "there is no service %q", name)
}
