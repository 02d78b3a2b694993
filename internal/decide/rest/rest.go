// Package rest keeps which backend servers an instance has to leave alone because they have
// said so in their responses: for the time of a rest that they asked this instance for, or
// for good because they leave, or because another one responds at their address. Other instances are not bound by it, since each is told by
// itself.
//
// Table is a pure state machine and not safe for concurrent use.
package rest

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
)

// unknownTime is how long the state of an incarnation is kept that does not exist. Its entry
// may come back.
const unknownTime = 10 * time.Minute

// Statement is what a response says.
type Statement struct {
	// Rest is how long the backend server wants no requests from this instance; 0 if it
	// asks for none.
	Rest time.Duration
	// Leaving is set if the backend server is about to leave.
	Leaving bool
	// Replaced is set if another backend server has responded at its address.
	Replaced bool
}

// gone reports whether the backend server gets no more requests.
func (s Statement) gone() bool { return s.Leaving || s.Replaced }

// State is what is known about an incarnation of a backend server at one time.
type State struct {
	// Left is what is left of its rest; 0 if there is none.
	Left time.Duration
	// Leaving is set if it has said that it leaves.
	Leaving bool
	// Replaced is set if another backend server has its address.
	Replaced bool
}

// Available reports whether the backend server may get requests without restriction.
func (s State) Available() bool { return s.Left == 0 && !s.Gone() }

// Gone reports whether the backend server gets no more requests.
func (s State) Gone() bool { return s.Leaving || s.Replaced }

// Change is a change of what is known.
type Change struct {
	Backend limit.Backend
	State   State
	// Since is when the rest or the end was learnt, and LastTold when a response last
	// said so.
	Since, LastTold time.Time
}

// entry is the state of one incarnation.
type entry struct {
	// since is when the rest was learnt, and until its end; until is zero if there is no
	// rest.
	since, until time.Time
	// longest is the longest rest that was asked for since then.
	longest time.Duration
	// lastTrial is when a request was last sent during the rest.
	lastTrial time.Time
	// goneSince is when it was learnt that the backend server leaves or is replaced; zero if
	// it was not. leaving and replaced tell which.
	goneSince         time.Time
	leaving, replaced bool
	// lastTold is when a response last said something.
	lastTold time.Time
	// unknownSince is since when the incarnation does not exist; zero while it does.
	unknownSince time.Time
}

// Table holds the state of all backend servers as told to one instance.
type Table struct {
	entries map[limit.Backend]*entry
	changes []Change
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[limit.Backend]*entry{}} }

// Observe records what a response says that arrived at now. The end of a rest only moves
// forward: each response stands for the time that it named, whatever comes after it.
func (t *Table) Observe(b limit.Backend, s Statement, now time.Time) {
	if s == (Statement{}) {
		return
	}
	e := t.entries[b]
	if e == nil {
		e = &entry{}
		t.entries[b] = e
	}
	e.lastTold = now
	rests := now.Before(e.until)
	if s.Rest > 0 {
		e.extend(s.Rest, now)
	}
	ends := s.Leaving && !e.leaving || s.Replaced && !e.replaced
	if s.gone() && e.goneSince.IsZero() {
		e.goneSince = now
	}
	e.leaving, e.replaced = e.leaving || s.Leaving, e.replaced || s.Replaced
	if s.Rest > 0 && !rests || ends {
		t.recordChange(b, e, now)
	}
}

// extend begins or prolongs a rest.
func (e *entry) extend(length time.Duration, now time.Time) {
	if !now.Before(e.until) {
		e.since, e.longest, e.lastTrial = now, 0, time.Time{}
	}
	e.longest = max(e.longest, length)
	if end := now.Add(length); end.After(e.until) {
		e.until = end
	}
}

func (t *Table) recordChange(b limit.Backend, e *entry, now time.Time) {
	since := e.since
	if !e.goneSince.IsZero() {
		since = e.goneSince
	}
	t.changes = append(t.changes, Change{Backend: b, State: e.state(now), Since: since, LastTold: e.lastTold})
}

func (e *entry) state(now time.Time) State {
	return State{Left: max(0, e.until.Sub(now)), Leaving: e.leaving, Replaced: e.replaced}
}

// State returns what is known about an incarnation.
func (t *Table) State(b limit.Backend, now time.Time) State {
	e := t.entries[b]
	if e == nil {
		return State{}
	}
	return e.state(now)
}

// MayTry reports whether a backend server may get a request that no other may get. During a
// rest these are two at the most: they are half of the longest rest apart.
func (t *Table) MayTry(b limit.Backend, now time.Time) bool {
	e := t.entries[b]
	switch {
	case e == nil:
		return true
	case !e.goneSince.IsZero():
		return false
	}
	return !now.Before(e.until) || now.Sub(e.lastTrial) >= e.longest/2
}

// Sent records that a request is sent to a backend server.
func (t *Table) Sent(b limit.Backend, now time.Time) {
	if e := t.entries[b]; e != nil && now.Before(e.until) {
		e.lastTrial = now
	}
}

// Empty reports whether nothing is known about any backend server.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Expire ends the rests that are over.
func (t *Table) Expire(now time.Time) {
	for b, e := range t.entries {
		if e.until.IsZero() || now.Before(e.until) {
			continue
		}
		e.until = time.Time{}
		t.recordChange(b, e, now)
		if e.goneSince.IsZero() {
			delete(t.entries, b)
		}
	}
}

// Retain notes which incarnations exist. What is known of the others is forgotten after a
// while. One without a start time may be another process after it has been away, so that
// nothing is known of it then.
func (t *Table) Retain(exists func(limit.Backend) bool, now time.Time) {
	for b, e := range t.entries {
		switch known := exists(b); {
		case known && !e.unknownSince.IsZero() && b.Born == 0:
			delete(t.entries, b)
		case known:
			e.unknownSince = time.Time{}
		case e.unknownSince.IsZero():
			e.unknownSince = now
		case now.Sub(e.unknownSince) >= unknownTime:
			delete(t.entries, b)
		}
	}
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
