package publish

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/banyandeal/banyandeal/internal/config"
)

// Source is where a head or an object can be had: Platform, or the id of a
// neighbour.
type Source string

// Platform is the platform's table and object store.
const Platform Source = "platform"

// Bounds of a Receiver.
const (
	// maxChain is how many versions an instance may be behind before it takes
	// the full manifest instead of the deltas.
	maxChain = 32
	// maxFetches is how many objects are asked for at once.
	maxFetches = 8
)

// Installed is one version in force at this instance.
type Installed struct {
	Head     Head
	Assembly *config.Assembly
	// Changed and Removed name the parts that differ from the version before;
	// Changed is nil if all may. Blocks of removed parts go before those of
	// changed ones come.
	Changed, Removed []string
	// objects holds the deltas that led here, for neighbours.
	objects map[config.Digest][]byte
	// deltas orders objects, oldest first.
	deltas []config.Digest
	// once guards the making of pages, the manifest's index and pages.
	once  sync.Once
	pages map[config.Digest][]byte
}

// Object returns an object of this version, or of the deltas that led to it,
// for a neighbour.
func (i *Installed) Object(digest config.Digest) ([]byte, bool) {
	if data, ok := i.objects[digest]; ok {
		return data, true
	}
	if data, ok := i.page(digest); ok {
		return data, true
	}
	return i.Assembly.Object(digest)
}

// page returns the index or a page of this version's manifest. They are made
// once, when first asked for.
func (i *Installed) page(digest config.Digest) ([]byte, bool) {
	if i == nil {
		return nil, false
	}
	i.once.Do(func() {
		index, pages, err := i.Assembly.Manifest().Encode()
		if err != nil {
			return
		}
		i.pages = map[config.Digest][]byte{config.DigestOf(index): index}
		for _, page := range pages {
			i.pages[config.DigestOf(page)] = page
		}
	})
	data, ok := i.pages[digest]
	return data, ok
}

// Fetch asks a source for an object; with an empty digest, for its head.
type Fetch struct {
	Source Source
	Digest config.Digest
}

// String returns the fetch as it stands in logs.
func (f Fetch) String() string {
	if f.Digest == "" {
		return fmt.Sprintf("head from %s", f.Source)
	}
	return fmt.Sprintf("%s from %s", f.Digest, f.Source)
}

// Ready is what a Receiver wants done.
type Ready struct {
	// Fetch is to be started; each one ends in HeadReceived, NoHead,
	// ObjectReceived or FetchFailed.
	Fetch []Fetch
	// Install is to be put in force; nil if nothing changed.
	Install *Installed
}

// Receiver follows the configuration in force. It accepts strictly higher
// versions only, whole and with every digest checked.
type Receiver struct {
	current *Installed
	// asked holds the sources that a newborn has not heard yet; nothing is
	// taken before it is empty.
	asked map[Source]bool
	// heads holds the best head above current that each source has offered.
	heads map[Source]Head
	// asking holds the sources whose head is being fetched.
	asking map[Source]bool
	// heard is the highest version that each source says it has.
	heard  map[Source]uint64
	target *target
	out    Ready
	// mismatches counts heads that contradict the version in force.
	mismatches int
}

// NewReceiver returns a Receiver of a new instance that first asks the given
// sources, and is not ready before each has answered or failed.
func NewReceiver(ask ...Source) *Receiver {
	r := &Receiver{
		asked: map[Source]bool{}, heads: map[Source]Head{}, asking: map[Source]bool{}, heard: map[Source]uint64{},
	}
	for _, s := range ask {
		r.asked[s] = true
		r.askHead(s)
	}
	return r
}

// AddInitialSource adds a source to those that a newborn hears before it takes a version, as
// when it learns of a neighbour. It has no effect once there is a version, and
// holds up nothing that is being fetched already.
func (r *Receiver) AddInitialSource(from Source) {
	if r.current == nil {
		r.asked[from] = true
		r.askHead(from)
	}
}

// Current returns the version in force, or nil before the first.
func (r *Receiver) Current() *Installed { return r.current }

// Version returns the number of the version in force; 0 before the first.
func (r *Receiver) Version() uint64 {
	if r.current == nil {
		return 0
	}
	return r.current.Head.Version
}

// Mismatches returns how many heads contradicted the version in force.
func (r *Receiver) Mismatches() int { return r.mismatches }

// Ready returns what is to be done and forgets it.
func (r *Receiver) Ready() Ready {
	out := r.out
	r.out = Ready{}
	return out
}

// VersionAdvertised tells that a source says it has a version, as a neighbour's heartbeat
// does.
func (r *Receiver) VersionAdvertised(from Source, version uint64) {
	r.heard[from] = version
	if version > r.Version() && version > r.heads[from].Version {
		r.askHead(from)
	}
}

// Poll asks a source for its head, as is done for the platform in turn.
func (r *Receiver) Poll(from Source) { r.askHead(from) }

// RemoveSource drops a neighbour that is gone.
func (r *Receiver) RemoveSource(from Source) {
	delete(r.heard, from)
	delete(r.heads, from)
	delete(r.asked, from)
	delete(r.asking, from)
	if r.target != nil {
		r.target.lose(from)
	}
	r.advance()
}

func (r *Receiver) askHead(from Source) {
	if !r.asking[from] {
		r.asking[from] = true
		r.out.Fetch = append(r.out.Fetch, Fetch{Source: from})
	}
}

// HeadReceived tells the head that a source answered, fresh or stale.
func (r *Receiver) HeadReceived(from Source, head Head) {
	delete(r.asking, from)
	delete(r.asked, from)
	switch {
	case head.Version > r.Version():
		if head.Version >= r.heads[from].Version {
			r.heads[from] = head
		}
	case r.current != nil && head.Version == r.Version() && head.Root != r.current.Head.Root:
		r.mismatches++
	}
	r.advance()
}

// NoHead tells that a source has no configuration.
func (r *Receiver) NoHead(from Source) {
	delete(r.asking, from)
	delete(r.asked, from)
	r.advance()
}

// FetchFailed tells that a fetch failed or timed out.
func (r *Receiver) FetchFailed(f Fetch) {
	if f.Digest == "" {
		r.NoHead(f.Source)
		return
	}
	if r.target != nil {
		r.target.failed(f)
	}
	r.advance()
}

// ObjectReceived tells the answer to a fetch. One that does not match its digest counts
// as failed.
func (r *Receiver) ObjectReceived(f Fetch, data []byte) {
	if config.DigestOf(data) != f.Digest {
		r.FetchFailed(f)
		return
	}
	if r.target != nil {
		r.target.got(f.Digest, data)
	}
	r.advance()
}

// advance works on the target until it waits for objects or there is none.
func (r *Receiver) advance() {
	for {
		if r.target == nil && !r.choose() {
			return
		}
		done, err := r.target.step()
		switch {
		case err != nil:
			r.abandon()
		case r.target.exhausted():
			if r.target.full {
				r.abandon()
			} else {
				r.target.full = true // a delta that nobody has; the manifest may do
			}
		case done != nil:
			r.install(done)
		default:
			r.out.Fetch = append(r.out.Fetch, r.target.fetches()...)
			return
		}
	}
}

// choose picks the highest head on offer; among equal versions that of the
// platform, else of the lowest name.
func (r *Receiver) choose() bool {
	if len(r.asked) > 0 {
		return false
	}
	var best Source
	for _, s := range r.sources() {
		h := r.heads[s]
		if h.Version > r.heads[best].Version || (h.Version == r.heads[best].Version && s == Platform) {
			best = s
		}
	}
	if best == "" {
		return false
	}
	head := r.heads[best]
	r.target = newTarget(head, r.current, r.sourcesOf(head))
	return true
}

func (r *Receiver) sources() []Source {
	return slices.Sorted(maps.Keys(r.heads))
}

// sourcesOf returns who offers a head, and the platform as the last resort.
func (r *Receiver) sourcesOf(head Head) []Source {
	var out []Source
	for _, s := range r.sources() {
		if s != Platform && r.heads[s].same(head) {
			out = append(out, s)
		}
	}
	return append(out, Platform)
}

// abandon drops the target and every offer of it; a later offer tries again.
func (r *Receiver) abandon() {
	head := r.target.head
	r.target = nil
	for _, s := range r.sources() {
		if r.heads[s].same(head) {
			delete(r.heads, s)
		}
	}
}

// install puts the target in force. Versions only rise: a target is above the
// current version when it is chosen, and the current one changes only here.
func (r *Receiver) install(done *Installed) {
	r.target = nil
	if r.out.Install != nil {
		done.Changed, done.Removed = nil, nil // nobody took the version before
	}
	r.current = done
	r.out.Install = done
	for _, s := range r.sources() {
		if r.heads[s].Version <= done.Head.Version {
			delete(r.heads, s)
		}
	}
}
