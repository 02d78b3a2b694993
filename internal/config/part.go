package config

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// Names and prefixes of parts.
const (
	corePart      = "core"
	servicePrefix = "service/"
	sitePrefix    = "site/"
	sincePrefix   = "since/"
	blocksPrefix  = "blocks/"
)

// core is what belongs to no service, site or block.
type core struct {
	Name    string             `json:"name"`
	Regions []estate.Region    `json:"regions"`
	Zones   []estate.Zone      `json:"zones"`
	Links   []estate.Link      `json:"links"`
	Shift   estate.ShiftPolicy `json:"shift"`
}

// site is a site and its backend servers by service. Times are in its times.
type site struct {
	estate.Site
	Backends map[string][]estate.Backend `json:"backends,omitempty"`
}

// times says since when a site and its backend servers stand as declared. They
// are a part of their own so that a site's part depends on the files alone.
type times struct {
	Site     time.Time            `json:"site,omitzero"`
	Backends map[string]time.Time `json:"backends,omitempty"`
}

func (t times) isZero() bool { return t.Site.IsZero() && len(t.Backends) == 0 }

// Split divides an estate into parts sorted by name, and their manifest. Its
// version is no part of them.
func Split(e *estate.Estate) ([]Part, Manifest, error) {
	s := splitter{}
	s.json(corePart, core{Name: e.Name, Regions: e.Regions, Zones: e.Zones, Links: e.Links, Shift: e.Shift})
	sites := make(map[string]*site, len(e.Sites))
	clocks := make(map[string]*times, len(e.Sites))
	for _, st := range e.Sites {
		clocks[st.Name] = &times{Site: st.Since, Backends: map[string]time.Time{}}
		st.Since = time.Time{}
		sites[st.Name] = &site{Site: st, Backends: map[string][]estate.Backend{}}
	}
	for i := range e.Services {
		if err := s.service(e.Services[i], sites, clocks); err != nil {
			return nil, Manifest{}, err
		}
	}
	for name, st := range sites {
		s.json(sitePrefix+name, st)
		if !clocks[name].isZero() {
			s.json(sincePrefix+name, clocks[name])
		}
	}
	for _, sh := range shards(e.Blocks) {
		s.parts = append(s.parts, newPart(blocksPrefix+sh.Range.String(), sh.encode()))
	}
	return s.finish()
}

type splitter struct {
	parts []Part
	err   error
}

func (s *splitter) json(name string, v any) {
	data, err := json.Marshal(v)
	if err != nil && s.err == nil {
		s.err = errors.Annotatef(err, "encode part %s", name)
	}
	s.parts = append(s.parts, newPart(name, data))
}

// service writes a service's part and hands its backend servers to the sites.
func (s *splitter) service(svc estate.Service, sites map[string]*site, clocks map[string]*times) error {
	for _, b := range svc.Backends {
		st, ok := sites[b.Site]
		if !ok {
			return corrupt("services."+svc.Name, "backend server %q has no site", b.Name)
		}
		if !b.Since.IsZero() {
			clocks[b.Site].Backends[b.Name] = b.Since
			b.Since = time.Time{}
		}
		st.Backends[svc.Name] = append(st.Backends[svc.Name], b)
	}
	svc.Backends = nil
	s.json(servicePrefix+svc.Name, svc)
	return nil
}

func (s *splitter) finish() ([]Part, Manifest, error) {
	if s.err != nil {
		return nil, Manifest{}, s.err
	}
	slices.SortFunc(s.parts, func(a, b Part) int { return strings.Compare(a.Name, b.Name) })
	entries := make([]Entry, len(s.parts))
	for i, p := range s.parts {
		entries[i] = p.Entry
	}
	return s.parts, newManifest(entries), nil
}

// Assembly is one content, whole and checked. It is immutable; assemblies
// share what did not change between them.
type Assembly struct {
	// parts are sorted by name.
	parts []Part
	root  root
	// estate has no blocks and no version.
	estate *estate.Estate
}

// Join puts a content together from its manifest. get returns the encoding of
// a part; each one is checked against its digest.
func Join(m Manifest, get func(Entry) ([]byte, error)) (*Assembly, error) {
	empty := &Assembly{estate: &estate.Estate{}}
	return empty.update(m.Root, m.Entries, nil, get)
}

// Apply returns the content that a delta leads to. get returns the parts that
// the delta does not carry. The cost follows the delta; the lists of parts,
// sites and backend servers are copied.
func (a *Assembly) Apply(d Delta, get func(Entry) ([]byte, error)) (*Assembly, error) {
	if d.FromRoot != a.Root() {
		return nil, corrupt("delta", "it starts from another content")
	}
	return a.update(d.Root, d.Changed, d.Removed, func(e Entry) ([]byte, error) {
		if data, ok := d.Inline[e.Name]; ok {
			return data, nil
		}
		return get(e)
	})
}

func (a *Assembly) update(want Digest, changed []Entry, removed []string, get func(Entry) ([]byte, error)) (*Assembly, error) {
	fresh := make([]Part, 0, len(changed))
	for _, e := range changed {
		data, err := get(e)
		if err != nil {
			return nil, errors.Trace(err)
		}
		p := newPart(e.Name, data)
		if p.Entry != e {
			return nil, corrupt(e.Name, "the data does not match its digest")
		}
		fresh = append(fresh, p)
	}
	n := &Assembly{}
	n.parts, n.root = patch(a.parts, a.root, fresh, removed)
	if n.Root() != want {
		return nil, corrupt("root", "the parts do not give the root of the manifest")
	}
	if err := n.derive(a.estate, fresh, removed); err != nil {
		return nil, err
	}
	return n, nil
}

// isControl tells parts of the decoded estate from blocks.
func isControl(name string) bool { return !strings.HasPrefix(name, blocksPrefix) }

// patch returns parts with those removed left out and the fresh ones put in;
// all are sorted.
func patch(parts []Part, r root, fresh []Part, removed []string) ([]Part, root) {
	out := make([]Part, 0, len(parts)+len(fresh))
	for len(fresh) > 0 || len(removed) > 0 {
		name := firstName(fresh, removed)
		i, found := findPart(parts, name)
		out = append(out, parts[:i]...)
		parts = parts[i:]
		if found {
			r = r.remove(parts[0].Entry)
			parts = parts[1:]
		}
		if len(removed) > 0 && removed[0] == name {
			removed = removed[1:]
			continue
		}
		out = append(out, fresh[0])
		r = r.add(fresh[0].Entry)
		fresh = fresh[1:]
	}
	return append(out, parts...), r
}

// firstName returns the lowest name of two sorted lists, one of them not empty.
func firstName(fresh []Part, removed []string) string {
	if len(fresh) == 0 || (len(removed) > 0 && removed[0] < fresh[0].Name) {
		return removed[0]
	}
	return fresh[0].Name
}

func findPart(parts []Part, name string) (int, bool) {
	return slices.BinarySearchFunc(parts, name, func(p Part, n string) int { return strings.Compare(p.Name, n) })
}

// shard decodes a part of blocks.
func (p Part) shard() (Shard, error) {
	r, err := netip.ParsePrefix(strings.TrimPrefix(p.Name, blocksPrefix))
	if err != nil || r != r.Masked() {
		return Shard{}, corrupt(p.Name, "its range is not valid")
	}
	return decodeShard(r, p.Bytes)
}

// Root returns the root digest of the content.
func (a *Assembly) Root() Digest { return a.root.digest() }

// Manifest lists the parts.
func (a *Assembly) Manifest() Manifest {
	entries := make([]Entry, len(a.parts))
	for i, p := range a.parts {
		entries[i] = p.Entry
	}
	return Manifest{Root: a.Root(), Entries: entries}
}

// Part returns the part of a name.
func (a *Assembly) Part(name string) (Part, bool) {
	if i, ok := findPart(a.parts, name); ok {
		return a.parts[i], true
	}
	return Part{}, false
}

// Object returns the part with a digest.
func (a *Assembly) Object(digest Digest) ([]byte, bool) {
	for i := range a.parts {
		if a.parts[i].Digest == digest {
			return a.parts[i].Bytes, true
		}
	}
	return nil, false
}

// Shard returns the blocks of the part blocks/<range>, decoded anew.
func (a *Assembly) Shard(name string) (Shard, error) {
	p, ok := a.Part(name)
	if !ok {
		return Shard{}, corrupt(name, "there is no such part")
	}
	return p.shard()
}

// ShardNames returns the names of the parts with blocks, in order of address.
func (a *Assembly) ShardNames() []string {
	var out []string
	for _, p := range a.parts {
		if !isControl(p.Name) {
			out = append(out, p.Name)
		}
	}
	slices.SortFunc(out, compareShardNames)
	return out
}

func compareShardNames(a, b string) int {
	x, _ := netip.ParsePrefix(strings.TrimPrefix(a, blocksPrefix))
	y, _ := netip.ParsePrefix(strings.TrimPrefix(b, blocksPrefix))
	return x.Compare(y)
}

// Skeleton returns the estate without its blocks under a version.
func (a *Assembly) Skeleton(version uint64) *estate.Estate {
	e := *a.estate
	e.Version = version
	return &e
}

// Estate returns the whole estate under a version. It decodes every block.
func (a *Assembly) Estate(version uint64) (*estate.Estate, error) {
	e := a.Skeleton(version)
	for _, name := range a.ShardNames() {
		s, err := a.Shard(name)
		if err != nil {
			return nil, err
		}
		e.Blocks = append(e.Blocks, s.Blocks...)
	}
	for _, b := range e.Blocks {
		if _, ok := e.RegionOf(b.Region); !ok {
			return nil, corrupt("blocks", "%s has no region", b.Prefix)
		}
	}
	return e, nil
}
