package publish

import (
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
	// Already is set if the change had been in force before this call.
	Already bool
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
	gettingManifest
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
	case gettingManifest:
		return Action{Get: []config.Digest{a.head.Manifest}}
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
	a.fail(&UnsettledError{Version: a.opts.ExpectVersion + 1, ChangeID: a.opts.ChangeID, Cause: cause})
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
		a.head, a.state = head, gettingManifest
	}
}

// Got tells the objects asked for, in order, or the failure.
func (a *Applier) Got(objects [][]byte, err error) {
	switch {
	case a.state == settlingDeltas:
		a.walkDelta(objects, err)
	case err != nil:
		a.unavailable("reading the version in force", err)
	case a.state == gettingManifest:
		a.gotManifest(objects[0])
	default:
		known := make(map[config.Digest][]byte, len(objects))
		for i, e := range a.needs {
			known[e.Digest] = objects[i]
		}
		a.plan(known)
	}
}

func (a *Applier) gotManifest(data []byte) {
	m, err := config.DecodeManifest(data)
	if err != nil {
		a.fail(err)
		return
	}
	_, fresh, err := config.Split(a.estate)
	if err != nil {
		a.fail(err)
		return
	}
	a.manifest, a.needs = m, config.StampNeeds(m, fresh)
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
	data, err := m.Encode()
	if err != nil {
		return err
	}
	a.next.Manifest = config.DigestOf(data)
	a.put = append(a.put, data)
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

// PutDone tells that all objects are stored, or the failure.
func (a *Applier) PutDone(err error) {
	if err != nil {
		a.unavailable("storing the parts", err)
		return
	}
	a.state = committing
}

// Committed tells the result of the transaction: the rows written, or one of
// the platform's typed errors.
func (a *Applier) Committed(err error) {
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
	r := Result{Head: a.next, Delta: a.delta, Already: already}
	for _, data := range a.put {
		r.Bytes += len(data)
	}
	return r
}

// conflict settles a compare-and-set that did not take effect this time.
func (a *Applier) conflict(row platform.Row) {
	head, err := headOf(row)
	if err != nil {
		a.unsettled(err)
		return
	}
	if a.lost == nil {
		a.lost = &ConflictError{Expected: a.opts.ExpectVersion, Head: head}
	}
	if head.Version < a.opts.ExpectVersion {
		a.fail(&StaleError{Expected: a.opts.ExpectVersion, Read: head.Version})
		return
	}
	a.walk(head)
}

// settleRead looks at the head after a lost reply. A head that has not moved
// may be a stale read, and the write may take effect yet: the same
// compare-and-set is sent again, which takes effect once at most.
func (a *Applier) settleRead(head Head, err error) {
	switch {
	case err == nil && head.Version > a.opts.ExpectVersion:
		a.walk(head)
	case err == nil && a.commits < maxCommits:
		a.state = committing
	case a.reads >= maxHeadReads:
		a.unsettled(err)
	}
}

// walk looks for this change in the head and the versions before it.
func (a *Applier) walk(head Head) {
	a.seen = head
	switch {
	case head.ChangeID == a.opts.ChangeID:
		a.next = head
		a.finish(a.result(true))
	case head.Version <= a.opts.ExpectVersion+1 || head.Delta == "":
		a.fail(&ConflictError{Expected: a.opts.ExpectVersion, Head: head})
	default:
		a.wanted, a.state = head.Delta, settlingDeltas
	}
}

// walkDelta goes one version back.
func (a *Applier) walkDelta(objects [][]byte, err error) {
	var d config.Delta
	if err == nil {
		d, err = config.DecodeDelta(objects[0])
	}
	a.deltas++
	switch {
	case err != nil:
		a.giveUpWalk(err)
	case d.FromChangeID == a.opts.ChangeID:
		// It was in force as version d.From; newer versions follow it.
		a.next.Version, a.next.Root = d.From, d.FromRoot
		a.next.Author, a.next.ChangeID = a.opts.Author, a.opts.ChangeID
		a.finish(a.result(true))
	case d.From <= a.opts.ExpectVersion+1 || d.Prev == "":
		a.fail(&ConflictError{Expected: a.opts.ExpectVersion, Head: a.seen})
	case a.deltas >= maxSettleDeltas:
		a.giveUpWalk(errors.Errorf("%d newer versions are in force", maxSettleDeltas))
	default:
		a.wanted = d.Prev
	}
}

// giveUpWalk ends a walk without an answer: an incomplete conflict if this run
// of the command cannot have written, else unsettled.
func (a *Applier) giveUpWalk(err error) {
	var conflict *ConflictError
	if errors.As(a.lost, &conflict) {
		conflict.Incomplete = true
		a.fail(conflict)
		return
	}
	a.unsettled(err)
}
