package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/tree"
)

const (
	// regionSilence is the time without a sign of life of any instance of a watched region after
	// which one of them is checked.
	regionSilence = 1500 * time.Millisecond
	// watcherSilence is the time without a sign of life of the region that watches this one after
	// which that one is checked in turn. It is longer than the time between two of its checks.
	watcherSilence = 2300 * time.Millisecond
	// takeOverAfter is how long that region may then be silent before this one watches it as well.
	// Who watches it has found it by then, if it lives.
	takeOverAfter = 1600 * time.Millisecond
	// maxRegionChecks bounds the checks in progress of instances of regions that do not respond.
	maxRegionChecks = 800
	// regionGrace is how long a region that responds again has to find its dead, before others name
	// them again that they have found.
	regionGrace = 3 * time.Second
)

// otherRegion is what is known of another region as a whole.
type otherRegion struct {
	name string
	// nodes holds its instances. order holds their names in the order in which they read the
	// store; nil until it is needed.
	nodes []tree.Node
	order []string
	// lastContact is the time of the newest sign of life of any of its instances.
	lastContact time.Time
	// respondsSince is when it last gave a sign of life after none for a while.
	respondsSince time.Time
	// probedAt is when the first check began since then; zero if none has. probes counts those
	// checks, nextProbe is the earliest time of the next ones.
	probedAt, nextProbe time.Time
	probes              int
}

// ranked returns the names of the instances in the order in which they read the store.
func (r *otherRegion) ranked() []string {
	if r.order == nil {
		for _, n := range tree.Rank(r.name, r.nodes) {
			r.order = append(r.order, n.Name)
		}
	}
	return r.order
}

// contact records a sign of life of an instance of the region.
func (r *otherRegion) contact(now time.Time) {
	if r.respondsSince.IsZero() || r.unresponsive(now) {
		r.respondsSince = now
	}
	r.lastContact, r.probedAt, r.nextProbe, r.probes = now, time.Time{}, time.Time{}, 0
}

// outdated reports whether what was seen of an instance of another region no longer counts, because
// the region has responded again since, and finds its dead itself.
func (p *peer) outdated(now time.Time) bool {
	return p.home != nil && p.home.findsDead(p.unreachableSince, now)
}

// findsDead reports whether the region has responded again since a time, and for long enough to have
// found its dead itself by now.
func (r *otherRegion) findsDead(since, now time.Time) bool {
	responds := now.Sub(r.lastContact) <= watcherSilence
	return responds && r.respondsSince.After(since) && now.Sub(r.respondsSince) >= regionGrace
}

// unresponsive reports whether the region has not responded to a check for a while.
func (r *otherRegion) unresponsive(now time.Time) bool {
	return !r.probedAt.IsZero() && now.Sub(r.probedAt) >= responsePatience
}

// chooseRegions returns the other regions in the order of their names, beginning with the one
// that follows this region. The root of a region watches the next one, and those behind it as
// far as all before them do not respond, so that each region is watched by one other. Without
// that, nobody would remove the rows of a region whose instances are all gone.
func (m *Machine) chooseRegions() []*otherRegion {
	regions := map[string]*otherRegion{}
	for _, r := range m.regions {
		r.nodes, r.order = nil, nil
		regions[r.name] = r
	}
	for _, p := range m.foreign {
		r := regions[p.Region]
		if r == nil {
			r = &otherRegion{name: p.Region}
			regions[p.Region] = r
		}
		p.home, r.nodes = r, append(r.nodes, p.Node)
		if p.lastContact.After(r.lastContact) {
			r.contact(p.lastContact)
		}
	}
	var after, before []*otherRegion
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		switch r := regions[name]; {
		case len(r.nodes) == 0:
		case name > m.self.Region:
			after = append(after, r)
		default:
			before = append(before, r)
		}
	}
	return append(after, before...)
}

// watched returns the regions that this instance watches while it is the root of its region: the
// next one, and each one behind regions that do not respond. Those that watch this one, and do not
// respond for long, are watched too, since who watched them may be lost with them.
func (m *Machine) watched(now time.Time) []*otherRegion {
	if !m.leads(now) {
		return nil
	}
	next := 0
	for next < len(m.regions) && m.regions[next].unresponsive(now) {
		next++
	}
	watched := m.regions[:min(next+1, len(m.regions))]
	for n := len(m.regions) - 1; n > next; n-- {
		r := m.regions[n]
		if !r.unresponsive(now) || now.Sub(r.probedAt) < takeOverAfter || m.foundByOthers(r) {
			break
		}
		watched = append(watched[:len(watched):len(watched)], r)
	}
	return watched
}

// foundByOthers reports whether others have told that all instances of a region are gone.
func (m *Machine) foundByOthers(r *otherRegion) bool {
	return !slices.ContainsFunc(r.ranked(), func(name string) bool { return !m.IsGone(name) || m.leftOut[name] != nil })
}

// watcher returns the region that watches this one.
func (m *Machine) watcher() *otherRegion { return m.regions[len(m.regions)-1] }

// leads reports whether this instance is the root of its region, or will be once those before it
// that may be gone are found dead.
func (m *Machine) leads(now time.Time) bool {
	for _, name := range m.Order() {
		if name == m.self.Name {
			return true
		}
		if !m.isSuspect(m.peers[name], now) {
			return false
		}
	}
	return false
}

// watchRegions returns the checks of other regions that are due, and the instances of watched
// ones whose rows are to be removed.
func (m *Machine) watchRegions(now time.Time) (checks []Check, dead []Member) {
	watched := m.watched(now)
	if watched == nil {
		m.surveyAt = time.Time{}
		return nil, nil
	}
	m.planSurvey(watched, now)
	inProgress := m.checksInProgress(watched, now)
	for _, r := range m.regions {
		isWatched, silence := slices.Contains(watched, r), now.Sub(r.lastContact)
		switch {
		case isWatched && r.unresponsive(now):
			checks = m.checkAll(checks, r, maxRegionChecks-inProgress, now)
		case isWatched && silence > regionSilence, r == m.watcher() && silence > watcherSilence && !m.foundByOthers(r), r.lastContact.Before(m.surveyAt):
			checks = m.probe(checks, r, now)
		}
	}
	for _, r := range watched {
		if r.unresponsive(now) {
			dead = append(dead, m.deadRegion(r, now)...)
		}
	}
	return checks, dead
}

// planSurvey lets all regions be checked at once when this instance begins to watch, and when
// another watched region does not respond, so that regions that are lost together are not found
// one after the other.
func (m *Machine) planSurvey(watched []*otherRegion, now time.Time) {
	due := m.surveyAt.IsZero()
	for _, r := range watched {
		due = due || r.unresponsive(now) && r.probedAt.After(m.surveyAt)
	}
	if due {
		m.surveyAt = now
	}
}

// probe adds checks of instances of a region that are due: one, and as many as before for each
// responsePatience without a response.
func (m *Machine) probe(checks []Check, r *otherRegion, now time.Time) []Check {
	if now.Before(r.nextProbe) {
		return checks
	}
	most := len(checks) + max(1, r.probes)
	before := len(checks)
	for _, name := range r.ranked() {
		if len(checks) < most {
			checks = m.startCheck(checks, m.foreign[name], now)
		}
	}
	if len(checks) == before {
		return checks
	}
	if r.probedAt.IsZero() {
		r.probedAt = now
	}
	r.probes, r.nextProbe = r.probes+len(checks)-before, now.Add(responsePatience)
	return checks
}

// checkAll adds checks of the instances of a region that are due, so many at most.
func (m *Machine) checkAll(checks []Check, r *otherRegion, most int, now time.Time) []Check {
	for _, name := range r.ranked() {
		p := m.foreign[name]
		if len(checks) < most && !p.checking && !now.Before(p.nextCheck) {
			checks = m.beginCheck(checks, p, now)
		}
	}
	return checks
}

// checksInProgress counts the checks of instances of regions that do not respond.
func (m *Machine) checksInProgress(regions []*otherRegion, now time.Time) int {
	count := 0
	for _, r := range regions {
		if !r.unresponsive(now) {
			continue
		}
		for _, name := range r.ranked() {
			if m.foreign[name].checking {
				count++
			}
		}
	}
	return count
}

// regionUnresponsive reports whether a watched region does not respond.
func (m *Machine) regionUnresponsive(now time.Time) bool {
	watched := m.watched(now)
	return len(watched) > 0 && watched[0].unresponsive(now)
}

// lostRegion reports whether no connection could be opened to any instance of a region.
func (m *Machine) lostRegion(r *otherRegion, now time.Time) bool {
	return r.unresponsive(now) && !slices.ContainsFunc(r.ranked(), func(name string) bool { return m.foreign[name].unreachableSince.IsZero() })
}

// lostOf returns the instances of a region that lookups must leave out: all of them if none can be
// reached, or those that have been unreachable for long if no other one responds, since nobody of
// their region finds them then.
func (m *Machine) lostOf(r *otherRegion, now time.Time) []string {
	if m.lostRegion(r, now) {
		return r.ranked()
	}
	if !r.unresponsive(now) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.ranked()), func(name string) bool { return !m.unreachableForLong(m.foreign[name], now) })
}

// deadRegion returns the instances of a region whose rows are to be removed, once all of them
// are dead. As long as one can be reached, it is for the region itself to find its dead. A
// region that was cut off and has written its rows again is left alone.
func (m *Machine) deadRegion(r *otherRegion, now time.Time) []Member {
	var dead []Member
	for _, name := range r.ranked() {
		p := m.foreign[name]
		if !m.dead(p, now) || m.evicted[name].rewritten {
			return nil
		}
		if now.Sub(p.reportedAt) >= evictRetryInterval {
			dead = append(dead, p.Member)
		}
	}
	for _, d := range dead {
		m.report(m.foreign[d.Name], now)
	}
	return dead
}
