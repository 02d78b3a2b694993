package config

import (
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// StampNeeds lists the parts of the old content that Stamp compares with the
// new one: those of control that differ, with the times that go with them.
func StampNeeds(old, new Manifest) []Entry {
	var out []Entry
	coreDiffers := differs(old, new, corePart)
	for _, e := range old.Entries {
		switch {
		case e.Name == corePart && coreDiffers,
			strings.HasPrefix(e.Name, sitePrefix) && differs(old, new, e.Name):
			out = append(out, e)
		case strings.HasPrefix(e.Name, sincePrefix):
			if coreDiffers || differs(old, new, sitePrefix+strings.TrimPrefix(e.Name, sincePrefix)) {
				out = append(out, e)
			}
		}
	}
	return out
}

func differs(old, new Manifest, name string) bool {
	a, _ := old.entry(name)
	b, _ := new.entry(name)
	return a != b
}

// Stamp sets since when each site and backend server of an estate stands as
// declared, as seen from the old content: what changed takes the estate's own
// time or else now, all else keeps its old time. known holds the parts that
// StampNeeds lists. It returns the parts whose bytes may be new and the
// manifest of the whole. The first version has no times.
func Stamp(e *estate.Estate, old Manifest, known map[Digest][]byte, now time.Time) ([]Part, Manifest, error) {
	plain, times := withoutTimes(e)
	parts, m, err := Split(plain)
	if err != nil || len(old.Entries) == 0 {
		return parts, m, err
	}
	s := stamper{
		estate: plain, declared: times, old: old, new: m, known: known,
		now: now.UTC().Truncate(time.Millisecond), oldEstate: &estate.Estate{},
	}
	if err := s.readOldCore(); err != nil {
		return nil, Manifest{}, err
	}
	entries := m.Entries
	for _, site := range plain.Sites {
		p, keep, err := s.site(site)
		if err != nil {
			return nil, Manifest{}, err
		}
		if keep.Name != "" {
			entries = append(entries, keep)
		} else if p.Name != "" {
			parts, entries = append(parts, p), append(entries, p.Entry)
		}
	}
	return parts, newManifest(entries), nil
}

// withoutTimes returns the estate without its times, and the times by site.
func withoutTimes(e *estate.Estate) (*estate.Estate, map[string]times) {
	out := *e
	clocks := make(map[string]times, len(e.Sites))
	out.Sites = make([]estate.Site, len(e.Sites))
	for i, s := range e.Sites {
		clocks[s.Name] = times{Site: s.Since, Backends: map[string]time.Time{}}
		s.Since = time.Time{}
		out.Sites[i] = s
	}
	out.Services = make([]estate.Service, len(e.Services))
	for i, s := range e.Services {
		backends := make([]estate.Backend, len(s.Backends))
		for j, b := range s.Backends {
			if c, ok := clocks[b.Site]; ok && !b.Since.IsZero() {
				c.Backends[b.Name] = b.Since
			}
			b.Since = time.Time{}
			backends[j] = b
		}
		s.Backends = backends
		out.Services[i] = s
	}
	return &out, clocks
}

type stamper struct {
	estate   *estate.Estate
	declared map[string]times
	old, new Manifest
	known    map[Digest][]byte
	now      time.Time
	// oldEstate has regions and zones only, and only if the core differs.
	oldEstate   *estate.Estate
	coreDiffers bool
}

// read decodes a part of the old content; ok is false if it has none.
func (s *stamper) read(name string, to any) (ok bool, err error) {
	e, ok := s.old.entry(name)
	if !ok {
		return false, nil
	}
	data, have := s.known[e.Digest]
	if !have || DigestOf(data) != e.Digest {
		return false, corrupt(name, "the part of the version in force is missing")
	}
	return true, decodeJSON(name, data, to)
}

func (s *stamper) readOldCore() error {
	s.coreDiffers = differs(s.old, s.new, corePart)
	if !s.coreDiffers {
		return nil
	}
	var c core
	_, err := s.read(corePart, &c)
	s.oldEstate.Regions, s.oldEstate.Zones = c.Regions, c.Zones
	return err
}

// site returns the part with a site's times, or the old entry to keep.
func (s *stamper) site(st estate.Site) (p Part, keep Entry, err error) {
	siteDiffers := differs(s.old, s.new, sitePrefix+st.Name)
	zoneChanged := s.coreDiffers && s.oldEstate.ZoneDraining(st.Zone) != s.estate.ZoneDraining(st.Zone)
	if !siteDiffers && !zoneChanged {
		keep, _ = s.old.entry(sincePrefix + st.Name)
		return Part{}, keep, nil
	}
	var was times
	if _, err := s.read(sincePrefix+st.Name, &was); err != nil {
		return Part{}, Entry{}, err
	}
	var before site
	existed := true
	if siteDiffers {
		if existed, err = s.read(sitePrefix+st.Name, &before); err != nil {
			return Part{}, Entry{}, err
		}
	}
	out := times{Site: was.Site, Backends: was.Backends}
	if zoneChanged || !existed || (siteDiffers && before.Site != st) {
		out.Site = s.timeOf(s.declared[st.Name].Site)
	}
	if siteDiffers {
		out.Backends = s.backends(st.Name, before, was)
	}
	if out.isZero() {
		return Part{}, Entry{}, nil
	}
	w := splitter{}
	w.json(sincePrefix+st.Name, out)
	return w.parts[0], Entry{}, w.err
}

func (s *stamper) backends(site string, before site, was times) map[string]time.Time {
	old := map[string]estate.Backend{}
	for _, list := range before.Backends {
		for _, b := range list {
			old[b.Name] = b
		}
	}
	out := map[string]time.Time{}
	for _, svc := range s.estate.Services {
		for _, b := range svc.Backends {
			if b.Site != site {
				continue
			}
			o, ok := old[b.Name]
			if !ok || o.Address != b.Address || o.State.IsDraining() != b.State.IsDraining() {
				out[b.Name] = s.timeOf(s.declared[site].Backends[b.Name])
			} else if t, ok := was.Backends[b.Name]; ok {
				out[b.Name] = t
			}
		}
	}
	return out
}

func (s *stamper) timeOf(declared time.Time) time.Time {
	if declared.IsZero() {
		return s.now
	}
	return declared.UTC()
}
