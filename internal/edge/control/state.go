package control

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Update is one change that a feed has read from the store. Kind determines
// which of the payload fields apply.
type Update struct {
	// Kind names the feed that the update comes from.
	Kind Kind
	// Full is set when the update lists all entries of its kind. Entries that a
	// full update does not list no longer exist.
	Full bool
	// NewEra is set in a full update of a store that came back from an older copy. Its
	// entries may be older than those of earlier updates.
	NewEra bool
	// Config is the new configuration of a KindOperator update, or nil if the
	// configuration has not changed.
	Config *traffic.Config
	// Evacuated maps availability zones to whether they are evacuated. It
	// belongs to KindOperator.
	Evacuated map[string]bool
	// Backends maps the id of a backend server to its new entry, or to nil if
	// the entry was removed. It belongs to KindBackends.
	Backends map[string]*traffic.Backend
	// Members maps the name of an instance to its new entry, or to nil if the
	// entry was removed. It belongs to KindMembers.
	Members map[string]*traffic.Member
	// Lost reports that the feed has lost its connection to the store. Regained
	// reports that it has regained the connection.
	Lost, Regained bool
	// Origin tells where the update comes from.
	Origin Origin
	// OutageDuration is how long the store was unreachable. It is set together
	// with Regained.
	OutageDuration time.Duration
}

// Origin tells where an update comes from and how old it is.
type Origin struct {
	// Source is the name of the instance that it was read from, empty for the store.
	Source string
	// Era and Version are the position of the table.
	Era, Version uint64
	// StoreReadAt is when the store's response arrived that the update goes by, at the
	// instance that read it. Arrived is when the update was read here.
	StoreReadAt, Arrived time.Time
}

// Kind is the kind of entries that an Update carries.
type Kind uint8

// Kinds of updates.
const (
	// KindOperator carries the configuration and the evacuated availability
	// zones, both set by the operator.
	KindOperator Kind = iota
	// KindBackends carries backend servers.
	KindBackends
	// KindMembers carries entry instances.
	KindMembers
)

// String returns the name of the kind in logs.
func (k Kind) String() string { return [...]string{"operator", "backends", "members"}[k] }

const (
	// reregistrationWindow is how long backend servers have after a store outage
	// to write their entries again, if those expired during the outage.
	reregistrationWindow = 2200 * time.Millisecond
	// minOutage is the shortest store outage during which entries can expire.
	minOutage = time.Second
	// evacuationHold is how long an evacuation stays in effect at least that is missing in a
	// store which came back from an older copy, so that the operator can write it again.
	evacuationHold = 5 * time.Second
	// maxRemoved bounds the removed backend servers that are remembered.
	maxRemoved = 4096
)

// state is the mutable state behind the views. Only the goroutine of
// Control.Run accesses it.
type state struct {
	config    *traffic.Config
	evacuated map[string]bool
	backends  map[string]*traffic.Backend
	members   map[string]traffic.Member
	// missing holds the ids of backend servers whose entries vanished during or
	// shortly after a store outage. They stay in use until keepMissingUntil.
	missing map[string]bool
	// keepMissingUntil is the end of the reregistrationWindow of the last
	// outage.
	keepMissingUntil time.Time
	// ignoreOlderUntil is the end of the reregistrationWindow of the last new era. Until then
	// entries of whole reads may be older than what is known.
	ignoreOlderUntil time.Time
	// removed holds the entries of backend servers that were removed, so that an older
	// copy of the store does not bring them back.
	removed map[string]*traffic.Backend
	// heldEvacuations holds the evacuated availability zones that are missing since a
	// new era of the store. They stay evacuated until the table is read later than the given time.
	heldEvacuations map[string]time.Time
	// storeLost is set while the feed of backend servers cannot reach the store.
	storeLost bool
	// evacuationChanges holds the changes of evacuated since they were last taken.
	evacuationChanges []evacuationChange
}

// evacuationChange is the beginning or the end of an evacuation.
type evacuationChange struct {
	zone  string
	on    bool
	cause evacuationCause
}

// evacuationCause is why an evacuation began or ended.
type evacuationCause string

const (
	// causeRow is a row of the operator, which was written or removed.
	causeRow evacuationCause = "row"
	// causeWholeRead is a read of the whole table, with or without the row.
	causeWholeRead evacuationCause = "whole_read"
	// causeHoldEnded means that the row was missing evacuationHold after the store had come
	// back from an older copy.
	causeHoldEnded evacuationCause = "hold_ended"
)

// setEvacuated records whether a zone is evacuated. It does nothing if that is known.
func (s *state) setEvacuated(zone string, on bool, cause evacuationCause) {
	if s.evacuated[zone] == on {
		return
	}
	if on {
		s.evacuated[zone] = true
	} else {
		delete(s.evacuated, zone)
	}
	s.evacuationChanges = append(s.evacuationChanges, evacuationChange{zone: zone, on: on, cause: cause})
}

// takeEvacuationChanges returns the changes of the evacuated zones since the last call.
func (s *state) takeEvacuationChanges() []evacuationChange {
	changes := s.evacuationChanges
	s.evacuationChanges = nil
	return changes
}

func newState() *state {
	return &state{
		evacuated: map[string]bool{}, backends: map[string]*traffic.Backend{},
		members: map[string]traffic.Member{}, missing: map[string]bool{},
		removed: map[string]*traffic.Backend{}, heldEvacuations: map[string]time.Time{},
	}
}

// apply applies an update and reports whether the view may have changed.
func (s *state) apply(u Update, now time.Time) bool {
	switch u.Kind {
	case KindOperator:
		return s.applyOperator(u, now)
	case KindMembers:
		return s.applyMembers(u)
	}
	return s.applyBackends(u, now)
}

func (s *state) applyOperator(u Update, now time.Time) bool {
	changed := false
	if u.Config != nil && (s.config == nil || u.Config.Version > s.config.Version) {
		s.config = u.Config
		changed = true
	}
	cause := causeRow
	if u.Full {
		s.resetEvacuations(u, now)
		changed, cause = true, causeWholeRead
	}
	for zone, on := range u.Evacuated {
		changed = true
		delete(s.heldEvacuations, zone)
		s.setEvacuated(zone, on, cause)
	}
	return changed
}

// resetEvacuations ends the evacuations that a whole read lacks, which an update shows. In a
// new era of the store they stay for evacuationHold, however often the table is read
// meanwhile.
func (s *state) resetEvacuations(u Update, now time.Time) {
	for zone := range s.evacuated {
		_, held := s.heldEvacuations[zone]
		switch {
		case u.Evacuated[zone]:
		case u.NewEra:
			s.heldEvacuations[zone] = now.Add(evacuationHold)
		case !held:
			s.setEvacuated(zone, false, causeWholeRead)
		}
	}
}

// expireEvacuations ends the evacuations that are still missing in the operator's table as the
// store held it at a time, which is later than their hold, and reports whether there were any.
// While reads fail, or are behind, nobody can tell what the operator has written again.
func (s *state) expireEvacuations(readAt time.Time) bool {
	changed := false
	for zone, until := range s.heldEvacuations {
		if !readAt.Before(until) {
			delete(s.heldEvacuations, zone)
			s.setEvacuated(zone, false, causeHoldEnded)
			changed = true
		}
	}
	return changed
}

func (s *state) applyMembers(u Update) bool {
	if u.Full {
		s.members = map[string]traffic.Member{}
	}
	for name, m := range u.Members {
		if m == nil {
			delete(s.members, name)
		} else {
			s.members[name] = *m
		}
	}
	return u.Full || len(u.Members) > 0
}

func (s *state) applyBackends(u Update, now time.Time) bool {
	if u.Lost {
		s.storeLost = true
		return false
	}
	if u.Regained {
		s.storeLost = false
		if u.OutageDuration >= minOutage {
			s.keepMissingUntil = now.Add(reregistrationWindow)
		}
	}
	if u.NewEra {
		s.keepMissingUntil = now.Add(reregistrationWindow)
		s.ignoreOlderUntil = s.keepMissingUntil
	}
	if u.Full {
		for id := range s.backends {
			if _, named := u.Backends[id]; !named {
				s.remove(id, now)
			}
		}
	}
	for id, b := range u.Backends {
		if b == nil {
			s.remove(id, now)
			continue
		}
		if s.mayBeOlder(u, now) && s.knowsNewer(b) {
			continue
		}
		delete(s.missing, id)
		delete(s.removed, id)
		s.backends[id] = b
	}
	return u.Full || len(u.Backends) > 0
}

// replaced returns the backend servers that an update shows to have ended unannounced:
// their entry names a later incarnation, or their address another backend server.
func (s *state) replaced(u Update, now time.Time) []*traffic.Backend {
	if s.mayBeOlder(u, now) {
		return nil
	}
	byAddress := map[string]*traffic.Backend{}
	if len(u.Backends) > 0 {
		for _, b := range s.backends {
			byAddress[b.Address] = b
		}
	}
	var former []*traffic.Backend
	for id, b := range u.Backends {
		if b == nil {
			continue
		}
		for _, known := range []*traffic.Backend{s.backends[id], s.removed[id], byAddress[b.Address]} {
			if known != nil && !known.Draining && endedBefore(known, b) {
				former = append(former, known)
			}
		}
	}
	return former
}

// lapsed returns the backend servers whose entries an update removes although they have not
// announced that they leave. Entries that lapse while the store is away, or soon after,
// tell nothing of their backend servers.
func (s *state) lapsed(u Update, now time.Time) []*traffic.Backend {
	if s.storeLost || u.Regained || now.Before(s.keepMissingUntil) {
		return nil
	}
	var former []*traffic.Backend
	for id, b := range u.Backends {
		if known := s.backends[id]; b == nil && known != nil && !known.Draining {
			former = append(former, known)
		}
	}
	return former
}

// endedBefore reports whether a backend server ended before the process that now has its
// ID or its address began.
func endedBefore(known, current *traffic.Backend) bool {
	if known.ID == current.ID {
		return known.Born < current.Born
	}
	return known.Address == current.Address && known.Born <= current.Born
}

// remove removes a backend server. Within the reregistrationWindow it only marks
// the backend server as missing, since its entry may be written again.
func (s *state) remove(id string, now time.Time) {
	if now.Before(s.keepMissingUntil) {
		s.missing[id] = true
		return
	}
	s.forget(id)
}

// forget deletes a backend server and remembers its last entry.
func (s *state) forget(id string) {
	if b := s.backends[id]; b != nil {
		if len(s.removed) >= maxRemoved {
			clear(s.removed)
		}
		s.removed[id] = b
	}
	delete(s.backends, id)
}

// mayBeOlder reports whether entries of an update may be older than what is known, since the
// store came back from an older copy and there was no time to write them again.
func (s *state) mayBeOlder(u Update, now time.Time) bool {
	return u.NewEra || u.Full && now.Before(s.ignoreOlderUntil)
}

// knowsNewer reports whether an entry that an older copy of the store holds is not newer than what
// is known: it is superseded by the same incarnation or by a later one, or that has been removed
// since.
func (s *state) knowsNewer(b *traffic.Backend) bool {
	if known := s.backends[b.ID]; known != nil {
		return b.Born < known.Born || known.Born == b.Born && b.Seq < known.Seq
	}
	gone := s.removed[b.ID]
	return gone != nil && (b.Born < gone.Born || gone.Born == b.Born && b.Seq <= gone.Seq)
}

// expireMissing removes the backend servers that are still missing after the
// reregistrationWindow and reports whether it removed any.
func (s *state) expireMissing(now time.Time) bool {
	if s.storeLost || now.Before(s.keepMissingUntil) || len(s.missing) == 0 {
		return false
	}
	for id := range s.missing {
		s.forget(id)
	}
	clear(s.missing)
	return true
}
