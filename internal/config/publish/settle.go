package publish

import (
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/platform"
)

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
		conflict.SearchIncomplete = true
		a.fail(conflict)
		return
	}
	a.unsettled(err)
}
