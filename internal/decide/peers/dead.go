package peers

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

// dead reports whether a peer is held for dead, so that its row is to be removed.
func (m *Machine) dead(p *peer, now time.Time) bool {
	if p.returned {
		return true
	}
	if p.unreachableSince.IsZero() || p.failedConnects < m.requiredFailures(now) {
		return false
	}
	hears, reaches := now.Sub(m.lastContact) <= contactWindow, now.Sub(m.lastReached) <= contactWindow
	after := deadAfter
	switch {
	case hears && !reaches:
		// Others are there, so that it is this instance whose connections fail.
		return false
	case !reaches:
		after = isolatedDeadAfter
	}
	after = m.afterReturns(p, after)
	after += time.Duration(hrw.Fraction(m.self.Name, p.Name) * float64(evictSpread))
	return now.Sub(p.unreachableSince) >= after
}

// afterReturns returns the time after which a peer that was wrongly held for dead is held for
// dead again, which is longer than after.
func (m *Machine) afterReturns(p *peer, after time.Duration) time.Duration {
	if e, ok := m.evicted[p.Name]; ok && e.rewritten {
		return min(maxDeadAfter, after<<min(e.count, 8))
	}
	return after
}

// unreachableForLong reports whether a peer has been unreachable for so long that lookups leave it
// out.
func (m *Machine) unreachableForLong(p *peer, now time.Time) bool {
	if p.returned {
		return true
	}
	if p.outdated(now) {
		return false
	}
	if p.unreachableSince.IsZero() || m.mayBeCutOff(now) {
		return m.dead(p, now)
	}
	if m.corroborated(p, now) {
		return true
	}
	if p.failedConnects < m.requiredFailures(now) {
		return false
	}
	return now.Sub(p.unreachableSince) >= m.afterReturns(p, deadAfter)
}

// mayBeCutOff reports whether this instance may be the one whose connections fail: others are
// there and it reaches none, or it neither hears from another one nor reaches one nor the store.
func (m *Machine) mayBeCutOff(now time.Time) bool {
	hears, reaches := now.Sub(m.lastContact) <= contactWindow, now.Sub(m.lastReached) <= contactWindow
	if reaches {
		return false
	}
	return hears || now.Sub(m.storeReached) > contactWindow
}

// report records that a peer is reported as dead.
func (m *Machine) report(p *peer, now time.Time) {
	p.reportedAt = now
	e := m.evicted[p.Name]
	switch {
	case e.incarnation != p.Incarnation:
		m.evicted[p.Name] = eviction{incarnation: p.Incarnation, count: 1, rowVersion: p.RowVersion}
	case e.rewritten:
		m.evicted[p.Name] = eviction{incarnation: p.Incarnation, count: e.count + 1, rowVersion: p.RowVersion}
	}
}
