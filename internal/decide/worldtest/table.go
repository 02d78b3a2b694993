// Package worldtest holds the fakes that tests of row-keeping machines share:
// nodes that start, pause and die, a table with versions and history, and a
// network that delays, repeats and loses what is sent over it.
package worldtest

import (
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Table is a fake of the platform's table service.
type Table struct {
	// history holds all versions of a row, oldest first.
	history map[string][]platform.Row
	// Down makes every call fail.
	Down bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{history: map[string][]platform.Row{}} }

// Read returns a row, or one of version 0 that does not exist.
func (t *Table) Read(name string) platform.Row { return t.ReadStale(name, 0) }

// ReadStale returns a row as it was a number of versions ago.
func (t *Table) ReadStale(name string, ago int) platform.Row {
	h := t.history[name]
	if ago >= len(h) {
		return platform.Row{Name: name}
	}
	return h[len(h)-1-ago]
}

// Apply makes a transaction.
func (t *Table) Apply(txn platform.Txn) platform.TxnReply {
	for _, w := range txn.Writes {
		if row := t.Read(w.Row); row.Version != w.Expect {
			return platform.TxnReply{Rows: []platform.Row{row}}
		}
	}
	reply := platform.TxnReply{Committed: true}
	for _, w := range txn.Writes {
		row := platform.Row{Name: w.Row, Version: w.Expect + 1, ChangeID: txn.ID, Value: w.Value}
		t.history[w.Row] = append(t.history[w.Row], row)
		reply.Rows = append(reply.Rows, row)
	}
	return reply
}

// Network holds what is on its way. A message is a function that delivers it.
type Network struct{ queue []func() }

// Send puts a message on its way.
func (n *Network) Send(deliver func()) { n.queue = append(n.queue, deliver) }

// Len returns how many messages are on their way.
func (n *Network) Len() int { return len(n.queue) }

// Deliver delivers the message at index i, which may send others.
func (n *Network) Deliver(i int) { n.take(i)() }

// Repeat delivers the message at index i and keeps it.
func (n *Network) Repeat(i int) { n.queue[i]() }

func (n *Network) take(i int) func() {
	f := n.queue[i]
	n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
	return f
}
