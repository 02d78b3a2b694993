package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
)

// Commit writes a transaction and returns its rows as written. Its ID must be
// its own. Errors: Conflict and Unavailable (nothing was written), ReplyLost
// (the outcome is unknown), BadReply.
//
// A transaction whose reply was lost is sent again, and the conflict of the
// second sending reads the change ids back. A read of the row would not do,
// since it may be stale. Compare-and-set lets the transaction take effect once
// at most, but for one case: all its rows are expected to be absent, and others
// delete every one of them between the sendings.
func (c *Client) Commit(ctx context.Context, txn Txn) ([]Row, error) {
	c.commits.Add(1)
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, errors.Annotate(err, "encoding a transaction")
	}
	k := call{op: "transaction " + txn.ID, method: http.MethodPost, path: "/table/txn", body: body, maxReply: maxReplyBytes}
	// lost is the first failure that may have left the transaction written.
	var lost error
	res, err := backoff.Retry(ctx, func() (TxnReply, error) {
		r, reached, err := c.attempt(ctx, k)
		out, err := decodeTxn(k.op, r, err)
		if err != nil && reached && lost == nil && !refused(err) {
			lost = err
			c.lostReplies.Add(1)
		}
		return out, permanent(err)
	}, c.policy()...)
	return c.settle(txn, res, lost, err)
}

// decodeTxn takes both a commit and a conflict as answers.
func decodeTxn(op string, r reply, err error) (TxnReply, error) {
	var s *errStatus
	if err != nil && (!errors.As(err, &s) || s.reply.status != http.StatusConflict) {
		return TxnReply{}, err
	}
	var out TxnReply
	if err := json.Unmarshal(r.body, &out); err != nil {
		return TxnReply{}, &BadReply{Op: op, Status: r.status, Detail: err.Error()}
	}
	if !out.Committed && len(out.Rows) == 0 {
		return TxnReply{}, &BadReply{Op: op, Status: r.status, Detail: "a conflict without a row"}
	}
	return out, nil
}

// refused reports whether an answer says that nothing was written.
func refused(err error) bool {
	var s *errStatus
	if !errors.As(err, &s) {
		return false
	}
	return s.reply.status < http.StatusInternalServerError || s.reply.status == http.StatusServiceUnavailable
}

// settle turns the last attempt's answer, and an earlier lost one, into the
// outcome.
func (c *Client) settle(txn Txn, res TxnReply, lost, err error) ([]Row, error) {
	if err != nil {
		return nil, errors.Trace(failedCommit(txn, lost, err))
	}
	if res.Committed {
		c.settledIf(lost)
		return res.Rows, nil
	}
	if lost == nil {
		c.conflicts.Add(1)
		return nil, errors.Trace(conflictOf(txn, res.Rows))
	}
	switch judge(txn, res.Rows) {
	case wasWritten:
		c.settledIf(lost)
		return res.Rows, nil
	case wasNotWritten:
		c.settledIf(lost)
		c.conflicts.Add(1)
		return nil, errors.Trace(conflictOf(txn, res.Rows))
	}
	return nil, errors.Trace(&ReplyLost{ChangeID: txn.ID, Cause: lost})
}

func (c *Client) settledIf(lost error) {
	if lost != nil {
		c.settled.Add(1)
	}
}

func failedCommit(txn Txn, lost, err error) error {
	if lost != nil {
		return &ReplyLost{ChangeID: txn.ID, Cause: lost}
	}
	var s *errStatus
	if errors.As(err, &s) && s.reply.status < http.StatusInternalServerError {
		return s.badReply()
	}
	return &Unavailable{Op: "transaction " + txn.ID, Cause: err}
}

func conflictOf(txn Txn, rows []Row) *Conflict {
	for _, w := range txn.Writes {
		if w.Row == rows[0].Name {
			return &Conflict{Row: rows[0], Expected: w.Expect}
		}
	}
	return &Conflict{Row: rows[0]}
}

// verdict is what conflicting rows tell of an earlier sending.
type verdict int

const (
	undecided verdict = iota
	wasWritten
	wasNotWritten
)

// judge reads the change ids back. A row's version rises by one with each
// write and never goes back, so another's id at the version that this
// transaction would have written, or a row that still has the expected version,
// proves that it was not written. A row that has moved on proves nothing, and
// neither does one that is absent as expected: it may have been written and
// deleted since.
func judge(txn Txn, conflicting []Row) verdict {
	byName := make(map[string]Row, len(conflicting))
	for _, r := range conflicting {
		if r.ChangeID == txn.ID {
			return wasWritten
		}
		byName[r.Name] = r
	}
	for _, w := range txn.Writes {
		r, conflicts := byName[w.Row]
		if !conflicts && w.Expect > 0 {
			return wasNotWritten
		}
		if conflicts && r.Version == w.Expect+1 {
			return wasNotWritten
		}
	}
	return undecided
}
