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
	// parent is the teller whose findings the source of this instance passes on, formerParent that
	// of the source before it.
	parent       = ""
	formerParent = "//"
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
	// Suspected holds the instances that may be gone, ordered by name.
	Suspected []Suspicion
	// Digest identifies the set and the suspects; 0 is that of the empty one.
	Digest uint64
}

// empty reports whether there is nothing to tell.
func (f *Findings) empty() bool { return len(f.List) == 0 && len(f.Suspected) == 0 }

// finds reports whether an instance is among the findings.
func (f *Findings) finds(one Finding) bool { return slices.Contains(f.List, one) }

// suspects reports whether an instance is among the suspects.
func (f *Findings) suspects(one Finding) bool {
	return slices.ContainsFunc(f.Suspected, func(s Suspicion) bool { return s.Finding == one })
}

func compareFindings(a, b Finding) int { return cmp.Compare(a.Name, b.Name) }

// newFindings returns the set of the given findings, and of the suspicions of others.
func newFindings(set map[string]Finding, suspects suspicions, now time.Time) Findings {
	suspected := slices.DeleteFunc(suspects.list(now), func(s Suspicion) bool { return set[s.Name] == s.Finding })
	if len(set) == 0 && len(suspected) == 0 {
		return Findings{}
	}
	list := slices.SortedFunc(maps.Values(set), compareFindings)
	hash := fnv.New64a()
	write := func(f Finding) {
		var number [8]byte
		// Writing to a hash returns no error.
		_, _ = hash.Write([]byte(f.Name))
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(number[:0], uint64(f.Incarnation)))
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(number[:0], f.RowVersion))
	}
	for _, f := range list {
		write(f)
	}
	for _, s := range suspected {
		_, _ = hash.Write([]byte("?"))
		write(s.Finding)
		for _, name := range s.Observers {
			_, _ = hash.Write([]byte(name))
		}
	}
	return Findings{List: list, Suspected: suspected, Digest: max(1, hash.Sum64())}
}

// told is what another instance has told.
type told struct {
	// at is when it was told last.
	at     time.Time
	digest uint64
	// since maps each finding to when it was told first.
	since map[Finding]time.Time
	// suspected holds the suspicions.
	suspected suspicions
}

// telling is what was told to the instance that passes it on in a region.
type telling struct {
	// findings is what was told, at the time of the newest attempt, tried the instances to which
	// it was sent.
	findings Findings
	at       time.Time
	tried    []string
	// received is set once one of them has responded, receiver is the one that has done so last. It
	// is told of changes too, so that it does not keep what has been withdrawn.
	received bool
	receiver string
}

// Told records the findings of another instance of any region, which replace those that it told
// before.
func (m *Machine) Told(teller string, f Findings, now time.Time) {
	former := m.told[teller]
	if former == nil {
		if f.empty() {
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
	suspected := suspicions{}
	for _, s := range f.Suspected {
		suspected.add(s.Finding, suspicion{since: now.Add(-s.Age), observers: s.Observers})
		if before, ok := former.suspected[s.Finding]; ok {
			suspected.add(s.Finding, suspicion{since: before.since})
		}
	}
	m.told[teller] = &told{at: now, digest: f.Digest, since: since, suspected: suspected}
	m.updateFindings(now)
}

// SourceTold records the findings that the source of this instance passes on.
func (m *Machine) SourceTold(f Findings, now time.Time) {
	if source := m.Source(); source != m.toldBy {
		// What the former source passed on does not end because the new one has not heard of it.
		if former := m.told[parent]; former != nil && m.toldBy != Store {
			m.told[formerParent] = former
		}
		m.toldBy = source
	}
	m.Told(parent, f, now)
}

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
	if m.findings.empty() && len(m.told) == 0 && len(m.unreachable) == 0 && len(m.returned) == 0 &&
		len(m.overdue) == 0 && !m.regionUnresponsive(now) {
		return
	}
	maps.DeleteFunc(m.told, func(_ string, t *told) bool { return now.Sub(t.at) > toldMemory })
	passedOn := suspicions{}
	for teller, t := range m.told {
		if teller != parent || !m.Lateral() {
			m.addToldSuspicions(passedOn, t, now)
		}
	}
	m.suspected = maps.Clone(passedOn)
	fromSource := m.told[parent]
	if fromSource != nil {
		m.addToldSuspicions(m.suspected, fromSource, now)
	}
	for f, s := range m.ownSuspicions(now) {
		passedOn.add(f, s)
	}
	m.gone = m.ownFindings(now)
	for teller, t := range m.told {
		if teller != parent {
			m.addTold(m.gone, teller, t, now)
		}
	}
	if fromSource != nil && !m.Lateral() {
		m.addTold(m.gone, parent, fromSource, now)
	}
	m.findings = newFindings(m.gone, passedOn, now)
	if fromSource != nil && m.Lateral() {
		// Instances that read from each other would keep a finding alive for good.
		m.addTold(m.gone, parent, fromSource, now)
	}
}

// ownFindings returns what this instance has found itself. A finding lasts until there is a sign of
// life, so that it does not end because this instance doubts its own connections for a moment.
func (m *Machine) ownFindings(now time.Time) map[string]Finding {
	m.findLost(now)
	found := map[string]Finding{}
	for name, p := range m.leftOut {
		if m.lookup(name) != p || !p.stillLeftOut(now) {
			delete(m.leftOut, name)
			continue
		}
		found[name] = p.finding()
	}
	for name, p := range m.returned {
		found[name] = p.finding()
	}
	return found
}

// findLost finds the peers that lookups must leave out by what this instance has seen.
func (m *Machine) findLost(now time.Time) {
	find := func(p *peer) {
		if m.leftOut[p.Name] != p {
			p.leftOutSince = now
			m.leftOut[p.Name] = p
		}
	}
	for _, p := range m.unreachable {
		if m.unreachableForLong(p, now) {
			find(p)
		}
	}
	for f, s := range m.suspected {
		if p := m.foreign[f.Name]; p != nil && now.Sub(s.since) >= followUpAfter && m.unreachableForLong(p, now) {
			find(p)
		}
	}
	if m.mayBeCutOff(now) {
		return
	}
	for _, r := range m.watched(now) {
		for _, name := range m.lostOf(r, now) {
			find(m.foreign[name])
		}
	}
}

// stillLeftOut reports whether the peer has given no sign of life since it was left out, nor its
// region, if that is another one, for long enough to find it itself.
func (p *peer) stillLeftOut(now time.Time) bool {
	if p.lastContact.After(p.leftOutSince) || p.unresponsive {
		return false
	}
	return p.home == nil || !p.home.findsDead(p.leftOutSince, now)
}

// addTold adds the findings of another instance that still hold: those of a row that has not been
// written since, and of an instance that has given no sign of life here, neither since nor
// recently. A region knows best itself who of it is gone.
func (m *Machine) addTold(found map[string]Finding, teller string, t *told, now time.Time) {
	fromRegion := teller == parent || teller == formerParent || m.peers[teller] != nil
	for f, since := range t.since {
		if !m.holds(f, since, now) {
			continue
		}
		if fromRegion || m.peers[f.Name] == nil {
			found[f.Name] = f
		}
	}
}

// tellOthers returns the checks by which this instance tells what was found here: to the root of
// its region, or, if it is the root, to one instance of each other region.
func (m *Machine) tellOthers(now time.Time) []Check {
	if m.findings.empty() && len(m.tellings) == 0 {
		return nil
	}
	maps.DeleteFunc(m.tellings, func(_ string, t telling) bool {
		return now.Sub(t.at) >= toldMemory || t.findings.empty() && t.received
	})
	if !m.IsRoot() {
		return m.tell(nil, m.self.Region, m.Order(), m.news(now), now)
	}
	found, suspects := m.foundInRegion(now)
	toTell, toFew := newFindings(found, nil, now), newFindings(found, suspects, now)
	var checks []Check
	few := 0
	for _, r := range m.regions {
		switch {
		case m.lostRegion(r, now):
		case few < suspicionRegions && !r.unresponsive(now):
			few++
			checks = m.tell(checks, r.name, r.ranked(), toFew, now)
		default:
			checks = m.tell(checks, r.name, r.ranked(), toTell, now)
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

// news returns what this instance has found, or was told by others than its source, and its source
// does not pass on.
func (m *Machine) news(now time.Time) Findings {
	found, suspects := m.ownFindings(now), m.ownSuspicions(now)
	for teller, t := range m.told {
		// What is true is told again after tellInterval, though perhaps to another instance.
		if teller != parent && now.Sub(t.at) <= tellInterval {
			m.addTold(found, teller, t, now)
		}
	}
	if t := m.told[parent]; t != nil {
		// The source may pass on what it knows from here alone, which is not withdrawn.
		before := m.tellings[m.self.Region].findings
		maps.DeleteFunc(found, func(_ string, f Finding) bool { return !t.since[f].IsZero() && !before.finds(f) })
		maps.DeleteFunc(suspects, func(f Finding, s suspicion) bool {
			return t.suspected.covers(f, s) && !before.suspects(f)
		})
	}
	return newFindings(found, suspects, now)
}

// foundInRegion returns what the instances of this region have found, and what they suspect.
func (m *Machine) foundInRegion(now time.Time) (map[string]Finding, suspicions) {
	found, suspects := m.ownFindings(now), m.ownSuspicions(now)
	for teller, t := range m.told {
		if m.peers[teller] != nil {
			m.addTold(found, teller, t, now)
			m.addToldSuspicions(suspects, t, now)
		}
	}
	return found, suspects
}

// tell adds a check that tells findings to the first instance of a region that responds, if they
// have changed or were told long ago; that there are none any more is told once. As long as none responds, as many others are told as before
// for each responsePatience.
func (m *Machine) tell(checks []Check, region string, ranked []string, f Findings, now time.Time) []Check {
	t, wasTold := m.tellings[region]
	if f.empty() && !wasTold {
		return checks
	}
	if t.findings.Digest != f.Digest || !f.empty() && now.Sub(t.at) >= tellInterval {
		t = telling{findings: f, receiver: t.receiver}
	}
	if t.received || now.Sub(t.at) < responsePatience {
		return checks
	}
	most := len(t.tried) + max(1, len(t.tried))
	for _, name := range append(slices.Clone(ranked), t.receiver) {
		if len(t.tried) == most && name != t.receiver || name == m.self.Name || slices.Contains(t.tried, name) {
			continue
		}
		p := m.lookup(name)
		if p == nil || p.silent(now) || p.unresponsive {
			continue
		}
		if !p.checking {
			p.checking, p.checkedAt = true, now
		}
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
			t.received, t.receiver = true, p.Name
			m.tellings[key] = t
		}
	}
}
