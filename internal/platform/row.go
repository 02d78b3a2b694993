package platform

import (
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	store "github.com/banyandeal/banyandeal/platform"
)

// Tables of the store that the product's own interface uses.
const (
	tableRows = "rows"
	// TableInstances holds an Instance by its ID; the platform writes it.
	TableInstances = "instances"
)

// maxCached bounds the rows whose place in the store is remembered.
const maxCached = 10000

// envelope is the value of a row in the store, whose own versions count all of
// its transactions.
type envelope struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Deleted rows stay, so that their version does not go back.
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// row returns the row as callers see it; a deleted one has version 0.
func (e envelope) row(name string) Row {
	if e.Deleted {
		return Row{Name: name}
	}
	return Row{Name: name, Version: e.Version, ChangeID: e.ChangeID, Value: e.Value}
}

// cached is a row as last seen in the store.
type cached struct {
	// at is its version in the store, 0 if it was never written.
	at uint64
	// version counts its writes, and deleted tells that the last was a deletion.
	version uint64
	deleted bool
}

// expects reports whether the row is at the version that a write expects.
func (c cached) expects(version uint64) bool {
	if version == 0 {
		return c.at == 0 || c.deleted
	}
	return !c.deleted && c.version == version
}

// rowCache remembers where rows stand in the store. It may be behind: a
// transaction that expects what has passed is refused and tells the truth.
type rowCache struct {
	mu   sync.Mutex
	rows map[string]cached
}

// observe takes in a row of the store and returns its envelope.
func (c *rowCache) observe(r store.Row) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return envelope{}, errors.Annotatef(err, "row %s was written by another program", r.Key)
	}
	c.set(r.Key, cached{at: r.Version, version: e.Version, deleted: e.Deleted})
	return e, nil
}

func (c *rowCache) set(name string, row cached) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil || len(c.rows) >= maxCached {
		c.rows = map[string]cached{}
	}
	c.rows[name] = row
}

func (c *rowCache) get(name string) cached {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[name]
}
