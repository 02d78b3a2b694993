// Package health decides which backend servers may take new work, from probes,
// from the answers to requests, and from the platform's list. Answers to
// requests beat what a health endpoint says, in both directions.
package health

import (
	"slices"
	"strings"
	"time"
)

// State is the state of a backend server.
type State uint8

// States.
const (
	// Healthy takes new work.
	Healthy State = iota + 1
	// Cold takes new work, less at first.
	Cold
	// Suspect takes new work when no other can.
	Suspect
	// Ejected takes no new work until it has proved itself.
	Ejected
	// Draining takes no new work; what is in flight goes on.
	Draining
)

var stateNames = [...]string{Healthy: "healthy", Cold: "cold", Suspect: "suspect", Ejected: "ejected", Draining: "draining"}

// String returns the state as it stands in logs.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// TakesWork reports whether new work may be sent in this state at all.
func (s State) TakesWork() bool { return s == Healthy || s == Cold || s == Suspect }

// Source is where a piece of news comes from.
type Source uint8

// Sources.
const (
	// Probe is the health endpoint.
	Probe Source = iota
	// InBand is an answer to a request, or the lack of one.
	InBand
	// List is the platform's list of instances.
	List
	sources
)

// Signal is what a source says of a backend server.
type Signal uint8

// News.
const (
	// OK is a good answer, or a line of the list that says live.
	OK Signal = iota + 1
	// Failed is a bad answer, a timeout or a cut connection.
	Failed
	// Refused is a connection that nothing accepts at the address.
	Refused
	// Leaving is its notice that it takes no new work.
	Leaving
	// Delisted is a list that no longer holds it.
	Delisted
)

// Event is one piece of news.
type Event struct {
	Name   string
	Source Source
	Signal Signal
	At     time.Time
}

// Settings of a machine. All durations are greater than 0.
type Settings struct {
	// SuspectAfter and EjectAfter are numbers of failures in a row.
	SuspectAfter, EjectAfter int
	// EjectTime is how long the first ejection lasts; each further one lasts
	// twice as long, up to MaxEjectTime.
	EjectTime, MaxEjectTime time.Duration
	// ColdTime is how long one counts as cold.
	ColdTime time.Duration
	// LeaveHold is how long a notice of leaving stands whatever else is said.
	LeaveHold time.Duration
	// InBandHold is how long a good answer to a request outweighs probes.
	InBandHold time.Duration
	// MaxEjectedPermille is the largest share of backend servers, in thousandths, that
	// are ejected at once. Where instances share a zone's backend servers, each
	// keeps to it, and so does the zone.
	MaxEjectedPermille int
}

// Backend is a backend server as declared.
type Backend struct {
	Name string
	// Draining is set if its declared state lets it take no new work.
	Draining bool
	// Since is when the declared state last changed; it is cold for a time
	// after it.
	Since time.Time
}

// Change is a new state of a backend server.
type Change struct {
	Name     string
	From, To State
	At       time.Time
}

// member is a backend server with what is known of it.
type member struct {
	Backend
	state State
	// failures in a row, by source.
	failures [sources]int
	// okAt is the last good news by source.
	okAt [sources]time.Time
	// leaving tells whether the source's last word was a notice of leaving.
	leaving [sources]bool
	// leftAt is the last notice of leaving; zero if it came back since.
	leftAt time.Time
	// restartedAt is when, after leftAt, nothing answered at its address.
	restartedAt time.Time
	gone        bool
	// ejectedAt is zero unless it is ejected.
	ejectedAt time.Time
	// ejectFor is how long the last ejection lasts; 0 once it was healthy again.
	ejectFor time.Duration
	// coldUntil ends the time in which it is cold.
	coldUntil time.Time
}

// Machine holds the backend servers that one instance watches. It is not safe
// for use by many goroutines at once.
type Machine struct {
	set Settings
	// members are sorted by name.
	members []*member
	changes []Change
}

// New returns a machine without backend servers.
func New(set Settings) *Machine { return &Machine{set: set} }

// Update replaces the declared backend servers. A new one is suspect until the
// first good news of it.
func (m *Machine) Update(now time.Time, backends []Backend) {
	next := make([]*member, 0, len(backends))
	for _, b := range backends {
		x := m.find(b.Name)
		if x == nil {
			x = &member{state: Suspect}
			x.failures[Probe] = m.set.SuspectAfter
		}
		if !b.Draining && !b.Since.IsZero() {
			x.coldUntil = later(x.coldUntil, b.Since.Add(m.set.ColdTime))
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

// State returns the state of a backend server, 0 if it is not known.
func (m *Machine) State(name string) State {
	if x := m.find(name); x != nil {
		return x.state
	}
	return 0
}

// ColdUntil returns when a backend server stops to be cold; a time in the past
// if it is not.
func (m *Machine) ColdUntil(name string) time.Time {
	if x := m.find(name); x != nil {
		return x.coldUntil
	}
	return time.Time{}
}

// Ready returns the changes of state since it was last called.
func (m *Machine) Ready() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// Step takes a piece of news. News of an unknown backend server is dropped.
func (m *Machine) Step(e Event) {
	x := m.find(e.Name)
	if x == nil || e.Source >= sources {
		return
	}
	switch e.Signal {
	case OK:
		x.ok(e, m.set)
	case Failed:
		x.failures[e.Source]++
	case Refused:
		x.failures[e.Source] = max(x.failures[e.Source]+1, m.set.EjectAfter)
		x.stopped(e.At)
	case Leaving:
		x.leaving[e.Source] = true
		x.leftAt, x.restartedAt = later(x.leftAt, e.At), time.Time{}
	case Delisted:
		x.gone = true
		x.stopped(e.At)
	}
	m.Tick(e.At)
}

// ok takes good news.
func (x *member) ok(e Event, set Settings) {
	x.okAt[e.Source] = later(x.okAt[e.Source], e.At)
	switch e.Source {
	case InBand:
		x.failures = [sources]int{}
		return
	case List:
		x.gone = false
	case Probe:
		x.failures[Probe] = 0
		if !x.ejectedAt.IsZero() && !e.At.Before(x.ejectedAt.Add(x.ejectFor)) {
			x.failures = [sources]int{}
			x.ejectedAt = time.Time{}
			x.coldUntil = e.At.Add(set.ColdTime)
		}
	}
	x.leaving[e.Source] = false
}

// stopped notes that one that was leaving has ended.
func (x *member) stopped(at time.Time) {
	if !x.leftAt.IsZero() && x.restartedAt.IsZero() {
		x.restartedAt = at
	}
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Time) {
	for _, x := range m.members {
		x.comeBack(now, m.set)
	}
	m.release(now)
	for _, x := range m.members {
		m.enter(x, m.judge(x, now), now)
	}
}

// comeBack ends the leaving of one that has been replaced since, or that both
// the list and its health endpoint say is live when the notice is old.
func (x *member) comeBack(now time.Time, set Settings) {
	if x.leftAt.IsZero() {
		return
	}
	held := x.leftAt.Add(set.LeaveHold)
	replaced := !x.restartedAt.IsZero() && x.okAt[Probe].After(x.restartedAt)
	recalled := !x.leaving[Probe] && !x.leaving[List] && !x.okAt[Probe].Before(held) && !x.okAt[List].Before(held)
	if replaced || recalled {
		x.leftAt, x.restartedAt = time.Time{}, time.Time{}
		x.leaving = [sources]bool{}
		x.failures = [sources]int{}
		x.ejectedAt, x.ejectFor = time.Time{}, 0
		x.coldUntil = now.Add(set.ColdTime)
	}
}

// release lets out those ejected for too long without a good probe, and those
// ejected longest while there are too many.
func (m *Machine) release(now time.Time) {
	for _, x := range m.members {
		if !x.ejectedAt.IsZero() && !now.Before(x.ejectedAt.Add(2*x.ejectFor)) {
			x.ejectedAt = time.Time{}
			x.failures = [sources]int{}
			x.failures[Probe] = m.set.SuspectAfter
		}
	}
	for m.ejected() > m.allowed() {
		var first *member
		for _, x := range m.members {
			if !x.out() && !x.ejectedAt.IsZero() && (first == nil || x.ejectedAt.Before(first.ejectedAt)) {
				first = x
			}
		}
		first.ejectedAt = time.Time{}
	}
}

// judge returns the state that the news so far gives x.
func (m *Machine) judge(x *member, now time.Time) State {
	if x.out() {
		return Draining
	}
	if !x.ejectedAt.IsZero() {
		return Ejected
	}
	probeFailures := x.failures[Probe]
	if !x.okAt[InBand].IsZero() && now.Sub(x.okAt[InBand]) < m.set.InBandHold {
		probeFailures = 0
	}
	worst := max(probeFailures, x.failures[InBand])
	if worst >= m.set.EjectAfter || x.gone && worst > 0 {
		if m.ejected() < m.allowed() {
			m.eject(x, now)
			return Ejected
		}
		return Suspect
	}
	switch {
	case worst >= m.set.SuspectAfter || x.gone:
		return Suspect
	case now.Before(x.coldUntil):
		return Cold
	}
	return Healthy
}

func (m *Machine) eject(x *member, now time.Time) {
	x.ejectFor = min(max(2*x.ejectFor, m.set.EjectTime), m.set.MaxEjectTime)
	x.ejectedAt = now
}

// out reports whether x takes no new work because it leaves or is drained.
func (x *member) out() bool { return x.Draining || !x.leftAt.IsZero() }

// ejected counts the ejected backend servers.
func (m *Machine) ejected() int {
	n := 0
	for _, x := range m.members {
		if !x.out() && !x.ejectedAt.IsZero() {
			n++
		}
	}
	return n
}

// allowed returns how many may be ejected.
func (m *Machine) allowed() int {
	n := 0
	for _, x := range m.members {
		if !x.out() {
			n++
		}
	}
	return n * m.set.MaxEjectedPermille / 1000
}

func (m *Machine) enter(x *member, s State, now time.Time) {
	if x.state != s {
		m.changes = append(m.changes, Change{Name: x.Name, From: x.state, To: s, At: now})
		x.state = s
	}
	if s == Healthy {
		x.ejectFor = 0
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
