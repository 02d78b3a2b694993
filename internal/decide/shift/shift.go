// Package shift moves traffic step by step from the shares in force to those of
// a placement.
//
// No step moves more of a service's traffic than the configured share, moves
// traffic into a zone without headroom, or takes a zone or link over its
// capacity. The load of a zone or link counts at its peak for as long as
// callers may use earlier lookup answers. Steps are aligned to a time grid that
// is the same on every instance, so instances that receive the same input
// compute the same shares.
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
	// FullShare stands for the whole traffic of an edge region. Shares are
	// multiples of 1/FullShare of that traffic: the shares of the zones and of
	// the overflow add up to FullShare.
	FullShare placement.Rate = 1_000_000_000
	// StepInterval is the time between two steps.
	StepInterval = 250 * time.Millisecond
	// stepsPerSecond is the number of steps in a second.
	stepsPerSecond = placement.Rate(time.Second / StepInterval)
	// toleranceDivisor bounds the excess flow that rounding may add to a zone
	// or link: the service's total demand divided by toleranceDivisor.
	toleranceDivisor = 1_000_000
	// defaultHoldUtilisation is the default of Settings.HoldUtilisation, in
	// thousandths.
	defaultHoldUtilisation = 900
	// defaultResumeUtilisation is the default of Settings.ResumeUtilisation, in
	// thousandths.
	defaultResumeUtilisation = 800
	// defaultMinChange is the default of Settings.MinChange.
	defaultMinChange = FullShare / 1000
)

// Settings configure a ramp.
type Settings struct {
	// MaxShare and ColdShare are shares of a service's traffic per second, in
	// multiples of 1/FullShare. MaxShare is the largest share that may move.
	// ColdShare is the largest share that may move into a zone that is cold or
	// has no usable load report.
	MaxShare, ColdShare placement.Rate
	// ColdTime is how long a zone is cold after it starts to receive traffic.
	ColdTime time.Duration
	// HoldUtilisation and ResumeUtilisation are shares of slots in use, in
	// thousandths. A zone whose utilisation reaches HoldUtilisation takes no
	// more traffic until the utilisation is down to ResumeUtilisation.
	HoldUtilisation, ResumeUtilisation int64
	// MinChange is the smallest share of a service's traffic, in multiples of
	// 1/FullShare, for which a ramp starts. A change that empties a zone starts
	// a ramp whatever its size.
	MinChange placement.Rate
	// LimitLossMoves applies MaxShare to moves off a lost zone too. If it is
	// false, such a move is made in one step, as far as headroom and caps allow,
	// and the rest becomes overflow.
	LimitLossMoves bool
	// LoadPolicy says how far load reports are trusted.
	LoadPolicy load.Policy
}

// NewSettings returns the settings for a declared policy.
func NewSettings(p estate.ShiftPolicy, loadPolicy load.Policy) Settings {
	scaled := func(s float64) placement.Rate { return placement.Rate(math.Round(s * float64(FullShare))) }
	return Settings{
		MaxShare: scaled(p.MaxShare), ColdShare: min(scaled(p.ColdShare), scaled(p.MaxShare)), ColdTime: p.ColdTime,
		HoldUtilisation: defaultHoldUtilisation, ResumeUtilisation: defaultResumeUtilisation, MinChange: defaultMinChange, LoadPolicy: loadPolicy,
	}
}

// zone is the known state of a zone for one service.
type zone struct {
	// report is the latest load report.
	report load.Report
	// observation holds what this instance itself has seen of the zone, such as
	// the time of the last refusal.
	observation load.Observation
	// held is set while the zone has no headroom.
	held bool
	// coldUntil is when the zone stops being cold.
	coldUntil time.Time
}

// service is the ramp of one service.
type service struct {
	name string
	// shares holds the shares in force. Each row adds up to FullShare.
	shares placement.Matrix
	// target holds the shares that the ramp moves to. Each row adds up to
	// FullShare.
	target placement.Matrix
	// demand is the flow of each edge region.
	demand []placement.Rate
	// totalDemand is the sum of demand, at least 1.
	totalDemand placement.Rate
	zones       []zone
	// peaks holds the largest shares that callers may still use.
	peaks *peakHistory
	// moving is set while the ramp is on its way to its target.
	moving bool
	// blocked is set if the ramp was moving and the last step moved nothing.
	blocked bool
	// changed is set if the shares have changed since the last call of Ready.
	changed bool
}

// Ramp holds the shares in force of all services. It is not safe for concurrent
// use.
type Ramp struct {
	settings Settings
	plan     *placement.Plan
	services []service
	// lost marks the zones that are lost.
	lost []bool
	// step is the number of the last step done, counted from 1970.
	step int64
	// stepped is set once this instance has done a step. From then on its
	// shares change by steps alone.
	stepped bool
	// adoptedAt is State.At of the last state adopted, or zero if none was.
	adoptedAt time.Time
}

// New returns a ramp without services.
func New(settings Settings) *Ramp { return &Ramp{settings: settings} }

// Start puts a plan in force at once, for an instance that knows of no change
// in progress.
func (r *Ramp) Start(now time.Time, plan *placement.Plan) {
	r.services = nil
	r.step = stepNumber(now)
	r.SetTarget(now, plan)
}

// StartMidRamp is like Start, for an instance that has no neighbour's state to
// adopt. It treats the declared change from the plan before to plan, made at
// since, as in progress at the pace of ColdShare, which is the slowest. It counts
// at most an hour of progress.
func (r *Ramp) StartMidRamp(now time.Time, before, plan *placement.Plan, since time.Time) {
	r.Start(now, before)
	r.SetTarget(now, plan)
	elapsed := min(max(now.Sub(since), 0), time.Hour)
	for i := range r.services {
		s := &r.services[i]
		s.advanceBy(proportion.MulDiv(r.settings.ColdShare, placement.Rate(elapsed), placement.Rate(time.Second)))
		s.peaks.record(s.shares)
	}
}

// SetTarget gives the ramp a new plan to move to. Services, regions and zones
// are matched by name. Shares of zones that are no longer declared go to the
// other zones at once.
func (r *Ramp) SetTarget(now time.Time, plan *placement.Plan) {
	old, oldServices := r.plan, r.services
	lost := make([]bool, len(plan.Input.Zones))
	for z := range lost {
		lost[z] = old != nil && r.isLost(plan.Input.Zones[z].Name)
	}
	r.services = make([]service, len(plan.Services))
	for i := range plan.Services {
		s := newService(&plan.Input, &plan.Services[i], i)
		s.peaks = newPeakHistory(&plan.Input, plan.Input.Services[i].LookupTTL, r.step, s.shares)
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

// newService returns a ramp that has the target of a service plan already in
// force. The caller sets its peaks.
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
				limits[z] = FullShare
			}
		}
		copy(s.target.Row(e), proportion.Divide(FullShare, row, limits))
	}
	s.totalDemand = max(proportion.Sum(s.demand), 1)
	s.shares = s.target.Clone()
	return s
}

// inherit copies the shares, the peaks and the state of zones from the
// service's ramp under the previous plan. Regions and zones are matched by
// name. If the regions, the zones and the length of the window are unchanged,
// the peaks keep their age; otherwise they count for another TTL.
func (s *service) inherit(old *service, oldPlan, plan *placement.Plan) {
	zones, edges := oldIndexes(oldPlan, plan)
	for z, oldZone := range zones {
		if oldZone >= 0 {
			s.zones[z] = old.zones[oldZone]
		}
	}
	peak := s.shares.Clone()
	for e, oldEdge := range edges {
		if oldEdge < 0 {
			continue
		}
		row, peakRow := s.shares.Row(e), peak.Row(e)
		clear(row)
		for z, oldZone := range zones {
			if oldZone >= 0 {
				row[z], peakRow[z] = old.shares.Row(oldEdge)[oldZone], old.peaks.zones.peak.Row(oldEdge)[oldZone]
			}
		}
		row[s.shares.Zones] = old.shares.Overflow(oldEdge)
		s.distributeRemainder(e)
	}
	s.moving = old.moving
	s.peaks.restart(s.shares, peak)
	if old.peaks.zones.stepsPerPart == s.peaks.zones.stepsPerPart && sameNames(&oldPlan.Input, &plan.Input) {
		s.peaks = old.peaks
	}
}

// sameNames reports whether two inputs have the same regions and zones.
func sameNames(a, b *placement.Input) bool {
	return slices.Equal(a.Regions, b.Regions) && slices.Equal(a.Zones, b.Zones)
}

// distributeRemainder adds what the row of edge region e lacks of FullShare,
// such as the shares of removed zones, to the row in proportion to the target.
func (s *service) distributeRemainder(e int) {
	row := s.shares.Row(e)
	limits := make([]placement.Rate, len(row))
	for z, v := range s.target.Row(e) {
		if v > 0 {
			limits[z] = FullShare
		}
	}
	for z, v := range proportion.Divide(FullShare-proportion.Sum(row), s.target.Row(e), limits) {
		row[z] += v
	}
}

// oldIndexes returns, for each zone and region of a plan, its index in the old
// plan, or -1 if the old plan doesn't have it.
func oldIndexes(old, plan *placement.Plan) (zones, edges []int) {
	oldZones, oldEdges := map[string]int{}, map[string]int{}
	for i, z := range old.Input.Zones {
		oldZones[z.Name] = i
	}
	for i, name := range old.Input.Regions {
		oldEdges[name] = i
	}
	indexIn := func(m map[string]int, name string) int {
		if i, ok := m[name]; ok {
			return i
		}
		return -1
	}
	for _, z := range plan.Input.Zones {
		zones = append(zones, indexIn(oldZones, z.Name))
	}
	for _, name := range plan.Input.Regions {
		edges = append(edges, indexIn(oldEdges, name))
	}
	return zones, edges
}

// advanceBy moves the shares towards the target by at most budget, which is a
// share of the service's traffic. It ignores headroom and caps.
func (s *service) advanceBy(budget placement.Rate) {
	deficits := s.deficits()
	cost := s.cost(deficits)
	if cost > budget {
		scale(deficits.Values, budget, cost)
	}
	for e := range s.demand {
		s.applyGains(e, deficits.Row(e), s.excess(nil).Row(e))
	}
}

// SetLost marks a zone as lost or as no longer lost. The caller passes the plan
// that takes this into account to SetTarget before the next Tick.
func (r *Ramp) SetLost(name string, lost bool) {
	for z := range r.lost {
		if r.plan.Input.Zones[z].Name == name {
			r.lost[z] = lost
		}
	}
}

// isLost reports whether the named zone is marked as lost.
func (r *Ramp) isLost(name string) bool {
	for z := range r.lost {
		if r.plan.Input.Zones[z].Name == name {
			return r.lost[z]
		}
	}
	return false
}

// Report records a zone's load report for a service. A report that is older than
// the latest one is dropped.
func (r *Ramp) Report(service, zone string, rep load.Report) {
	if z := r.zone(service, zone); z != nil && !rep.At.Before(z.report.At) {
		z.report = rep
	}
}

// Refused records that a zone refused a request of the service for lack of a
// free slot.
func (r *Ramp) Refused(service, zone string, at time.Time) {
	if z := r.zone(service, zone); z != nil && at.After(z.observation.Refused) {
		z.observation.Refused = at
	}
}

// zone returns a service's state of the named zone, or nil if either is
// unknown.
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

// Shares returns the shares of a service that are in force, as multiples of
// 1/FullShare. They can be passed to placement.NewTable as its flows. The
// caller must not change them; later steps replace the matrix and don't change
// it.
func (r *Ramp) Shares(service int) placement.Matrix { return r.services[service].shares }

// Status is the state of the ramp, and what has changed since Ready was last
// called.
type Status struct {
	// Changed lists the indexes of the services whose shares have changed.
	Changed []int
	// Moving is set while any service is moving to its target.
	Moving bool
	// Blocked lists the services that are moving but moved nothing in the last
	// step: the zones that they would enter are held, or those zones or their
	// links are full of traffic that callers may still send by earlier lookup
	// answers.
	Blocked []string
	// Held lists the zones, by service, that take no more traffic for now.
	Held []Held
}

// Held is a zone that has no headroom for a service.
type Held struct{ Service, Zone string }

// Ready returns the status and clears the list of changed services.
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

// stepNumber returns the number of the step that t falls in, counted from 1970.
func stepNumber(t time.Time) int64 { return t.UnixNano() / int64(StepInterval) }
