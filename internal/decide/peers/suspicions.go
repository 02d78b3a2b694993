package peers

import (
	"maps"
	"slices"
	"time"
)

const (
	// followUpAfter is how old a suspicion is when those that were told of it check the suspect
	// themselves, unless it has been found dead or alive by then. It is longer than an instance
	// takes from its first check of a dead one to the finding.
	followUpAfter = 2600 * time.Millisecond
	// lateFollowUpAfter is the same for an instance of another region and those that do not read
	// the store for theirs, as far as maxFollowers in their order. Who does has told them by then,
	// if it lives.
	lateFollowUpAfter = 4 * time.Second
	maxFollowers      = 16
	// maxObservers bounds the observers that a suspicion names. Two suffice for each instance to
	// hear of one besides itself.
	maxObservers = 2
	// suspicionRegions is the number of other regions that are told of a suspicion, so that it
	// outlasts the loss of all of one region.
	suspicionRegions = 2
)

// Suspicion says that an instance may be gone. It is no proof: those that are told of it check the
// instance themselves, so that nothing is lost with one that was about to find it dead.
type Suspicion struct {
	Finding
	// Age is the time since the first check without a response began.
	Age time.Duration
	// Observers names those of the instances that could not connect to it, so many as
	// maxObservers; none if it has only been silent.
	Observers []string
}

// suspicion is a Suspicion with the time since which it has lasted.
type suspicion struct {
	since     time.Time
	observers []string
}

// suspicions maps each suspect to what is held against it.
type suspicions map[Finding]suspicion

// add adds a suspicion to what is already held against an instance.
func (s suspicions) add(f Finding, added suspicion) {
	held, ok := s[f]
	if !ok {
		held.since = added.since
	}
	if added.since.Before(held.since) {
		held.since = added.since
	}
	observers := append(slices.Clone(held.observers), added.observers...)
	slices.Sort(observers)
	observers = slices.Compact(observers)
	held.observers = observers[:min(maxObservers, len(observers))]
	s[f] = held
}

// covers reports whether a suspicion adds nothing to what is already held against an instance.
func (s suspicions) covers(f Finding, added suspicion) bool {
	held, ok := s[f]
	missing := func(name string) bool { return !slices.Contains(held.observers, name) }
	return ok && (len(held.observers) == maxObservers || !slices.ContainsFunc(added.observers, missing))
}

// list returns the suspicions at the time now, ordered by name.
func (s suspicions) list(now time.Time) []Suspicion {
	var list []Suspicion
	for f, held := range s {
		list = append(list, Suspicion{Finding: f, Age: max(0, now.Sub(held.since)), Observers: held.observers})
	}
	slices.SortFunc(list, func(a, b Suspicion) int { return compareFindings(a.Finding, b.Finding) })
	return list
}

// suspect records that a check without a response began, or that a connection failed.
func (p *peer) suspect(now time.Time) {
	if p.suspectedSince.IsZero() {
		p.suspectedSince = now
	}
}

// silent reports whether a check of a peer has got no response as soon as it should.
func (p *peer) silent(now time.Time) bool {
	return !p.unreachableSince.IsZero() && !p.outdated(now) || overdue(p, now)
}

// ownSuspicions returns what this instance has itself seen of peers that may be gone.
func (m *Machine) ownSuspicions(now time.Time) suspicions {
	own := suspicions{}
	add := func(p *peer) {
		if p == nil || !p.silent(now) || p.suspectedSince.IsZero() {
			return
		}
		s := suspicion{since: p.suspectedSince}
		if !p.unreachableSince.IsZero() {
			s.observers = []string{m.self.Name}
		}
		own.add(p.finding(), s)
	}
	for _, p := range m.unreachable {
		add(p)
	}
	for _, name := range m.overdue {
		add(m.peers[name])
	}
	for f := range m.suspected {
		add(m.foreign[f.Name])
	}
	for _, r := range m.watched(now) {
		if !r.unresponsive(now) {
			continue
		}
		for _, name := range r.ranked() {
			add(m.foreign[name])
		}
	}
	return own
}

// addToldSuspicions adds those suspicions of another instance that still hold.
func (m *Machine) addToldSuspicions(all suspicions, t *told, now time.Time) {
	for f, s := range t.suspected {
		if m.holds(f, s.since, now) {
			all.add(f, s)
		}
	}
}

// holds reports whether what was told of an instance still holds: its row has not been written
// since, and it has given no sign of life here, neither since nor recently.
func (m *Machine) holds(f Finding, since, now time.Time) bool {
	p := m.lookup(f.Name)
	return p != nil && p.finding() == f && !p.lastContact.After(since) && now.Sub(p.lastContact) > contactWindow
}

// isSuspect reports whether a peer may be gone by what this instance has seen or was told.
func (m *Machine) isSuspect(p *peer, now time.Time) bool {
	_, suspected := m.suspected[p.finding()]
	return suspected || p.silent(now)
}

// followUp returns the checks of suspects whose suspicion has come to no result: those of its
// region each instance checks, those of others first the ones that read the store for their region.
func (m *Machine) followUp(now time.Time) []Check {
	if len(m.suspected) == 0 && len(m.leftOut) == 0 {
		return nil
	}
	var checks []Check
	foreignPatience, mayCheck := m.foreignPatience()
	for _, f := range slices.SortedFunc(maps.Keys(m.suspected), compareFindings) {
		p, patience, s := m.lookup(f.Name), followUpAfter, m.suspected[f]
		if p != nil && p.home != nil {
			patience = foreignPatience
		}
		switch {
		case p == nil || m.IsGone(f.Name) || now.Sub(s.since) < patience:
		case p.home == nil || mayCheck:
			checks = m.startCheck(checks, p, now)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.leftOut)) {
		if p := m.leftOut[name]; !m.checksAnyway(p, now) {
			checks = m.startCheck(checks, p, now)
		}
	}
	return checks
}

// checksAnyway reports whether this instance checks a peer that it has left out for another reason,
// so that it learns when it is back: because it is unreachable in the own region, or its region is
// watched and does not respond.
func (m *Machine) checksAnyway(p *peer, now time.Time) bool {
	if p.home == nil {
		return !p.unreachableSince.IsZero()
	}
	return p.home.unresponsive(now)
}

// foreignPatience returns how old the suspicion of an instance of another region must be before
// this one checks it, and whether it does so at all.
func (m *Machine) foreignPatience() (time.Duration, bool) {
	switch rank := slices.Index(m.Order(), m.self.Name); {
	case rank < maxRoots:
		return followUpAfter, true
	default:
		return lateFollowUpAfter, rank < maxFollowers
	}
}

// corroborated reports whether a peer to which a connection of this instance has failed is
// suspected by another one too, which could not connect to it either or has told so long ago.
func (m *Machine) corroborated(p *peer, now time.Time) bool {
	s, ok := m.suspected[p.finding()]
	if !ok || p.unreachableSince.IsZero() || m.requiredFailures(now) > minFailedConnects || m.evicted[p.Name].rewritten {
		return false
	}
	others := slices.ContainsFunc(s.observers, func(name string) bool { return name != m.self.Name })
	since := s.since
	if p.suspectedSince.Before(since) {
		since = p.suspectedSince
	}
	return others && now.Sub(since) >= ConnectTimeout || now.Sub(since) >= followUpAfter
}
