package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/platform"
)

// Machine is the state machine of one instance. It is not safe for concurrent
// use.
type Machine struct {
	cfg  Config
	self Instance
	// started is when this run began.
	started time.Time
	// members holds every known incarnation, self included.
	members map[Identity]*member
	// order holds the keys of members, sorted; nil when it has to be made anew.
	order []Identity
	// byPeer holds the known incarnations of each peer address, in the order
	// they became known.
	byPeer map[string][]Identity
	// zoneHeard is when an instance of a zone was last heard directly. A zone
	// is entered when its first instance becomes known.
	zoneHeard map[string]time.Time
	// view is built anew at the end of an event for the zones in stale; the
	// other zones are shared with the view before.
	view    *View
	stale   map[string]bool
	targets []Identity
	// watched holds the expected members, suspects and gone those in these
	// states; all are sorted, and made with the view.
	watched, suspects, gone []Identity
	ready                   Ready
}

// member is one known incarnation.
type member struct {
	Instance
	// heard is the last direct message, or when direct messages began to be
	// expected, whichever is later.
	heard time.Time
	// expected is set while this instance should hear the member directly.
	expected bool
	// listed is set once a platform list named the member at its address.
	listed bool
	// absences counts the successive lists without the member; absentSince is
	// the time of the first of them.
	absences    int
	absentSince time.Time
	probedAt    time.Time
	goneAt      time.Time
}

// New returns the machine of cfg.Self at the time of its start.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg: cfg, self: cfg.Self, started: now,
		members:   map[Identity]*member{},
		byPeer:    map[string][]Identity{},
		zoneHeard: map[string]time.Time{},
		view:      &View{},
		stale:     map[string]bool{},
	}
	m.add(&member{Instance: m.self, heard: now})
	m.zoneHeard[m.self.Zone] = now
	m.stale[m.self.Zone] = true
	m.rebuild(now)
	m.ready.Announce = true
	return m
}

// Self returns this instance's own record.
func (m *Machine) Self() Instance { return m.self }

// View returns the current view. It is never changed afterwards.
func (m *Machine) View() *View { return m.view }

// HeartbeatTargets returns whom to send heartbeats to, sorted.
func (m *Machine) HeartbeatTargets() []Identity { return m.targets }

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{DeclaredGone: r.DeclaredGone}
	return r
}

// HandleHeartbeat takes a message or a reply received directly from in, which
// describes itself.
func (m *Machine) HandleHeartbeat(now time.Time, in Instance) {
	if in.Identity == m.self.Identity {
		return
	}
	m.zoneHeard[in.Zone] = now
	m.merge(now, in, CauseHeartbeat)
	if mb := m.members[in.Identity]; mb != nil {
		mb.heard = now
		// A list that lacks an instance that speaks is out of date.
		mb.absences = 0
	}
	m.rebuild(now)
}

// HandleReport takes a record about in that a relay passed on.
func (m *Machine) HandleReport(now time.Time, in Instance) { m.HandleReports(now, []Instance{in}) }

// HandleReports takes several records that a relay passed on.
func (m *Machine) HandleReports(now time.Time, ins []Instance) {
	for _, in := range ins {
		if in.Identity == m.self.Identity {
			m.refute(in)
			continue
		}
		m.merge(now, in, CauseReport)
	}
	m.rebuild(now)
}

// Leave begins this instance's planned stop.
func (m *Machine) Leave(now time.Time) {
	if m.self.State == Live {
		m.setSelf(Leaving, m.self.Sequence+1, CauseLeave)
		m.rebuild(now)
	}
}

// refute answers a suspicion of this instance with a higher sequence number.
func (m *Machine) refute(in Instance) {
	switch {
	case in.State == Gone:
		m.ready.DeclaredGone = true
	case in.RecordSequence() > m.self.RecordSequence():
		m.setSelf(m.self.State, in.Sequence+1, CauseRefuted)
	}
}

func (m *Machine) setSelf(s State, sequence uint64, cause Cause) {
	from := m.self.State
	m.self.State, m.self.Sequence = s, sequence
	m.members[m.self.Identity].Instance = m.self
	m.ready.Announce = true
	m.changed(m.self, from, false, cause)
}

// merge takes the newer of two beliefs about one incarnation.
func (m *Machine) merge(now time.Time, in Instance, cause Cause) {
	mb, known := m.members[in.Identity]
	if known && (mb.State == Gone || (in.State != Gone && in.RecordSequence() <= mb.RecordSequence())) {
		return
	}
	if !known {
		mb = &member{Instance: in, heard: now}
		m.add(mb)
		if _, ok := m.zoneHeard[in.Zone]; !ok {
			m.zoneHeard[in.Zone] = now
		}
	}
	from := mb.State
	// The address of an incarnation never changes.
	in.Peer = mb.Peer
	mb.Instance = in
	if in.State == Gone {
		mb.goneAt = now
	}
	if !known || from != in.State {
		m.changed(in, from, !known, cause)
	}
	if !known {
		m.replaceAt(now, in)
	}
}

// replaceAt records the death of whoever held the peer address of in before
// it: two processes cannot listen at one address.
func (m *Machine) replaceAt(now time.Time, in Instance) {
	newcomer := m.members[in.Identity]
	for _, id := range m.byPeer[in.Peer] {
		old := m.members[id]
		if id == in.Identity || in.Peer == "" || id.ID != in.ID {
			continue
		}
		// The newcomer may be a late message of an older run, which is dead
		// also when the later run already is.
		if id == m.self.Identity || id.Incarnation > in.Incarnation {
			m.setGone(now, newcomer, CauseAddressTaken)
		} else {
			m.setGone(now, old, CauseAddressTaken)
		}
	}
}

// HandleProbeResult takes the outcome of a dial.
func (m *Machine) HandleProbeResult(now time.Time, ev ProbeResult) {
	if ev.Target == m.self.Identity || ev.Outcome == ProbeTimedOut {
		return
	}
	cause := CauseConnectionRefused
	if ev.Outcome == ProbeAnswered {
		if ev.Observed == ev.Target {
			return
		}
		cause = CauseAddressTaken
	}
	mb, known := m.members[ev.Target]
	if !known {
		mb = &member{Instance: Instance{Identity: ev.Target, Zone: ev.Zone, Peer: ev.Peer}}
		m.add(mb)
	}
	if mb.Peer == ev.Peer {
		m.setGone(now, mb, cause)
	}
	m.rebuild(now)
}

// HandlePlatformList takes one list of the platform. A list that does not name this instance
// is older than it, and shows nobody's death.
func (m *Machine) HandlePlatformList(now time.Time, list []platform.Instance) {
	listed := make(map[string]platform.Instance, len(list))
	for _, l := range list {
		if l.Kind == platform.KindEntry {
			listed[l.ID] = l
		}
	}
	own, ok := listed[m.self.ID]
	if !ok {
		return
	}
	// A list may still tell of an earlier run under the same ID and address.
	if own.State == platform.InstanceLeaving && own.Peer == m.self.Peer && now.Sub(m.started) >= m.cfg.DelistAfter {
		m.Leave(now)
	}
	for _, id := range m.sorted() {
		mb := m.members[id]
		l, ok := listed[id.ID]
		switch {
		case id == m.self.Identity || mb.State == Gone:
		case ok && l.Peer == mb.Peer:
			mb.listed, mb.absences = true, 0
			if l.State == platform.InstanceLeaving && mb.State == Live {
				m.setState(mb, Leaving, CauseListedLeaving)
			}
		case mb.listed:
			m.absent(now, mb)
		}
	}
	m.rebuild(now)
}

// absent counts one list without the member.
func (m *Machine) absent(now time.Time, mb *member) {
	if mb.absences == 0 {
		mb.absentSince = now
	}
	mb.absences++
	if mb.absences >= delistCount && now.Sub(mb.absentSince) >= m.cfg.DelistAfter {
		m.setGone(now, mb, CauseNotListed)
	}
}

// Tick judges silence, paces probes and forgets what was gone for long.
func (m *Machine) Tick(now time.Time) {
	m.suspectSilent(now)
	m.suspectZones(now)
	m.rebuild(now)
	m.probeSuspects(now)
	m.forget(now)
}

func (m *Machine) suspectSilent(now time.Time) {
	for _, id := range m.watched {
		mb := m.members[id]
		if mb.State < Suspect && now.Sub(mb.heard) >= m.cfg.SuspectAfter {
			m.setState(mb, Suspect, CauseSilence)
		}
	}
}

func (m *Machine) suspectZones(now time.Time) {
	if !m.view.Zone(m.self.Zone).IsRelay(m.self.Identity) {
		return
	}
	silent := func(zone string) bool { return now.Sub(m.zoneHeard[zone]) >= m.cfg.ZoneSuspectAfter }
	if !slices.ContainsFunc(m.view.Zones, func(z ZoneView) bool { return z.Name != m.self.Zone && silent(z.Name) }) {
		return
	}
	for _, id := range m.sorted() {
		mb := m.members[id]
		if mb.Zone != m.self.Zone && silent(mb.Zone) && mb.State < Suspect {
			m.setState(mb, Suspect, CauseZoneSilence)
		}
	}
}

// probeSuspects asks for dials to suspects, longest unasked first, when this
// instance relays for its zone.
func (m *Machine) probeSuspects(now time.Time) {
	if !m.view.Zone(m.self.Zone).IsRelay(m.self.Identity) {
		return
	}
	var due []*member
	for _, id := range m.suspects {
		mb := m.members[id]
		if now.Sub(mb.probedAt) >= m.cfg.ProbeInterval {
			due = append(due, mb)
		}
	}
	slices.SortStableFunc(due, func(a, b *member) int { return a.probedAt.Compare(b.probedAt) })
	for _, mb := range due[:min(len(due), maxProbes)] {
		mb.probedAt = now
		m.ready.Probes = append(m.ready.Probes, Probe{Target: mb.Identity, Zone: mb.Zone, Peer: mb.Peer})
	}
}

func (m *Machine) forget(now time.Time) {
	for _, id := range m.gone {
		mb := m.members[id]
		if now.Sub(mb.goneAt) >= m.cfg.GoneRetention {
			m.remove(mb)
			m.stale[mb.Zone] = true
		}
	}
	m.rebuild(now)
}

func (m *Machine) setGone(now time.Time, mb *member, cause Cause) {
	if mb.State == Gone {
		return
	}
	mb.goneAt = now
	m.setState(mb, Gone, cause)
}

func (m *Machine) setState(mb *member, s State, cause Cause) {
	from := mb.State
	mb.State = s
	m.changed(mb.Instance, from, false, cause)
}

func (m *Machine) changed(in Instance, from State, isNew bool, cause Cause) {
	m.ready.Changes = append(m.ready.Changes, Change{Instance: in, From: from, New: isNew, Cause: cause})
	m.stale[in.Zone] = true
}

// rebuild makes the view and what follows from it anew after a change.
func (m *Machine) rebuild(now time.Time) {
	if len(m.stale) == 0 {
		return
	}
	fresh := map[string][]Instance{}
	m.suspects, m.gone = nil, nil
	for _, id := range m.sorted() {
		in := m.members[id].Instance
		if m.stale[in.Zone] {
			fresh[in.Zone] = append(fresh[in.Zone], in)
		}
		switch in.State {
		case Suspect:
			m.suspects = append(m.suspects, id)
		case Gone:
			m.gone = append(m.gone, id)
		}
	}
	v := &View{}
	for _, z := range m.view.Zones {
		if !m.stale[z.Name] {
			v.Zones = append(v.Zones, z)
		}
	}
	for name, ins := range fresh {
		v.Zones = append(v.Zones, ZoneView{Name: name, Instances: ins, Relays: relaysOf(name, ins)})
	}
	slices.SortFunc(v.Zones, func(a, b ZoneView) int { return cmp.Compare(a.Name, b.Name) })
	clear(m.stale)
	m.view = v
	m.targets = v.targetsOf(m.self)
	m.expect(now)
}

// expect marks whom this instance should hear: its targets, by their replies,
// and all of its zone when it relays there.
func (m *Machine) expect(now time.Time) {
	relay := m.view.Zone(m.self.Zone).IsRelay(m.self.Identity)
	m.watched = nil
	for id, mb := range m.members {
		_, target := slices.BinarySearchFunc(m.targets, id, Identity.Compare)
		want := id != m.self.Identity && (target || (relay && mb.Zone == m.self.Zone))
		if want && !mb.expected {
			mb.heard = now
		}
		mb.expected = want
		if want {
			m.watched = append(m.watched, id)
		}
	}
	slices.SortFunc(m.watched, Identity.Compare)
}

func (m *Machine) add(mb *member) {
	m.members[mb.Identity], m.order = mb, nil
	m.byPeer[mb.Peer] = append(m.byPeer[mb.Peer], mb.Identity)
}

func (m *Machine) remove(mb *member) {
	delete(m.members, mb.Identity)
	m.order = nil
	rest := slices.DeleteFunc(m.byPeer[mb.Peer], func(id Identity) bool { return id == mb.Identity })
	if len(rest) == 0 {
		delete(m.byPeer, mb.Peer)
		return
	}
	m.byPeer[mb.Peer] = rest
}

// sorted returns the known identities in order.
func (m *Machine) sorted() []Identity {
	if m.order == nil {
		m.order = make([]Identity, 0, len(m.members))
		for id := range m.members {
			m.order = append(m.order, id)
		}
		slices.SortFunc(m.order, Identity.Compare)
	}
	return m.order
}
