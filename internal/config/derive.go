package config

import (
	"slices"
	"strings"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// derive decodes the parts that differ from an earlier content and makes the
// estate from that content's estate and them.
func (a *Assembly) derive(old *estate.Estate, fresh []Part, removed []string) error {
	d := deriver{assembly: a, services: map[string]bool{}, sites: map[string]bool{}}
	for _, p := range fresh {
		if err := d.touch(p.Name); err != nil {
			return err
		}
	}
	for _, name := range removed {
		if err := d.touch(name); err != nil {
			return err
		}
	}
	e := *old
	a.estate = &e
	if d.core {
		if err := d.setCore(&e); err != nil {
			return err
		}
	}
	if err := d.setServices(&e); err != nil {
		return err
	}
	if err := d.setSites(&e); err != nil {
		return err
	}
	return d.verify(&e)
}

// deriver holds what differs: the core, and services and sites by name.
type deriver struct {
	assembly *Assembly
	core     bool
	services map[string]bool
	sites    map[string]bool
}

// touch notes a part that differs, and checks one of blocks.
func (d *deriver) touch(name string) error {
	prefix, rest, _ := strings.Cut(name, "/")
	switch prefix {
	case "core":
		d.core = true
	case "service":
		d.services[rest] = true
	case "site", "since":
		d.sites[rest] = true
	case "blocks":
		if p, ok := d.assembly.Part(name); ok {
			_, err := p.shard()
			return err
		}
	default:
		return corrupt(name, "there is no such kind of part")
	}
	return nil
}

// read decodes a part; ok is false if there is none.
func (d *deriver) read(name string, to any) (ok bool, err error) {
	p, ok := d.assembly.Part(name)
	if !ok {
		return false, nil
	}
	return true, decodeJSON(name, p.Bytes, to)
}

func (d *deriver) setCore(e *estate.Estate) error {
	var c core
	ok, err := d.read(corePart, &c)
	if err == nil && !ok {
		err = corrupt(corePart, "the part is missing")
	}
	e.Name, e.Regions, e.Zones, e.Links, e.Shift = c.Name, c.Regions, c.Zones, c.Links, c.Shift
	return err
}

// setServices replaces the services that differ; their backend servers stay.
func (d *deriver) setServices(e *estate.Estate) error {
	if len(d.services) == 0 {
		return nil
	}
	old := *e
	e.Services = nil
	for _, s := range old.Services {
		if !d.services[s.Name] {
			e.Services = append(e.Services, s)
		}
	}
	for _, name := range sortedKeys(d.services) {
		var s estate.Service
		ok, err := d.read(servicePrefix+name, &s)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if s.Name != name || len(s.Backends) > 0 {
			return corrupt(servicePrefix+name, "it is another service, or holds backend servers")
		}
		if was := old.ServiceOf(name); was != nil {
			s.Backends = was.Backends
		}
		e.Services = append(e.Services, s)
	}
	slices.SortFunc(e.Services, func(a, b estate.Service) int { return strings.Compare(a.Name, b.Name) })
	return nil
}

// setSites replaces the sites that differ, and their backend servers.
func (d *deriver) setSites(e *estate.Estate) error {
	if len(d.sites) == 0 {
		return nil
	}
	sites := make([]estate.Site, 0, len(e.Sites)+len(d.sites))
	for _, s := range e.Sites {
		if !d.sites[s.Name] {
			sites = append(sites, s)
		}
	}
	fresh := map[string][]estate.Backend{}
	for _, name := range sortedKeys(d.sites) {
		st, ok, err := d.readSite(name)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		sites = append(sites, st.Site)
		for service, backends := range st.Backends {
			if e.ServiceOf(service) == nil {
				return corrupt(sitePrefix+name, "there is no service %q", service)
			}
			fresh[service] = append(fresh[service], backends...)
		}
	}
	slices.SortFunc(sites, func(a, b estate.Site) int { return strings.Compare(a.Name, b.Name) })
	e.Sites = sites
	e.Services = slices.Clone(e.Services)
	for i := range e.Services {
		s := &e.Services[i]
		s.Backends = d.mergeBackends(s.Backends, fresh[s.Name])
	}
	return nil
}

// readSite decodes a site with its times; ok is false if it is removed.
func (d *deriver) readSite(name string) (st site, ok bool, err error) {
	ok, err = d.read(sitePrefix+name, &st)
	if err != nil {
		return st, false, err
	}
	if ok && st.Name != name {
		return st, false, corrupt(sitePrefix+name, "it holds %q", st.Name)
	}
	var t times
	timed, err := d.read(sincePrefix+name, &t)
	if err == nil && timed && !ok {
		err = corrupt(sincePrefix+name, "its site is missing")
	}
	st.Since = t.Site
	for _, backends := range st.Backends {
		for i := range backends {
			backends[i].Since = t.Backends[backends[i].Name]
		}
	}
	return st, ok, err
}

// mergeBackends returns the old backend servers of the sites that stay and the
// fresh ones, sorted by name.
func (d *deriver) mergeBackends(old, fresh []estate.Backend) []estate.Backend {
	sortBackends(fresh)
	if len(fresh) == 0 && !slices.ContainsFunc(old, func(b estate.Backend) bool { return d.sites[b.Site] }) {
		return old
	}
	out := make([]estate.Backend, 0, len(old)+len(fresh))
	for i := range old {
		if d.sites[old[i].Site] {
			continue
		}
		for len(fresh) > 0 && fresh[0].Name < old[i].Name {
			out = append(out, fresh[0])
			fresh = fresh[1:]
		}
		out = append(out, old[i])
	}
	return append(out, fresh...)
}

// verify checks the estate, but for the references of sites that have stayed
// under a core that has stayed.
func (d *deriver) verify(e *estate.Estate) error {
	if d.core || len(d.services) > 0 {
		return verify(e)
	}
	if len(d.sites) == 0 {
		return nil
	}
	if err := verifyCore(e); err != nil {
		return err
	}
	for i := range e.Services {
		s := &e.Services[i]
		for j := range s.Backends {
			if j > 0 && s.Backends[j-1].Name >= s.Backends[j].Name {
				return corrupt("services", "backend server %q is out of order", s.Backends[j].Name)
			}
			if !d.sites[s.Backends[j].Site] {
				continue
			}
			if err := verifyBackend(e, s.Backends[j]); err != nil {
				return err
			}
		}
	}
	return nil
}
