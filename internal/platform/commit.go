package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	store "github.com/banyandeal/banyandeal/platform"
)

// noVersion is a version of the store that no row has.
const noVersion = 1 << 52

// resyncs bounds how often one attempt learns where the rows stand in the store.
const resyncs = 4

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
	// lost is the first failure that may have left the transaction written.
	var lost error
	res, err := backoff.Retry(ctx, func() (TxnReply, error) {
		var out TxnReply
		err := c.attempt(ctx, func(ctx context.Context, s *store.Store) error {
			var err error
			out, err = c.send(ctx, s, txn)
			return err
		})
		if mayBeWritten(err) && lost == nil {
			lost = err
			c.lostReplies.Add(1)
		}
		return out, permanent(err)
	}, c.policy()...)
	return c.settle(txn, res, lost, err)
}

// mayBeWritten reports whether a failed transaction may have taken effect.
func mayBeWritten(err error) bool {
	var (
		unanswered *store.CallError
		refused    *store.StoreError
	)
	switch {
	case errors.As(err, &unanswered):
		return unanswered.Sent
	case errors.As(err, &refused):
		return refused.Status >= http.StatusInternalServerError && refused.Status != http.StatusServiceUnavailable
	}
	return false
}

// send sends a transaction with the versions that the rows are thought to have
// in the store. A conflict tells the true ones: while the rows are as the
// transaction expects, it is sent again with these.
func (c *Client) send(ctx context.Context, s *store.Store, txn Txn) (TxnReply, error) {
	for range resyncs {
		tx, written, err := c.translate(txn)
		if err != nil {
			return TxnReply{}, errors.Trace(err)
		}
		at, err := s.Commit(ctx, tx)
		if err == nil {
			return c.committed(at, written), nil
		}
		var conflict *store.Conflict
		if !errors.As(err, &conflict) {
			return TxnReply{}, errors.Trace(err)
		}
		rows, err := c.conflicting(txn, conflict.Rows)
		if err != nil {
			return TxnReply{}, errors.Trace(err)
		}
		if len(rows) > 0 {
			return TxnReply{Rows: rows}, nil
		}
	}
	return TxnReply{}, &BadReply{Op: "transaction " + txn.ID, Detail: "the store refuses versions that it has just told"}
}

// written is a row as a transaction writes it.
type written struct {
	name string
	envelope
}

// translate puts a transaction into the store's terms.
func (c *Client) translate(txn Txn) (store.Transaction, []written, error) {
	var (
		tx   store.Transaction
		rows []written
	)
	for _, w := range txn.Writes {
		known := c.rows.get(w.Row)
		if !known.expects(w.Expect) {
			// The store tells whether the row is as expected.
			known = cached{at: noVersion, version: w.Expect}
		}
		e := envelope{Version: known.version + 1, ChangeID: txn.ID, Deleted: w.Delete, Value: w.Value}
		value, err := json.Marshal(e)
		if err != nil {
			return store.Transaction{}, nil, errors.Annotatef(err, "encode row %s", w.Row)
		}
		tx.Expected = append(tx.Expected, store.Expectation{Table: tableRows, Key: w.Row, Version: known.at})
		tx.Puts = append(tx.Puts, store.Row{Table: tableRows, Key: w.Row, Value: value})
		rows = append(rows, written{name: w.Row, envelope: e})
	}
	return tx, rows, nil
}

// committed notes what a transaction has written at a version of the store.
func (c *Client) committed(at uint64, rows []written) TxnReply {
	reply := TxnReply{Committed: true}
	for _, r := range rows {
		c.rows.set(r.name, cached{at: at, version: r.Version, deleted: r.Deleted})
		reply.Rows = append(reply.Rows, Row{Name: r.name, Version: r.Version, ChangeID: r.ChangeID, Value: r.Value})
	}
	return reply
}

// conflicting notes where the rows of a refused transaction stand and returns
// those that are not as it expects.
func (c *Client) conflicting(txn Txn, current []store.Row) ([]Row, error) {
	stored := map[string]envelope{}
	for _, w := range txn.Writes {
		c.rows.set(w.Row, cached{})
	}
	for _, r := range current {
		e, err := c.rows.observe(r)
		if err != nil {
			return nil, &BadReply{Op: "transaction " + txn.ID, Detail: err.Error()}
		}
		stored[r.Key] = e
	}
	var rows []Row
	for _, w := range txn.Writes {
		if !c.rows.get(w.Row).expects(w.Expect) {
			rows = append(rows, stored[w.Row].row(w.Row))
		}
	}
	return rows, nil
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
	op := "transaction " + txn.ID
	switch {
	case lost != nil:
		return &ReplyLost{ChangeID: txn.ID, Cause: lost}
	case isAnswer(err):
		return refusalOf(op, err)
	}
	return &Unavailable{Op: op, Cause: err}
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
