package publish

import (
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// conflict handles a compare-and-set that failed because the row has
// another version. An earlier attempt may still have taken effect.
func (a *Applier) conflict(row platform.Row) {
	head, err := headOf(row)
	if err != nil {
		a.failUnknownOutcome(err)
		return
	}
	if a.uncertainErr == nil {
		a.uncertainErr = &ConflictError{Expected: a.opts.ExpectVersion, Head: head}
	}
	if head.Version < a.opts.ExpectVersion {
		a.fail(&StaleError{Expected: a.opts.ExpectVersion, Read: head.Version})
		return
	}
	a.searchFrom(head)
}

// resolveHead evaluates the head read after a commit whose outcome is unknown. An
// unchanged head may be a stale read, and the write may still take effect
// later. The same compare-and-set is therefore sent again, since it takes effect
// at most once.
func (a *Applier) resolveHead(head Head, err error) {
	switch {
	case err == nil && head.Version > a.opts.ExpectVersion:
		a.searchFrom(head)
	case err == nil && a.commitAttempts < maxCommits:
		a.state = committing
	case a.headReads >= maxHeadReads:
		a.failUnknownOutcome(err)
	}
}

// searchFrom searches the head and the versions before it for this change.
func (a *Applier) searchFrom(head Head) {
	a.observedHead = head
	switch {
	case head.ChangeID == a.opts.ChangeID:
		a.next = head
		a.finish(a.result(true))
	case head.Version <= a.opts.ExpectVersion+1 || head.Delta == "":
		a.fail(&ConflictError{Expected: a.opts.ExpectVersion, Head: head})
	default:
		a.searchDelta, a.state = head.Delta, searchingDeltas
	}
}

// handleSearchDelta searches one delta and then requests the one before it.
func (a *Applier) handleSearchDelta(objects [][]byte, err error) {
	var d config.Delta
	if err == nil {
		d, err = config.DecodeDelta(objects[0])
	}
	a.deltasRead++
	switch {
	case err != nil:
		a.failSearch(err)
	case d.FromChangeID == a.opts.ChangeID:
		// The change was applied as version d.From; newer versions follow it.
		a.next.Version, a.next.Root = d.From, d.FromRoot
		a.next.Author, a.next.ChangeID = a.opts.Author, a.opts.ChangeID
		a.finish(a.result(true))
	case d.From <= a.opts.ExpectVersion+1 || d.Prev == "":
		a.fail(&ConflictError{Expected: a.opts.ExpectVersion, Head: a.observedHead})
	case a.deltasRead >= maxSearchDeltas:
		a.failSearch(errors.Errorf("%d newer versions are in force", maxSearchDeltas))
	default:
		a.searchDelta = d.Prev
	}
}

// failSearch ends a search that couldn't be completed. The result is a
// ConflictError with SearchIncomplete set if this run of the command can't have
// applied the change, and an UnsettledError otherwise.
func (a *Applier) failSearch(cause error) {
	var conflict *ConflictError
	if errors.As(a.uncertainErr, &conflict) {
		conflict.SearchIncomplete = true
		a.fail(conflict)
		return
	}
	a.failUnknownOutcome(cause)
}
