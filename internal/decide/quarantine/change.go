package quarantine

import "time"

// Cause says what changed a verdict.
type Cause uint8

// Causes of changes.
const (
	// CauseCrash: a backend server crashed that ran the request.
	CauseCrash Cause = iota
	// CauseNotice: another instance sent what it knows.
	CauseNotice
	// CauseCompleted: the request ran to its end.
	CauseCompleted
	// CauseExpired: the evidence is too old.
	CauseExpired
)

// String returns the name of the cause in logs.
func (c Cause) String() string { return [...]string{"crash", "notice", "completed", "expired"}[c] }

// Evidence summarizes why a request is suspect or quarantined.
type Evidence struct {
	// Crashes is the number of successive runs that ended with a crash.
	Crashes int
	// FirstSent is when the first run that ended with a crash was sent, zero if there is
	// none.
	FirstSent time.Time
	// FirstCrash and LastCrash are the times of the first and the last known crash,
	// zero if there is none.
	FirstCrash, LastCrash time.Time
	// Expiry is when the verdict ends.
	Expiry time.Time
}

// Change is a change of the verdict on a request.
type Change struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// From and To are the verdicts before and after the change.
	From, To Verdict
	// Cause is what changed the verdict.
	Cause Cause
	// Evidence is what is known against the request; if To is Clear, what was known
	// before.
	Evidence Evidence
}

// TakeChanges returns the changes of verdicts since the last call, in order.
func (m *Machine) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// recordChanges runs change, which may change the state of requests, and records the
// changes of the verdicts on them.
func (m *Machine) recordChanges(now time.Time, fps []Fingerprint, cause Cause, change func()) {
	before := make([]Change, len(fps))
	for i, fp := range fps {
		before[i] = Change{Fingerprint: fp, From: m.Verdict(now, fp), Cause: cause, Evidence: m.Evidence(fp)}
	}
	change()
	for _, c := range before {
		c.To = m.Verdict(now, c.Fingerprint)
		if c.To == c.From {
			continue
		}
		if c.To != Clear {
			c.Evidence = m.Evidence(c.Fingerprint)
		}
		m.changes = append(m.changes, c)
	}
}

// Evidence returns what is known against a request.
func (m *Machine) Evidence(fp Fingerprint) Evidence {
	e := m.entries[fp]
	if e == nil {
		return Evidence{}
	}
	ev := Evidence{Crashes: successiveRuns(e.runs), Expiry: e.expiry}
	if ordered := byCrashTime(e.runs); len(ordered) > 0 {
		ev.FirstCrash, ev.LastCrash = ordered[0].Crashed, ordered[len(ordered)-1].Crashed
		ev.FirstSent, _ = span(e.runs)
	}
	return ev
}
