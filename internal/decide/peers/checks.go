package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

// startCheck adds a check of a peer if one is due and may be started.
func (m *Machine) startCheck(checks []Check, p *peer, now time.Time) []Check {
	if p.checking || now.Before(p.nextCheck) || m.tokens < 1 {
		return checks
	}
	m.tokens--
	return m.beginCheck(checks, p, now)
}

// beginCheck adds a check of a peer.
func (m *Machine) beginCheck(checks []Check, p *peer, now time.Time) []Check {
	p.checking, p.checkedAt = true, now
	p.suspect(now)
	return append(checks, Check{Peer: p.Name, AwaitTables: p.awaitsTables})
}

// suspects returns the peers that a check may tell something about, the most important
// first: candidates that are not read from, silent neighbours in the tree of those that can
// be reached, unreachable peers, and others because of an alarm.
func (m *Machine) suspects(now time.Time) []string {
	var names []string
	add := func(name string, suspect bool) {
		if suspect && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range m.candidates {
		add(name, m.peers[name].excluded || m.storeLost)
	}
	silent := func(name string) bool {
		p := m.peers[name]
		return p != nil && now.Sub(p.lastContact) > SilenceTimeout
	}
	reachable := m.reachableTree()
	for _, name := range reachable.Children(m.self.Name) {
		add(name, silent(name))
	}
	if parent, ok := reachable.Parent(m.self.Name); ok {
		add(parent, silent(parent))
	}
	m.overdue = nil
	for _, name := range names {
		if p := m.peers[name]; overdue(p, now) {
			m.overdue = append(m.overdue, name)
			m.raiseAlarm(p, now)
		}
	}
	if len(m.unreachable) == 0 && now.Sub(m.alarm) > contactWindow {
		return names
	}
	suspects := map[string]bool{}
	for _, name := range names {
		suspects[name] = true
	}
	for _, name := range m.rankUnreachable() {
		if !suspects[name] {
			suspects[name] = true
			names = append(names, name)
		}
	}
	return append(names, m.alarmed(suspects, now)...)
}

// overdue reports whether the response to the first check of a peer has not come as soon as it
// should.
func overdue(p *peer, now time.Time) bool {
	return p.checking && p.unreachableSince.IsZero() && now.Sub(p.checkedAt) >= responsePatience
}

// rankUnreachable returns the names of the peers that cannot be reached, those with the
// fewest failed connections first.
func (m *Machine) rankUnreachable() []string {
	return slices.SortedFunc(maps.Keys(m.unreachable), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.unreachable[a].failedConnects, m.unreachable[b].failedConnects), cmp.Compare(a, b))
	})
}

// alarmed returns peers to check because others are silent or unreachable: those that watch each
// other may have died together. Each is checked once for an alarm, the more at a time the
// more are unreachable or don't respond.
func (m *Machine) alarmed(suspects map[string]bool, now time.Time) []string {
	checking, late := 0, len(m.unreachable)
	var rest []string
	for name, p := range m.peers {
		if overdue(p, now) {
			late++
		}
		switch {
		case suspects[name]:
		case p.checking:
			checking++
		case p.lastContact.Before(m.alarm) && p.checkedAt.Before(m.alarm):
			rest = append(rest, name)
		}
	}
	count := min(maxAlarmChecks, alarmChecks*(1+late)) - checking
	if count <= 0 || len(rest) == 0 {
		return nil
	}
	ranked := hrw.Rank(m.self.Name, rest)
	return ranked[:min(count, len(ranked))]
}

// controlChecks returns checks of the instances with the newest signs of life, while others
// are unreachable and nobody has responded for a while. They show whether this instance
// reaches any.
func (m *Machine) controlChecks(now time.Time) []Check {
	if now.Sub(m.lastReached) <= contactWindow/2 || now.Before(m.nextControl) || len(m.unreachable) == 0 && !m.regionUnresponsive(now) {
		return nil
	}
	var reachable []*peer
	for _, all := range []map[string]*peer{m.peers, m.foreign} {
		for _, p := range all {
			if p.unreachableSince.IsZero() {
				reachable = append(reachable, p)
			}
		}
	}
	m.nextControl = now.Add(ConnectTimeout)
	slices.SortFunc(reachable, func(a, b *peer) int {
		return cmp.Or(b.lastContact.Compare(a.lastContact), cmp.Compare(a.Name, b.Name))
	})
	var checks []Check
	for _, p := range reachable[:min(maxControls, len(reachable))] {
		checks = append(checks, Check{Peer: p.Name})
	}
	return checks
}
