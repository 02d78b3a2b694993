// Package shift moves traffic from the shares in force towards those of a
// placement, a step at a time.
//
// No step moves more of a service's traffic than the configured share, fills a
// zone that has no headroom, or takes a zone or link over its capacity; a zone
// counts as loaded for as long as callers may hold answers from before. Steps
// stand on a grid of time that is the same on every instance, so instances that
// are told the same agree.
package shift

import (
	"math"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/proportion"
	"github.com/banyandeal/banyandeal/internal/estate"
)

const (
	// Unit is the whole traffic of an edge region. The shares of its zones and
	// its overflow add up to it.
	Unit placement.Rate = 1_000_000_000
	// Step is the time between two steps.
	Step = 250 * time.Millisecond
	// stepsPerSecond is the number of steps in a second.
	stepsPerSecond = placement.Rate(time.Second / Step)
	// tolerance is the part of a service's demand that rounding may add to a
	// zone or link, as 1/tolerance.
	tolerance = 1_000_000
	// Defaults of Settings.
	defaultHoldAt    = 900
	defaultResumeAt  = 800
	defaultMinChange = Unit / 1000
)

// Settings of a ramp.
type Settings struct {
	// MaxShare and ColdShare are the largest shares of a service's traffic, of
	// Unit, that move in a second, and that move into a zone which is cold or
	// of which no report is known.
	MaxShare, ColdShare placement.Rate
	// ColdTime is how long a zone is cold after it began to fill.
	ColdTime time.Duration
	// HoldAt and ResumeAt are shares of slots in use, in thousandths: a zone
	// takes no more from the first on, until it has come down to the second.
	HoldAt, ResumeAt int64
	// MinChange is the least change, of Unit, that a ramp begins for, but for
	// one that empties a zone.
	MinChange placement.Rate
	// CapLosses holds the move off a lost zone under MaxShare too. Otherwise it
	// is done in one step, as far as headroom and caps allow; the rest becomes
	// overflow.
	CapLosses bool
	// Load says how far reports are believed.
	Load load.Policy
}

// NewSettings returns the settings for a declared policy.
func NewSettings(p estate.ShiftPolicy, believe load.Policy) Settings {
	share := func(s float64) placement.Rate { return placement.Rate(math.Round(s * float64(Unit))) }
	return Settings{
		MaxShare: share(p.MaxShare), ColdShare: min(share(p.ColdShare), share(p.MaxShare)), ColdTime: p.ColdTime,
		HoldAt: defaultHoldAt, ResumeAt: defaultResumeAt, MinChange: defaultMinChange, Load: believe,
	}
}

// zone is what a service knows of a zone.
type zone struct {
	report   load.Report
	evidence load.Observation
	// held is set while the zone has no headroom.
	held bool
	// coldUntil ends the time in which the zone is cold.
	coldUntil time.Time
}

// service is the ramp of one service.
type service struct {
	name string
	// shares are in force. Each row adds up to Unit.
	shares placement.Matrix
	target placement.Matrix
	// demand is the flow of each edge region, total their sum.
	demand []placement.Rate
	total  placement.Rate
	zones  []zone
	recent *history
	moving bool
	// blocked is set if the last step moved nothing on the way.
	blocked bool
	// changed is set if shares changed since Ready was last called.
	changed bool
}

// Ramp holds the shares in force of all services. It is not safe for use by
// many goroutines at once.
type Ramp struct {
	set      Settings
	plan     *placement.Plan
	services []service
	// lost marks the zones that are gone.
	lost []bool
	// slot is the number of the last step done, counted from 1970.
	slot int64
	// anchored is set once a step has been done here: from then on the shares
	// change by steps alone.
	anchored bool
	// adopted is when the position taken over was in force; zero if none was.
	adopted time.Time
}

// New returns a ramp without services.
func New(set Settings) *Ramp { return &Ramp{set: set} }

// Start puts a plan in force at once, for an instance that knows of no change
// under way.
func (r *Ramp) Start(now time.Time, plan *placement.Plan) {
	r.services = nil
	r.slot = slotOf(now)
	r.SetTarget(now, plan)
}

// StartFrom is Start for an instance that knows no neighbour's position: the
// declared change from one plan to the next, made at since, counts as under way
// at the slowest pace.
func (r *Ramp) StartFrom(now time.Time, before, plan *placement.Plan, since time.Time) {
	r.Start(now, before)
	r.SetTarget(now, plan)
	elapsed := min(max(now.Sub(since), 0), time.Hour)
	for i := range r.services {
		s := &r.services[i]
		s.advanceBy(proportion.MulDiv(r.set.ColdShare, placement.Rate(elapsed), placement.Rate(time.Second)))
		s.recent.raise(s.shares)
	}
}

// SetTarget gives the ramp a new plan to move to. Shares of zones that are no
// longer declared go to the others at once.
func (r *Ramp) SetTarget(now time.Time, plan *placement.Plan) {
	old, oldServices := r.plan, r.services
	lost := make([]bool, len(plan.Input.Zones))
	for z := range lost {
		lost[z] = old != nil && r.isLost(plan.Input.Zones[z].Name)
	}
	r.services = make([]service, len(plan.Services))
	for i := range plan.Services {
		s := newService(&plan.Input, &plan.Services[i], i)
		s.recent = newHistory(&plan.Input, plan.Input.Services[i].LookupTTL, r.slot, s.shares)
		for k := range oldServices {
			if oldServices[k].name == s.name {
				s.inherit(&oldServices[k], old, plan)
			}
		}
		s.changed = true
		r.services[i] = s
	}
	r.plan, r.lost = plan, lost
}

func newService(in *placement.Input, p *placement.ServicePlan, index int) service {
	s := service{
		name:   p.Name,
		target: placement.NewMatrix(p.Flow.Edges, p.Flow.Zones),
		demand: make([]placement.Rate, p.Flow.Edges),
		zones:  make([]zone, len(in.Zones)),
	}
	for e := range s.demand {
		row := p.Flow.Row(e)
		s.demand[e] = proportion.Sum(row)
		limits := make([]placement.Rate, len(row))
		for z, v := range row {
			if v > 0 {
				limits[z] = Unit
			}
		}
		copy(s.target.Row(e), proportion.Divide(Unit, row, limits))
	}
	s.total = max(proportion.Sum(s.demand), 1)
	s.shares = s.target.Clone()
	return s
}

// inherit takes shares, recent peaks and what is known of zones over from the
// service's ramp under the last plan, by the names of regions and zones.
func (s *service) inherit(old *service, oldPlan, plan *placement.Plan) {
	zones, edges := indexes(oldPlan, plan)
	for z, oz := range zones {
		if oz >= 0 {
			s.zones[z] = old.zones[oz]
		}
	}
	peak := s.shares.Clone()
	for e, oe := range edges {
		if oe < 0 {
			continue
		}
		row, top := s.shares.Row(e), peak.Row(e)
		clear(row)
		for z, oz := range zones {
			if oz >= 0 {
				row[z], top[z] = old.shares.Row(oe)[oz], old.recent.zones.peak.Row(oe)[oz]
			}
		}
		row[s.shares.Zones] = old.shares.Overflow(oe)
		s.complete(e)
	}
	s.moving = old.moving
	s.recent.restart(s.shares, peak)
	if old.recent.zones.length == s.recent.zones.length && sameNames(&oldPlan.Input, &plan.Input) {
		s.recent = old.recent
	}
}

// sameNames reports whether two inputs have the same regions and zones.
func sameNames(a, b *placement.Input) bool {
	return slices.Equal(a.Regions, b.Regions) && slices.Equal(a.Zones, b.Zones)
}

// complete gives what the zones that are gone leave of Unit to the others.
func (s *service) complete(e int) {
	row := s.shares.Row(e)
	limits := make([]placement.Rate, len(row))
	for z, v := range s.target.Row(e) {
		if v > 0 {
			limits[z] = Unit
		}
	}
	for z, v := range proportion.Divide(Unit-proportion.Sum(row), s.target.Row(e), limits) {
		row[z] += v
	}
}

// indexes returns, for each zone and region of a plan, its place in the old
// one, or -1.
func indexes(old, plan *placement.Plan) (zones, edges []int) {
	oldZones, oldEdges := map[string]int{}, map[string]int{}
	for i, z := range old.Input.Zones {
		oldZones[z.Name] = i
	}
	for i, name := range old.Input.Regions {
		oldEdges[name] = i
	}
	place := func(m map[string]int, name string) int {
		if i, ok := m[name]; ok {
			return i
		}
		return -1
	}
	for _, z := range plan.Input.Zones {
		zones = append(zones, place(oldZones, z.Name))
	}
	for _, name := range plan.Input.Regions {
		edges = append(edges, place(oldEdges, name))
	}
	return zones, edges
}

// advanceBy moves the shares towards the target by a share of the traffic,
// whatever caps say.
func (s *service) advanceBy(budget placement.Rate) {
	wants := s.wants()
	cost := s.cost(wants)
	if cost > budget {
		scale(wants.V, budget, cost)
	}
	for e := range s.demand {
		s.settle(e, wants.Row(e), s.excess(nil).Row(e))
	}
}

// Lost marks a zone that is gone, or back. The plan that leaves it out is given
// by SetTarget before the next Tick.
func (r *Ramp) Lost(name string, lost bool) {
	for z := range r.lost {
		if r.plan.Input.Zones[z].Name == name {
			r.lost[z] = lost
		}
	}
}

func (r *Ramp) isLost(name string) bool {
	for z := range r.lost {
		if r.plan.Input.Zones[z].Name == name {
			return r.lost[z]
		}
	}
	return false
}

// Report takes a zone's load of a service. An older one than is known is
// dropped.
func (r *Ramp) Report(service, zone string, rep load.Report) {
	if z := r.zone(service, zone); z != nil && !rep.At.Before(z.report.At) {
		z.report = rep
	}
}

// Refused notes that a zone refused a request of the service for lack of room.
func (r *Ramp) Refused(service, zone string, at time.Time) {
	if z := r.zone(service, zone); z != nil && at.After(z.evidence.Refused) {
		z.evidence.Refused = at
	}
}

func (r *Ramp) zone(service, name string) *zone {
	for i := range r.services {
		if r.services[i].name != service {
			continue
		}
		for z := range r.services[i].zones {
			if r.plan.Input.Zones[z].Name == name {
				return &r.services[i].zones[z]
			}
		}
	}
	return nil
}

// Shares returns the shares in force of a service, of Unit. They serve as the
// flows of placement.NewTable. The caller does not change them, and they do not
// change after the next Tick.
func (r *Ramp) Shares(service int) placement.Matrix { return r.services[service].shares }

// Status is what happened since Ready was last called.
type Status struct {
	// Changed lists the services whose shares changed.
	Changed []int
	// Moving is set while any service is on its way to its target.
	Moving bool
	// Blocked lists the services that are on their way but moved nothing in the
	// last step: what they want to enter is held, or full of what callers may
	// still go by.
	Blocked []string
	// Held lists the zones, by service, that take no more for now.
	Held []Held
}

// Held is a zone that has no headroom for a service.
type Held struct{ Service, Zone string }

// Ready returns the status.
func (r *Ramp) Ready() Status {
	var st Status
	for i := range r.services {
		s := &r.services[i]
		if s.changed {
			st.Changed = append(st.Changed, i)
			s.changed = false
		}
		st.Moving = st.Moving || s.moving
		if s.blocked {
			st.Blocked = append(st.Blocked, s.name)
		}
		for z := range s.zones {
			if s.zones[z].held {
				st.Held = append(st.Held, Held{s.name, r.plan.Input.Zones[z].Name})
			}
		}
	}
	return st
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(Step) }
