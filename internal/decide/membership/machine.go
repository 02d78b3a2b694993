package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/platform"
)

// Machine is the membership state machine of one instance. It is not safe for
// concurrent use.
type Machine struct {
	cfg  Config
	self Instance
	// started is the time at which this run began.
	started time.Time
	// members holds every known incarnation, including self.
	members map[Identity]*member
	// sortedIDs caches the sorted keys of members. It is nil when members has
	// changed since it was computed.
	sortedIDs []Identity
	// byPeerAddr maps each peer address to its known incarnations, in the order
	// in which they became known.
	byPeerAddr map[string][]Identity
	// zoneLastHeard maps each zone to the time of the last message received
	// directly from one of its instances. A zone is added when its first instance
	// becomes known.
	zoneLastHeard map[string]time.Time
	// view is the current view. At the end of an event, the zones in staleZones
	// are recomputed and the other zones are shared with the previous view.
	view *View
	// staleZones holds the zones that changed since view was computed.
	staleZones map[string]bool
	// heartbeatTargets holds the instances that receive heartbeats, sorted.
	heartbeatTargets []Identity
	// expectedSenders holds the members whose expected field is set. suspects and
	// gone hold the members in the states Suspect and Gone. All three lists are
	// sorted and are recomputed together with the view.
	expectedSenders, suspects, gone []Identity
	// ready holds the pending actions.
	ready Ready
}

// member is one known incarnation of an instance.
type member struct {
	Instance
	// lastHeard is the time of the last direct message, or the time at which
	// direct messages began to be expected, whichever is later.
	lastHeard time.Time
	// expected is set while this instance should receive messages directly from
	// the member.
	expected bool
	// listed is set once a platform list has named the member with its address.
	listed bool
	// absentLists is the number of successive platform lists that omit the member.
	absentLists int
	// absentSince is the time of the first of these lists.
	absentSince time.Time
	// probedAt is the time at which the last probe was requested.
	probedAt time.Time
	// goneAt is the time at which the member became gone.
	goneAt time.Time
}

// New returns the machine of cfg.Self, which starts at time now.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg: cfg, self: cfg.Self, started: now,
		members:       map[Identity]*member{},
		byPeerAddr:    map[string][]Identity{},
		zoneLastHeard: map[string]time.Time{},
		view:          &View{},
		staleZones:    map[string]bool{},
	}
	m.addMember(&member{Instance: m.self, lastHeard: now})
	m.zoneLastHeard[m.self.Zone] = now
	m.staleZones[m.self.Zone] = true
	m.rebuildView(now)
	m.ready.Announce = true
	return m
}

// Self returns this instance's description of itself.
func (m *Machine) Self() Instance { return m.self }

// View returns the current view. The returned view is never modified.
func (m *Machine) View() *View { return m.view }

// HeartbeatTargets returns the instances to which heartbeats must be sent, sorted.
func (m *Machine) HeartbeatTargets() []Identity { return m.heartbeatTargets }

// Ready returns the pending actions and clears them, except for DeclaredGone,
// which stays set.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{DeclaredGone: r.DeclaredGone}
	return r
}

// Heartbeat processes a message or a reply that was received directly from
// another instance. in is the sender's description of itself.
func (m *Machine) Heartbeat(now time.Time, in Instance) {
	if in.Identity == m.self.Identity {
		return
	}
	m.zoneLastHeard[in.Zone] = now
	m.mergeInstance(now, in, CauseHeartbeat)
	if mb := m.members[in.Identity]; mb != nil {
		mb.lastHeard = now
		// A platform list that omits an instance that still sends messages is
		// outdated.
		mb.absentLists = 0
	}
	m.rebuildView(now)
}

// Report processes a record about in that a relay passed on.
func (m *Machine) Report(now time.Time, in Instance) { m.Reports(now, []Instance{in}) }

// Reports processes several records that a relay passed on.
func (m *Machine) Reports(now time.Time, ins []Instance) {
	for _, in := range ins {
		if in.Identity == m.self.Identity {
			m.refute(in)
			continue
		}
		m.mergeInstance(now, in, CauseReport)
	}
	m.rebuildView(now)
}

// Leave begins this instance's planned shutdown. It does nothing unless the
// instance is live.
func (m *Machine) Leave(now time.Time) {
	if m.self.State == Live {
		m.setSelf(Leaving, m.self.Sequence+1, CauseLeave)
		m.rebuildView(now)
	}
}

// refute processes a record about this instance itself. It answers a suspicion
// with a higher sequence number, and sets DeclaredGone when the record says that
// this instance is gone.
func (m *Machine) refute(in Instance) {
	switch {
	case in.State == Gone:
		m.ready.DeclaredGone = true
	case in.RecordSequence() > m.self.RecordSequence():
		m.setSelf(m.self.State, in.Sequence+1, CauseRefuted)
	}
}

// setSelf changes the state and the sequence number of this instance.
func (m *Machine) setSelf(s State, sequence uint64, cause Cause) {
	from := m.self.State
	m.self.State, m.self.Sequence = s, sequence
	m.members[m.self.Identity].Instance = m.self
	m.ready.Announce = true
	m.addChange(m.self, from, false, cause)
}

// mergeInstance updates the member for in.Identity if in is newer than the known
// description. Gone takes precedence over every other state.
func (m *Machine) mergeInstance(now time.Time, in Instance, cause Cause) {
	mb, known := m.members[in.Identity]
	if known && (mb.State == Gone || (in.State != Gone && in.RecordSequence() <= mb.RecordSequence())) {
		return
	}
	if !known {
		mb = &member{Instance: in, lastHeard: now}
		m.addMember(mb)
		if _, ok := m.zoneLastHeard[in.Zone]; !ok {
			m.zoneLastHeard[in.Zone] = now
		}
	}
	from := mb.State
	// The peer address of an incarnation never changes.
	in.Peer = mb.Peer
	mb.Instance = in
	if in.State == Gone {
		mb.goneAt = now
	}
	if !known || from != in.State {
		m.addChange(in, from, !known, cause)
	}
	if !known {
		m.markReplaced(now, in)
	}
}

// markReplaced marks the earlier incarnations of in that used the same peer
// address as gone, because two processes cannot listen at one address. When a
// later incarnation is already known there, or the address is that of this
// instance, in itself becomes gone.
func (m *Machine) markReplaced(now time.Time, in Instance) {
	newcomer := m.members[in.Identity]
	for _, id := range m.byPeerAddr[in.Peer] {
		old := m.members[id]
		if id == in.Identity || in.Peer == "" || id.ID != in.ID {
			continue
		}
		// The new member may stem from a delayed message of an earlier run. That
		// run is dead even if the later run is already gone.
		if id == m.self.Identity || id.Incarnation > in.Incarnation {
			m.setGone(now, newcomer, CauseAddressTaken)
		} else {
			m.setGone(now, old, CauseAddressTaken)
		}
	}
}

// ProbeResult processes the result of a probe. It marks the target as gone when
// the target's address refused the connection or another process answered there.
func (m *Machine) ProbeResult(now time.Time, res ProbeResult) {
	if res.Target == m.self.Identity || res.Kind == TimedOut {
		return
	}
	cause := CauseConnectionRefused
	if res.Kind == Answered {
		if res.Observed == res.Target {
			return
		}
		cause = CauseAddressTaken
	}
	mb, known := m.members[res.Target]
	if !known {
		mb = &member{Instance: Instance{Identity: res.Target, Zone: res.Zone, Peer: res.Peer}}
		m.addMember(mb)
	}
	if mb.Peer == res.Peer {
		m.setGone(now, mb, cause)
	}
	m.rebuildView(now)
}

// PlatformList processes one list of instances from the platform. It ignores a
// list that omits this instance: such a list predates this instance's start and is
// no evidence of another instance's death.
func (m *Machine) PlatformList(now time.Time, list []platform.Instance) {
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
	// A lagging list may still describe an earlier run under the same ID and
	// address, so its state is ignored until DelistAfter has passed.
	if own.State == platform.InstanceLeaving && own.Peer == m.self.Peer && now.Sub(m.started) >= m.cfg.DelistAfter {
		m.Leave(now)
	}
	for _, id := range m.sortedIdentities() {
		mb := m.members[id]
		l, ok := listed[id.ID]
		switch {
		case id == m.self.Identity || mb.State == Gone:
		case ok && l.Peer == mb.Peer:
			mb.listed, mb.absentLists = true, 0
			if l.State == platform.InstanceLeaving && mb.State == Live {
				m.setState(mb, Leaving, CauseListedLeaving)
			}
		case mb.listed:
			m.countAbsence(now, mb)
		}
	}
	m.rebuildView(now)
}

// countAbsence counts one platform list that omits the member, and marks the
// member as gone after enough such lists over at least DelistAfter.
func (m *Machine) countAbsence(now time.Time, mb *member) {
	if mb.absentLists == 0 {
		mb.absentSince = now
	}
	mb.absentLists++
	if mb.absentLists >= minAbsentLists && now.Sub(mb.absentSince) >= m.cfg.DelistAfter {
		m.setGone(now, mb, CauseNotListed)
	}
}

// Tick marks silent instances as suspect, requests probes that are due, and
// removes gone instances whose retention time has passed. The caller calls it
// periodically.
func (m *Machine) Tick(now time.Time) {
	m.suspectSilent(now)
	m.suspectSilentZones(now)
	m.rebuildView(now)
	m.probeSuspects(now)
	m.removeExpiredGone(now)
}

// suspectSilent marks the expected senders as suspect that have been silent for
// SuspectAfter.
func (m *Machine) suspectSilent(now time.Time) {
	for _, id := range m.expectedSenders {
		mb := m.members[id]
		if mb.State < Suspect && now.Sub(mb.lastHeard) >= m.cfg.SuspectAfter {
			m.setState(mb, Suspect, CauseSilence)
		}
	}
}

// suspectSilentZones marks all instances of another zone as suspect when the whole
// zone has been silent for ZoneSuspectAfter. Only relays do so.
func (m *Machine) suspectSilentZones(now time.Time) {
	if !m.view.Zone(m.self.Zone).IsRelay(m.self.Identity) {
		return
	}
	silent := func(zone string) bool { return now.Sub(m.zoneLastHeard[zone]) >= m.cfg.ZoneSuspectAfter }
	if !slices.ContainsFunc(m.view.Zones, func(z ZoneView) bool { return z.Name != m.self.Zone && silent(z.Name) }) {
		return
	}
	for _, id := range m.sortedIdentities() {
		mb := m.members[id]
		if mb.Zone != m.self.Zone && silent(mb.Zone) && mb.State < Suspect {
			m.setState(mb, Suspect, CauseZoneSilence)
		}
	}
}

// probeSuspects requests probes of the suspect instances that are due, starting
// with the least recently probed one. Only relays do so.
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
	for _, mb := range due[:min(len(due), maxProbesPerTick)] {
		mb.probedAt = now
		m.ready.Probes = append(m.ready.Probes, Probe{Target: mb.Identity, Zone: mb.Zone, Peer: mb.Peer})
	}
}

// removeExpiredGone removes the instances that have been gone for GoneRetention.
func (m *Machine) removeExpiredGone(now time.Time) {
	for _, id := range m.gone {
		mb := m.members[id]
		if now.Sub(mb.goneAt) >= m.cfg.GoneRetention {
			m.removeMember(mb)
			m.staleZones[mb.Zone] = true
		}
	}
	m.rebuildView(now)
}

// setGone marks the member as gone unless it already is.
func (m *Machine) setGone(now time.Time, mb *member, cause Cause) {
	if mb.State == Gone {
		return
	}
	mb.goneAt = now
	m.setState(mb, Gone, cause)
}

// setState changes the state of a member and adds the change to Ready.
func (m *Machine) setState(mb *member, s State, cause Cause) {
	from := mb.State
	mb.State = s
	m.addChange(mb.Instance, from, false, cause)
}

// addChange adds a state change to Ready and marks the zone of in as stale.
func (m *Machine) addChange(in Instance, from State, isNew bool, cause Cause) {
	m.ready.Changes = append(m.ready.Changes, Change{Instance: in, From: from, New: isNew, Cause: cause})
	m.staleZones[in.Zone] = true
}

// rebuildView recomputes the view and the lists derived from it if any zone is
// stale.
func (m *Machine) rebuildView(now time.Time) {
	if len(m.staleZones) == 0 {
		return
	}
	rebuilt := map[string][]Instance{}
	m.suspects, m.gone = nil, nil
	for _, id := range m.sortedIdentities() {
		in := m.members[id].Instance
		if m.staleZones[in.Zone] {
			rebuilt[in.Zone] = append(rebuilt[in.Zone], in)
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
		if !m.staleZones[z.Name] {
			v.Zones = append(v.Zones, z)
		}
	}
	for name, ins := range rebuilt {
		v.Zones = append(v.Zones, ZoneView{Name: name, Instances: ins, Relays: selectRelays(name, ins)})
	}
	slices.SortFunc(v.Zones, func(a, b ZoneView) int { return cmp.Compare(a.Name, b.Name) })
	clear(m.staleZones)
	m.view = v
	m.heartbeatTargets = v.selectHeartbeatTargets(m.self)
	m.updateExpectedSenders(now)
}

// updateExpectedSenders determines the members from which this instance should
// receive messages directly: its heartbeat targets, which reply, and, when it is
// a relay, all instances of its zone.
func (m *Machine) updateExpectedSenders(now time.Time) {
	relay := m.view.Zone(m.self.Zone).IsRelay(m.self.Identity)
	m.expectedSenders = nil
	for id, mb := range m.members {
		_, target := slices.BinarySearchFunc(m.heartbeatTargets, id, Identity.Compare)
		want := id != m.self.Identity && (target || (relay && mb.Zone == m.self.Zone))
		if want && !mb.expected {
			mb.lastHeard = now
		}
		mb.expected = want
		if want {
			m.expectedSenders = append(m.expectedSenders, id)
		}
	}
	slices.SortFunc(m.expectedSenders, Identity.Compare)
}

// addMember adds a new incarnation.
func (m *Machine) addMember(mb *member) {
	m.members[mb.Identity], m.sortedIDs = mb, nil
	m.byPeerAddr[mb.Peer] = append(m.byPeerAddr[mb.Peer], mb.Identity)
}

// removeMember removes an incarnation.
func (m *Machine) removeMember(mb *member) {
	delete(m.members, mb.Identity)
	m.sortedIDs = nil
	rest := slices.DeleteFunc(m.byPeerAddr[mb.Peer], func(id Identity) bool { return id == mb.Identity })
	if len(rest) == 0 {
		delete(m.byPeerAddr, mb.Peer)
		return
	}
	m.byPeerAddr[mb.Peer] = rest
}

// sortedIdentities returns the known identities in ascending order.
func (m *Machine) sortedIdentities() []Identity {
	if m.sortedIDs == nil {
		m.sortedIDs = make([]Identity, 0, len(m.members))
		for id := range m.members {
			m.sortedIDs = append(m.sortedIDs, id)
		}
		slices.SortFunc(m.sortedIDs, Identity.Compare)
	}
	return m.sortedIDs
}
