package platform

import (
	"slices"
	"strings"
	"sync"

	api "github.com/banyandeal/banyandeal/internal/platform"
)

// historyLength is how many versions of a row are kept for stale reads.
const historyLength = 8

// table is the transactional table. A row's version never goes back, also
// when it is deleted and written again.
type table struct {
	mu   sync.Mutex
	rows map[string]*history
}

// history holds the newest versions of one row, oldest first. A deleted row's
// newest version has no value and counts as absent.
type history struct {
	versions []version
}

type version struct {
	row     api.Row
	deleted bool
}

func newTable() *table { return &table{rows: map[string]*history{}} }

// read returns the row as it was back versions ago, or its oldest kept one.
func (t *table) read(name string, back int) (api.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.rows[name]
	if h == nil {
		return api.Row{}, false
	}
	v := h.versions[max(0, len(h.versions)-1-back)]
	return v.row, !v.deleted
}

// current returns the row as it is; an absent one has version 0.
func (t *table) current(name string) api.Row {
	h := t.rows[name]
	if h == nil {
		return api.Row{Name: name}
	}
	v := h.versions[len(h.versions)-1]
	if v.deleted {
		return api.Row{Name: name}
	}
	return v.row
}

// commit applies the transaction whole or not at all.
func (t *table) commit(txn api.Txn) api.TxnReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rows := t.conflicts(txn); len(rows) > 0 {
		return api.TxnReply{Rows: rows}
	}
	reply := api.TxnReply{Committed: true}
	for _, w := range txn.Writes {
		reply.Rows = append(reply.Rows, t.write(txn.ID, w))
	}
	return reply
}

func (t *table) conflicts(txn api.Txn) []api.Row {
	var rows []api.Row
	for _, w := range txn.Writes {
		if row := t.current(w.Row); row.Version != w.Expect {
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *table) write(changeID string, w api.Write) api.Row {
	h := t.rows[w.Row]
	if h == nil {
		h = &history{}
		t.rows[w.Row] = h
	}
	row := api.Row{Name: w.Row, Version: 1, ChangeID: changeID, Value: w.Value}
	if n := len(h.versions); n > 0 {
		row.Version = h.versions[n-1].row.Version + 1
	}
	h.versions = append(h.versions, version{row: row, deleted: w.Delete})
	if len(h.versions) > historyLength {
		h.versions = slices.Delete(h.versions, 0, len(h.versions)-historyLength)
	}
	return row
}

// sortInstances orders a list by kind and ID.
func sortInstances(list []api.Instance) {
	slices.SortFunc(list, func(a, b api.Instance) int {
		if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
}
