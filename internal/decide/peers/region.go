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
	// maxRegionChecks bounds the checks in progress of instances of regions that do not respond.
	maxRegionChecks = 800
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
	r.lastContact, r.probedAt, r.nextProbe, r.probes = now, time.Time{}, time.Time{}, 0
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
// next one, and each one behind regions that do not respond.
func (m *Machine) watched(now time.Time) []*otherRegion {
	if !m.IsRoot() {
		return nil
	}
	for n, r := range m.regions {
		if !r.unresponsive(now) {
			return m.regions[:n+1]
		}
	}
	return m.regions
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
	for n, r := range m.regions {
		switch {
		case n < len(watched) && r.unresponsive(now):
			checks = m.checkAll(checks, r, maxRegionChecks-inProgress, now)
		case n < len(watched) && now.Sub(r.lastContact) > regionSilence, r.lastContact.Before(m.surveyAt):
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
