package shift

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/proportion"
)

// Tick does the step that now falls in, if it has not been done. Steps missed
// are not made up for: an instance that was paused goes on from where it was.
func (r *Ramp) Tick(now time.Time) {
	slot := slotOf(now)
	if slot <= r.slot {
		return
	}
	r.slot, r.anchored = slot, true
	for i := range r.services {
		s := &r.services[i]
		s.window.advance(slot, s.shares)
		s.hold(r.set, now)
	}
	for i := range r.services {
		r.step(i, now)
	}
}

// hold decides which zones have no headroom.
func (s *service) hold(set Settings, now time.Time) {
	for i := range s.zones {
		z := &s.zones[i]
		slots := max(z.report.Slots, 1)
		used := int64(set.Load.Busy(now, slots, z.report, z.evidence)) / int64(slots)
		if z.held {
			z.held = used > set.ResumeAt
		} else {
			z.held = used >= set.HoldAt
		}
	}
}

// step moves one service.
func (r *Ramp) step(i int, now time.Time) {
	s := &r.services[i]
	if !r.begins(s) {
		return
	}
	next := *s
	next.shares = s.shares.Clone()
	if !r.set.CapLosses {
		r.leaveLost(i, &next)
	}
	r.move(i, &next, now)
	*s = next
	s.changed = true
}

// begins reports whether the service is to move: it is on the way, has far
// enough to go, or has a zone to empty.
func (r *Ramp) begins(s *service) bool {
	wants := s.wants()
	cost := s.cost(wants)
	switch {
	case proportion.Sum(wants.V) == 0:
		s.moving = false
	case s.moving, cost >= r.set.MinChange, s.empties():
		s.moving = true
	}
	return s.moving
}

// empties reports whether a zone that has a share is to have none.
func (s *service) empties() bool {
	for i, v := range s.shares.V {
		if v > 0 && s.target.V[i] == 0 {
			return true
		}
	}
	return false
}

// leaveLost takes all shares off lost zones in one step: to where headroom and
// caps allow, and else to the overflow.
func (r *Ramp) leaveLost(i int, s *service) {
	excess := s.excess(r.lost)
	if proportion.Sum(excess.V) == 0 {
		return
	}
	wants := s.wants()
	r.close(s, wants)
	for e := range s.demand {
		row := wants.Row(e)
		copy(row, proportion.Divide(proportion.Sum(excess.Row(e)), row, row))
	}
	r.bound(i, s, wants)
	for e := range s.demand {
		rest := proportion.Sum(excess.Row(e)) - proportion.Sum(wants.Row(e))
		wants.Row(e)[s.shares.Zones] += rest
	}
	s.apply(wants, excess)
	s.window.raise(s.shares)
}

// move moves the service by no more than the configured share.
func (r *Ramp) move(i int, s *service, now time.Time) {
	wants := s.wants()
	r.close(s, wants)
	r.slowCold(s, wants, now)
	r.bound(i, s, wants)
	if cost, budget := s.cost(wants), r.set.MaxShare/stepsPerSecond; cost > budget {
		scale(wants.V, budget, cost)
	}
	s.apply(wants, s.excess(nil))
	s.window.raise(s.shares)
}

// wants returns what each cell lacks of its target.
func (s *service) wants() placement.Matrix {
	w := placement.NewMatrix(s.shares.Edges, s.shares.Zones)
	for i, v := range s.target.V {
		w.V[i] = max(v-s.shares.V[i], 0)
	}
	return w
}

// excess returns what each cell has beyond its target, of the given zones or
// all.
func (s *service) excess(zones []bool) placement.Matrix {
	x := placement.NewMatrix(s.shares.Edges, s.shares.Zones)
	for e := range s.demand {
		row := x.Row(e)
		for z, v := range s.target.Row(e) {
			if zones == nil || z < len(zones) && zones[z] {
				row[z] = max(s.shares.Row(e)[z]-v, 0)
			}
		}
	}
	return x
}

// cost returns the share of the service's traffic that the gains move.
func (s *service) cost(gains placement.Matrix) placement.Rate {
	var c placement.Rate
	for e, d := range s.demand {
		c += proportion.MulDiv(proportion.Sum(gains.Row(e)), d, s.total)
	}
	return c
}

// apply adds the gains and takes them, in each edge region, from the cells with
// an excess.
func (s *service) apply(gains, excess placement.Matrix) {
	for e := range s.demand {
		row, gain, over := s.shares.Row(e), gains.Row(e), excess.Row(e)
		for z, v := range proportion.Divide(proportion.Sum(gain), over, over) {
			row[z] += gain[z] - v
		}
	}
}

// close takes away what would go to zones that are held or lost.
func (r *Ramp) close(s *service, gains placement.Matrix) {
	for e := range s.demand {
		row := gains.Row(e)
		for z := range s.zones {
			if s.zones[z].held || r.lost[z] {
				row[z] = 0
			}
		}
	}
}

// slowCold bounds what goes into each zone that is cold, or of which nothing is
// known. A zone without a share in recent time begins to be cold.
func (r *Ramp) slowCold(s *service, gains placement.Matrix, now time.Time) {
	budget := r.set.ColdShare / stepsPerSecond
	for z := range s.zones {
		var cost, recent, gain placement.Rate
		for e, d := range s.demand {
			cost += proportion.MulDiv(gains.Row(e)[z], d, s.total)
			recent += s.window.peak.Row(e)[z]
			gain += gains.Row(e)[z]
		}
		if recent == 0 && gain > 0 {
			s.zones[z].coldUntil = now.Add(r.set.ColdTime)
		}
		slow := now.Before(s.zones[z].coldUntil) || r.set.Load.Blind(now, s.zones[z].report)
		if slow && cost > budget {
			for e := range s.demand {
				scale(gains.Row(e)[z:z+1], budget, cost)
			}
		}
	}
}

// bound keeps zones and links under their caps, counting each cell at the most
// that callers may still hold. What is over its cap gains nothing at all.
func (r *Ramp) bound(i int, s *service, gains placement.Matrix) {
	in := &r.plan.Input
	slack := s.total/tolerance + 1
	for z := range in.Zones {
		var load, more placement.Rate
		for e := range s.demand {
			load += s.flow(e, s.window.peak.Row(e)[z])
			more += s.flow(e, s.beyond(e, z, gains))
		}
		room := in.Services[i].Capacity[z] - load + slack
		for e := range s.demand {
			s.limit(e, z, gains, room, more)
		}
	}
	for _, l := range in.Links {
		var more placement.Rate
		for z := range in.Zones {
			if in.Zones[z].Region == l.To {
				more += s.flow(l.From, s.beyond(l.From, z, gains))
			}
		}
		room := l.Cap - r.linkLoad(l) + slack
		for z := range in.Zones {
			if in.Zones[z].Region == l.To {
				s.limit(l.From, z, gains, room, more)
			}
		}
	}
}

// flow returns the flow of a share of an edge region.
func (s *service) flow(e int, share placement.Rate) placement.Rate {
	return proportion.MulDiv(share, s.demand[e], Unit)
}

// beyond returns the part of a cell's gain that takes it over its recent peak.
func (s *service) beyond(e, z int, gains placement.Matrix) placement.Rate {
	return max(s.shares.Row(e)[z]+gains.Row(e)[z]-s.window.peak.Row(e)[z], 0)
}

// limit bounds a cell's gain where more is wanted than there is room: the part
// beyond its recent peak is scaled to room/more. Without room nothing is left.
func (s *service) limit(e, z int, gains placement.Matrix, room, more placement.Rate) {
	if room < 0 {
		gains.Row(e)[z] = 0
		return
	}
	if more > room {
		b := s.beyond(e, z, gains)
		gains.Row(e)[z] -= b - proportion.MulDiv(b, room, more)
	}
}

// linkLoad returns the most that callers of all services may send over a link.
func (r *Ramp) linkLoad(l placement.Link) placement.Rate {
	var load placement.Rate
	for i := range r.services {
		s := &r.services[i]
		for z := range r.plan.Input.Zones {
			if r.plan.Input.Zones[z].Region == l.To {
				load += s.flow(l.From, s.window.peak.Row(l.From)[z])
			}
		}
	}
	return load
}

func scale(v []placement.Rate, num, den placement.Rate) {
	for i := range v {
		v[i] = proportion.MulDiv(v[i], num, den)
	}
}
