// Package limit keeps what an instance knows of the request limits of backend servers. A
// backend server in need states in its responses how many requests per second it takes from
// all instances together, for as long as it states so.
//
// An instance learns a limit, a change and the end of a limit from the responses that it
// gets, and from a table that all instances share. Responses can arrive out of order: one
// that allows more than what is known counts only if its request was sent after all that
// told of the lower limit.
//
// Table is a pure state machine and not safe for concurrent use.
package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

const (
	// settleTime is how long a limit that a response has stated holds against a shared
	// row that allows more and was read after it, since the row may be older.
	settleTime = time.Second
	// ReturnTime is how long requests take to return after the end of a limit.
	ReturnTime = 3 * time.Second
	// tolerance is the relative change of a limit up to which the shared row stays.
	tolerance = 0.05
	// writeInterval is the shortest time between two writes of one row.
	writeInterval = 500 * time.Millisecond
	// maxWriteDelay bounds the random time that an instance waits for others to write a
	// row first. writeDelayPerInstance is that time for each instance there is.
	maxWriteDelay         = time.Second
	writeDelayPerInstance = 20 * time.Millisecond
	// followTime is how long an entry may be of a later incarnation than the one that gets
	// requests.
	followTime = time.Second
	// unknownTime is how long the row of a backend server that does not exist is kept.
	unknownTime = 30 * time.Second
)

// Backend identifies one incarnation of a backend server.
type Backend struct {
	ID string
	// Born is the start time of the incarnation in Unix milliseconds; 0 if unknown.
	Born int64
}

// Statement is what a response states about the request limit of its backend server.
type Statement struct {
	// Limited reports whether there is a limit.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// equals reports whether two statements need not be told apart.
func (s Statement) equals(o Statement) bool {
	return s.Limited == o.Limited && math.Abs(s.PerSecond-o.PerSecond) <= tolerance*max(s.PerSecond, o.PerSecond)
}

// allowsMoreThan reports whether s allows more requests than o.
func (s Statement) allowsMoreThan(o Statement) bool {
	return o.Limited && (!s.Limited || s.PerSecond > o.PerSecond)
}

// State is what is known about a backend server at one time.
type State struct {
	Statement
	// Since is when the newest evidence for the statement arrived.
	Since time.Time
	// LimitedSince is when this instance learnt that there is a limit, of whatever value;
	// zero if there is none.
	LimitedSince time.Time
	// Shared reports whether the evidence is the shared row, and not a response that this
	// instance got.
	Shared bool
	// Returned is the share in [0,1] of its usual requests that a backend server gets
	// again after the end of a limit. It is 1 while there is no limit.
	Returned float64
}

// Cause says what a change is based on.
type Cause string

// Causes of changes.
const (
	// Response means that a response stated the limit, or none.
	Response Cause = "response"
	// Row means that another instance has written the shared row.
	Row Cause = "row"
)

// Change is a change of what is known.
type Change struct {
	Backend  Backend
	From, To State
	Cause    Cause
}

// belief is what one source tells.
type belief struct {
	Statement
	// at is when the newest evidence arrived; zero if there was none.
	at time.Time
}

// entry is the state of one backend server.
type entry struct {
	backend Backend
	// own is what the responses to this instance tell, shared what the shared row tells.
	own, shared belief
	// begun is when this instance learnt that there is a limit, and ended when the limit
	// ended. One of them is zero.
	begun, ended time.Time
	// reported is the newest state that TakeChanges has been told of.
	reported State
	// version is the version of the shared row; 0 if there is none.
	version uint64
	// differsSince is when own became different from the shared row.
	differsSince time.Time
	// written is when this instance last wrote the row.
	written time.Time
	// unknownSince is since when the backend server does not exist; zero while it does.
	unknownSince time.Time
	// aheadSince is since when State is asked about an earlier incarnation; zero while it is
	// not.
	aheadSince time.Time
}

// Table holds the limits of all backend servers as known to one instance.
type Table struct {
	self    string
	entries map[string]*entry
	changes []Change
}

// New returns an empty table of the instance self.
func New(self string) *Table { return &Table{self: self, entries: map[string]*entry{}} }

// entry returns the entry of an incarnation and creates it if needed. It returns nil if a
// later incarnation is known.
func (t *Table) entry(b Backend) *entry {
	e := t.entries[b.ID]
	switch {
	case e == nil, e.backend.Born < b.Born:
		fresh := &entry{backend: b, reported: State{Returned: 1}}
		if e != nil {
			fresh.version = e.version
		}
		t.entries[b.ID] = fresh
		return fresh
	case e.backend.Born > b.Born:
		return nil
	}
	return e
}

// effective returns what holds at now.
func (e *entry) effective(now time.Time) State {
	b, shared := e.shared, true
	switch {
	case e.own.Limited && e.own.equals(e.shared.Statement):
		// All instances use the same value then.
	case e.own.at.After(e.shared.at) || e.own.Limited && now.Sub(e.own.at) < settleTime && e.shared.allowsMoreThan(e.own.Statement):
		b, shared = e.own, false
	}
	s := State{Statement: b.Statement, Since: b.at, LimitedSince: e.begun, Shared: shared, Returned: 1}
	if !s.Limited && !e.ended.IsZero() {
		s.Returned = min(1, now.Sub(e.ended).Seconds()/ReturnTime.Seconds())
	}
	return s
}

// lowestTold returns when something last told of the limit that is in effect.
func (e *entry) lowestTold() time.Time {
	latest := time.Time{}
	for _, b := range []belief{e.own, e.shared} {
		if b.Limited && b.at.After(latest) {
			latest = b.at
		}
	}
	return latest
}

// Observe records what a response states. sent is when its request was sent.
func (t *Table) Observe(b Backend, s Statement, sent, now time.Time) {
	if !s.Limited && t.entries[b.ID] == nil {
		return
	}
	e := t.entry(b)
	if e == nil || s.allowsMoreThan(e.effective(now).Statement) && !sent.After(e.lowestTold()) {
		return
	}
	e.own = belief{Statement: s, at: now}
	e.noteDifference(now)
	t.recordChange(e, Response, now)
}

// noteDifference records since when the shared row has to be written.
func (e *entry) noteDifference(now time.Time) {
	switch differs := e.own.at.After(e.shared.at) && !e.own.equals(e.shared.Statement); {
	case !differs:
		e.differsSince = time.Time{}
	case e.differsSince.IsZero():
		e.differsSince = now
	}
}

// recordChange notes a change of what holds.
func (t *Table) recordChange(e *entry, cause Cause, now time.Time) {
	state := e.effective(now)
	switch {
	case state.Limited && !e.reported.Limited:
		e.begun, e.ended = now, time.Time{}
	case !state.Limited && e.reported.Limited:
		e.begun, e.ended = time.Time{}, now
	}
	if state.Statement != e.reported.Statement {
		t.changes = append(t.changes, Change{Backend: e.backend, From: e.reported, To: state, Cause: cause})
	}
	e.reported = state
}

// State returns what is known about an incarnation that gets requests.
func (t *Table) State(b Backend, now time.Time) State {
	e := t.current(b, now)
	if e == nil {
		return State{Returned: 1}
	}
	t.recordChange(e, Row, now)
	state := e.effective(now)
	if !state.Limited && state.Returned == 1 && e.version == 0 && e.differsSince.IsZero() {
		delete(t.entries, b.ID)
	}
	return state
}

// current returns the entry of an incarnation that gets requests; nil if there is none. An
// entry of a later incarnation makes way for it after followTime; until then it may come from a
// row that was read sooner than the entry of the backend server.
func (t *Table) current(b Backend, now time.Time) *entry {
	e := t.entries[b.ID]
	switch {
	case e == nil || e.backend.Born < b.Born:
		return nil
	case e.backend.Born == b.Born:
		e.aheadSince = time.Time{}
		return e
	case e.aheadSince.IsZero():
		e.aheadSince = now
	}
	if now.Sub(e.aheadSince) < followTime {
		return nil
	}
	earlier := &entry{backend: b, version: e.version, reported: State{Returned: 1}}
	t.entries[b.ID] = earlier
	return earlier
}

// Empty reports whether nothing is known about any backend server.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Limited returns the backend servers that have a limit.
func (t *Table) Limited(now time.Time) map[Backend]State {
	limited := map[Backend]State{}
	for _, e := range t.entries {
		if s := e.effective(now); s.Limited {
			limited[e.backend] = s
		}
	}
	return limited
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Retain notes which backend servers exist. What is known of the others is forgotten,
// except that their rows remain to be removed.
func (t *Table) Retain(exists func(id string) bool, now time.Time) {
	for id, e := range t.entries {
		switch {
		case exists(id):
			e.unknownSince = time.Time{}
		case e.unknownSince.IsZero():
			e.unknownSince = now
		case e.version == 0 && now.Sub(e.unknownSince) >= unknownTime:
			delete(t.entries, id)
		}
	}
}

// SharedRow is the row of one backend server in the shared table.
type SharedRow struct {
	Backend   Backend
	PerSecond float64
	// Version is the version of the row.
	Version uint64
	// Deleted reports that the row was removed.
	Deleted bool
	// Unreadable reports that another writer has left a row that is no limit.
	Unreadable bool
}

// Reading is the way in which rows of the shared table were read.
type Reading uint8

// Readings.
const (
	// Changes are rows that have changed since the last reading.
	Changes Reading = iota
	// Whole are all rows of the table.
	Whole
	// Conflict are the rows, also those that do not exist, because of which a write of this
	// instance failed. They may be older or newer than what it was about to write.
	Conflict
)

// Merge records rows of the shared table.
func (t *Table) Merge(rows []SharedRow, reading Reading, now time.Time) {
	if reading == Whole {
		t.forgetMissing(rows, now)
	}
	for _, r := range rows {
		t.mergeRow(r, reading, now)
	}
}

// forgetMissing records that only the given rows exist. A row that is missing may have been
// lost with what the store wrote last; what it told is kept as if this instance had learnt
// it, so that it is written again unless a response shows that the limit has ended.
func (t *Table) forgetMissing(rows []SharedRow, now time.Time) {
	for id, e := range t.entries {
		if e.version == 0 || slices.ContainsFunc(rows, func(r SharedRow) bool { return r.Backend.ID == id }) {
			continue
		}
		if e.shared.Limited && !e.own.at.After(e.shared.at) {
			e.own = e.shared
		}
		e.shared, e.version = belief{}, 0
		e.noteDifference(now)
	}
}

// mergeRow records one row. The versions of a new reading of the whole table may be lower than
// those known.
func (t *Table) mergeRow(r SharedRow, reading Reading, now time.Time) {
	e := t.entries[r.Backend.ID]
	if e != nil && r.Version <= e.version && reading == Changes {
		return
	}
	if !r.Deleted && !r.Unreadable {
		e = t.entryOfRow(r.Backend)
	}
	if e == nil {
		return
	}
	e.version = r.Version
	if r.Deleted {
		e.version = 0
	}
	if r.Unreadable || e.backend.Born > r.Backend.Born && !r.Deleted {
		return
	}
	stated := Statement{Limited: !r.Deleted, PerSecond: r.PerSecond}
	if reading == Conflict && e.own.at.After(e.shared.at) && stated.allowsMoreThan(e.own.Statement) {
		// What was to be written is on the safe side and is written again.
		e.shared.Statement = stated
		e.noteDifference(now)
		return
	}
	e.setShared(stated, now)
	t.recordChange(e, Row, now)
}

// entryOfRow returns the entry that a row belongs to and creates it if needed. The entry may be
// of a later incarnation than the row.
func (t *Table) entryOfRow(b Backend) *entry {
	if e := t.entry(b); e != nil {
		return e
	}
	return t.entries[b.ID]
}

// setShared records what the shared row tells. A row that tells the same as before is no
// new evidence.
func (e *entry) setShared(s Statement, now time.Time) {
	if s != e.shared.Statement || e.shared.at.IsZero() {
		e.shared = belief{Statement: s, at: now}
	}
	e.noteDifference(now)
}

// Write is a change of the shared table that is due.
type Write struct {
	// Row is the row to write, or to remove if Deleted is set. Its Version is the version
	// that the row has now; 0 if it does not exist.
	Row SharedRow
	// learnt is when what it tells was learnt.
	learnt time.Time
}

// Due returns the rows that this instance should write now, ordered by ID. instances is the
// number of instances, any of which may write them. cleans means that this instance removes
// the rows of backend servers that do not exist.
func (t *Table) Due(instances int, cleans bool, now time.Time) []Write {
	var due []Write
	for _, e := range t.entries {
		switch {
		case !e.unknownSince.IsZero():
			if cleans && e.version > 0 && now.Sub(e.unknownSince) >= unknownTime {
				due = append(due, Write{Row: SharedRow{Backend: e.backend, Version: e.version, Deleted: true}})
			}
		case t.isDue(e, instances, now):
			row := SharedRow{Backend: e.backend, PerSecond: e.own.PerSecond, Version: e.version, Deleted: !e.own.Limited}
			due = append(due, Write{Row: row, learnt: e.own.at})
		}
	}
	slices.SortFunc(due, func(a, b Write) int { return cmp.Compare(a.Row.Backend.ID, b.Row.Backend.ID) })
	return due
}

// isDue reports whether the row of an entry is to be written by this instance. Each instance
// waits for a time of its own, so that normally only one of them writes.
func (t *Table) isDue(e *entry, instances int, now time.Time) bool {
	if e.differsSince.IsZero() || now.Sub(e.written) < writeInterval {
		return false
	}
	longest := min(maxWriteDelay, time.Duration(instances)*writeDelayPerInstance)
	delay := time.Duration(hrw.Fraction(t.self, e.backend.ID) * float64(longest))
	return now.Sub(e.differsSince) >= delay && (e.own.Limited || e.version > 0)
}

// Written records that rows were written at the given version.
func (t *Table) Written(writes []Write, version uint64, now time.Time) {
	for _, w := range writes {
		e := t.entries[w.Row.Backend.ID]
		if e == nil || e.backend != w.Row.Backend {
			continue
		}
		e.written, e.version = now, version
		e.shared = belief{Statement: Statement{Limited: true, PerSecond: w.Row.PerSecond}, at: w.learnt}
		if w.Row.Deleted {
			e.version, e.shared.Statement = 0, Statement{}
		}
		e.noteDifference(now)
	}
}
