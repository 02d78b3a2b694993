package shift

import (
	"slices"
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
		s.recent.advance(slot, s.shares)
		s.hold(r.set, now)
	}
	r.begin()
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
	if s.blocked = false; !s.moving {
		return
	}
	next := *s
	next.shares = s.shares.Clone()
	if !r.set.CapLosses {
		r.leaveLost(i, &next)
	}
	r.move(i, &next, now)
	next.blocked = slices.Equal(s.shares.V, next.shares.V)
	next.changed = s.changed || !next.blocked
	*s = next
}

// begin decides which services move. One that has far enough to go, or has a
// zone to empty, sets off the others too: it may wait for room that they hold.
func (r *Ramp) begin() {
	any := false
	for i := range r.services {
		s := &r.services[i]
		wants := s.wants()
		s.moving = proportion.Sum(wants.V) > 0 && (s.moving || s.cost(wants) >= r.set.MinChange || s.empties())
		any = any || s.moving
	}
	for i := range r.services {
		s := &r.services[i]
		s.moving = s.moving || any && proportion.Sum(s.wants().V) > 0
	}
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
	if proportion.Sum(s.excess(r.lost).V) == 0 {
		return
	}
	for _, local := range []bool{true, false} {
		r.transfer(i, s, transfer{local: local, from: r.lost, budget: Unit})
	}
	excess := s.excess(r.lost)
	for e := range s.demand {
		rest := make([]placement.Rate, s.shares.Zones+1)
		rest[s.shares.Zones] = proportion.Sum(excess.Row(e))
		s.settle(e, rest, excess.Row(e))
	}
	s.recent.raise(s.shares)
}

// move moves the service by no more than the configured share: inside regions
// first, which takes no room on links.
func (r *Ramp) move(i int, s *service, now time.Time) {
	begin := s.shares.Clone()
	budget := r.set.MaxShare / stepsPerSecond
	left := r.transfer(i, s, transfer{local: true, budget: budget, pace: &begin, now: now})
	r.transfer(i, s, transfer{budget: left, pace: &begin, now: now})
}

// transfer is one move of shares towards the target.
type transfer struct {
	// local moves between the zones of one region only.
	local bool
	// from marks the zones that give; nil is all, and the overflow.
	from []bool
	// budget is the largest share of the service's traffic to move.
	budget placement.Rate
	// pace holds the shares at the begin of the step, which gains into cold
	// zones are counted from; nil does not slow them.
	pace *placement.Matrix
	now  time.Time
}

// transfer does one move and returns what it left of the budget.
func (r *Ramp) transfer(i int, s *service, t transfer) placement.Rate {
	gains, excess := s.wants(), s.excess(t.from)
	r.close(s, gains)
	groups := s.groups(t.local)
	for e := range s.demand {
		if t.local {
			gains.Row(e)[s.shares.Zones] = 0
		}
		for _, g := range groups {
			fit(gains.Row(e), excess.Row(e), g)
		}
	}
	if t.pace != nil {
		r.slowCold(s, gains, t)
	}
	r.boundZones(i, s, gains)
	if !t.local {
		r.boundLinks(s, gains)
	}
	cost := s.cost(gains)
	if cost > t.budget {
		scale(gains.V, t.budget, cost)
	}
	for e := range s.demand {
		for _, g := range groups {
			if sumOf(gains.Row(e), g) > 0 {
				s.settle(e, masked(gains.Row(e), g), masked(excess.Row(e), g))
			}
		}
	}
	s.recent.raise(s.shares)
	return max(t.budget-cost, 0)
}

// groups returns the sets of cells of a row that exchange shares: the zones of
// each region, or all cells.
func (s *service) groups(local bool) [][]bool {
	cells := s.shares.Zones + 1
	if !local {
		all := make([]bool, cells)
		for z := range all {
			all[z] = true
		}
		return [][]bool{all}
	}
	groups := make([][]bool, s.recent.count)
	for r := range groups {
		groups[r] = make([]bool, cells)
		for z, region := range s.recent.regionOf {
			groups[r][z] = region == r
		}
	}
	return groups
}

// masked returns a copy of a row without the cells outside the group.
func masked(row []placement.Rate, group []bool) []placement.Rate {
	out := make([]placement.Rate, len(row))
	for z, in := range group {
		if in {
			out[z] = row[z]
		}
	}
	return out
}

// sumOf returns the sum of a row's cells in the group.
func sumOf(row []placement.Rate, group []bool) placement.Rate {
	var sum placement.Rate
	for z, in := range group {
		if in {
			sum += row[z]
		}
	}
	return sum
}

// fit scales a group's gains to what the group can give.
func fit(gains, excess []placement.Rate, group []bool) {
	given := sumOf(excess, group)
	if sumOf(gains, group) <= given {
		return
	}
	wanted := masked(gains, group)
	for z, v := range proportion.Divide(given, wanted, wanted) {
		if group[z] {
			gains[z] = v
		}
	}
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

// settle adds gains to an edge region's row and takes them from the cells with
// an excess.
func (s *service) settle(e int, gains, excess []placement.Rate) {
	row := s.shares.Row(e)
	for z, v := range proportion.Divide(proportion.Sum(gains), excess, excess) {
		row[z] += gains[z] - v
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
func (r *Ramp) slowCold(s *service, gains placement.Matrix, t transfer) {
	for z := range s.zones {
		var cost, recent, gain placement.Rate
		budget := r.set.ColdShare / stepsPerSecond
		for e, d := range s.demand {
			cost += proportion.MulDiv(gains.Row(e)[z], d, s.total)
			budget -= proportion.MulDiv(max(s.shares.Row(e)[z]-t.pace.Row(e)[z], 0), d, s.total)
			recent += s.recent.zones.peak.Row(e)[z]
			gain += gains.Row(e)[z]
		}
		if recent == 0 && gain > 0 {
			s.zones[z].coldUntil = t.now.Add(r.set.ColdTime)
		}
		slow := t.now.Before(s.zones[z].coldUntil) || r.set.Load.Expired(t.now, s.zones[z].report)
		if slow && cost > budget {
			for e := range s.demand {
				scale(gains.Row(e)[z:z+1], max(budget, 0), cost)
			}
		}
	}
}

// boundZones keeps zones under their capacity, counting each cell at the most
// that callers may still hold. A zone that is over it gains nothing at all.
func (r *Ramp) boundZones(i int, s *service, gains placement.Matrix) {
	for z := range s.zones {
		var load, more placement.Rate
		for e := range s.demand {
			load += s.flow(e, s.recent.zones.peak.Row(e)[z])
			more += s.flow(e, s.beyond(e, z, gains))
		}
		room := r.plan.Input.Services[i].Capacity[z] - load + s.slack()
		for e := range s.demand {
			gain := &gains.Row(e)[z]
			*gain = limit(*gain, s.beyond(e, z, gains), room, more)
		}
	}
}

// boundLinks does the same for links and what goes into a region as a whole.
func (r *Ramp) boundLinks(s *service, gains placement.Matrix) {
	for _, l := range r.plan.Input.Links {
		row := gains.Row(l.From)
		into := make([]bool, len(row))
		var share placement.Rate
		for z, region := range s.recent.regionOf {
			if region == l.To {
				into[z] = true
				share += s.shares.Row(l.From)[z]
			}
		}
		gain := sumOf(row, into)
		beyond := max(share+gain-s.recent.regions.peak.Row(l.From)[l.To], 0)
		room := l.Cap - r.linkLoad(l) + s.slack()
		allowed := limit(gain, beyond, room, s.flow(l.From, beyond))
		if allowed == gain {
			continue
		}
		for z := range into {
			if into[z] {
				scale(row[z:z+1], allowed, gain)
			}
		}
	}
}

// limit bounds a gain, a part of which goes beyond a recent peak, where more
// flow is wanted than there is room: that part is scaled to room/more. Without
// room nothing is left.
func limit(gain, beyond, room, more placement.Rate) placement.Rate {
	if room < 0 {
		return 0
	}
	if more > room {
		return gain - beyond + proportion.MulDiv(beyond, room, more)
	}
	return gain
}

// slack is the flow that rounding may add to a zone or link.
func (s *service) slack() placement.Rate { return s.total/tolerance + 1 }

// flow returns the flow of a share of an edge region.
func (s *service) flow(e int, share placement.Rate) placement.Rate {
	return proportion.MulDiv(share, s.demand[e], Unit)
}

// beyond returns the part of a cell's gain that takes it over its recent peak.
func (s *service) beyond(e, z int, gains placement.Matrix) placement.Rate {
	return max(s.shares.Row(e)[z]+gains.Row(e)[z]-s.recent.zones.peak.Row(e)[z], 0)
}

// linkLoad returns the most that callers of all services may send over a link.
func (r *Ramp) linkLoad(l placement.Link) placement.Rate {
	var load placement.Rate
	for i := range r.services {
		s := &r.services[i]
		load += s.flow(l.From, s.recent.regions.peak.Row(l.From)[l.To])
	}
	return load
}

func scale(v []placement.Rate, num, den placement.Rate) {
	for i := range v {
		v[i] = proportion.MulDiv(v[i], num, den)
	}
}
