package control

import (
	"encoding/json"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/decide/shift"
	"github.com/banyandeal/banyandeal/internal/estate"
)

const (
	// recordRamp is the name of the record that holds the state of the ramp.
	recordRamp = "ramp"
	// adoptTimeout is how long a new instance waits for a neighbour's ramp
	// state before it starts the ramp on its own.
	adoptTimeout = 2 * time.Second
	// startupGrace is the time after its start during which an instance does
	// not treat any zone as lost, because it may not yet have received the
	// records of the zone's instances.
	startupGrace = 5 * time.Second
)

// rampState tracks the progress of traffic shifts.
type rampState struct {
	ramp *shift.Ramp
	// startedAt is when the ramp was created.
	startedAt time.Time
	// ticking is set once the ramp advances: after adoptTimeout, or once a
	// neighbour's state was adopted.
	ticking bool
	// neighbourState is the most recent ramp state received from a neighbour
	// before the ramp began to advance.
	neighbourState shift.State
	// moving is set while shares may differ from their target.
	moving bool
	// settledSince is when all shares last reached their target.
	settledSince time.Time
	// lost holds the zones without any usable instance.
	lost map[string]bool
}

func newRampState() *rampState { return &rampState{lost: map[string]bool{}} }

// retarget computes the placement of the active configuration, without the lost
// zones, and sets it as the target of the ramp. If that fails, the previous
// target stays.
func (c *Control) retarget(now time.Time) {
	s, r := c.steer, c.ramp
	plan, err := c.ComputePlacement(c.planInput(s.estate))
	if err != nil {
		c.Log.Error().Err(err).Msg("placement_failed")
		return
	}
	s.plan = plan
	r.moving = true
	if r.ramp != nil {
		r.ramp.SetTarget(now, plan)
		c.rebuildTables(allServices(plan))
		return
	}
	r.ramp = shift.New(shift.NewSettings(s.estate.Shift, load.DefaultPolicy))
	r.startedAt = now
	c.startRamp(now, plan)
	c.rebuildTables(allServices(plan))
}

// planInput returns the placement input for e and the current demand. Lost
// zones have no capacity in it.
func (c *Control) planInput(e *estate.Estate) placement.Input {
	in := placement.NewInput(e, c.steer.demand)
	for i := range in.Services {
		for z := range in.Zones {
			if c.ramp.lost[in.Zones[z].Name] {
				in.Services[i].Capacity[z] = 0
			}
		}
	}
	return in
}

func allServices(p *placement.Plan) []int {
	all := make([]int, len(p.Services))
	for i := range all {
		all[i] = i
	}
	return all
}

// rebuildTables rebuilds the lookup tables of the given services from the
// current shares.
func (c *Control) rebuildTables(services []int) {
	s := c.steer
	tables := make(map[string]*placement.Table, len(s.plan.Services))
	for _, sp := range s.plan.Services {
		if t := s.tables[sp.Name]; t != nil {
			tables[sp.Name] = t
		}
	}
	for _, i := range services {
		name := s.plan.Services[i].Name
		tables[name] = placement.NewTable(s.plan, i, c.ramp.ramp.Shares(i), s.blocks, steerGranularity, c.ownRegion())
	}
	s.tables = tables
	c.dirty = true
}

// tickSteer advances traffic shifts.
func (c *Control) tickSteer(now time.Time) {
	r := c.ramp
	if r.ramp == nil {
		return
	}
	if !r.ticking {
		if !r.neighbourState.At.IsZero() && r.ramp.Adopt(now, r.neighbourState) {
			c.Log.Info().Time("at", r.neighbourState.At).Msg("ramp_adopted")
			c.rebuildTables(allServices(c.steer.plan))
			r.ticking = true
		}
		r.ticking = r.ticking || now.Sub(r.startedAt) >= adoptTimeout
		if !r.ticking {
			return
		}
	}
	c.updateLostZones(now)
	c.reportZoneLoads()
	r.ramp.Tick(now)
	status := r.ramp.Ready()
	if len(status.Changed) > 0 {
		c.rebuildTables(status.Changed)
	}
	if r.moving && !status.Moving {
		r.settledSince = now
	}
	r.moving = status.Moving
	c.publishRamp(now, status)
}

// updateLostZones marks zones without any usable instance as lost, and computes
// a new placement if that changes.
func (c *Control) updateLostZones(now time.Time) {
	if now.Sub(c.started) < startupGrace {
		return
	}
	changed := false
	for _, z := range c.steer.estate.Zones {
		lost := z.Name != c.Self.Zone && !c.members.View().Zone(z.Name).AnyUsable()
		if lost == c.ramp.lost[z.Name] {
			continue
		}
		c.ramp.lost[z.Name] = lost
		c.ramp.ramp.SetLost(z.Name, lost)
		c.Log.Warn().Str("zone", z.Name).Bool("lost", lost).Msg("zone_lost")
		changed = true
	}
	if changed {
		c.retarget(now)
	}
}

// reportZoneLoads passes the load of each zone to the ramp.
func (c *Control) reportZoneLoads() {
	for _, z := range c.steer.estate.Zones {
		for _, s := range c.steer.estate.Services {
			if rep, ok := c.zoneLoad(z.Name, s.Name); ok {
				c.ramp.ramp.Report(s.Name, z.Name, rep)
			}
		}
	}
}

// publishRamp publishes the state of the ramp when shares have changed. Only
// the first relay of each zone publishes it.
func (c *Control) publishRamp(now time.Time, status shift.Status) {
	relays := c.members.View().Zone(c.Self.Zone).Relays
	if len(relays) == 0 || relays[0] != c.Self.Identity || len(status.Changed) == 0 {
		return
	}
	c.logError("ramp_record_failed", c.records.set(now, c.records.global, recordRamp, c.ramp.ramp.State()))
}

// handleRampRecord records a neighbour's ramp state while this instance may
// still adopt one. It ignores older states, and states whose time is further
// ahead of this instance's clock than shift.MaxClockSkew.
func (c *Control) handleRampRecord(now time.Time, rec refresh.Record) {
	var state shift.State
	if c.ramp.ticking || json.Unmarshal(rec.Value, &state) != nil || !state.At.After(c.ramp.neighbourState.At) || state.At.After(now.Add(shift.MaxClockSkew)) {
		return
	}
	c.ramp.neighbourState = state
}
