package publish

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
)

// errObjectsMissing means that a target waits for objects.
var errObjectsMissing = errors.New("objects are missing")

// target is a version that this instance fetches.
type target struct {
	// head is the head of the version.
	head Head
	// base is the version in force; nil if there is none.
	base *Installed
	// sources lists the sources of the head's objects; the platform is the last.
	sources []Source
	// objects holds the objects received, by digest.
	objects map[config.Digest][]byte
	// missing holds the digests of the objects that are still to be received.
	missing map[config.Digest]bool
	// inFlight holds the source of each fetch in flight, by digest.
	inFlight map[config.Digest]Source
	// failedSources holds the sources that failed to return an object, by digest.
	failedSources map[config.Digest][]Source
	// useManifest is set if the version is read from its manifest, because no usable
	// chain of deltas leads from base to head.
	useManifest bool
}

func newTarget(head Head, base *Installed, sources []Source) *target {
	return &target{
		head: head, base: base, sources: sources,
		useManifest: base == nil || head.Delta == "" || head.Version-base.Head.Version > maxDeltaChain,
		objects:     map[config.Digest][]byte{}, missing: map[config.Digest]bool{},
		inFlight: map[config.Digest]Source{}, failedSources: map[config.Digest][]Source{},
	}
}

// step returns the complete version if all its objects are received. Otherwise it
// records the missing objects and returns nil. An error means that the target
// can't be installed.
func (t *target) step() (*Installed, error) {
	clear(t.missing)
	var done *Installed
	var err error
	if t.useManifest {
		done, err = t.fromManifest()
	} else {
		done, err = t.fromDeltas()
	}
	if errors.Is(err, errObjectsMissing) {
		return nil, nil
	}
	return done, err
}

// object returns a received object, or records it as missing.
func (t *target) object(digest config.Digest) ([]byte, error) {
	if data, ok := t.objects[digest]; ok {
		return data, nil
	}
	t.missing[digest] = true
	return nil, errObjectsMissing
}

// part returns a part of the target. It uses the version in force if that has the
// same part, and the received objects otherwise.
func (t *target) part(e config.Entry) ([]byte, error) {
	if t.base != nil {
		if p, ok := t.base.Assembly.Part(e.Name); ok && p.Entry == e {
			return p.Bytes, nil
		}
	}
	return t.object(e.Digest)
}

// requireParts records all missing parts, so that they are fetched together. It
// returns an error if there are any.
func (t *target) requireParts(entries []config.Entry, inline map[string][]byte) error {
	var missing error
	for _, e := range entries {
		if _, ok := inline[e.Name]; ok {
			continue
		}
		if _, err := t.part(e); err != nil {
			missing = err
		}
	}
	return missing
}

func (t *target) fromManifest() (*Installed, error) {
	m, err := t.manifest()
	if err != nil {
		return nil, err
	}
	if m.Root != t.head.Root {
		return nil, errors.Errorf("the root of the manifest differs from the root of the head")
	}
	if err := t.requireParts(m.Entries, nil); err != nil {
		return nil, err
	}
	a, err := config.Join(m, t.part)
	if err != nil {
		return nil, err
	}
	i := &Installed{Head: t.head, Assembly: a}
	if t.base != nil {
		d := config.NewDelta(t.base.Assembly.Manifest(), m)
		i.Changed, i.Removed = entryNames(d.Changed), d.Removed
	}
	return i, nil
}

// manifest assembles the manifest from its index and pages. Pages that the version
// in force shares aren't fetched.
func (t *target) manifest() (config.Manifest, error) {
	data, err := t.object(t.head.Manifest)
	if err != nil {
		return config.Manifest{}, err
	}
	index, err := config.DecodeIndex(data)
	if err != nil {
		return config.Manifest{}, err
	}
	var missing error
	pages := make([][]byte, len(index.Pages))
	for i, digest := range index.Pages {
		page, ok := t.base.page(digest)
		if !ok {
			if page, err = t.object(digest); err != nil {
				missing = err
			}
		}
		pages[i] = page
	}
	if missing != nil {
		return config.Manifest{}, missing
	}
	return index.Manifest(pages)
}

func entryNames(entries []config.Entry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Name
	}
	return out
}

// fromDeltas follows the deltas back from the head to the version in force. It
// falls back to the manifest if they don't lead there.
func (t *target) fromDeltas() (*Installed, error) {
	var chain []config.Delta
	var digests []config.Digest
	next := t.head.Delta
	for len(chain) == 0 || chain[len(chain)-1].From > t.base.Head.Version {
		data, err := t.object(next)
		if err != nil {
			return nil, err
		}
		d, err := config.DecodeDelta(data)
		if err != nil || !t.extendsChain(d, chain) {
			return t.fallBackToManifest()
		}
		chain, digests = append(chain, d), append(digests, next)
		next = d.Prev
	}
	slices.Reverse(chain)
	slices.Reverse(digests)
	if chain[0].From != t.base.Head.Version || chain[0].FromRoot != t.base.Head.Root {
		return t.fallBackToManifest()
	}
	d := chain[0]
	for _, c := range chain[1:] {
		d = d.Compose(c)
	}
	if err := t.requireParts(d.Changed, d.Inline); err != nil {
		return nil, err
	}
	a, err := t.base.Assembly.Apply(d, t.part)
	if err != nil {
		return t.fallBackToManifest()
	}
	return t.installed(a, d, digests), nil
}

// extendsChain reports whether d is the next older delta of the chain, which is
// ordered from newest to oldest.
func (t *target) extendsChain(d config.Delta, chain []config.Delta) bool {
	if len(chain) == 0 {
		return d.To == t.head.Version && d.Root == t.head.Root
	}
	last := chain[len(chain)-1]
	mayReachBase := d.Prev != "" || d.From <= t.base.Head.Version
	return d.To == last.From && d.Root == last.FromRoot && len(chain) < maxDeltaChain && mayReachBase
}

func (t *target) fallBackToManifest() (*Installed, error) {
	t.useManifest = true
	clear(t.missing)
	return t.fromManifest()
}

// installed returns the version with the last maxDeltaChain deltas, which are kept
// for neighbours that are behind.
func (t *target) installed(a *config.Assembly, d config.Delta, digests []config.Digest) *Installed {
	i := &Installed{
		Head: t.head, Assembly: a, Changed: entryNames(d.Changed), Removed: d.Removed,
		objects: maps.Clone(t.base.objects), deltaOrder: slices.Concat(t.base.deltaOrder, digests),
	}
	if i.objects == nil {
		i.objects = map[config.Digest][]byte{}
	}
	for _, digest := range digests {
		i.objects[digest] = t.objects[digest]
	}
	for len(i.deltaOrder) > maxDeltaChain {
		delete(i.objects, i.deltaOrder[0])
		i.deltaOrder = slices.Clone(i.deltaOrder[1:])
	}
	return i
}

func (t *target) objectReceived(digest config.Digest, data []byte) {
	if t.inFlight[digest] != "" || t.missing[digest] {
		t.objects[digest] = data
	}
	delete(t.inFlight, digest)
}

func (t *target) fetchFailed(f Fetch) {
	if t.inFlight[f.Digest] != f.Source {
		return // the fetch belongs to an earlier target
	}
	delete(t.inFlight, f.Digest)
	t.failedSources[f.Digest] = append(t.failedSources[f.Digest], f.Source)
}

// removeSource removes a neighbour. Objects requested from it are requested from
// another source.
func (t *target) removeSource(from Source) {
	if from == Platform {
		return
	}
	for digest, s := range t.inFlight {
		if s == from {
			t.fetchFailed(Fetch{Source: s, Digest: digest})
		}
	}
	t.sources = slices.DeleteFunc(t.sources, func(s Source) bool { return s == from })
}

// exhausted reports whether there is a missing object that every source has failed
// to return.
func (t *target) exhausted() bool {
	for digest := range t.missing {
		if t.nextSource(digest) == "" {
			return true
		}
	}
	return false
}

// fetches returns the fetches to start now, ordered by digest.
func (t *target) fetches() []Fetch {
	var out []Fetch
	for _, digest := range slices.Sorted(maps.Keys(t.missing)) {
		if len(t.inFlight) >= maxFetches {
			break
		}
		if t.inFlight[digest] != "" {
			continue
		}
		f := Fetch{Source: t.nextSource(digest), Digest: digest}
		t.inFlight[digest] = f.Source
		out = append(out, f)
	}
	return out
}

// nextSource returns the source from which to fetch an object next. Neighbours
// come first, in an order that depends on the digest to spread the load, and the
// platform comes last. It returns an empty Source if all have failed.
func (t *target) nextSource(digest config.Digest) Source {
	neighbours := len(t.sources) - 1
	for i := range neighbours {
		s := t.sources[(int(digest[0])+int(digest[1])+i)%neighbours]
		if !slices.Contains(t.failedSources[digest], s) {
			return s
		}
	}
	if slices.Contains(t.failedSources[digest], Platform) {
		return ""
	}
	return Platform
}
