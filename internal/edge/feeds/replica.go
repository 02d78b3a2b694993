package feeds

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/platform"
)

// ErrNotReading is returned by Replica while this instance does not have the current
// table. The caller must read from another instance or from the store.
const ErrNotReading = errors.ConstError("this instance does not have the current table; read from the store or from another instance")

// ErrStoreLost is returned by Replica instead of ErrNotReading if the reason is that the
// store cannot be read, also if this instance reads from one that does not precede it. The
// instances that read from this one have no better source among those that precede it.
const ErrStoreLost = errors.ConstError("this instance has lost the store; read from the store until it has the table again")

// regainWait is how long a reader waits for a table that this instance has just lost, since a
// change of its source takes a few milliseconds, or for its first read after the start. It is short
// because the reader cannot try another source meanwhile.
const regainWait = 250 * time.Millisecond

// maxTombstones bounds the number of deleted rows that a replica keeps for a table.
const maxTombstones = 2000

// Replica holds copies of the tables as this instance has read them, from the store or
// from another instance. Other instances of the region read from it. It is safe for
// concurrent use.
type Replica struct {
	mu     sync.Mutex
	tables map[string]*table
	// startedAt is the time of the start of this instance.
	startedAt time.Time
}

type table struct {
	// rows holds the rows by key, including tombstones.
	rows map[string]platform.Row
	// known is set when the table has been read. tombstones counts the tombstones, where a
	// row that was deleted twice counts twice.
	known      bool
	tombstones int
	// position is the newest position. compactedVersion is the version of its era after
	// which all changes are known.
	position         platform.Position
	compactedVersion uint64
	// current is set while this instance follows the table at a source that has it. It counts
	// until maxIdle after readAt, the time at which the source last responded; 0 is no limit.
	current bool
	readAt  time.Time
	maxIdle time.Duration
	// lostAt is the time at which current was cleared, at first that of the start. storeLost is
	// set if the store cannot be read.
	lostAt    time.Time
	storeLost bool
	// withheld is set while the table comes from an instance that does not precede this one, so
	// that others do not read it here.
	withheld bool
	// storeReadAt is when the newest response of the store arrived by which the table is
	// known, here or at the instance that read it; zero before the first one.
	storeReadAt time.Time
	// changed is closed when the rows or current change, or calls are to return; interrupts counts
	// the latter.
	changed    chan struct{}
	interrupts int
}

// NewReplica returns an empty Replica.
func NewReplica() *Replica { return &Replica{tables: map[string]*table{}, startedAt: time.Now()} }

// table returns the table with the given name and creates it if needed. The caller
// must hold r.mu.
func (r *Replica) table(name string) *table {
	t := r.tables[name]
	if t == nil {
		t = &table{rows: map[string]platform.Row{}, changed: make(chan struct{}), lostAt: r.startedAt}
		r.tables[name] = t
	}
	return t
}

// Reset replaces the content of a table with all its rows, as read at the given
// position. In the era of the table, what has changed since its position stays known. The
// position of a table never goes back: Reset changes nothing and returns false if the rows
// are older than what is known.
func (r *Replica) Reset(name string, rows []platform.Row, position platform.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	if t.known && position.Compare(t.position) < 0 {
		return false
	}
	former, sameEra := t.rows, t.position.Era == position.Era
	t.rows = map[string]platform.Row{}
	for _, row := range rows {
		t.rows[row.Key] = row
	}
	if sameEra && t.known {
		t.keepDeletions(former, position.Version)
	} else {
		t.tombstones, t.compactedVersion = 0, position.Version
	}
	t.position, t.known = position, true
	t.setCurrent()
	t.notify()
	return true
}

// Confirm records that the source of a table responds and has nothing newer.
func (r *Replica) Confirm(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	if !t.known {
		return
	}
	woken := !t.isCurrent()
	t.setCurrent()
	if woken {
		t.notify()
	}
}

// limitIdle sets how long a table is current after its source last responded.
func (r *Replica) limitIdle(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(name).maxIdle = d
}

// position returns the position at which a table is known.
func (r *Replica) position(name string) platform.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(name).position
}

// keepDeletions adds tombstones for the rows that the table had and has no more. Those of
// rows that were there until now get the given version.
func (t *table) keepDeletions(former map[string]platform.Row, version uint64) {
	for key, row := range former {
		if _, present := t.rows[key]; present {
			continue
		}
		if !row.Deleted {
			row = platform.Row{Table: row.Table, Key: key, Version: version, Deleted: true}
			t.tombstones++
		}
		t.rows[key] = row
	}
}

// Apply applies changes that were read in the era of the table, and sets the position of
// the table.
func (r *Replica) Apply(name string, rows []platform.Row, position platform.Position) {
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
		t.purgeTombstones()
	}
	changed := len(rows) > 0 || !t.isCurrent()
	if position.Compare(t.position) > 0 {
		t.position = position
	}
	t.setCurrent()
	if changed {
		t.notify()
	}
}

// RecordRead records when the response of the store arrived by which the table is known.
func (r *Replica) RecordRead(name string, storeReadAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.table(name); storeReadAt.After(t.storeReadAt) {
		t.storeReadAt = storeReadAt
	}
}

// StoreReadAt returns when the newest response of the store arrived by which a table is
// known, at this instance or at the one that read the store. It is the zero time before the
// first one.
func (r *Replica) StoreReadAt(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(name).storeReadAt
}

// Lost records that this instance has lost the source of a table and may soon have
// another one.
func (r *Replica) Lost(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(name).setLost(false)
}

// LostAll records that this instance has lost all tables because the store cannot be
// read.
func (r *Replica) LostAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tables {
		t.setLost(true)
	}
}

// setCurrent records that the source of the table has responded.
func (t *table) setCurrent() { t.current, t.storeLost, t.readAt = true, false, time.Now() }

// isCurrent reports whether the table is current now.
func (t *table) isCurrent() bool { return t.current && t.idleLeft() > 0 }

// idleLeft returns how much longer a table that is current stays so without a response.
func (t *table) idleLeft() time.Duration {
	if t.maxIdle == 0 {
		return math.MaxInt64
	}
	return t.maxIdle - time.Since(t.readAt)
}

// setLost clears current and wakes the callers that wait for changes.
func (t *table) setLost(storeLost bool) {
	t.storeLost = t.storeLost || storeLost
	if t.current {
		t.current, t.lostAt = false, time.Now()
		t.notify()
	}
}

// setPassedOn sets whether others may read the table here. Its source has just responded.
func (r *Replica) setPassedOn(name string, passedOn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(name).withheld = !passedOn
}

// availability returns nil while others may read the table here. Otherwise it returns the error
// that callers receive, and until when they should wait for the table.
func (t *table) availability() (time.Time, error) {
	switch {
	case t.isCurrent() && !t.withheld:
		return time.Time{}, nil
	case t.storeLost, t.withheld:
		return time.Time{}, ErrStoreLost
	case t.current:
		return time.Time{}, ErrNotReading
	}
	return t.lostAt.Add(regainWait), ErrNotReading
}

// awaitTable waits until a table is current, until it has been lost for regainWait and
// minWait is over, or until ctx is done. Errors: ErrNotReading, ErrStoreLost and the error
// of ctx.
func (r *Replica) awaitTable(ctx context.Context, name string, minWait time.Duration) error {
	earliest := time.Now().Add(minWait)
	for {
		r.mu.Lock()
		t := r.table(name)
		until, err := t.availability()
		changed := t.changed
		r.mu.Unlock()
		if earliest.After(until) {
			until = earliest
		}
		left := time.Until(until)
		if err == nil || left <= 0 {
			return err
		}
		timeout := time.NewTimer(left)
		select {
		case <-changed:
		case <-timeout.C:
		case <-ctx.Done():
			timeout.Stop()
			return errors.Trace(ctx.Err())
		}
		timeout.Stop()
	}
}

// IsCurrent reports whether this instance follows a table at a source that has it.
func (r *Replica) IsCurrent(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(name).isCurrent()
}

// AwaitCurrent waits at most wait until the operator's table is current, which the other
// tables follow. Errors: ErrNotReading, ErrStoreLost and the error of ctx.
func (r *Replica) AwaitCurrent(ctx context.Context, wait time.Duration) error {
	return r.awaitTable(ctx, platform.TableOperator, wait)
}

// purgeTombstones removes the older half of the tombstones. Changes up to the newest of
// these are no longer available afterwards.
func (t *table) purgeTombstones() {
	var versions []uint64
	for _, row := range t.rows {
		if row.Deleted {
			versions = append(versions, row.Version)
		}
	}
	t.tombstones = len(versions) - len(versions)/2
	if len(versions) == 0 {
		return
	}
	slices.Sort(versions)
	t.compactedVersion = versions[len(versions)/2]
	maps.DeleteFunc(t.rows, func(_ string, row platform.Row) bool { return row.Deleted && row.Version <= t.compactedVersion })
}

// notify wakes the callers that wait for changes.
func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Rows returns the rows of a table without tombstones, and the position of the
// table. Errors: ErrNotReading, ErrStoreLost and the error of ctx.
func (r *Replica) Rows(ctx context.Context, name string) ([]platform.Row, platform.Position, error) {
	if err := r.awaitTable(ctx, name, 0); err != nil {
		return nil, platform.Position{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	if _, err := t.availability(); err != nil {
		return nil, platform.Position{}, err
	}
	rows := make([]platform.Row, 0, len(t.rows))
	for _, row := range t.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows, t.position, nil
}

// Interrupt lets calls that wait for changes of a table return without any.
func (r *Replica) Interrupt(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	t.interrupts++
	t.notify()
}

// interruptCount returns how often Interrupt was called for a table.
func (r *Replica) interruptCount(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(name).interrupts
}

// Changes waits at most wait for changes of a table after the given position, or until Interrupt
// is called. It returns the changed rows, if any, and the position from which the next call must
// continue. Errors: ErrNotReading, ErrStoreLost, platform.ErrCompacted and the error of
// ctx.
func (r *Replica) Changes(ctx context.Context, name string, after platform.Position, wait time.Duration) ([]platform.Row, platform.Position, error) {
	end, interrupts := time.Now().Add(wait), r.interruptCount(name)
	for {
		if err := r.awaitTable(ctx, name, 0); err != nil {
			return nil, platform.Position{}, err
		}
		rows, position, changed, err := r.changesSince(name, after)
		left := time.Until(end)
		if err != nil || len(rows) > 0 || left <= 0 || r.interruptCount(name) != interrupts {
			return rows, position, err
		}
		if err := r.awaitChange(ctx, name, changed, left); err != nil {
			return nil, platform.Position{}, err
		}
	}
}

// awaitChange waits until changed is closed, wait is over, the table may not be current any
// more, or ctx is done. Errors: that of ctx.
func (r *Replica) awaitChange(ctx context.Context, name string, changed <-chan struct{}, wait time.Duration) error {
	r.mu.Lock()
	wait = min(wait, max(0, r.table(name).idleLeft()))
	r.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-changed:
	case <-timeout.C:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	return nil
}

// changesSince returns the rows that changed after the given position, the position
// from which the next call must continue, and a channel that is closed at the next
// change. Errors: ErrNotReading, also if this instance has not yet heard of the era of
// the position, ErrStoreLost, and platform.ErrCompacted, also if the position is of an
// earlier era.
func (r *Replica) changesSince(name string, after platform.Position) ([]platform.Row, platform.Position, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	if _, err := t.availability(); err != nil {
		return nil, platform.Position{}, nil, err
	}
	switch {
	case after.Era > t.position.Era:
		return nil, platform.Position{}, nil, ErrNotReading
	case after.Era < t.position.Era, after.Version < t.compactedVersion:
		return nil, platform.Position{}, nil, platform.ErrCompacted
	case after.Version >= t.position.Version:
		return nil, after, t.changed, nil
	}
	var rows []platform.Row
	for _, row := range t.rows {
		if row.Version > after.Version {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows, t.position, t.changed, nil
}

// sortRows puts rows in the order in which the store took them.
func sortRows(rows []platform.Row) {
	slices.SortFunc(rows, func(a, b platform.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
}
