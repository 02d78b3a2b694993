// Package restart keeps which backend servers may have become cold before the store tells. One that
// starts again ends its connections: an instance whose connection has broken takes the backend server
// for cold until a health check, or a read of the store that is new enough, tells whether it is. An
// instance that has no connection sees no break, and one that becomes cold while it runs breaks none:
// while the store cannot be read, what is in use is checked again and again.
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
	// useCheckInterval is the time between two checks of a backend server in use while the store
	// cannot be read. One that has got no request since the check before gets none.
	useCheckInterval = 400 * time.Millisecond
	// checkLifetime is how long a check tells what a request may go by meanwhile. It leaves the next
	// one some time to respond.
	checkLifetime = 600 * time.Millisecond
	// unpacedSpan is how long requests that were sent before an incarnation was found cold count
	// with those after it, since the bound is on all within a second.
	unpacedSpan = time.Second
)

// entry is what is known of one incarnation.
type entry struct {
	// brokenAt is when a connection broke last; zero if none has.
	brokenAt time.Time
	// told is set once a check that began after the break has told whether it is cold, coldUntil
	// is until when it is, learnedAt when that was told. Grants for requests to it count from
	// coldSince on.
	told                            bool
	coldUntil, coldSince, learnedAt time.Time
	// usedAt is when a request was about to be sent there last while the store could not be read,
	// checkedAt when a check ended last.
	usedAt, checkedAt time.Time
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
	// Since is when its connection broke, or when it was found cold without that.
	Since time.Time
}

// Table holds the backend servers that may have become cold, and those in use while the store cannot
// be read.
type Table struct {
	entries     map[limit.Backend]*entry
	storeReadAt time.Time
	storeLost   bool
	changes     []Change
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[limit.Backend]*entry{}} }

// Empty reports whether the table holds no backend server.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Broken records that a connection to a backend server was refused, or ended without a response.
func (t *Table) Broken(b limit.Backend, now time.Time) {
	e := t.entry(b)
	e.brokenAt, e.told = now, false
}

// entry returns the entry of an incarnation, which it adds if there is none.
func (t *Table) entry(b limit.Backend) *entry {
	e := t.entries[b]
	if e == nil {
		e = &entry{}
		t.entries[b] = e
	}
	return e
}

// StoreRead records that what is known of backend servers goes by a response of the store at a
// time, and whether the store cannot be read now. It forgets the backend servers of which the store
// tells by now, and those that are not in use any more.
func (t *Table) StoreRead(at time.Time, lost bool, now time.Time) {
	t.storeLost = lost
	if at.After(t.storeReadAt) {
		t.storeReadAt = at
	}
	for b, e := range t.entries {
		if !now.Before(e.coldUntil) && !t.awaitsNews(e) && !t.inUse(e, now) {
			delete(t.entries, b)
		}
	}
}

// Use records that a request is about to be sent to an incarnation. It reports whether a check must
// tell first whether it is cold, because the store cannot be read and no check has told recently. One
// whose last check has told nothing is not waited for again.
func (t *Table) Use(b limit.Backend, now time.Time) (checkFirst bool) {
	if !t.storeLost {
		return false
	}
	e := t.entry(b)
	e.usedAt = now
	return e.failed == 0 && now.Sub(e.checkedAt) > checkLifetime
}

// inUse reports whether an incarnation has got a request since its last check, or recently, while
// the store cannot be read.
func (t *Table) inUse(e *entry, now time.Time) bool {
	return t.storeLost && (e.usedAt.After(e.checkedAt) || now.Sub(e.usedAt) <= checkLifetime)
}

// awaitsNews reports whether a connection to an incarnation has broken, and neither a check nor the
// store has told since whether it is cold.
func (t *Table) awaitsNews(e *entry) bool {
	return !e.brokenAt.IsZero() && !e.told && !t.storeTells(e)
}

// storeTells reports whether the store was read late enough to tell of a start after the break.
func (t *Table) storeTells(e *entry) bool {
	return !t.storeReadAt.Before(e.brokenAt.Add(storeSettleTime))
}

// Cold reports whether an incarnation is cold, or may be, and from when on grants for requests to it
// count.
func (t *Table) Cold(b limit.Backend, now time.Time) (since time.Time, cold bool) {
	e := t.entries[b]
	switch {
	case e == nil:
		return time.Time{}, false
	case now.Before(e.coldUntil):
		return e.coldSince, true
	}
	return e.brokenAt, t.awaitsNews(e) && now.Sub(e.brokenAt) >= checkGrace
}

// Unsettled reports whether an incarnation whose connection has broken may be cold or not. It gets
// requests only if no other one may.
func (t *Table) Unsettled(b limit.Backend) bool {
	e := t.entries[b]
	return e != nil && t.awaitsNews(e)
}

// ChangedAfter reports whether a connection to an incarnation has broken after a time, and nobody has
// told since whether it is cold, or whether it was found cold after that time.
func (t *Table) ChangedAfter(b limit.Backend, at, now time.Time) bool {
	if t.Unsettled(b) && t.entries[b].brokenAt.After(at) {
		return true
	}
	e := t.entries[b]
	return e != nil && now.Before(e.coldUntil) && e.learnedAt.After(at)
}

// Due returns the backend servers to check now. Each check must be reported with Checked.
func (t *Table) Due(now time.Time) []limit.Backend {
	var due []limit.Backend
	for b, e := range t.entries {
		awaited := t.awaitsNews(e) || t.storeLost && e.usedAt.After(e.checkedAt) && now.Sub(e.checkedAt) >= useCheckInterval
		if e.checking || now.Before(e.nextCheck) || !awaited {
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
	e.checking, e.checkedAt = false, now
	if !r.Told {
		e.nextCheck = now.Add(min(maxCheckInterval, checkInterval<<min(e.failed, 8)))
		e.failed++
		return
	}
	e.failed, e.nextCheck = 0, now.Add(checkInterval)
	if !began.Before(e.brokenAt) {
		t.learn(b, e, r.ColdLeft, now)
	}
}

// learn records for how long an incarnation stays cold, and the change, if it is one.
func (t *Table) learn(b limit.Backend, e *entry, left time.Duration, now time.Time) {
	wasCold, isCold := now.Before(e.coldUntil), left > 0
	change := Change{Backend: b, Cold: isCold, Left: left, Since: now}
	grantsFrom := now.Add(unpacedSpan)
	answersBreak := !e.brokenAt.IsZero() && !e.told
	if answersBreak {
		change.Since, grantsFrom = e.brokenAt, e.brokenAt
	}
	if isCold && (answersBreak || !wasCold) {
		e.coldSince, e.learnedAt = grantsFrom, now
	}
	if answersBreak || isCold != wasCold {
		t.changes = append(t.changes, change)
	}
	e.told, e.coldUntil = true, now.Add(left)
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
