package publish

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
)

// errMissing says that a target waits for objects.
var errMissing = errors.New("objects are missing")

// target is a version on its way to this instance.
type target struct {
	head Head
	base *Installed
	// sources offer the head's objects; the platform is the last.
	sources []Source
	// objects holds what has arrived by digest.
	objects map[config.Digest][]byte
	// wants holds the objects still missing, asked the fetches in flight, and
	// failing the sources that have failed to give an object.
	wants   map[config.Digest]bool
	asked   map[config.Digest]Source
	failing map[config.Digest][]Source
	// full is set when the deltas do not lead from base to head.
	full bool
}

func newTarget(head Head, base *Installed, sources []Source) *target {
	return &target{
		head: head, base: base, sources: sources,
		full:    base == nil || head.Delta == "" || head.Version-base.Head.Version > maxChain,
		objects: map[config.Digest][]byte{}, wants: map[config.Digest]bool{},
		asked: map[config.Digest]Source{}, failing: map[config.Digest][]Source{},
	}
}

// step works with the objects at hand: it returns the whole version, or
// records the objects that it wants. An error means that the target is no good.
func (t *target) step() (*Installed, error) {
	clear(t.wants)
	var done *Installed
	var err error
	if t.full {
		done, err = t.fromManifest()
	} else {
		done, err = t.fromDeltas()
	}
	if errors.Is(err, errMissing) {
		return nil, nil
	}
	return done, err
}

// object returns an object at hand or asks for it.
func (t *target) object(digest config.Digest) ([]byte, error) {
	if data, ok := t.objects[digest]; ok {
		return data, nil
	}
	t.wants[digest] = true
	return nil, errMissing
}

// part returns a part of the target, from the version in force if it is there.
func (t *target) part(e config.Entry) ([]byte, error) {
	if t.base != nil {
		if p, ok := t.base.Assembly.Part(e.Name); ok && p.Entry == e {
			return p.Bytes, nil
		}
	}
	return t.object(e.Digest)
}

// want asks for all missing parts at once.
func (t *target) want(entries []config.Entry, inline map[string][]byte) error {
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
		return nil, errors.Errorf("the manifest has not the root of the head")
	}
	if err := t.want(m.Entries, nil); err != nil {
		return nil, err
	}
	a, err := config.Join(m, t.part)
	if err != nil {
		return nil, err
	}
	i := &Installed{Head: t.head, Assembly: a}
	if t.base != nil {
		d := config.NewDelta(t.base.Assembly.Manifest(), m)
		i.Changed, i.Removed = names(d.Changed), d.Removed
	}
	return i, nil
}

// manifest puts the manifest together from its index and pages. Pages that are
// the same in the version in force are not asked for.
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

func names(entries []config.Entry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Name
	}
	return out
}

// fromDeltas follows the deltas back from the head to the version in force. It
// turns to the manifest when they do not lead there.
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
		if err != nil || !t.follows(d, chain) {
			return t.turnToManifest()
		}
		chain, digests = append(chain, d), append(digests, next)
		next = d.Prev
	}
	slices.Reverse(chain)
	slices.Reverse(digests)
	if chain[0].From != t.base.Head.Version || chain[0].FromRoot != t.base.Head.Root {
		return t.turnToManifest()
	}
	d := chain[0]
	for _, c := range chain[1:] {
		d = d.Compose(c)
	}
	if err := t.want(d.Changed, d.Inline); err != nil {
		return nil, err
	}
	a, err := t.base.Assembly.Apply(d, t.part)
	if err != nil {
		return t.turnToManifest()
	}
	return t.installed(a, d, digests), nil
}

// follows reports whether a delta is the next one of the way back.
func (t *target) follows(d config.Delta, chain []config.Delta) bool {
	if len(chain) == 0 {
		return d.To == t.head.Version && d.Root == t.head.Root
	}
	last := chain[len(chain)-1]
	more := d.Prev != "" || d.From <= t.base.Head.Version
	return d.To == last.From && d.Root == last.FromRoot && len(chain) < maxChain && more
}

func (t *target) turnToManifest() (*Installed, error) {
	t.full = true
	clear(t.wants)
	return t.fromManifest()
}

// installed keeps the last deltas for neighbours that are behind.
func (t *target) installed(a *config.Assembly, d config.Delta, digests []config.Digest) *Installed {
	i := &Installed{
		Head: t.head, Assembly: a, Changed: names(d.Changed), Removed: d.Removed,
		objects: maps.Clone(t.base.objects), deltas: slices.Concat(t.base.deltas, digests),
	}
	if i.objects == nil {
		i.objects = map[config.Digest][]byte{}
	}
	for _, digest := range digests {
		i.objects[digest] = t.objects[digest]
	}
	for len(i.deltas) > maxChain {
		delete(i.objects, i.deltas[0])
		i.deltas = slices.Clone(i.deltas[1:])
	}
	return i
}

func (t *target) got(digest config.Digest, data []byte) {
	if t.asked[digest] != "" || t.wants[digest] {
		t.objects[digest] = data
	}
	delete(t.asked, digest)
}

func (t *target) failed(f Fetch) {
	if t.asked[f.Digest] != f.Source {
		return // an answer to an earlier target
	}
	delete(t.asked, f.Digest)
	t.failing[f.Digest] = append(t.failing[f.Digest], f.Source)
}

// lose takes a source away. What was asked of it is asked of another.
func (t *target) lose(from Source) {
	if from == Platform {
		return
	}
	for digest, s := range t.asked {
		if s == from {
			t.failed(Fetch{Source: s, Digest: digest})
		}
	}
	t.sources = slices.DeleteFunc(t.sources, func(s Source) bool { return s == from })
}

// exhausted reports whether every source has failed to give some missing
// object.
func (t *target) exhausted() bool {
	for digest := range t.wants {
		if t.source(digest) == "" {
			return true
		}
	}
	return false
}

// fetches returns the fetches to start now, in order of digest.
func (t *target) fetches() []Fetch {
	var out []Fetch
	for _, digest := range slices.Sorted(maps.Keys(t.wants)) {
		if len(t.asked) >= maxFetches {
			break
		}
		if t.asked[digest] != "" {
			continue
		}
		f := Fetch{Source: t.source(digest), Digest: digest}
		t.asked[digest] = f.Source
		out = append(out, f)
	}
	return out
}

// source picks the source of an object's next try: neighbours first, spread by
// the digest, the platform last; empty if all have failed.
func (t *target) source(digest config.Digest) Source {
	neighbours := len(t.sources) - 1
	for i := range neighbours {
		s := t.sources[(int(digest[0])+int(digest[1])+i)%neighbours]
		if !slices.Contains(t.failing[digest], s) {
			return s
		}
	}
	if slices.Contains(t.failing[digest], Platform) {
		return ""
	}
	return Platform
}
