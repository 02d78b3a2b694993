package publish

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Bounds of one apply.
const (
	// maxHeadReads is how often the head is read while it is stale or while a
	// lost reply is being settled.
	maxHeadReads = 5
	// maxCommits is how often the same compare-and-set is sent.
	maxCommits = 3
	// maxSettleDeltas is how many versions back a lost reply is looked for.
	maxSettleDeltas = 64
)

// Options of one apply.
type Options struct {
	// ExpectVersion is the version the operator started from; 0 for none.
	ExpectVersion uint64
	// Author and Note are shown to other operators.
	Author, Note string
	// ChangeID names this change; it must be fresh. A command that is run again
	// with the same id takes effect once.
	ChangeID string
	// Now stamps what changed.
	Now time.Time
}

// Result is a change in force.
type Result struct {
	Head Head
	// Delta leads from ExpectVersion to it; it is empty for the first version
	// and for a change found in force already.
	Delta config.Delta
	// Bytes is what was stored for it, the full manifest included.
	Bytes int
	// AlreadyApplied is set if the change had been in force before this call.
	AlreadyApplied bool
}

// Action is what an Applier wants done next; exactly one field is set.
type Action struct {
	// ReadHead asks for HeadRow.
	ReadHead bool
	// Get asks for objects.
	Get []config.Digest
	// Put asks to store objects.
	Put [][]byte
	// Commit asks for a transaction.
	Commit *platform.Txn
	// Done is the end; Err too.
	Done *Result
	Err  error
}

// applierState is where an Applier stands.
type applierState uint8

const (
	readingHead applierState = iota
	gettingIndex
	gettingPages
	gettingParts
	putting
	committing
	// settlingHead reads the head after a lost reply.
	settlingHead
	// settlingDeltas walks back from the head to the version that this change
	// would have.
	settlingDeltas
	ended
)

// Applier publishes one estate. Each Ready is followed by one call of the
// method that tells its result.
type Applier struct {
	estate *estate.Estate
	opts   Options
	state  applierState
	// head is the version that the change starts from.
	head     Head
	manifest config.Manifest
	// fresh is the manifest of the change before it is stamped.
	fresh config.Manifest
	// index names the pages of manifest, and pages holds those that this
	// instance has by digest.
	index config.Index
	pages map[config.Digest][]byte
	// needs are the parts of the old content to compare with.
	needs []config.Entry
	next  Head
	delta config.Delta
	txn   platform.Txn
	put   [][]byte
	// lost is the first failure after which the head may have moved.
	lost error
	// wanted is the digest of the delta being looked at while settling, and
	// seen the head it was reached from.
	wanted         config.Digest
	seen           Head
	reads, commits int
	deltas         int
	end            Action
}

// NewApplier returns an Applier of a checked estate.
func NewApplier(e *estate.Estate, opts Options) *Applier {
	return &Applier{estate: e, opts: opts}
}

// Ready returns what to do next.
func (a *Applier) Ready() Action {
	switch a.state {
	case readingHead, settlingHead:
		return Action{ReadHead: true}
	case gettingIndex:
		return Action{Get: []config.Digest{a.head.Manifest}}
	case gettingPages:
		return Action{Get: a.missingPages()}
	case gettingParts:
		digests := make([]config.Digest, len(a.needs))
		for i, e := range a.needs {
			digests[i] = e.Digest
		}
		return Action{Get: digests}
	case putting:
		return Action{Put: a.put}
	case committing:
		return Action{Commit: &a.txn}
	case settlingDeltas:
		return Action{Get: []config.Digest{a.wanted}}
	}
	return a.end
}

func (a *Applier) fail(err error) {
	a.state, a.end = ended, Action{Err: errors.Trace(err)}
}

func (a *Applier) finish(r Result) {
	a.state, a.end = ended, Action{Done: &r}
}

func (a *Applier) unavailable(op string, err error) {
	a.fail(&UnavailableError{Op: op, Cause: err})
}

func (a *Applier) unsettled(cause error) {
	if cause == nil {
		cause = a.lost
	}
	a.fail(&OutcomeUnknownError{Version: a.opts.ExpectVersion + 1, ChangeID: a.opts.ChangeID, Cause: cause})
}

// HeadRead tells the row read, a zero Row if there is none, or the failure.
func (a *Applier) HeadRead(row platform.Row, err error) {
	a.reads++
	var head Head
	if err == nil {
		head, err = headOf(row)
	}
	if a.state == settlingHead {
		a.settleRead(head, err)
		return
	}
	if err != nil {
		a.unavailable("reading the head", err)
		return
	}
	a.start(head)
}

// start compares the head with what the operator started from.
func (a *Applier) start(head Head) {
	want := a.opts.ExpectVersion
	switch {
	case head.Version > want:
		// This change may be in force from an earlier run of the command.
		a.lost = &ConflictError{Expected: want, Head: head}
		a.walk(head)
	case head.Version < want && a.reads < maxHeadReads:
		// A stale read; read again.
	case head.Version < want:
		a.fail(&StaleError{Expected: want, Read: head.Version})
	case head.Version == 0:
		a.plan(nil)
	default:
		a.head, a.state = head, gettingIndex
	}
}

// ObjectsRead tells the objects asked for, in order, or the failure.
func (a *Applier) ObjectsRead(objects [][]byte, err error) {
	switch {
	case a.state == settlingDeltas:
		a.walkDelta(objects, err)
	case err != nil:
		a.unavailable("reading the version in force", err)
	case a.state == gettingIndex:
		a.gotIndex(objects[0])
	case a.state == gettingPages:
		for i, digest := range a.missingPages() {
			a.pages[digest] = objects[i]
		}
		a.gotPages()
	default:
		known := make(map[config.Digest][]byte, len(objects))
		for i, e := range a.needs {
			known[e.Digest] = objects[i]
		}
		a.plan(known)
	}
}

// gotIndex takes those pages of the version in force that are not the same in
// the new one.
func (a *Applier) gotIndex(data []byte) {
	index, err := config.DecodeIndex(data)
	if err != nil {
		a.fail(err)
		return
	}
	_, fresh, err := config.Split(a.estate)
	if err != nil {
		a.fail(err)
		return
	}
	_, pages, err := fresh.Encode()
	if err != nil {
		a.fail(err)
		return
	}
	a.index, a.fresh, a.pages = index, fresh, map[config.Digest][]byte{}
	for _, page := range pages {
		a.pages[config.DigestOf(page)] = page
	}
	if len(a.missingPages()) > 0 {
		a.state = gettingPages
		return
	}
	a.gotPages()
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

func (a *Applier) gotPages() {
	pages := make([][]byte, len(a.index.Pages))
	for i, digest := range a.index.Pages {
		pages[i] = a.pages[digest]
	}
	m, err := a.index.Manifest(pages)
	if err != nil {
		a.fail(err)
		return
	}
	a.manifest, a.needs = m, config.StampNeeds(m, a.fresh)
	if len(a.needs) == 0 {
		a.plan(nil)
		return
	}
	a.state = gettingParts
}

// plan makes the objects and the transaction of the change.
func (a *Applier) plan(known map[config.Digest][]byte) {
	parts, m, err := config.Stamp(a.estate, a.manifest, known, a.opts.Now)
	if err != nil {
		a.fail(err)
		return
	}
	a.next = Head{
		Version: a.opts.ExpectVersion + 1, Root: m.Root, ChangeID: a.opts.ChangeID,
		Author: a.opts.Author, Note: a.opts.Note, Time: a.opts.Now.UTC(),
	}
	for _, p := range a.freshParts(parts) {
		a.put = append(a.put, p.Bytes)
	}
	if err := a.planObjects(m, parts); err != nil {
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

// planObjects adds the manifest and the delta.
func (a *Applier) planObjects(m config.Manifest, parts []config.Part) error {
	data, pages, err := m.Encode()
	if err != nil {
		return err
	}
	a.next.Manifest = config.DigestOf(data)
	a.put = append(a.put, data)
	stored := map[config.Digest]bool{}
	for _, digest := range a.index.Pages {
		stored[digest] = true
	}
	for _, page := range pages {
		if digest := config.DigestOf(page); !stored[digest] {
			stored[digest] = true
			a.put = append(a.put, page)
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
	a.put = append(a.put, data)
	return nil
}

// freshParts returns the parts that the old manifest does not list.
func (a *Applier) freshParts(parts []config.Part) []config.Part {
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

// ObjectsStored tells that all objects are stored, or the failure.
func (a *Applier) ObjectsStored(err error) {
	if err != nil {
		a.unavailable("storing the parts", err)
		return
	}
	a.state = committing
}

// CommitDone tells the result of the transaction: the rows written, or one of
// the platform's typed errors.
func (a *Applier) CommitDone(err error) {
	a.commits++
	var conflict *platform.Conflict
	var unavailable *platform.Unavailable
	switch {
	case err == nil:
		a.finish(a.result(false))
	case errors.As(err, &conflict):
		a.conflict(conflict.Row)
	case errors.As(err, &unavailable) && a.lost == nil:
		a.unavailable("moving the head", err)
	default:
		if a.lost == nil {
			a.lost = err
		}
		a.reads, a.state = 0, settlingHead
	}
}

func (a *Applier) result(already bool) Result {
	r := Result{Head: a.next, Delta: a.delta, AlreadyApplied: already}
	for _, data := range a.put {
		r.Bytes += len(data)
	}
	return r
}
