package peers

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// tellInterval is the time after which findings that have not changed are told again.
	tellInterval = 3 * time.Second
	// toldMemory is how long findings of others count that are not told again.
	toldMemory = 10 * time.Second
	// parent is the teller whose findings the source of this instance passes on.
	parent = ""
	// orphan begins the key of what was told to a single instance of the region.
	orphan = "/"
)

// Finding says that an instance is gone: lookups leave it out until it gives a sign of life or
// writes its row again. Only the instance that found it removes the row.
type Finding struct {
	// Name is the name of the instance, Incarnation and RowVersion are those of its row.
	Name        string
	Incarnation int64
	RowVersion  uint64
}

// Findings is a set of findings, ordered by name.
type Findings struct {
	List []Finding
	// Digest identifies the set; 0 is that of the empty one.
	Digest uint64
}

// newFindings returns the set of the given findings.
func newFindings(set map[string]Finding) Findings {
	if len(set) == 0 {
		return Findings{}
	}
	list := slices.SortedFunc(maps.Values(set), func(a, b Finding) int { return cmp.Compare(a.Name, b.Name) })
	hash := fnv.New64a()
	var number [8]byte
	for _, f := range list {
		// Writing to a hash returns no error.
		_, _ = hash.Write([]byte(f.Name))
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(number[:0], uint64(f.Incarnation)))
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(number[:0], f.RowVersion))
	}
	return Findings{List: list, Digest: max(1, hash.Sum64())}
}

// told is what another instance has told.
type told struct {
	// at is when it was told last.
	at     time.Time
	digest uint64
	// since maps each finding to when it was told first.
	since map[Finding]time.Time
}

// telling is what was told to the instance that passes it on in a region.
type telling struct {
	// digest is that of what was told, at the time of the newest attempt, tried the instances to
	// which it was sent.
	digest uint64
	at     time.Time
	tried  []string
	// received is set once one of them has responded.
	received bool
}

// Told records the findings of another instance of any region, which replace those that it told
// before.
func (m *Machine) Told(teller string, f Findings, now time.Time) {
	former := m.told[teller]
	if former == nil {
		if len(f.List) == 0 {
			return
		}
		former = &told{}
	}
	since := map[Finding]time.Time{}
	for _, finding := range f.List {
		at, ok := former.since[finding]
		if !ok {
			at = now
		}
		since[finding] = at
	}
	m.told[teller] = &told{at: now, digest: f.Digest, since: since}
	m.updateFindings(now)
}

// SourceTold records the findings that the source of this instance passes on.
func (m *Machine) SourceTold(f Findings, now time.Time) { m.Told(parent, f, now) }

// SourceConfirmed records that the source of this instance still passes on what it told last.
func (m *Machine) SourceConfirmed(now time.Time) {
	if t := m.told[parent]; t != nil {
		t.at = now
	}
}

// SourceDigest returns the digest of what the source of this instance told last.
func (m *Machine) SourceDigest() uint64 {
	if t := m.told[parent]; t != nil {
		return t.digest
	}
	return 0
}

// Findings returns what this instance has found or was told, which it passes on to those that
// read from it.
func (m *Machine) Findings() Findings { return m.findings }

// IsGone reports whether lookups must leave out an instance.
func (m *Machine) IsGone(name string) bool {
	f, ok := m.gone[name]
	if !ok {
		return false
	}
	p := m.lookup(name)
	return p != nil && p.finding() == f
}

// finding returns the finding that the peer is gone.
func (p *peer) finding() Finding {
	return Finding{Name: p.Name, Incarnation: p.Incarnation, RowVersion: p.RowVersion}
}

// updateFindings sets what this instance holds for gone by what it has found and was told.
func (m *Machine) updateFindings(now time.Time) {
	if len(m.findings.List) == 0 && len(m.told) == 0 && len(m.unreachable) == 0 && len(m.returned) == 0 && !m.regionUnresponsive(now) {
		return
	}
	maps.DeleteFunc(m.told, func(_ string, t *told) bool { return now.Sub(t.at) > toldMemory })
	m.gone = m.ownFindings(now)
	for teller, t := range m.told {
		if teller != parent {
			m.addTold(m.gone, teller, t, now)
		}
	}
	fromSource := m.told[parent]
	if fromSource != nil && !m.Lateral() {
		m.addTold(m.gone, parent, fromSource, now)
	}
	m.findings = newFindings(m.gone)
	if fromSource != nil && m.Lateral() {
		// Instances that read from each other would keep a finding alive for good.
		m.addTold(m.gone, parent, fromSource, now)
	}
}

// ownFindings returns what this instance has found itself.
func (m *Machine) ownFindings(now time.Time) map[string]Finding {
	found := map[string]Finding{}
	for name, p := range m.unreachable {
		if m.unreachableForLong(p, now) {
			found[name] = p.finding()
		}
	}
	for name, p := range m.returned {
		found[name] = p.finding()
	}
	if m.mayBeCutOff(now) {
		return found
	}
	for _, r := range m.watched(now) {
		if !m.lostRegion(r, now) {
			continue
		}
		for _, name := range r.ranked() {
			found[name] = m.foreign[name].finding()
		}
	}
	return found
}

// addTold adds the findings of another instance that still hold: those of a row that has not been
// written since, and of an instance that has given no sign of life here, neither since nor
// recently. A region knows best itself who of it is gone.
func (m *Machine) addTold(found map[string]Finding, teller string, t *told, now time.Time) {
	fromRegion := teller == parent || m.peers[teller] != nil
	for f, since := range t.since {
		p := m.lookup(f.Name)
		if p == nil || p.finding() != f || p.lastContact.After(since) || now.Sub(p.lastContact) <= contactWindow {
			continue
		}
		if fromRegion || p.Region != m.self.Region {
			found[f.Name] = f
		}
	}
}

// tellOthers returns the checks by which this instance tells what was found here: to the root of
// its region, or, if it is the root, to one instance of each other region.
func (m *Machine) tellOthers(now time.Time) []Check {
	if len(m.findings.List) == 0 && len(m.tellings) == 0 {
		return nil
	}
	maps.DeleteFunc(m.tellings, func(_ string, t telling) bool {
		return now.Sub(t.at) >= toldMemory || t.digest == 0 && t.received
	})
	if !m.IsRoot() {
		return m.tell(nil, m.self.Region, m.Order(), m.news(now), now)
	}
	found := m.foundInRegion(now)
	var checks []Check
	for _, r := range m.regions {
		if !m.lostRegion(r, now) {
			checks = m.tell(checks, r.name, r.ranked(), found, now)
		}
	}
	return m.tellOrphans(checks, now)
}

// tellOrphans adds the checks by which the root tells the instances of its region that read from
// nobody: all of them while the store is away, else those whose sources are gone and have their
// rows still.
func (m *Machine) tellOrphans(checks []Check, now time.Time) []Check {
	roots := m.full.Order()[:min(maxRoots, len(m.full.Order()))]
	for _, n := range m.ranked {
		if n.Name == m.self.Name || m.IsGone(n.Name) {
			continue
		}
		sources := append(m.ancestors(n.Name), roots...)
		_, wasTold := m.tellings[orphan+n.Name]
		if wasTold || m.lateral.storeFails || !slices.ContainsFunc(sources, func(name string) bool { return !m.IsGone(name) }) {
			checks = m.tell(checks, orphan+n.Name, []string{n.Name}, m.findings, now)
		}
	}
	return checks
}

// ancestors returns the parent and the grandparent of an instance of the region.
func (m *Machine) ancestors(name string) []string {
	var names []string
	for range 2 {
		above, ok := m.full.Parent(name)
		if !ok {
			break
		}
		names, name = append(names, above), above
	}
	return names
}

// news returns what this instance has found and its source does not pass on.
func (m *Machine) news(now time.Time) Findings {
	found := m.ownFindings(now)
	if t := m.told[parent]; t != nil {
		maps.DeleteFunc(found, func(_ string, f Finding) bool { return !t.since[f].IsZero() })
	}
	return newFindings(found)
}

// foundInRegion returns what the instances of this region have found.
func (m *Machine) foundInRegion(now time.Time) Findings {
	found := m.ownFindings(now)
	for teller, t := range m.told {
		if m.peers[teller] != nil {
			m.addTold(found, teller, t, now)
		}
	}
	return newFindings(found)
}

// tell adds a check that tells findings to the first instance of a region that responds, if they
// have changed or were told long ago; that there are none any more is told once. As long as none responds, as many others are told as before
// for each responsePatience.
func (m *Machine) tell(checks []Check, region string, ranked []string, f Findings, now time.Time) []Check {
	t, wasTold := m.tellings[region]
	if len(f.List) == 0 && !wasTold {
		return checks
	}
	if t.digest != f.Digest || len(f.List) > 0 && now.Sub(t.at) >= tellInterval {
		t = telling{digest: f.Digest}
	}
	if t.received || now.Sub(t.at) < responsePatience {
		return checks
	}
	most := len(t.tried) + max(1, len(t.tried))
	for _, name := range ranked {
		if len(t.tried) == most || name == m.self.Name || slices.Contains(t.tried, name) {
			continue
		}
		p := m.lookup(name)
		if p == nil || !p.unreachableSince.IsZero() || p.unresponsive {
			continue
		}
		p.checking, p.checkedAt = true, now
		checks = append(checks, Check{Peer: name, Tell: &f})
		t.at, t.tried = now, append(t.tried, name)
		m.tellings[region] = t
	}
	return checks
}

// tellingReceived records that an instance has responded.
func (m *Machine) tellingReceived(p *peer) {
	for _, key := range []string{p.Region, orphan + p.Name} {
		if t := m.tellings[key]; slices.Contains(t.tried, p.Name) {
			t.received = true
			m.tellings[key] = t
		}
	}
}
