// Package presence finds instances that may be dead: those that have stopped to
// read from the reader of their region. It only names suspects; whether one is
// dead is decided by a connection to it.
//
// Tracker is a pure state machine and not safe for concurrent use.
package presence

import "time"

// silence is how long an instance may say nothing before it is suspected. It
// is several times the interval at which instances ask their reader.
const silence = 2500 * time.Millisecond

// Tracker remembers when each instance was heard of.
type Tracker struct {
	heard map[string]time.Time
	// reading is when this instance became the reader; zero while it is not.
	reading time.Time
}

// New returns a Tracker that has heard of nobody.
func New() *Tracker { return &Tracker{heard: map[string]time.Time{}} }

// RecordContact takes in a sign of life.
func (t *Tracker) RecordContact(name string, now time.Time) { t.heard[name] = now }

// Suspects returns those of the names that have been silent for too long. Only
// the reader suspects anyone.
func (t *Tracker) Suspects(names []string, reads bool, now time.Time) []string {
	if !reads {
		t.reading = time.Time{}
		return nil
	}
	if t.reading.IsZero() {
		t.reading = now
	}
	var suspects []string
	for _, name := range names {
		last := t.heard[name]
		if last.Before(t.reading) {
			last = t.reading
		}
		if now.Sub(last) > silence {
			suspects = append(suspects, name)
		}
	}
	return suspects
}
