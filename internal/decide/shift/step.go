package shift

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/proportion"
)

// Tick does the step that now falls in, unless it has been done. Missed steps
// are not made up for: an instance that was paused continues from the shares
// that it had.
func (r *Ramp) Tick(now time.Time) {
	step := stepNumber(now)
	if step <= r.step {
		return
	}
	r.step, r.stepped = step, true
	for i := range r.services {
		s := &r.services[i]
		s.peaks.advance(step, s.shares)
		s.updateHeld(r.settings, now)
	}
	r.startMoving()
	for i := range r.services {
		r.stepService(i, now)
	}
}

// updateHeld decides which zones have no headroom. The two thresholds give
// hysteresis.
func (s *service) updateHeld(settings Settings, now time.Time) {
	for i := range s.zones {
		z := &s.zones[i]
		slots := max(z.report.Slots, 1)
		used := int64(settings.LoadPolicy.Busy(now, slots, z.report, z.observation)) / int64(slots)
		if z.held {
			z.held = used > settings.ResumeUtilisation
		} else {
			z.held = used >= settings.HoldUtilisation
		}
	}
}

// stepService does one step of one service.
func (r *Ramp) stepService(i int, now time.Time) {
	s := &r.services[i]
	if s.blocked = false; !s.moving {
		return
	}
	next := *s
	next.shares = s.shares.Clone()
	if !r.settings.LimitLossMoves {
		r.vacateLostZones(i, &next)
	}
	r.moveService(i, &next, now)
	next.blocked = slices.Equal(s.shares.Values, next.shares.Values)
	next.changed = s.changed || !next.blocked
	*s = next
}

// startMoving decides which services move. A service starts to move if its
// change is at least MinChange or empties a zone. It sets all other services
// with any change in motion too, because it may need capacity that they occupy.
func (r *Ramp) startMoving() {
	any := false
	for i := range r.services {
		s := &r.services[i]
		deficits := s.deficits()
		s.moving = proportion.Sum(deficits.Values) > 0 && (s.moving || s.cost(deficits) >= r.settings.MinChange || s.hasZoneToEmpty())
		any = any || s.moving
	}
	for i := range r.services {
		s := &r.services[i]
		s.moving = s.moving || any && proportion.Sum(s.deficits().Values) > 0
	}
}

// hasZoneToEmpty reports whether a cell that has a share has the target 0.
func (s *service) hasZoneToEmpty() bool {
	for i, v := range s.shares.Values {
		if v > 0 && s.target.Values[i] == 0 {
			return true
		}
	}
	return false
}

// vacateLostZones moves all shares off lost zones in one step. They go to other
// zones as far as headroom and caps allow, and the rest to the overflow.
func (r *Ramp) vacateLostZones(i int, s *service) {
	if proportion.Sum(s.excess(r.lost).Values) == 0 {
		return
	}
	for _, withinRegion := range []bool{true, false} {
		r.transfer(i, s, transfer{withinRegion: withinRegion, fromZones: r.lost, budget: FullShare})
	}
	excess := s.excess(r.lost)
	for e := range s.demand {
		overflow := make([]placement.Rate, s.shares.Zones+1)
		overflow[s.shares.Zones] = proportion.Sum(excess.Row(e))
		s.applyGains(e, overflow, excess.Row(e))
	}
	s.peaks.record(s.shares)
}

// moveService moves at most the part of MaxShare that falls to one step. It
// first moves shares within regions, which takes no capacity of links.
func (r *Ramp) moveService(i int, s *service, now time.Time) {
	initialShares := s.shares.Clone()
	budget := r.settings.MaxShare / stepsPerSecond
	remaining := r.transfer(i, s, transfer{withinRegion: true, budget: budget, startShares: &initialShares, now: now})
	r.transfer(i, s, transfer{budget: remaining, startShares: &initialShares, now: now})
}

// transfer describes one move of shares towards the target.
type transfer struct {
	// withinRegion limits the move to shares that stay in a region.
	withinRegion bool
	// fromZones marks the zones that give up shares. If it is nil, all zones
	// and the overflow do.
	fromZones []bool
	// budget is the largest share of the service's traffic to move.
	budget placement.Rate
	// startShares holds the shares at the start of the step, from which the
	// gains of cold zones are counted. If it is nil, cold zones are not
	// limited.
	startShares *placement.Matrix
	// now is the time of the step.
	now time.Time
}

// transfer does one move and returns the rest of the budget.
func (r *Ramp) transfer(i int, s *service, t transfer) placement.Rate {
	gains, excess := s.deficits(), s.excess(t.fromZones)
	r.close(s, gains)
	groups := s.groups(t.withinRegion)
	for e := range s.demand {
		if t.withinRegion {
			gains.Row(e)[s.shares.Zones] = 0
		}
		for _, g := range groups {
			limitToExcess(gains.Row(e), excess.Row(e), g)
		}
	}
	if t.startShares != nil {
		r.limitColdZones(s, gains, t)
	}
	r.limitZones(i, s, gains)
	if !t.withinRegion {
		r.limitLinks(s, gains)
	}
	cost := s.cost(gains)
	if cost > t.budget {
		scale(gains.Values, t.budget, cost)
	}
	for e := range s.demand {
		for _, g := range groups {
			if sumOf(gains.Row(e), g) > 0 {
				s.applyGains(e, masked(gains.Row(e), g), masked(excess.Row(e), g))
			}
		}
	}
	s.peaks.record(s.shares)
	return max(t.budget-cost, 0)
}

// groups returns the sets of cells of a row that exchange shares: the zones of
// each region, or a single set of all cells.
func (s *service) groups(withinRegion bool) [][]bool {
	cells := s.shares.Zones + 1
	if !withinRegion {
		all := make([]bool, cells)
		for z := range all {
			all[z] = true
		}
		return [][]bool{all}
	}
	groups := make([][]bool, s.peaks.regionCount)
	for r := range groups {
		groups[r] = make([]bool, cells)
		for z, region := range s.peaks.regionOf {
			groups[r][z] = region == r
		}
	}
	return groups
}

// masked returns a copy of a row in which the cells outside the group are 0.
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

// limitToExcess scales the gains of a group down to the excess of the group.
func limitToExcess(gains, excess []placement.Rate, group []bool) {
	available := sumOf(excess, group)
	if sumOf(gains, group) <= available {
		return
	}
	wanted := masked(gains, group)
	for z, v := range proportion.Divide(available, wanted, wanted) {
		if group[z] {
			gains[z] = v
		}
	}
}

// deficits returns by how much each cell is below its target.
func (s *service) deficits() placement.Matrix {
	w := placement.NewMatrix(s.shares.Edges, s.shares.Zones)
	for i, v := range s.target.Values {
		w.Values[i] = max(v-s.shares.Values[i], 0)
	}
	return w
}

// excess returns by how much each cell of the given zones is above its target.
// If zones is nil, it covers all zones and the overflow.
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
		c += proportion.MulDiv(proportion.Sum(gains.Row(e)), d, s.totalDemand)
	}
	return c
}

// applyGains adds gains to the row of edge region e and subtracts the same
// amount from the cells with an excess, in proportion to the excess.
func (s *service) applyGains(e int, gains, excess []placement.Rate) {
	row := s.shares.Row(e)
	for z, v := range proportion.Divide(proportion.Sum(gains), excess, excess) {
		row[z] += gains[z] - v
	}
}

// close clears the gains of zones that are held or lost.
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

// limitColdZones limits the gains of each zone that is cold or has no usable
// load report. A zone becomes cold when it gains a share after a time in which
// callers could use no share of it.
func (r *Ramp) limitColdZones(s *service, gains placement.Matrix, t transfer) {
	for z := range s.zones {
		var cost, peaks, gain placement.Rate
		budget := r.settings.ColdShare / stepsPerSecond
		for e, d := range s.demand {
			cost += proportion.MulDiv(gains.Row(e)[z], d, s.totalDemand)
			budget -= proportion.MulDiv(max(s.shares.Row(e)[z]-t.startShares.Row(e)[z], 0), d, s.totalDemand)
			peaks += s.peaks.zones.peak.Row(e)[z]
			gain += gains.Row(e)[z]
		}
		if peaks == 0 && gain > 0 {
			s.zones[z].coldUntil = t.now.Add(r.settings.ColdTime)
		}
		slow := t.now.Before(s.zones[z].coldUntil) || r.settings.LoadPolicy.Expired(t.now, s.zones[z].report)
		if slow && cost > budget {
			for e := range s.demand {
				scale(gains.Row(e)[z:z+1], max(budget, 0), cost)
			}
		}
	}
}

// limitZones keeps zones within their capacity. Each cell counts with the
// largest share that callers may still use. A zone that is over its capacity
// gains nothing at all.
func (r *Ramp) limitZones(i int, s *service, gains placement.Matrix) {
	for z := range s.zones {
		var load, wanted placement.Rate
		for e := range s.demand {
			load += s.flowOf(e, s.peaks.zones.peak.Row(e)[z])
			wanted += s.flowOf(e, s.abovePeak(e, z, gains))
		}
		available := r.plan.Input.Services[i].Capacity[z] - load + s.roundingSlack()
		for e := range s.demand {
			gain := &gains.Row(e)[z]
			*gain = limitGain(*gain, s.abovePeak(e, z, gains), available, wanted)
		}
	}
}

// limitLinks keeps links within their caps in the same way. It counts the share
// of a region as a whole.
func (r *Ramp) limitLinks(s *service, gains placement.Matrix) {
	for _, l := range r.plan.Input.Links {
		row := gains.Row(l.From)
		into := make([]bool, len(row))
		var share placement.Rate
		for z, region := range s.peaks.regionOf {
			if region == l.To {
				into[z] = true
				share += s.shares.Row(l.From)[z]
			}
		}
		gain := sumOf(row, into)
		abovePeak := max(share+gain-s.peaks.regions.peak.Row(l.From)[l.To], 0)
		available := l.Cap - r.peakLinkFlow(l) + s.roundingSlack()
		allowed := limitGain(gain, abovePeak, available, s.flowOf(l.From, abovePeak))
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

// limitGain limits a gain of which the part abovePeak takes the share above its
// peak. If more flow is wanted above the peaks than is available, that part is
// scaled by available/wanted. If available is negative, the gain becomes 0.
func limitGain(gain, abovePeak, available, wanted placement.Rate) placement.Rate {
	if available < 0 {
		return 0
	}
	if wanted > available {
		return gain - abovePeak + proportion.MulDiv(abovePeak, available, wanted)
	}
	return gain
}

// roundingSlack returns the flow that rounding may add to a zone or link.
func (s *service) roundingSlack() placement.Rate { return s.totalDemand/toleranceDivisor + 1 }

// flowOf returns the flow of a share of edge region e.
func (s *service) flowOf(e int, share placement.Rate) placement.Rate {
	return proportion.MulDiv(share, s.demand[e], FullShare)
}

// abovePeak returns the part of a cell's gain that takes its share above its
// peak.
func (s *service) abovePeak(e, z int, gains placement.Matrix) placement.Rate {
	return max(s.shares.Row(e)[z]+gains.Row(e)[z]-s.peaks.zones.peak.Row(e)[z], 0)
}

// peakLinkFlow returns the largest flow that callers of all services may send
// over a link.
func (r *Ramp) peakLinkFlow(l placement.Link) placement.Rate {
	var load placement.Rate
	for i := range r.services {
		s := &r.services[i]
		load += s.flowOf(l.From, s.peaks.regions.peak.Row(l.From)[l.To])
	}
	return load
}

// scale multiplies each value by num/den.
func scale(v []placement.Rate, num, den placement.Rate) {
	for i := range v {
		v[i] = proportion.MulDiv(v[i], num, den)
	}
}
