package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	store "github.com/banyandeal/banyandeal/platform"
)

// unmatchedVersion is a store version that no row reaches. A transaction that
// expects it always conflicts.
const unmatchedVersion = 1 << 52

// maxSendAttempts is the maximum number of sendings in one attempt of a commit. Each
// conflict in between refreshes the cached store versions of the rows.
const maxSendAttempts = 4

// Commit writes a transaction and returns the written rows. Its ID must be unique.
// Errors: Conflict and Unavailable (nothing was written), ReplyLost (the outcome
// is unknown), BadReply.
//
// A transaction whose reply was lost is sent again; if it was written the first
// time, the second sending conflicts and the conflict contains the change ids of
// the rows. Reading the rows instead would not suffice, since reads may be stale.
// Compare-and-set ensures that the transaction is applied at most once, except in
// one case: it expects all its rows to be absent, and others delete every one of
// them between the sendings.
func (c *Client) Commit(ctx context.Context, txn Txn) ([]Row, error) {
	c.commits.Add(1)
	// lost is the error of the first attempt that failed although the
	// transaction may have been written.
	var lost error
	res, err := backoff.Retry(ctx, func() (TxnReply, error) {
		var out TxnReply
		err := c.attempt(ctx, func(ctx context.Context, s *store.Store) error {
			var err error
			out, err = c.sendTxn(ctx, s, txn)
			return err
		})
		if mayHaveCommitted(err) && lost == nil {
			lost = err
			c.lostReplies.Add(1)
		}
		return out, markPermanent(err)
	}, c.retryOptions()...)
	return c.resolve(txn, res, lost, err)
}

// mayHaveCommitted reports whether a transaction that failed with err may have
// been written.
func mayHaveCommitted(err error) bool {
	var (
		callErr  *store.CallError
		storeErr *store.StoreError
	)
	switch {
	case errors.As(err, &callErr):
		return callErr.Sent
	case errors.As(err, &storeErr):
		return storeErr.Status >= http.StatusInternalServerError && storeErr.Status != http.StatusServiceUnavailable
	}
	return false
}

// sendTxn sends a transaction with the cached store versions of its rows. A
// conflict contains the current store versions. If the rows still have the row
// versions that the transaction expects, it is sent again with these.
func (c *Client) sendTxn(ctx context.Context, s *store.Store, txn Txn) (TxnReply, error) {
	for range maxSendAttempts {
		tx, written, err := c.toStoreTransaction(txn)
		if err != nil {
			return TxnReply{}, errors.Trace(err)
		}
		at, err := s.Commit(ctx, tx)
		if err == nil {
			return c.recordCommit(at, written), nil
		}
		var conflict *store.Conflict
		if !errors.As(err, &conflict) {
			return TxnReply{}, errors.Trace(err)
		}
		rows, err := c.recordConflict(txn, conflict.Rows)
		if err != nil {
			return TxnReply{}, errors.Trace(err)
		}
		if len(rows) > 0 {
			return TxnReply{Rows: rows}, nil
		}
	}
	return TxnReply{}, &BadReply{Op: "transaction " + txn.ID, Detail: "the store rejected the versions that its last conflict reported"}
}

// rowWrite is a row to be written by a transaction.
type rowWrite struct {
	name string
	envelope
}

// toStoreTransaction converts a transaction to one of the store, using the cached
// store versions. It also returns the rows to be written.
func (c *Client) toStoreTransaction(txn Txn) (store.Transaction, []rowWrite, error) {
	var (
		tx   store.Transaction
		rows []rowWrite
	)
	for _, w := range txn.Writes {
		known := c.rows.get(w.Row)
		if !known.matches(w.Expect) {
			// The cached row is stale or the transaction will conflict. Force a
			// conflict, which returns the current row.
			known = cachedRow{storeVersion: unmatchedVersion, version: w.Expect}
		}
		e := envelope{Version: known.version + 1, ChangeID: txn.ID, Deleted: w.Delete, Value: w.Value}
		value, err := json.Marshal(e)
		if err != nil {
			return store.Transaction{}, nil, errors.Annotatef(err, "encode row %s", w.Row)
		}
		tx.Expected = append(tx.Expected, store.Expectation{Table: tableRows, Key: w.Row, Version: known.storeVersion})
		tx.Puts = append(tx.Puts, store.Row{Table: tableRows, Key: w.Row, Value: value})
		rows = append(rows, rowWrite{name: w.Row, envelope: e})
	}
	return tx, rows, nil
}

// recordCommit caches the rows that a transaction wrote at a store version and
// returns the reply.
func (c *Client) recordCommit(storeVersion uint64, rows []rowWrite) TxnReply {
	reply := TxnReply{Committed: true}
	for _, r := range rows {
		c.rows.set(r.name, cachedRow{storeVersion: storeVersion, version: r.Version, deleted: r.Deleted})
		reply.Rows = append(reply.Rows, Row{Name: r.name, Version: r.Version, ChangeID: r.ChangeID, Value: r.Value})
	}
	return reply
}

// recordConflict caches the current rows after a conflict and returns those whose
// version differs from the one that the transaction expects.
func (c *Client) recordConflict(txn Txn, current []store.Row) ([]Row, error) {
	stored := map[string]envelope{}
	for _, w := range txn.Writes {
		c.rows.set(w.Row, cachedRow{})
	}
	for _, r := range current {
		e, err := c.rows.record(r)
		if err != nil {
			return nil, &BadReply{Op: "transaction " + txn.ID, Detail: err.Error()}
		}
		stored[r.Key] = e
	}
	var rows []Row
	for _, w := range txn.Writes {
		if !c.rows.get(w.Row).matches(w.Expect) {
			rows = append(rows, stored[w.Row].row(w.Row))
		}
	}
	return rows, nil
}

// resolve determines the outcome of a transaction from the result of its last
// attempt and lost, the error of the first attempt that may have written it.
func (c *Client) resolve(txn Txn, res TxnReply, lost, err error) ([]Row, error) {
	if err != nil {
		return nil, errors.Trace(commitError(txn, lost, err))
	}
	if res.Committed {
		c.countResolved(lost)
		return res.Rows, nil
	}
	if lost == nil {
		c.conflicts.Add(1)
		return nil, errors.Trace(newConflict(txn, res.Rows))
	}
	switch priorOutcomeOf(txn, res.Rows) {
	case priorWritten:
		c.countResolved(lost)
		return res.Rows, nil
	case priorNotWritten:
		c.countResolved(lost)
		c.conflicts.Add(1)
		return nil, errors.Trace(newConflict(txn, res.Rows))
	}
	return nil, errors.Trace(&ReplyLost{ChangeID: txn.ID, Cause: lost})
}

func (c *Client) countResolved(lost error) {
	if lost != nil {
		c.resolved.Add(1)
	}
}

func commitError(txn Txn, lost, err error) error {
	op := "transaction " + txn.ID
	switch {
	case lost != nil:
		return &ReplyLost{ChangeID: txn.ID, Cause: lost}
	case isFinalReply(err):
		return toBadReply(op, err)
	}
	return &Unavailable{Op: op, Cause: err}
}

func newConflict(txn Txn, rows []Row) *Conflict {
	for _, w := range txn.Writes {
		if w.Row == rows[0].Name {
			return &Conflict{Row: rows[0], Expected: w.Expect}
		}
	}
	return &Conflict{Row: rows[0]}
}

// priorOutcome is the outcome of earlier sendings of a transaction, as determined
// from the rows that conflict with a later one.
type priorOutcome int

const (
	priorUnknown priorOutcome = iota
	priorWritten
	priorNotWritten
)

// priorOutcomeOf determines the prior outcome from the change ids. A row's version
// rises by one with each write and never decreases. The transaction was therefore
// not written if a row has the version that it would have written with another
// change id, or still has the expected version. A row with a later version proves
// nothing, and neither does a row that is absent as expected: it may have been
// written and deleted since then.
func priorOutcomeOf(txn Txn, conflicting []Row) priorOutcome {
	byName := make(map[string]Row, len(conflicting))
	for _, r := range conflicting {
		if r.ChangeID == txn.ID {
			return priorWritten
		}
		byName[r.Name] = r
	}
	for _, w := range txn.Writes {
		r, conflicts := byName[w.Row]
		if !conflicts && w.Expect > 0 {
			return priorNotWritten
		}
		if conflicts && r.Version == w.Expect+1 {
			return priorNotWritten
		}
	}
	return priorUnknown
}
