package publish

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Limits of one Applier.
const (
	// maxHeadReads is the largest number of times that the head is read: while it
	// is older than the expected version, and again after each commit whose
	// outcome is unknown.
	maxHeadReads = 5
	// maxCommits is the largest number of times the same compare-and-set is
	// sent.
	maxCommits = 3
	// maxSearchDeltas is the largest number of deltas, newest first, that are
	// searched for a change whose outcome is unknown.
	maxSearchDeltas = 64
)

// Options are the options of one apply.
type Options struct {
	// ExpectVersion is the version that the operator edited; 0 means that no
	// version exists yet.
	ExpectVersion uint64
	// Author names the operator and Note describes the change; both are shown
	// to other operators.
	Author, Note string
	// ChangeID is the idempotency key of this change and must be unique. A
	// command that is repeated with the same id takes effect at most once.
	ChangeID string
	// Now is the time recorded for the parts that changed.
	Now time.Time
}

// Result describes a change that is in force.
type Result struct {
	// Head is the head of the version that the change created.
	Head Head
	// Delta leads from ExpectVersion to Head. It is empty for the first version
	// and for a change that was already in force.
	Delta config.Delta
	// Bytes is the size of the objects stored for the change, the full manifest
	// included.
	Bytes int
	// AlreadyApplied is set if the change was in force before this call.
	AlreadyApplied bool
}

// Action is the next step that an Applier requests; exactly one field is set.
type Action struct {
	// ReadHead requests a read of HeadRow.
	ReadHead bool
	// Get lists the objects to read.
	Get []config.Digest
	// Put lists the objects to store.
	Put [][]byte
	// Commit is the transaction to execute.
	Commit *platform.Txn
	// Done is the final result of a successful apply.
	Done *Result
	// Err is the final error of a failed apply.
	Err error
}

// applierState is the current step of an Applier.
type applierState uint8

const (
	readingHead applierState = iota
	gettingIndex
	gettingPages
	gettingParts
	putting
	committing
	// resolvingHead reads the head after a commit whose outcome is unknown.
	resolvingHead
	// searchingDeltas reads deltas from the head back to the version that this
	// change would have created.
	searchingDeltas
	finished
)

// Applier publishes one estate. It does no I/O: the caller performs the Action
// that Ready returns and then reports its result by one call of HeadRead,
// ObjectsRead, ObjectsStored or CommitDone. An Applier isn't safe for
// concurrent use.
type Applier struct {
	estate *estate.Estate
	opts   Options
	state  applierState
	// head is the version that the change starts from.
	head Head
	// manifest is the manifest of head.
	manifest config.Manifest
	// newManifest is the manifest of the change before its parts are stamped
	// with the time of the change.
	newManifest config.Manifest
	// index lists the pages of manifest.
	index config.Index
	// pages holds the encoded manifest pages that are known, by digest.
	pages map[config.Digest][]byte
	// neededParts are the parts of the old content to compare with.
	neededParts []config.Entry
	// next is the head that the change creates.
	next Head
	// delta leads from head to next.
	delta config.Delta
	// txn moves the head to next.
	txn platform.Txn
	// newObjects are the objects to store before txn is sent.
	newObjects [][]byte
	// uncertainErr is the first error after which this change may already be in
	// force; nil if there was none.
	uncertainErr error
	// searchDelta is the digest of the delta to search next.
	searchDelta config.Digest
	// observedHead is the head from which the search of the deltas started.
	observedHead Head
	// headReads counts reads of the head and commitAttempts counts commits.
	headReads, commitAttempts int
	// deltasRead counts the deltas searched.
	deltasRead int
	// final is the action that reports the end of the apply.
	final Action
}

// NewApplier returns an Applier that publishes e, which must be valid.
func NewApplier(e *estate.Estate, opts Options) *Applier {
	return &Applier{estate: e, opts: opts}
}

// Ready returns the action to perform next.
func (a *Applier) Ready() Action {
	switch a.state {
	case readingHead, resolvingHead:
		return Action{ReadHead: true}
	case gettingIndex:
		return Action{Get: []config.Digest{a.head.Manifest}}
	case gettingPages:
		return Action{Get: a.missingPages()}
	case gettingParts:
		digests := make([]config.Digest, len(a.neededParts))
		for i, e := range a.neededParts {
			digests[i] = e.Digest
		}
		return Action{Get: digests}
	case putting:
		return Action{Put: a.newObjects}
	case committing:
		return Action{Commit: &a.txn}
	case searchingDeltas:
		return Action{Get: []config.Digest{a.searchDelta}}
	}
	return a.final
}

func (a *Applier) fail(err error) {
	a.state, a.final = finished, Action{Err: errors.Trace(err)}
}

func (a *Applier) finish(r Result) {
	a.state, a.final = finished, Action{Done: &r}
}

func (a *Applier) unavailable(op string, err error) {
	a.fail(&UnavailableError{Op: op, Cause: err})
}

func (a *Applier) failUnknownOutcome(cause error) {
	if cause == nil {
		cause = a.uncertainErr
	}
	a.fail(&UnsettledError{Version: a.opts.ExpectVersion + 1, ChangeID: a.opts.ChangeID, Cause: cause})
}

// HeadRead reports the result of Action.ReadHead: the row, a zero Row if it
// doesn't exist, or the error.
func (a *Applier) HeadRead(row platform.Row, err error) {
	a.headReads++
	var head Head
	if err == nil {
		head, err = headOf(row)
	}
	if a.state == resolvingHead {
		a.resolveHead(head, err)
		return
	}
	if err != nil {
		a.unavailable("reading the head", err)
		return
	}
	a.compareHead(head)
}

// compareHead compares the head with the version that the operator expects.
func (a *Applier) compareHead(head Head) {
	want := a.opts.ExpectVersion
	switch {
	case head.Version > want:
		// This change may be in force from an earlier run of the command.
		a.uncertainErr = &ConflictError{Expected: want, Head: head}
		a.searchFrom(head)
	case head.Version < want && a.headReads < maxHeadReads:
		// The read was stale; Ready requests another one.
	case head.Version < want:
		a.fail(&StaleError{Expected: want, Read: head.Version})
	case head.Version == 0:
		a.prepareChange(nil)
	default:
		a.head, a.state = head, gettingIndex
	}
}

// ObjectsRead reports the result of Action.Get: the objects in the order
// requested, or the error.
func (a *Applier) ObjectsRead(objects [][]byte, err error) {
	switch {
	case a.state == searchingDeltas:
		a.handleSearchDelta(objects, err)
	case err != nil:
		a.unavailable("reading the version in force", err)
	case a.state == gettingIndex:
		a.handleIndex(objects[0])
	case a.state == gettingPages:
		for i, digest := range a.missingPages() {
			a.pages[digest] = objects[i]
		}
		a.handlePages()
	default:
		known := make(map[config.Digest][]byte, len(objects))
		for i, e := range a.neededParts {
			known[e.Digest] = objects[i]
		}
		a.prepareChange(known)
	}
}

// handleIndex decodes the manifest index of the version in force. Only those of
// its pages that the new manifest doesn't share have to be read.
func (a *Applier) handleIndex(data []byte) {
	index, err := config.DecodeIndex(data)
	if err != nil {
		a.fail(err)
		return
	}
	_, newManifest, err := config.Split(a.estate)
	if err != nil {
		a.fail(err)
		return
	}
	_, pages, err := newManifest.Encode()
	if err != nil {
		a.fail(err)
		return
	}
	a.index, a.newManifest, a.pages = index, newManifest, map[config.Digest][]byte{}
	for _, page := range pages {
		a.pages[config.DigestOf(page)] = page
	}
	if len(a.missingPages()) > 0 {
		a.state = gettingPages
		return
	}
	a.handlePages()
}

func (a *Applier) missingPages() []config.Digest {
	var out []config.Digest
	for _, digest := range a.index.Pages {
		if _, ok := a.pages[digest]; !ok && !slices.Contains(out, digest) {
			out = append(out, digest)
		}
	}
	return out
}

func (a *Applier) handlePages() {
	pages := make([][]byte, len(a.index.Pages))
	for i, digest := range a.index.Pages {
		pages[i] = a.pages[digest]
	}
	m, err := a.index.Manifest(pages)
	if err != nil {
		a.fail(err)
		return
	}
	a.manifest, a.neededParts = m, config.StampNeeds(m, a.newManifest)
	if len(a.neededParts) == 0 {
		a.prepareChange(nil)
		return
	}
	a.state = gettingParts
}

// prepareChange builds the objects and the transaction of the change.
func (a *Applier) prepareChange(oldParts map[config.Digest][]byte) {
	parts, m, err := config.Stamp(a.estate, a.manifest, oldParts, a.opts.Now)
	if err != nil {
		a.fail(err)
		return
	}
	a.next = Head{
		Version: a.opts.ExpectVersion + 1, Root: m.Root, ChangeID: a.opts.ChangeID,
		Author: a.opts.Author, Note: a.opts.Note, Time: a.opts.Now.UTC(),
	}
	for _, p := range a.newParts(parts) {
		a.newObjects = append(a.newObjects, p.Bytes)
	}
	if err := a.prepareObjects(m, parts); err != nil {
		a.fail(err)
		return
	}
	value, err := a.next.Encode()
	if err != nil {
		a.fail(err)
		return
	}
	a.txn = platform.Txn{ID: a.opts.ChangeID, Writes: []platform.Write{{Row: HeadRow, Expect: a.opts.ExpectVersion, Value: value}}}
	a.state = putting
}

// prepareObjects adds the manifest and the delta to the new objects.
func (a *Applier) prepareObjects(m config.Manifest, parts []config.Part) error {
	data, pages, err := m.Encode()
	if err != nil {
		return err
	}
	a.next.Manifest = config.DigestOf(data)
	a.newObjects = append(a.newObjects, data)
	stored := map[config.Digest]bool{}
	for _, digest := range a.index.Pages {
		stored[digest] = true
	}
	for _, page := range pages {
		if digest := config.DigestOf(page); !stored[digest] {
			stored[digest] = true
			a.newObjects = append(a.newObjects, page)
		}
	}
	if a.head.Version == 0 {
		return nil
	}
	a.delta = config.NewDelta(a.manifest, m)
	a.delta.From, a.delta.To = a.head.Version, a.next.Version
	a.delta.FromChangeID, a.delta.ChangeID, a.delta.Author = a.head.ChangeID, a.opts.ChangeID, a.opts.Author
	a.delta.Prev = a.head.Delta
	a.delta.SetInline(parts)
	if data, err = a.delta.Encode(); err != nil {
		return err
	}
	a.next.Delta = config.DigestOf(data)
	a.newObjects = append(a.newObjects, data)
	return nil
}

// newParts returns the parts that the old manifest doesn't list.
func (a *Applier) newParts(parts []config.Part) []config.Part {
	old := make(map[config.Entry]bool, len(a.manifest.Entries))
	for _, e := range a.manifest.Entries {
		old[e] = true
	}
	var out []config.Part
	for _, p := range parts {
		if !old[p.Entry] {
			out = append(out, p)
		}
	}
	return out
}

// ObjectsStored reports the result of Action.Put: nil once all objects are
// stored, or the error.
func (a *Applier) ObjectsStored(err error) {
	if err != nil {
		a.unavailable("storing the parts", err)
		return
	}
	a.state = committing
}

// CommitDone reports the result of Action.Commit: nil once the row is written,
// or one of the platform's typed errors.
func (a *Applier) CommitDone(err error) {
	a.commitAttempts++
	var conflict *platform.Conflict
	var unavailable *platform.Unavailable
	switch {
	case err == nil:
		a.finish(a.result(false))
	case errors.As(err, &conflict):
		a.conflict(conflict.Row)
	case errors.As(err, &unavailable) && a.uncertainErr == nil:
		a.unavailable("moving the head", err)
	default:
		if a.uncertainErr == nil {
			a.uncertainErr = err
		}
		a.headReads, a.state = 0, resolvingHead
	}
}

func (a *Applier) result(already bool) Result {
	r := Result{Head: a.next, Delta: a.delta, AlreadyApplied: already}
	for _, data := range a.newObjects {
		r.Bytes += len(data)
	}
	return r
}
