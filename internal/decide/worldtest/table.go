// Package worldtest simulates a group of nodes for tests of state machines that
// keep a table row. It provides nodes that start, pause and crash, a table with
// versions and history, and a network that delays, duplicates and loses
// messages.
package worldtest

import (
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Table is an in-memory fake of the platform's table service.
type Table struct {
	// history holds all versions of a row, oldest first.
	history map[string][]platform.Row
	// Down makes World's reads and writes fail.
	Down bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{history: map[string][]platform.Row{}} }

// Read returns the newest version of a row. A row that does not exist has
// version 0.
func (t *Table) Read(name string) platform.Row { return t.ReadStale(name, 0) }

// ReadStale returns a row as it was the given number of versions ago. Before the
// first version it returns a row of version 0.
func (t *Table) ReadStale(name string, ago int) platform.Row {
	h := t.history[name]
	if ago >= len(h) {
		return platform.Row{Name: name}
	}
	return h[len(h)-1-ago]
}

// Apply commits a transaction if every row has the version it expects;
// otherwise it changes nothing and replies with the first row that differs.
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

// Network holds the messages in transit. A message is a function that delivers
// it.
type Network struct{ queue []func() }

// Send adds a message to those in transit.
func (n *Network) Send(deliver func()) { n.queue = append(n.queue, deliver) }

// Len returns the number of messages in transit.
func (n *Network) Len() int { return len(n.queue) }

// Deliver removes the message at index i and delivers it. The delivery may send
// further messages.
func (n *Network) Deliver(i int) { n.remove(i)() }

// DeliverDuplicate delivers the message at index i and keeps it in transit.
func (n *Network) DeliverDuplicate(i int) { n.queue[i]() }

func (n *Network) remove(i int) func() {
	f := n.queue[i]
	n.queue = append(n.queue[:i:i], n.queue[i+1:]...)
	return f
}
