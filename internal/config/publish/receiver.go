package publish

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/banyandeal/banyandeal/internal/config"
)

// Source identifies where heads and objects are read from: Platform, or the
// instance id of a neighbour.
type Source string

// Platform is the Source for the platform's table and object store.
const Platform Source = "platform"

// Limits of a Receiver.
const (
	// maxDeltaChain is the largest number of versions that an instance may be
	// behind and still fetch deltas; beyond it, it fetches the full manifest.
	maxDeltaChain = 32
	// maxFetches is the largest number of objects fetched at once.
	maxFetches = 8
)

// Installed is a version in force at this instance.
type Installed struct {
	// Head is the head of the version.
	Head Head
	// Assembly is the content of the version.
	Assembly *config.Assembly
	// Changed and Removed name the parts that differ from the previously installed
	// version. Changed is nil if every part may differ. The blocks of removed
	// parts must be deleted before those of changed parts are added.
	Changed, Removed []string
	// objects holds the encoded deltas that led to this version, by digest, for
	// neighbours that are behind.
	objects map[config.Digest][]byte
	// deltaOrder lists the digests of objects, oldest first.
	deltaOrder []config.Digest
	// pagesOnce guards the creation of pages.
	pagesOnce sync.Once
	// pages holds the encoded index and pages of the manifest, by digest.
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

// page returns the index or a page of this version's manifest by digest. They
// are encoded at the first call. A nil Installed has no pages.
func (i *Installed) page(digest config.Digest) ([]byte, bool) {
	if i == nil {
		return nil, false
	}
	i.pagesOnce.Do(func() {
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

// Fetch is a request for an object or a head.
type Fetch struct {
	// Source is where the request is sent.
	Source Source
	// Digest is the digest of the object; empty for the source's head.
	Digest config.Digest
}

// String returns a description of the fetch for logs.
func (f Fetch) String() string {
	if f.Digest == "" {
		return fmt.Sprintf("head from %s", f.Source)
	}
	return fmt.Sprintf("%s from %s", f.Digest, f.Source)
}

// Ready lists the work that a Receiver requests.
type Ready struct {
	// Fetch lists the fetches to start. The result of each one is reported by one
	// call of HeadReceived, NoHead, Object or FetchFailed.
	Fetch []Fetch
	// Install is the version to put in force; nil if it is unchanged.
	Install *Installed
}

// Receiver follows the configuration in force. It installs a version only if the
// version is higher than the current one, complete, and verified against every
// digest. It does no I/O, and isn't safe for concurrent use.
type Receiver struct {
	// current is the version in force; nil before the first.
	current *Installed
	// awaited holds the sources whose first answer a new instance still waits
	// for. No version is chosen until it is empty, because the answer of one
	// source may be stale.
	awaited map[Source]bool
	// offeredHeads holds the highest head above current that each source has
	// offered.
	offeredHeads map[Source]Head
	// fetchingHead holds the sources whose head is being fetched.
	fetchingHead map[Source]bool
	// advertised holds the version that each source advertised last.
	advertised map[Source]uint64
	// target is the version being fetched; nil if there is none.
	target  *target
	pending Ready
	// mismatches counts heads that contradict the version in force.
	mismatches int
}

// NewReceiver returns a Receiver for a new instance. It requests the head of each
// of the sources and installs no version until each of them has answered or
// failed.
func NewReceiver(sources ...Source) *Receiver {
	r := &Receiver{
		awaited: map[Source]bool{}, offeredHeads: map[Source]Head{}, fetchingHead: map[Source]bool{}, advertised: map[Source]uint64{},
	}
	for _, s := range sources {
		r.awaited[s] = true
		r.fetchHead(s)
	}
	return r
}

// AddInitialSource adds a source whose answer a new instance waits for before it
// chooses its first version, such as a neighbour that it discovers late. It has no
// effect once a version is installed, and doesn't interrupt a version that is being
// fetched.
func (r *Receiver) AddInitialSource(from Source) {
	if r.current == nil {
		r.awaited[from] = true
		r.fetchHead(from)
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

// Ready returns the work requested since the last call.
func (r *Receiver) Ready() Ready {
	pending := r.pending
	r.pending = Ready{}
	return pending
}

// VersionAdvertised reports that a source advertised a version, as the heartbeats
// of neighbours do. The head is fetched if the version is higher than the current
// one and than the head that the source has offered.
func (r *Receiver) VersionAdvertised(from Source, version uint64) {
	r.advertised[from] = version
	if version > r.Version() && version > r.offeredHeads[from].Version {
		r.fetchHead(from)
	}
}

// Poll requests the head of a source. It is called periodically for the platform.
func (r *Receiver) Poll(from Source) { r.fetchHead(from) }

// RemoveSource removes a neighbour that has left.
func (r *Receiver) RemoveSource(from Source) {
	delete(r.advertised, from)
	delete(r.offeredHeads, from)
	delete(r.awaited, from)
	delete(r.fetchingHead, from)
	if r.target != nil {
		r.target.removeSource(from)
	}
	r.advance()
}

func (r *Receiver) fetchHead(from Source) {
	if !r.fetchingHead[from] {
		r.fetchingHead[from] = true
		r.pending.Fetch = append(r.pending.Fetch, Fetch{Source: from})
	}
}

// HeadReceived reports the head that a source returned, which may be stale.
func (r *Receiver) HeadReceived(from Source, head Head) {
	delete(r.fetchingHead, from)
	delete(r.awaited, from)
	switch {
	case head.Version > r.Version():
		if head.Version >= r.offeredHeads[from].Version {
			r.offeredHeads[from] = head
		}
	case r.current != nil && head.Version == r.Version() && head.Root != r.current.Head.Root:
		r.mismatches++
	}
	r.advance()
}

// NoHead reports that a source has no configuration.
func (r *Receiver) NoHead(from Source) {
	delete(r.fetchingHead, from)
	delete(r.awaited, from)
	r.advance()
}

// FetchFailed reports that a fetch failed or timed out.
func (r *Receiver) FetchFailed(f Fetch) {
	if f.Digest == "" {
		r.NoHead(f.Source)
		return
	}
	if r.target != nil {
		r.target.fetchFailed(f)
	}
	r.advance()
}

// Object reports the object that a fetch returned. An object that doesn't
// match its digest counts as a failed fetch.
func (r *Receiver) Object(f Fetch, data []byte) {
	if config.DigestOf(data) != f.Digest {
		r.FetchFailed(f)
		return
	}
	if r.target != nil {
		r.target.objectReceived(f.Digest, data)
	}
	r.advance()
}

// advance processes the target, and chooses the next one when it is done, until
// the target waits for objects or no head is offered.
func (r *Receiver) advance() {
	for {
		if r.target == nil && !r.chooseTarget() {
			return
		}
		done, err := r.target.step()
		switch {
		case err != nil:
			r.dropTarget()
		case r.target.exhausted():
			if r.target.useManifest {
				r.dropTarget()
			} else {
				r.target.useManifest = true // no source has a delta that is needed; the manifest may still be available
			}
		case done != nil:
			r.install(done)
		default:
			r.pending.Fetch = append(r.pending.Fetch, r.target.fetches()...)
			return
		}
	}
}

// chooseTarget sets the target to the highest offered head and reports whether
// there is one. Among equal versions it takes the platform's head, else that of
// the source that sorts first by name.
func (r *Receiver) chooseTarget() bool {
	if len(r.awaited) > 0 {
		return false
	}
	var best Source
	for _, s := range r.offeringSources() {
		h := r.offeredHeads[s]
		if h.Version > r.offeredHeads[best].Version || (h.Version == r.offeredHeads[best].Version && s == Platform) {
			best = s
		}
	}
	if best == "" {
		return false
	}
	head := r.offeredHeads[best]
	r.target = newTarget(head, r.current, r.sourcesFor(head))
	return true
}

func (r *Receiver) offeringSources() []Source {
	return slices.Sorted(maps.Keys(r.offeredHeads))
}

// sourcesFor returns the neighbours that offer a head, followed by the platform as
// the last resort.
func (r *Receiver) sourcesFor(head Head) []Source {
	var out []Source
	for _, s := range r.offeringSources() {
		if s != Platform && r.offeredHeads[s].same(head) {
			out = append(out, s)
		}
	}
	return append(out, Platform)
}

// dropTarget drops the target and every offer of its head. A later offer starts it
// again.
func (r *Receiver) dropTarget() {
	head := r.target.head
	r.target = nil
	for _, s := range r.offeringSources() {
		if r.offeredHeads[s].same(head) {
			delete(r.offeredHeads, s)
		}
	}
}

// install puts the target in force. Versions only increase, because a target is
// higher than the current version when it is chosen and the current version
// changes only here.
func (r *Receiver) install(done *Installed) {
	r.target = nil
	if r.pending.Install != nil {
		done.Changed, done.Removed = nil, nil // the caller never saw the previous version
	}
	r.current = done
	r.pending.Install = done
	for _, s := range r.offeringSources() {
		if r.offeredHeads[s].Version <= done.Head.Version {
			delete(r.offeredHeads, s)
		}
	}
}
