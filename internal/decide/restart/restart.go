// Package restart keeps which backend servers may have started again before the store tells, so
// that they may be cold without anybody knowing. One that starts again ends its connections. An
// instance whose connection has broken takes the backend server for cold until a health check, or
// a read of the store that is new enough, tells whether it is.
//
// Table is a pure state machine and not safe for concurrent use.
package restart

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
)

const (
	// checkGrace is how long after a break a backend server still gets requests as before, since
	// most health checks have told by then.
	checkGrace = 150 * time.Millisecond
	// storeSettleTime is how long after a break the store must have been read for its entries to
	// be those after the break: one that starts writes its entry at once.
	storeSettleTime = 500 * time.Millisecond
	// checkInterval is the time between two checks of a backend server, which doubles with each
	// one that fails, up to maxCheckInterval.
	checkInterval    = 100 * time.Millisecond
	maxCheckInterval = 800 * time.Millisecond
)

// entry is what is known of one incarnation.
type entry struct {
	// brokenAt is when a connection broke last.
	brokenAt time.Time
	// told is set once a check that began after the break has told whether it is cold, coldUntil
	// is until when it is.
	told      bool
	coldUntil time.Time
	// checking is set while a check is in progress. nextCheck is the earliest time of the next
	// one, failed counts those that have failed in a row.
	checking  bool
	nextCheck time.Time
	failed    int
}

// Change is a change of what is believed of a backend server.
type Change struct {
	Backend limit.Backend
	// Cold reports whether it is cold, for Left.
	Cold bool
	Left time.Duration
	// Since is when its connection broke.
	Since time.Time
}

// Table holds the backend servers that may have started again.
type Table struct {
	entries     map[limit.Backend]*entry
	storeReadAt time.Time
	changes     []Change
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[limit.Backend]*entry{}} }

// Empty reports whether no backend server may have started again.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Broken records that a connection to a backend server was refused, or ended without a response.
func (t *Table) Broken(b limit.Backend, now time.Time) {
	e := t.entries[b]
	if e == nil {
		e = &entry{}
		t.entries[b] = e
	}
	e.brokenAt, e.told = now, false
}

// StoreRead records that what is known of backend servers goes by a response of the store at a
// time, and forgets those of which the store tells by now.
func (t *Table) StoreRead(at, now time.Time) {
	if at.After(t.storeReadAt) {
		t.storeReadAt = at
	}
	for b, e := range t.entries {
		if !now.Before(e.coldUntil) && (e.told || t.storeTells(e)) {
			delete(t.entries, b)
		}
	}
}

// storeTells reports whether the store was read late enough to tell of a start after the break.
func (t *Table) storeTells(e *entry) bool {
	return !t.storeReadAt.Before(e.brokenAt.Add(storeSettleTime))
}

// Cold reports whether an incarnation is cold, or may be, and since when that is known.
func (t *Table) Cold(b limit.Backend, now time.Time) (since time.Time, cold bool) {
	e := t.entries[b]
	switch {
	case e == nil:
		return time.Time{}, false
	case now.Before(e.coldUntil):
		return e.brokenAt, true
	}
	return e.brokenAt, !e.told && !t.storeTells(e) && now.Sub(e.brokenAt) >= checkGrace
}

// Unsettled reports whether an incarnation whose connection has broken may be cold or not. It gets
// requests only if no other one may.
func (t *Table) Unsettled(b limit.Backend) bool {
	e := t.entries[b]
	return e != nil && !e.told && !t.storeTells(e)
}

// BrokenAfter reports whether a connection to an incarnation has broken after a time, and nobody has
// told since whether it is cold.
func (t *Table) BrokenAfter(b limit.Backend, at time.Time) bool {
	return t.Unsettled(b) && t.entries[b].brokenAt.After(at)
}

// Due returns the backend servers to check now. Each check must be reported with Checked.
func (t *Table) Due(now time.Time) []limit.Backend {
	var due []limit.Backend
	for b, e := range t.entries {
		if e.told || e.checking || now.Before(e.nextCheck) || t.storeTells(e) {
			continue
		}
		e.checking = true
		due = append(due, b)
	}
	slices.SortFunc(due, func(a, b limit.Backend) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
	return due
}

// Result is what a health check has told.
type Result struct {
	// Told is set if the backend server itself has responded.
	Told bool
	// ColdLeft is how long it stays cold.
	ColdLeft time.Duration
}

// Checked records the result of a check that began at a time.
func (t *Table) Checked(b limit.Backend, r Result, began, now time.Time) {
	e := t.entries[b]
	if e == nil {
		return
	}
	e.checking = false
	if !r.Told {
		e.nextCheck = now.Add(min(maxCheckInterval, checkInterval<<min(e.failed, 8)))
		e.failed++
		return
	}
	e.failed, e.nextCheck = 0, now.Add(checkInterval)
	if began.Before(e.brokenAt) {
		return
	}
	e.told, e.coldUntil = true, now.Add(r.ColdLeft)
	t.changes = append(t.changes, Change{Backend: b, Cold: r.ColdLeft > 0, Left: r.ColdLeft, Since: e.brokenAt})
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Retain forgets the incarnations for which keep returns false.
func (t *Table) Retain(keep func(limit.Backend) bool) {
	for b := range t.entries {
		if !keep(b) {
			delete(t.entries, b)
		}
	}
}
