package once

import "time"

// peers is what is known of other homes.
type peers struct {
	moved map[Home]move
	gone  map[Home]time.Time
	// replied holds the reply to each home's transfer. A reply is final for
	// the life of this instance: a copy of the transfer may still be on its
	// way. There are as many as planned stops that chose this instance.
	replied map[Home]bool
}

// move tells where a home's authority went, until the home's last key expired.
type move struct {
	to    Home
	until time.Time
}

func newPeers() peers {
	return peers{moved: map[Home]move{}, gone: map[Home]time.Time{}, replied: map[Home]bool{}}
}

// move notes a handover. A home hands over once, so the first note stands.
func (p *peers) move(from, to Home, until time.Time) {
	if _, known := p.moved[from]; !known && from != to {
		p.moved[from] = move{to: to, until: until}
	}
}

// authority follows the handovers of a home to the instance that has its
// authority now. ok is false when that instance has ended.
func (p *peers) authority(home, self Home) (to Home, ok bool) {
	for range maxMoves {
		m, moved := p.moved[home]
		if !moved {
			return home, !p.ended(home, self)
		}
		home = m.to
	}
	return home, false
}

func (p *peers) ended(home, self Home) bool {
	_, gone := p.gone[home]
	replaced := home.Zone == self.Zone && home.ID == self.ID && home.Incarnation != self.Incarnation
	return gone || replaced
}

func (p *peers) expire(now time.Time) {
	for h, m := range p.moved {
		if !m.until.After(now) {
			delete(p.moved, h)
		}
	}
	for h, until := range p.gone {
		if !until.After(now) {
			delete(p.gone, h)
		}
	}
}
