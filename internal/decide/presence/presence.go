// Package presence finds instances that may be dead: those that have stopped
// reading from the reader of their region. It only names suspects; whether a
// suspect is dead is decided by trying to connect to it.
//
// Tracker is a pure state machine and not safe for concurrent use.
package presence

import "time"

// silenceTimeout is the time without contact after which an instance is
// suspected. It is several times the interval at which instances read from
// their reader.
const silenceTimeout = 2500 * time.Millisecond

// Tracker records the newest contact with each instance.
type Tracker struct {
	// lastContact holds the time of the newest contact with each instance by
	// name.
	lastContact map[string]time.Time
	// readerSince is the time at which this instance became the reader; zero
	// while it is not the reader.
	readerSince time.Time
}

// New returns a Tracker without any contacts.
func New() *Tracker { return &Tracker{lastContact: map[string]time.Time{}} }

// RecordContact records a contact with the instance named name.
func (t *Tracker) RecordContact(name string, now time.Time) { t.lastContact[name] = now }

// Suspects returns those of the named instances that had no contact for longer
// than silenceTimeout. Times before this instance became the reader do not
// count. It returns none unless isReader reports that this instance is the
// reader.
func (t *Tracker) Suspects(names []string, isReader bool, now time.Time) []string {
	if !isReader {
		t.readerSince = time.Time{}
		return nil
	}
	if t.readerSince.IsZero() {
		t.readerSince = now
	}
	var suspects []string
	for _, name := range names {
		last := t.lastContact[name]
		if last.Before(t.readerSince) {
			last = t.readerSince
		}
		if now.Sub(last) > silenceTimeout {
			suspects = append(suspects, name)
		}
	}
	return suspects
}
