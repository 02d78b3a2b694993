package once

import "time"

// peers holds what this instance knows about other homes.
type peers struct {
	// moved holds the known handovers by the home that handed over.
	moved map[Home]handedOver
	// terminated holds the homes that are known to have terminated, with the
	// time at which the entry may be dropped.
	terminated map[Home]time.Time
	// transferReplies holds the reply to each home's transfer; true means
	// accepted. A reply stays final for the lifetime of this instance, because
	// a copy of the transfer may still be in transit. There is one entry for
	// each planned shutdown that chose this instance as successor.
	transferReplies map[Home]bool
}

// handedOver is a known handover of a home's authority.
type handedOver struct {
	// to is the successor.
	to Home
	// until is the time at which the last key of the home has expired.
	until time.Time
}

func newPeers() peers {
	return peers{moved: map[Home]handedOver{}, terminated: map[Home]time.Time{}, transferReplies: map[Home]bool{}}
}

// handedOver records a handover. A home hands over only once, so later calls for
// the same home have no effect.
func (p *peers) handedOver(from, to Home, until time.Time) {
	if _, known := p.moved[from]; !known && from != to {
		p.moved[from] = handedOver{to: to, until: until}
	}
}

// currentAuthority follows the chain of handovers from a home to the instance
// that holds its authority now. ok is false if that instance has terminated or
// if the chain is longer than maxHandoverChain.
func (p *peers) currentAuthority(home, self Home) (to Home, ok bool) {
	for range maxHandoverChain {
		m, moved := p.moved[home]
		if !moved {
			return home, !p.hasTerminated(home, self)
		}
		home = m.to
	}
	return home, false
}

// hasTerminated reports whether the home is known to have terminated. Another
// incarnation of this instance itself always has.
func (p *peers) hasTerminated(home, self Home) bool {
	_, terminated := p.terminated[home]
	replaced := home.Zone == self.Zone && home.ID == self.ID && home.Incarnation != self.Incarnation
	return terminated || replaced
}

// expire drops the facts about homes whose keys have all expired.
func (p *peers) expire(now time.Time) {
	for h, m := range p.moved {
		if !m.until.After(now) {
			delete(p.moved, h)
		}
	}
	for h, until := range p.terminated {
		if !until.After(now) {
			delete(p.terminated, h)
		}
	}
}
