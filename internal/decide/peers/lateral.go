package peers

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

const (
	// lateralSpan is how long an instance reads from a peer that does not precede it before it
	// tries the store again.
	lateralSpan = 5 * time.Second
	// lateralCheckInterval is the time between two checks for such a peer. Instances that
	// find none because the store is away for all of them make so few checks.
	lateralCheckInterval = 250 * time.Millisecond
)

// lateral is a source that does not precede this instance in the tree. It is read from while
// neither the store nor a candidate can be read, but the store responds to others. What comes
// from it must not be passed on, so that no two instances read from each other.
type lateral struct {
	// storeFails is set while the calls of this instance to the store fail.
	storeFails bool
	// from is the peer that is read from, since the time since; Store if there is none.
	from  string
	since time.Time
	// nextCheck is the earliest time of the next check for such a peer.
	nextCheck time.Time
}

// StoreResponded records whether the last call of this instance to the store succeeded.
func (m *Machine) StoreResponded(succeeded bool, now time.Time) {
	m.lateral.storeFails = !succeeded
	if succeeded {
		m.lateral.from, m.storeReached = Store, now
	}
}

// Lateral reports whether Source returns a peer whose tables must not be passed on.
func (m *Machine) Lateral() bool {
	_, ok := m.candidate()
	return !ok && m.lateral.from != Store
}

// candidate returns the candidate to read from, if there is one.
func (m *Machine) candidate() (string, bool) {
	if m.storeLost {
		return "", false
	}
	for _, name := range m.candidates {
		if !m.peers[name].excluded {
			return name, true
		}
	}
	return "", false
}

// lacksSource reports whether neither the store nor a peer can be read from.
func (m *Machine) lacksSource() bool {
	_, ok := m.candidate()
	return !ok && m.lateral.storeFails && m.lateral.from == Store
}

// offerLateral begins to read from a peer that has the tables if there is no other source.
func (m *Machine) offerLateral(p *peer, now time.Time) {
	if m.peers[p.Name] == p && m.lacksSource() && !slices.Contains(m.candidates, p.Name) {
		m.lateral.from, m.lateral.since = p.Name, now
	}
}

// stepLateral ends the use of a lateral source when its time is over or a candidate has the
// tables, and returns the check for one that is due.
func (m *Machine) stepLateral(now time.Time) []Check {
	_, ok := m.candidate()
	if m.lateral.from != Store && (ok || now.Sub(m.lateral.since) >= lateralSpan) {
		m.lateral.from, m.lateral.storeFails = Store, false
	}
	if !m.lacksSource() || now.Before(m.lateral.nextCheck) {
		return nil
	}
	var names []string
	for name, p := range m.peers {
		if p.unreachableSince.IsZero() && !p.checking && !now.Before(p.nextCheck) && !slices.Contains(m.candidates, name) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	m.lateral.nextCheck = now.Add(lateralCheckInterval)
	return m.startCheck(nil, m.peers[hrw.Rank(m.self.Name, names)[0]], now)
}
