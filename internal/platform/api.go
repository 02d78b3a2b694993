// Package platform keeps what the product's own interface puts on the platform:
// rows that are changed by compare-and-set, objects by their digest, and the
// lagging list of instances. It stands on the store's client and adds what the
// store lacks: versions by row, change ids, retries and a breaker.
//
// A row's version rises by one with each write, deletions included, and never
// goes back: a row that is written again after its deletion goes on from there. A
// read may be behind the newest version; a transaction is not.
package platform

import "encoding/json"

// Row is one row of the table service.
type Row struct {
	Name string `json:"name"`
	// Version counts the row's writes; 0 means the row does not exist.
	Version uint64 `json:"version"`
	// ChangeID is the id of the transaction that wrote this version. A writer
	// whose reply was lost reads it back to learn what happened.
	ChangeID string          `json:"change_id"`
	Value    json.RawMessage `json:"value"`
}

// Write is one row's part of a transaction.
type Write struct {
	Row string `json:"row"`
	// Expect is the version the row must have; 0 means it must not exist.
	Expect uint64          `json:"expect"`
	Value  json.RawMessage `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Txn is a set of compare-and-set writes that take effect together or not at
// all.
type Txn struct {
	ID     string  `json:"id"`
	Writes []Write `json:"writes"`
}

// TxnReply tells what a transaction did. Rows holds the rows after a commit,
// or the conflicting rows as they are.
type TxnReply struct {
	Committed bool  `json:"committed"`
	Rows      []Row `json:"rows"`
}

// Kind tells entry instances from backend servers in the instance list.
type Kind string

// Kinds of listed instances.
const (
	KindEntry   Kind = "entry"
	KindBackend Kind = "backend"
)

// InstanceState is what the platform says of an instance.
type InstanceState string

// States of listed instances. One that is gone is not listed.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one line of the platform's lagging list. A backend server is
// listed with its name as ID; an entry instance with its instance ID.
type Instance struct {
	ID    string        `json:"id"`
	Kind  Kind          `json:"kind"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
	// Peer is the address an entry instance takes peer sessions on.
	Peer string `json:"peer,omitempty"`
}
