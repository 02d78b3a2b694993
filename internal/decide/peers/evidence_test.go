package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/tree"
)

// many returns the members of a region, of which the first is the root.
func many(count int) []Member {
	var all []Member
	for i := range count {
		node := tree.Node{Name: fmt.Sprint("front-", i), Zone: fmt.Sprint("zone-", i%3), Capacity: 10}
		all = append(all, Member{Node: node, Region: "region", Incarnation: 1, RowVersion: uint64(i + 1)})
	}
	return all
}

// runChecks runs a machine whose checks of living peers take 500 ms and fail as reach says. Each
// peer in contacts sends a request each 700 ms. It returns the peers reported as dead and the
// number of checks, and calls each before each step.
func runChecks(m *Machine, d time.Duration, contacts []string, reach func(at time.Duration) bool) (dead map[string]bool, checks int) {
	type result struct {
		at   time.Duration
		name string
	}
	var pending []result
	dead = map[string]bool{}
	for at := time.Duration(0); at < d; at += 100 * time.Millisecond {
		now := epoch.Add(at)
		if at%(700*time.Millisecond) == 0 {
			for _, name := range contacts {
				m.Contact(name, now)
			}
		}
		var rest []result
		for _, p := range pending {
			switch {
			case p.at > at:
				rest = append(rest, p)
			case reach(at):
				m.Responded(p.name, true, now)
			default:
				m.Failed(p.name, Unreachable, now)
			}
		}
		pending = rest
		if at%(200*time.Millisecond) != 0 {
			continue
		}
		ready := m.Step(now)
		checks += len(ready.Checks)
		for _, c := range ready.Checks {
			pending = append(pending, result{at + 500*time.Millisecond, c.Peer})
		}
		for _, p := range ready.Dead {
			dead[p.Name] = true
		}
	}
	return dead, checks
}

// TestLossyObserverEvictsFew guards against living peers that are held for dead because the
// observer loses packets: the observer's link loses 3 of 10 packets each way; a dial
// has one SYN within its 500 ms. All peers live.
func TestLossyObserverEvictsFew(t *testing.T) {
	members := many(300)
	m := New(members[7])
	m.Members(members, epoch)
	r := rand.New(rand.NewPCG(1, 2))
	dead, checks := runChecks(m, 30*time.Second, nil, func(time.Duration) bool { return r.Float64() < 0.7*0.7 })
	t.Logf("%d of 299 living peers reported dead, %d checks in 30 s", len(dead), checks)
	require.LessOrEqual(t, len(dead), 1)
}

// TestChokedObserverEvictsFew guards against the same because its link is choked: packets wait over 0.5 s at the observer's link for 6 s, so
// that each dial (500 ms) fails, while requests of its children still arrive.
func TestChokedObserverEvictsFew(t *testing.T) {
	members := many(300)
	m := New(members[0])
	m.Members(members, epoch)
	contacts := m.full.Children(m.self.Name)
	if len(contacts) == 0 {
		contacts = []string{members[1].Name}
	}
	dead, _ := runChecks(m, 6*time.Second, contacts[:1], func(time.Duration) bool { return false })
	t.Logf("%d of 299 living peers reported dead in 6 s", len(dead))
	require.LessOrEqual(t, len(dead), 1)
}

// TestCutZoneChecksAreBounded guards against checks without end during a long cut: the head of a zone that is cut off, with the store, for long;
// the instances of its own zone reach it.
func TestCutZoneChecksAreBounded(t *testing.T) {
	members := many(790)
	var m *Machine
	for _, self := range members {
		m = New(self)
		m.Members(members, epoch)
		if parent, ok := m.full.Parent(self.Name); ok && m.peers[parent].Zone != self.Zone {
			break
		}
	}
	var contacts []string
	for name, p := range m.peers {
		if p.Zone == m.self.Zone {
			contacts = append(contacts, name)
		}
	}
	_, checks := runChecks(m, 30*time.Second, contacts, func(time.Duration) bool { return false })
	t.Logf("%.0f checks per second of one instance", float64(checks)/30)
	require.LessOrEqual(t, checks/30, 20)
}

// TestDeadRowFromOlderCopy guards against look-ups that name an instance again: the row of an incarnation that this instance removed an hour
// ago comes back with an older copy of the store, at the same version.
func TestDeadRowFromOlderCopy(t *testing.T) {
	members := many(3)
	var m *Machine
	for i, self := range members {
		m = New(self)
		m.Members(members, epoch)
		if _, ok := m.full.Parent(self.Name); !ok { // the root, whose children are both others
			members[0], members[i] = members[i], members[0]
			break
		}
	}
	victim := members[1]
	fail := func(at time.Time) { m.Failed(victim.Name, Unreachable, at) }
	m.Responded(members[2].Name, true, epoch)
	fail(epoch)
	m.Responded(members[2].Name, true, epoch.Add(2*time.Second))
	fail(epoch.Add(2 * time.Second))
	require.Len(t, m.Step(epoch.Add(2500*time.Millisecond)).Dead, 1)
	m.Members([]Member{members[0], members[2]}, epoch.Add(3*time.Second))
	back := epoch.Add(time.Hour)
	m.Members(members, back)
	named := time.Duration(0)
	for at := time.Duration(0); at < 20*time.Second; at += 200 * time.Millisecond {
		now := back.Add(at)
		m.Contact(members[2].Name, now)
		for _, c := range m.Step(now).Checks {
			m.Failed(c.Peer, Unreachable, now) // refused at once
		}
		if !m.IsGone(victim.Name) {
			named = at
		}
	}
	t.Logf("named by look-ups for %v after the row came back, dead for an hour", named)
	require.Zero(t, named)
}

// TestNoCycleIfOwnRowIsStale guards against instances that read from each other: an instance came back with less capacity than its row still
// says, because its write is not through.
func TestNoCycleIfOwnRowIsStale(t *testing.T) {
	a, b := many(2)[0], many(2)[1]
	a.Capacity, b.Capacity = 200, 50
	rows := []Member{a, b}
	self := a
	self.Capacity, self.Incarnation = 10, 2
	ma, mb := New(self), New(b)
	ma.Members(rows, epoch)
	mb.Members(rows, epoch)
	t.Logf("a reads from %q, b from %q", ma.Source(), mb.Source())
	require.False(t, ma.Source() == b.Name && mb.Source() == a.Name, "they read from each other")
}

// TestStoreLostEndsIfReporterFreezes guards against an instance without a source for good: the parent says that the store is lost and freezes (its
// kernel accepts connections). The
// grandparent has the tables; the store cannot be reached from here.
func TestStoreLostEndsIfReporterFreezes(t *testing.T) {
	members := many(100)
	var m *Machine
	for _, self := range members {
		m = New(self)
		m.Members(members, epoch)
		if len(m.candidates) >= 3 {
			break
		}
	}
	parent := m.candidates[0]
	m.Failed(parent, StoreLost, epoch)
	for at := time.Duration(0); at < time.Minute; at += 200 * time.Millisecond {
		now := epoch.Add(at)
		for _, c := range m.Step(now).Checks {
			if c.Peer == parent {
				m.Failed(c.Peer, Unresponsive, now)
			} else {
				m.Responded(c.Peer, true, now)
			}
		}
	}
	t.Logf("source after a minute: %q, candidates %v", m.Source(), m.candidates)
	require.NotEqual(t, Store, m.Source())
}

// TestFreezeIsNoEvidence guards against the time of a freeze as evidence: this instance is frozen for 5 s between two failed dials.
func TestFreezeIsNoEvidence(t *testing.T) {
	members := many(3)
	m := New(members[0])
	m.Members(members, epoch)
	m.Failed(members[1].Name, Unreachable, epoch)
	m.Step(epoch.Add(200 * time.Millisecond))
	thaw := epoch.Add(5500 * time.Millisecond)
	m.Failed(members[1].Name, Unreachable, thaw)
	require.Empty(t, m.Step(thaw).Dead)
}
