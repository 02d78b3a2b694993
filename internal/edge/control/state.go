package control

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Update is one change that a feed has read. Exactly one of the payload fields
// is meant, by Kind.
type Update struct {
	Kind Kind
	// Full tells that the update holds everything there is of its kind; what
	// it does not name is gone.
	Full bool
	// Config is set with KindOperator when the configuration changed.
	Config *traffic.Config
	// Evacuated maps zones to whether they are evacuated, for KindOperator.
	Evacuated map[string]bool
	// Backends and Members map a name to the new entry, or to nil when the
	// entry was removed.
	Backends map[string]*traffic.Backend
	Members  map[string]*traffic.Member
	// StoreLost and StoreRegained tell that the feed of the kind lost or regained the
	// store; Away is how long it was lost.
	StoreLost, StoreRegained bool
	OutageDuration           time.Duration
}

// Kind names what an Update is about.
type Kind uint8

// Kinds of updates.
const (
	KindOperator Kind = iota
	KindBackends
	KindMembers
)

// String returns the name of the kind in logs.
func (k Kind) String() string { return [...]string{"operator", "backends", "members"}[k] }

const (
	// rejoin is how long after the store's return entries that lapsed while
	// it was away may take to come back.
	rejoin = 2200 * time.Millisecond
	// lapse is the shortest outage in which entries may lapse.
	lapse = time.Second
)

// state is what the control goroutine owns.
type state struct {
	config    *traffic.Config
	evacuated map[string]bool
	backends  map[string]*traffic.Backend
	members   map[string]traffic.Member
	// missing holds backend servers whose entry vanished around an outage of
	// the store; they are kept until settle.
	missing map[string]bool
	settle  time.Time
	lost    bool
}

func newState() *state {
	return &state{
		evacuated: map[string]bool{}, backends: map[string]*traffic.Backend{},
		members: map[string]traffic.Member{}, missing: map[string]bool{},
	}
}

// apply takes an update in and reports whether the view may have changed.
func (s *state) apply(u Update, now time.Time) bool {
	switch u.Kind {
	case KindOperator:
		return s.applyOperator(u)
	case KindMembers:
		return s.applyMembers(u)
	}
	return s.applyBackends(u, now)
}

func (s *state) applyOperator(u Update) bool {
	changed := false
	if u.Config != nil && (s.config == nil || u.Config.Version > s.config.Version) {
		s.config = u.Config
		changed = true
	}
	if u.Full {
		s.evacuated = map[string]bool{}
		changed = true
	}
	for zone, on := range u.Evacuated {
		changed = true
		if on {
			s.evacuated[zone] = true
		} else {
			delete(s.evacuated, zone)
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
	if u.StoreLost {
		s.lost = true
		return false
	}
	if u.StoreRegained {
		s.lost = false
		if u.OutageDuration >= lapse {
			s.settle = now.Add(rejoin)
		}
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
		delete(s.missing, id)
		s.backends[id] = b
	}
	return u.Full || len(u.Backends) > 0
}

// remove drops a backend server, or holds it while its entry may come back.
func (s *state) remove(id string, now time.Time) {
	if now.Before(s.settle) {
		s.missing[id] = true
		return
	}
	delete(s.backends, id)
}

// tick drops what is still missing after the store has settled.
func (s *state) tick(now time.Time) bool {
	if s.lost || now.Before(s.settle) || len(s.missing) == 0 {
		return false
	}
	for id := range s.missing {
		delete(s.backends, id)
	}
	clear(s.missing)
	return true
}
