// Package health decides which backend servers may receive new requests. Its
// inputs are health probes, the results of requests, and the platform's list of
// instances. Results of requests take precedence over probes, whether they are
// successes or failures.
package health

import (
	"slices"
	"strings"
	"time"
)

// State is the health state of a backend server.
type State uint8

// Health states.
const (
	// Healthy backend servers receive new requests.
	Healthy State = iota + 1
	// Cold backend servers receive new requests at a rate that grows over time.
	Cold
	// Suspect backend servers receive new requests only if no other can.
	Suspect
	// Ejected backend servers receive no new requests until a probe succeeds after
	// the ejection time, or until twice that time has passed.
	Ejected
	// Draining backend servers receive no new requests; those in flight continue.
	Draining
)

var stateNames = [...]string{Healthy: "healthy", Cold: "cold", Suspect: "suspect", Ejected: "ejected", Draining: "draining"}

// String returns the name of the state in logs.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// TakesWork reports whether a backend server in this state may receive new
// requests.
func (s State) TakesWork() bool { return s == Healthy || s == Cold || s == Suspect }

// Source is the source of a Signal.
type Source uint8

// Signal sources.
const (
	// Probe is a request to the health endpoint.
	Probe Source = iota
	// InBand is the result of a request of a caller.
	InBand
	// List is the platform's list of instances.
	List
	numSources
)

// Signal is what a source reports about a backend server.
type Signal uint8

// Signals.
const (
	// OK is a successful response, or an entry of the list that says live.
	OK Signal = iota + 1
	// Failed is an error response, a timeout or a broken connection.
	Failed
	// Refused means that no process accepts connections at the address.
	Refused
	// Leaving is a notice that the backend server shuts down and accepts no new
	// requests.
	Leaving
	// Delisted means that the backend server is missing from the list.
	Delisted
)

// Event is one Signal about a backend server.
type Event struct {
	Name   string
	Source Source
	Signal Signal
	At     time.Time
}

// Settings configures a Machine. All durations are greater than 0.
type Settings struct {
	// SuspectAfter and EjectAfter are the numbers of consecutive failures after
	// which a backend server becomes Suspect or Ejected.
	SuspectAfter, EjectAfter int
	// EjectTime is the duration of the first ejection. It doubles with each
	// further one, up to MaxEjectTime, and is reset when the backend server is
	// Healthy again.
	EjectTime, MaxEjectTime time.Duration
	// ColdTime is how long a backend server is Cold after it has started or
	// returned.
	ColdTime time.Duration
	// LeaveHold is how long a Leaving signal holds regardless of other signals,
	// unless the backend server has stopped and was replaced.
	LeaveHold time.Duration
	// InBandHold is how long failed probes are ignored after a successful request.
	InBandHold time.Duration
	// MaxEjectedPermille is the maximum share of backend servers that are Ejected at
	// the same time, in thousandths. If several instances own the backend servers
	// of a zone, each instance observes the limit for its own, and so the zone
	// observes it as a whole.
	MaxEjectedPermille int
}

// Backend is a backend server as declared in the configuration.
type Backend struct {
	Name string
	// Draining is true if its declared state allows no new requests.
	Draining bool
	// Since is when the declared state last changed. Unless Draining is true, the
	// backend server is Cold for ColdTime after it.
	Since time.Time
}

// Change is a state change of a backend server.
type Change struct {
	Name     string
	From, To State
	At       time.Time
}

// member is a backend server and what its signals have established.
type member struct {
	Backend
	state State
	// failures is the number of consecutive failures by source.
	failures [numSources]int
	// lastOK is the time of the last OK signal by source.
	lastOK [numSources]time.Time
	// leaving is true, by source, if a Leaving signal has not been followed by an
	// OK signal of the same source.
	leaving [numSources]bool
	// leavingAt is the time of the last Leaving signal; zero if the backend server
	// has returned since.
	leavingAt time.Time
	// stoppedAt is the time of the first Refused or Delisted signal after
	// leavingAt; zero if there was none.
	stoppedAt time.Time
	// delisted is true while the backend server is missing from the list.
	delisted bool
	// ejectedAt is the start of the current ejection; zero if there is none.
	ejectedAt time.Time
	// ejectTime is the duration of the last ejection; 0 if the backend server has
	// been Healthy since.
	ejectTime time.Duration
	// coldUntil is the end of the time in which the backend server is Cold.
	coldUntil time.Time
}

// Machine tracks the health of the backend servers that one instance monitors.
// It is not safe for concurrent use.
type Machine struct {
	settings Settings
	// members is sorted by name.
	members []*member
	// changes holds the state changes since the last call of Ready.
	changes []Change
}

// New returns a Machine without backend servers.
func New(settings Settings) *Machine { return &Machine{settings: settings} }

// Update replaces the declared backend servers. A new one is Suspect until its
// first OK signal from a probe or a request.
func (m *Machine) Update(now time.Time, backends []Backend) {
	next := make([]*member, 0, len(backends))
	for _, b := range backends {
		x := m.find(b.Name)
		if x == nil {
			x = &member{state: Suspect}
			x.failures[Probe] = m.settings.SuspectAfter
		}
		if !b.Draining && !b.Since.IsZero() {
			x.coldUntil = later(x.coldUntil, b.Since.Add(m.settings.ColdTime))
		}
		x.Backend = b
		next = append(next, x)
	}
	slices.SortFunc(next, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	m.members = next
	m.Tick(now)
}

func (m *Machine) find(name string) *member {
	i, ok := slices.BinarySearchFunc(m.members, name, func(x *member, n string) int { return strings.Compare(x.Name, n) })
	if !ok {
		return nil
	}
	return m.members[i]
}

// State returns the state of a backend server, or 0 if it is unknown.
func (m *Machine) State(name string) State {
	if x := m.find(name); x != nil {
		return x.state
	}
	return 0
}

// ColdUntil returns when a backend server stops being Cold. The time is in the
// past if it is not Cold, and zero if it is unknown.
func (m *Machine) ColdUntil(name string) time.Time {
	if x := m.find(name); x != nil {
		return x.coldUntil
	}
	return time.Time{}
}

// Ready returns the state changes since the last call.
func (m *Machine) Ready() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// Step handles one event. Events of unknown backend servers are ignored.
func (m *Machine) Step(e Event) {
	x := m.find(e.Name)
	if x == nil || e.Source >= numSources {
		return
	}
	switch e.Signal {
	case OK:
		x.recordOK(e, m.settings)
	case Failed:
		x.failures[e.Source]++
	case Refused:
		x.failures[e.Source] = max(x.failures[e.Source]+1, m.settings.EjectAfter)
		x.recordStopped(e.At)
	case Leaving:
		x.leaving[e.Source] = true
		x.leavingAt, x.stoppedAt = later(x.leavingAt, e.At), time.Time{}
	case Delisted:
		x.delisted = true
		x.recordStopped(e.At)
	}
	m.Tick(e.At)
}

// recordOK handles an OK signal.
func (x *member) recordOK(e Event, settings Settings) {
	x.lastOK[e.Source] = later(x.lastOK[e.Source], e.At)
	switch e.Source {
	case InBand:
		x.failures = [numSources]int{}
		return
	case List:
		x.delisted = false
	case Probe:
		x.failures[Probe] = 0
		if !x.ejectedAt.IsZero() && !e.At.Before(x.ejectedAt.Add(x.ejectTime)) {
			x.failures = [numSources]int{}
			x.ejectedAt = time.Time{}
			x.coldUntil = e.At.Add(settings.ColdTime)
		}
	}
	x.leaving[e.Source] = false
}

// recordStopped records that a backend server has stopped after a Leaving signal.
func (x *member) recordStopped(at time.Time) {
	if !x.leavingAt.IsZero() && x.stoppedAt.IsZero() {
		x.stoppedAt = at
	}
}

// Tick updates all states to the time now.
func (m *Machine) Tick(now time.Time) {
	for _, x := range m.members {
		x.clearLeaving(now, m.settings)
	}
	m.releaseEjected(now)
	for _, x := range m.members {
		m.setState(x, m.evaluate(x, now), now)
	}
}

// clearLeaving returns a backend server with a Leaving signal to use if it has
// been replaced since, or if both the list and its health endpoint report it as
// live after LeaveHold.
func (x *member) clearLeaving(now time.Time, settings Settings) {
	if x.leavingAt.IsZero() {
		return
	}
	holdEnd := x.leavingAt.Add(settings.LeaveHold)
	replaced := !x.stoppedAt.IsZero() && x.lastOK[Probe].After(x.stoppedAt)
	recalled := !x.leaving[Probe] && !x.leaving[List] && !x.lastOK[Probe].Before(holdEnd) && !x.lastOK[List].Before(holdEnd)
	if replaced || recalled {
		x.leavingAt, x.stoppedAt = time.Time{}, time.Time{}
		x.leaving = [numSources]bool{}
		x.failures = [numSources]int{}
		x.ejectedAt, x.ejectTime = time.Time{}, 0
		x.coldUntil = now.Add(settings.ColdTime)
	}
}

// releaseEjected ends the ejections that have lasted twice their time without a
// successful probe, and the oldest ones while more backend servers are ejected
// than allowed.
func (m *Machine) releaseEjected(now time.Time) {
	for _, x := range m.members {
		if !x.ejectedAt.IsZero() && !now.Before(x.ejectedAt.Add(2*x.ejectTime)) {
			x.ejectedAt = time.Time{}
			x.failures = [numSources]int{}
			x.failures[Probe] = m.settings.SuspectAfter
		}
	}
	for m.ejectedCount() > m.maxEjected() {
		var oldest *member
		for _, x := range m.members {
			if !x.unavailable() && !x.ejectedAt.IsZero() && (oldest == nil || x.ejectedAt.Before(oldest.ejectedAt)) {
				oldest = x
			}
		}
		oldest.ejectedAt = time.Time{}
	}
}

// evaluate returns the state of x that follows from its signals. It starts an
// ejection if one is due.
func (m *Machine) evaluate(x *member, now time.Time) State {
	if x.unavailable() {
		return Draining
	}
	if !x.ejectedAt.IsZero() {
		return Ejected
	}
	probeFailures := x.failures[Probe]
	if !x.lastOK[InBand].IsZero() && now.Sub(x.lastOK[InBand]) < m.settings.InBandHold {
		probeFailures = 0
	}
	maxFailures := max(probeFailures, x.failures[InBand])
	if maxFailures >= m.settings.EjectAfter || x.delisted && maxFailures > 0 {
		if m.ejectedCount() < m.maxEjected() {
			m.eject(x, now)
			return Ejected
		}
		return Suspect
	}
	switch {
	case maxFailures >= m.settings.SuspectAfter || x.delisted:
		return Suspect
	case now.Before(x.coldUntil):
		return Cold
	}
	return Healthy
}

func (m *Machine) eject(x *member, now time.Time) {
	x.ejectTime = min(max(2*x.ejectTime, m.settings.EjectTime), m.settings.MaxEjectTime)
	x.ejectedAt = now
}

// unavailable reports whether x receives no new requests because it is shutting
// down or declared as draining.
func (x *member) unavailable() bool { return x.Draining || !x.leavingAt.IsZero() }

// ejectedCount returns the number of ejected backend servers.
func (m *Machine) ejectedCount() int {
	n := 0
	for _, x := range m.members {
		if !x.unavailable() && !x.ejectedAt.IsZero() {
			n++
		}
	}
	return n
}

// maxEjected returns the maximum number of backend servers that may be ejected.
func (m *Machine) maxEjected() int {
	n := 0
	for _, x := range m.members {
		if !x.unavailable() {
			n++
		}
	}
	return n * m.settings.MaxEjectedPermille / 1000
}

func (m *Machine) setState(x *member, s State, now time.Time) {
	if x.state != s {
		m.changes = append(m.changes, Change{Name: x.Name, From: x.state, To: s, At: now})
		x.state = s
	}
	if s == Healthy {
		x.ejectTime = 0
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
