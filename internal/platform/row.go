package platform

import (
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	store "github.com/banyandeal/banyandeal/platform"
)

// Tables of the store.
const (
	tableRows = "rows"
	// TableInstances holds the listed instances by ID. Only the platform writes
	// it.
	TableInstances = "instances"
)

// maxCachedRows is the maximum number of rows in a rowCache. A full cache is
// cleared.
const maxCachedRows = 10000

// envelope is the encoded value of a row in the store. It contains the row's own
// version, because the store's versions count all transactions of the store.
type envelope struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Deleted marks a deleted row. Its envelope stays in the store, so that the
	// row's version does not decrease.
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// row returns the row for the client's callers; a deleted row has version 0.
func (e envelope) row(name string) Row {
	if e.Deleted {
		return Row{Name: name}
	}
	return Row{Name: name, Version: e.Version, ChangeID: e.ChangeID, Value: e.Value}
}

// cachedRow is the last known state of a row in the store.
type cachedRow struct {
	// storeVersion is the row's version in the store, 0 if it was never written.
	storeVersion uint64
	// version is the number of the row's writes.
	version uint64
	// deleted is set if the last write was a deletion.
	deleted bool
}

// matches reports whether the row has the version that a write expects; 0 means
// that the row must be absent.
func (c cachedRow) matches(version uint64) bool {
	if version == 0 {
		return c.storeVersion == 0 || c.deleted
	}
	return !c.deleted && c.version == version
}

// rowCache holds the last known versions of rows. It may be stale: a transaction
// that expects an old version is rejected with a conflict that contains the
// current one. It is safe for concurrent use.
type rowCache struct {
	mu   sync.Mutex
	rows map[string]cachedRow
}

// record caches a row of the store and returns its decoded envelope.
func (c *rowCache) record(r store.Row) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return envelope{}, errors.Annotatef(err, "value of row %s can't be decoded; it may have been written by another program", r.Key)
	}
	c.set(r.Key, cachedRow{storeVersion: r.Version, version: e.Version, deleted: e.Deleted})
	return e, nil
}

func (c *rowCache) set(name string, row cachedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil || len(c.rows) >= maxCachedRows {
		c.rows = map[string]cachedRow{}
	}
	c.rows[name] = row
}

func (c *rowCache) get(name string) cachedRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[name]
}
