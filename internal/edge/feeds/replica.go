package feeds

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/platform"
)

// ErrNotReading is returned by Replica when this instance does not read the
// table from the store; ask another instance or the store.
const ErrNotReading = errors.ConstError("this instance does not read the store now; ask the store")

// maxTombstones bounds the deleted rows that a replica remembers for a table.
const maxTombstones = 2000

// Replica holds the tables that this instance reads from the store, for those
// that follow it. It is safe for concurrent use.
type Replica struct {
	mu     sync.Mutex
	tables map[string]*table
}

type table struct {
	rows       map[string]platform.Row
	tombstones int
	// floor is the version from which changes are known, version the newest.
	floor, version uint64
	// direct is set while the table is read from the store itself.
	direct bool
	// changed is closed when there is something new.
	changed chan struct{}
}

// NewReplica returns a replica without tables.
func NewReplica() *Replica { return &Replica{tables: map[string]*table{}} }

func (r *Replica) table(name string) *table {
	t := r.tables[name]
	if t == nil {
		t = &table{rows: map[string]platform.Row{}, changed: make(chan struct{})}
		r.tables[name] = t
	}
	return t
}

// Reset replaces a table by rows that were read from the store at the version.
func (r *Replica) Reset(name string, rows []platform.Row, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	t.rows, t.tombstones = map[string]platform.Row{}, 0
	for _, row := range rows {
		t.rows[row.Key] = row
	}
	t.floor, t.version, t.direct = version, version, true
	t.wake()
}

// Apply takes in changes that were read from the store.
func (r *Replica) Apply(name string, rows []platform.Row, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	for _, row := range rows {
		if row.Deleted {
			t.tombstones++
		}
		t.rows[row.Key] = row
	}
	if t.tombstones > maxTombstones {
		t.forgetDeleted(version)
	}
	news := len(rows) > 0 || !t.direct
	t.version, t.direct = max(t.version, version), true
	if news {
		t.wake()
	}
}

// Lost tells that the table is no longer read from the store.
func (r *Replica) Lost(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(name).lose()
}

// LostAll tells that no table is read from the store any longer.
func (r *Replica) LostAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tables {
		t.lose()
	}
}

func (t *table) lose() {
	if t.direct {
		t.direct = false
		t.wake()
	}
}

func (t *table) forgetDeleted(version uint64) {
	for key, row := range t.rows {
		if row.Deleted {
			delete(t.rows, key)
		}
	}
	t.tombstones, t.floor = 0, version
}

func (t *table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Rows returns the rows of a table. Errors: ErrNotReading.
func (r *Replica) Rows(_ context.Context, name string) ([]platform.Row, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	if !t.direct {
		return nil, 0, ErrNotReading
	}
	rows := make([]platform.Row, 0, len(t.rows))
	for _, row := range t.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows, t.version, nil
}

// Changes waits for changes of a table after a version, at most wait. Errors:
// ErrNotReading, platform.ErrCompacted.
func (r *Replica) Changes(ctx context.Context, name string, after uint64, wait time.Duration) ([]platform.Row, uint64, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		rows, version, changed, err := r.since(name, after)
		if err != nil || len(rows) > 0 {
			return rows, version, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, errors.Trace(ctx.Err())
		}
	}
}

func (r *Replica) since(name string, after uint64) ([]platform.Row, uint64, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	switch {
	case !t.direct:
		return nil, 0, nil, ErrNotReading
	case after < t.floor:
		return nil, 0, nil, platform.ErrCompacted
	case after >= t.version:
		return nil, after, t.changed, nil
	}
	var rows []platform.Row
	for _, row := range t.rows {
		if row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, t.version, t.changed, nil
}
