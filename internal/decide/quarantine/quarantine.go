// Package quarantine finds requests that crash the backend servers which run
// them, and keeps these requests from running again.
//
// When a backend server crashes, each request that it had in flight becomes a
// suspect and the crash is counted for it as an incident. Suspects are isolated
// from each other: no two of them run on one backend server at the same time;
// see Machine.MayRun. An isolated suspect whose backend server crashes again is
// quarantined. Copies of a request that were sent before the request became a
// suspect are not isolated, so a further crash is not counted for them. If
// several isolated suspects were in flight in one crash, the crash is counted
// for each of them, and one more incident is needed to quarantine a request. A
// request that completes is not a suspect any more.
//
// These rules need a machine that knows all requests that a backend server has in
// flight. With Config.SharedBackends, several instances send to one backend server,
// and machines combine what each of them has seen: a request is quarantined when
// minCrashes successive runs of it ended with crashes; see Machine.judge.
//
// Machine is a pure state machine: it takes events and the time and returns
// actions.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Defaults of a Config.
const (
	// DefaultSuspectTTL is the default of Config.SuspectTTL.
	DefaultSuspectTTL = 10 * time.Minute
	// DefaultQuarantineTTL is the default of Config.QuarantineTTL.
	DefaultQuarantineTTL = time.Hour
	// DefaultMaxEntries is the default of Config.MaxEntries.
	DefaultMaxEntries = 4096
)

// Numbers of incidents at which a request is quarantined.
const (
	// incidentsForSingleSuspect applies if at most one isolated suspect was in
	// flight in the last crash.
	incidentsForSingleSuspect = 2
	// incidentsForMultipleSuspects applies if several isolated suspects were in
	// flight in the last crash.
	incidentsForMultipleSuspects = 3
)

// Event is an input of a Machine.
type Event interface{ event() }

// Crash reports that a backend server crashed: it refuses new connections, or
// all connections to it were lost together. The loss of a single connection is
// not a crash.
type Crash struct {
	Incident Incident
	// InFlight holds the requests that the backend server had in flight.
	InFlight []SentRequest
}

// SentRequest is a request as it was sent to a backend server.
type SentRequest struct {
	Fingerprint Fingerprint
	// Isolated is set if the request's verdict was Suspect when it was sent.
	Isolated bool
	// Sent is when the request was sent.
	Sent time.Time
}

// Completed reports that a backend server ran the request to its end.
type Completed struct{ Fingerprint Fingerprint }

// NoticesReceived reports notices from other instances.
type NoticesReceived struct{ Notices []Notice }

// Tick drops expired entries.
type Tick struct{}

func (Crash) event()           {}
func (Completed) event()       {}
func (NoticesReceived) event() {}
func (Tick) event()            {}

// SendNotice asks the driver to send a notice immediately to the other instances
// in the zone. Other zones get it with the next Digest.
type SendNotice struct{ Notice Notice }

// Config holds the settings of a Machine. A field that is zero gets its default.
type Config struct {
	// SuspectTTL is how long a request stays a suspect, and its incidents count,
	// after its last incident.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined.
	QuarantineTTL time.Duration
	// MaxEntries is the largest number of requests in memory. Above it,
	// suspects are evicted before quarantined requests, and among these the
	// ones that expire first.
	MaxEntries int
	// SharedBackends is set if other instances send requests to the same backend
	// servers. Machines need equal incidents for one crash then.
	SharedBackends bool
}

// Machine is the state machine of one instance. It is not safe for concurrent
// use.
type Machine struct {
	cfg     Config
	entries map[Fingerprint]*entry
	// changes holds the changes of verdicts that were not taken yet.
	changes []Change
}

// entry is the state of a request that was in flight in a crash.
type entry struct {
	// runs is sorted by incident and has at most maxRuns elements. It is empty if
	// the request has completed since, or if a notice reported the request as
	// quarantined without its runs.
	runs []Run
	// voided holds runs that do not count, so that a late notice of them does not
	// make the request a suspect again.
	voided      []Run
	quarantined bool
	expiry      time.Time
}

// cleared reports whether nothing is held against the request.
func (e *entry) cleared() bool { return e.verdict() == Clear }

// New returns a machine without suspects.
func New(cfg Config) *Machine {
	cfg.SuspectTTL = cmp.Or(cfg.SuspectTTL, DefaultSuspectTTL)
	cfg.QuarantineTTL = cmp.Or(cfg.QuarantineTTL, DefaultQuarantineTTL)
	cfg.MaxEntries = cmp.Or(cfg.MaxEntries, DefaultMaxEntries)
	return &Machine{cfg: cfg, entries: map[Fingerprint]*entry{}}
}

// Verdict returns the verdict on the request.
func (m *Machine) Verdict(now time.Time, fp Fingerprint) Verdict {
	e := m.entries[fp]
	if e == nil || !e.expiry.After(now) {
		return Clear
	}
	return e.verdict()
}

// MayRun reports whether the request may be sent to a backend server that has the
// requests inFlight. A suspect may be sent only if no suspect is in flight there.
func (m *Machine) MayRun(now time.Time, fp Fingerprint, inFlight []Fingerprint) bool {
	switch m.Verdict(now, fp) {
	case Clear:
		return true
	case Quarantined:
		return false
	}
	return !slices.ContainsFunc(inFlight, func(o Fingerprint) bool {
		return m.Verdict(now, o) == Suspect
	})
}

// Step handles one event and returns the notices to send, in order.
func (m *Machine) Step(now time.Time, ev Event) []SendNotice {
	if c, ok := ev.(Completed); ok && m.entries[c.Fingerprint] == nil {
		return nil
	}
	m.expire(now)
	switch e := ev.(type) {
	case Crash:
		return m.crash(now, e)
	case Completed:
		return m.completed(now, e.Fingerprint)
	case NoticesReceived:
		m.mergeNotices(now, e.Notices)
	}
	return nil
}

// Digest returns at most limit notices, for instances that do not get the notices
// of SendNotice. Quarantined requests come first, and among these and the
// suspects the ones that expire last.
func (m *Machine) Digest(limit int) []Notice {
	order := slices.DeleteFunc(m.evictionOrder(), func(fp Fingerprint) bool { return m.entries[fp].cleared() })
	slices.Reverse(order)
	var digest []Notice
	for _, fp := range order[:min(limit, len(order))] {
		digest = append(digest, m.notice(fp))
	}
	return digest
}

// Notice returns the state of a request, to be sent together with the request
// itself. ok is false if the verdict on the request is Clear.
func (m *Machine) Notice(now time.Time, fp Fingerprint) (n Notice, ok bool) {
	if m.Verdict(now, fp) == Clear {
		return Notice{}, false
	}
	return m.notice(fp), true
}

// State returns all that is known about a request, also if it was cleared. ok is
// false if nothing is known.
func (m *Machine) State(fp Fingerprint) (n Notice, ok bool) {
	if m.entries[fp] == nil {
		return Notice{}, false
	}
	return m.notice(fp), true
}

// notice returns the notice for a request that has an entry.
func (m *Machine) notice(fp Fingerprint) Notice {
	e := m.entries[fp]
	return Notice{
		Fingerprint: fp, Runs: slices.Clone(e.runs), Voided: slices.Clone(e.voided),
		Quarantined: e.quarantined, Cleared: e.cleared(), Expiry: e.expiry,
	}
}

// crash counts an incident for the requests that may have caused the crash and
// returns notices about them. If a quarantined request was in flight, because it
// was sent before it was quarantined, it is the likely cause and no incident is
// counted. Otherwise the isolated suspects are charged. Only if there are none,
// the requests that were not suspects are charged.
//
// With Config.SharedBackends all requests are charged, because one that is clear here
// may be a suspect elsewhere.
func (m *Machine) crash(now time.Time, c Crash) []SendNotice {
	var isolated, others []SentRequest
	for _, s := range c.InFlight {
		switch v := m.Verdict(now, s.Fingerprint); {
		case v == Quarantined:
			return nil
		case v == Clear, m.cfg.SharedBackends:
			others = append(others, s)
		case s.Isolated:
			isolated = append(isolated, s)
		}
	}
	charged, threshold := sortedUnique(isolated), incidentsForSingleSuspect
	switch len(charged) {
	case 0:
		charged = sortedUnique(others)
	case 1:
	default:
		threshold = incidentsForMultipleSuspects
	}
	m.charge(now, c.Incident, charged, threshold)
	m.evict()
	var notices []SendNotice
	for _, s := range charged {
		if m.entries[s.Fingerprint] != nil {
			notices = append(notices, SendNotice{Notice: m.notice(s.Fingerprint)})
		}
	}
	return notices
}

// charge counts an incident for requests, and quarantines those that have enough of
// them. threshold applies without Config.SharedBackends.
func (m *Machine) charge(now time.Time, i Incident, requests []SentRequest, threshold int) {
	var fps []Fingerprint
	for _, s := range requests {
		fps = append(fps, s.Fingerprint)
	}
	m.recordChanges(now, fps, CauseCrash, func() {
		for _, s := range requests {
			run := newRun(i, s.Sent, now)
			m.addRuns(s.Fingerprint, []Run{run}, now.Add(m.cfg.SuspectTTL))
		}
		m.quarantine(now, fps, func(fp Fingerprint) bool {
			if m.cfg.SharedBackends {
				return m.judge(fp)
			}
			return len(m.entries[fp].runs) >= threshold
		})
	})
}

// quarantine quarantines those of the requests for which hasEnough returns true. All of
// them are judged by the same state.
func (m *Machine) quarantine(now time.Time, fps []Fingerprint, hasEnough func(Fingerprint) bool) {
	var found []Fingerprint
	for _, fp := range fps {
		if e := m.entries[fp]; e != nil && !e.quarantined && hasEnough(fp) {
			found = append(found, fp)
		}
	}
	for _, fp := range found {
		m.entries[fp].quarantined, m.entries[fp].expiry = true, now.Add(m.cfg.QuarantineTTL)
	}
}

// sortedUnique sorts requests by fingerprint in place and removes duplicates.
func sortedUnique(requests []SentRequest) []SentRequest {
	slices.SortStableFunc(requests, func(a, b SentRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return slices.CompactFunc(requests, func(a, b SentRequest) bool { return a.Fingerprint == b.Fingerprint })
}

// addRuns adds runs to the entry of a request, which it creates if needed, and
// returns the entry. An incident counts once, and not if it is void. expiry may only
// extend the time of the entry.
func (m *Machine) addRuns(fp Fingerprint, runs []Run, expiry time.Time) *entry {
	e := m.entries[fp]
	if e == nil {
		e = &entry{}
		m.entries[fp] = e
	}
	e.runs = mergeRuns(e.runs, withoutRuns(runs, e.voided))
	if expiry.After(e.expiry) {
		e.expiry = expiry
	}
	return e
}

// void makes runs count no more. A request against which nothing is left is not
// quarantined any more.
func (e *entry) void(runs []Run) {
	if len(runs) == 0 {
		return
	}
	e.voided = mergeRuns(e.voided, runs)
	e.runs = withoutRuns(e.runs, e.voided)
	if len(e.runs) == 0 {
		e.quarantined = false
	}
}

// completed voids what is held against a request that completed.
func (m *Machine) completed(now time.Time, fp Fingerprint) []SendNotice {
	e := m.entries[fp]
	if e == nil || e.cleared() {
		return nil
	}
	m.recordChanges(now, []Fingerprint{fp}, CauseCompleted, func() {
		e.void(e.runs)
		e.quarantined = false
	})
	return []SendNotice{{Notice: m.notice(fp)}}
}

// mergeNotices merges notices from other instances. Unless backend servers are
// shared, incidents in notices alone never quarantine a request, because they may stem
// from copies of the request that were in flight at the same time.
func (m *Machine) mergeNotices(now time.Time, notices []Notice) {
	var fps []Fingerprint
	for _, n := range notices {
		fps = append(fps, n.Fingerprint)
	}
	m.recordChanges(now, fps, CauseNotice, func() {
		for _, n := range notices {
			m.mergeNotice(now, n)
		}
		if m.cfg.SharedBackends {
			m.quarantine(now, fps, m.judge)
		}
	})
	m.evict()
}

// mergeNotice merges a notice without judging the request. The expiry is bounded,
// because clocks differ and notices may be wrong.
func (m *Machine) mergeNotice(now time.Time, n Notice) {
	e := m.entries[n.Fingerprint]
	if n.Cleared && len(n.Voided) == 0 && e != nil {
		n.Voided = e.runs
		e.quarantined = false
	}
	maxExpiry := now.Add(m.cfg.SuspectTTL)
	if n.Quarantined {
		maxExpiry = now.Add(m.cfg.QuarantineTTL)
	}
	if n.Expiry.After(maxExpiry) {
		n.Expiry = maxExpiry
	}
	if !n.Expiry.After(now) || len(n.Runs)+len(n.Voided) == 0 && !n.Quarantined {
		return
	}
	e = m.addRuns(n.Fingerprint, n.Runs, n.Expiry)
	if n.Quarantined {
		e.quarantined = true
	}
	e.void(n.Voided)
}

// expire removes the entries that expired at or before now.
func (m *Machine) expire(now time.Time) {
	var expired []Fingerprint
	for fp, e := range m.entries {
		if !e.expiry.After(now) {
			expired = append(expired, fp)
		}
	}
	slices.Sort(expired)
	for _, fp := range expired {
		if e := m.entries[fp]; !e.cleared() {
			m.changes = append(m.changes, Change{Fingerprint: fp, From: e.verdict(), To: Clear, Cause: CauseExpired, Evidence: m.Evidence(fp)})
		}
		delete(m.entries, fp)
	}
}

// evict removes entries until their number is at most Config.MaxEntries.
func (m *Machine) evict() {
	excess := len(m.entries) - m.cfg.MaxEntries
	if excess <= 0 {
		return
	}
	order := m.evictionOrder()
	for _, fp := range order[:excess] {
		delete(m.entries, fp)
	}
}

// evictionOrder returns the requests in the order in which they are evicted: cleared
// requests, suspects, quarantined requests, each by expiry and fingerprint.
func (m *Machine) evictionOrder() []Fingerprint {
	return slices.SortedFunc(maps.Keys(m.entries), func(a, b Fingerprint) int {
		x, y := m.entries[a], m.entries[b]
		return cmp.Or(cmp.Compare(x.verdict(), y.verdict()), x.expiry.Compare(y.expiry), cmp.Compare(a, b))
	})
}

// verdict returns the verdict on the request unless the entry has expired.
func (e *entry) verdict() Verdict {
	switch {
	case e.quarantined:
		return Quarantined
	case len(e.runs) > 0:
		return Suspect
	}
	return Clear
}
