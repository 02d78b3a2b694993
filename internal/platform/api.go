// Package platform is the client of the platform: rows that are changed by
// compare-and-set, objects that are stored by their digest, and the eventually
// consistent list of instances. It is built on the store's client and adds
// per-row versions, change ids, retries and a circuit breaker, which the store
// lacks.
//
// A row's version rises by one with each write, deletions included, and never
// decreases: a row that is written again after its deletion continues from the
// version of the deletion. A read may return an older version than the newest; a
// transaction always compares with the newest.
package platform

import "encoding/json"

// Row is one row of the table service.
type Row struct {
	Name string `json:"name"`
	// Version is the number of the row's writes; 0 means that the row does not
	// exist.
	Version uint64 `json:"version"`
	// ChangeID is the id of the transaction that wrote this version. A writer
	// whose reply was lost compares it with its own to learn the outcome.
	ChangeID string          `json:"change_id"`
	Value    json.RawMessage `json:"value"`
}

// Write is the write of one row in a transaction.
type Write struct {
	Row string `json:"row"`
	// Expect is the version that the row must have; 0 means that it must not
	// exist.
	Expect uint64          `json:"expect"`
	Value  json.RawMessage `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Txn is a set of compare-and-set writes that are applied atomically.
type Txn struct {
	ID     string  `json:"id"`
	Writes []Write `json:"writes"`
}

// TxnReply is the result of a transaction.
type TxnReply struct {
	Committed bool `json:"committed"`
	// Rows holds the written rows if the transaction was committed, else the
	// current state of the conflicting rows.
	Rows []Row `json:"rows"`
}

// Kind distinguishes entry instances from backend servers in the instance list.
type Kind string

// Kinds of listed instances.
const (
	KindEntry   Kind = "entry"
	KindBackend Kind = "backend"
)

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// States of listed instances. An instance that has ended is not listed.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list, which lags behind the
// actual state. The ID of a backend server is its name; that of an entry instance
// is its instance ID.
type Instance struct {
	ID    string        `json:"id"`
	Kind  Kind          `json:"kind"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
	// Peer is the address on which an entry instance accepts peer sessions.
	Peer string `json:"peer,omitempty"`
}
