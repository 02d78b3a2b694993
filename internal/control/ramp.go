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
	// recordRamp names the record that tells where shifts stand.
	recordRamp = "ramp"
	// adoptWait is how long a new instance waits for a neighbour's ramp before
	// it goes on by itself.
	adoptWait = 2 * time.Second
	// zoneGrace is how long after its start an instance does not take a zone
	// whose instances it has not heard of for lost.
	zoneGrace = 5 * time.Second
)

// rampState is where shifts stand.
type rampState struct {
	ramp *shift.Ramp
	// startedAt is when the ramp was started; it ticks only after adoptWait, or
	// once a neighbour's position was adopted.
	startedAt time.Time
	ticking   bool
	// position is the furthest that a neighbour told of before the ramp began.
	position shift.State
	// moving is set while shares may be on their way to their target; stillSince
	// is when they last arrived.
	moving     bool
	stillSince time.Time
	// lost holds the zones without any instance that can be given work.
	lost map[string]bool
}

func newRampState() *rampState { return &rampState{lost: map[string]bool{}} }

// retarget gives the ramp the placement of the configuration in force, without
// the zones that are lost.
func (c *Control) retarget(now time.Time) {
	s, r := c.steer, c.ramp
	plan, err := c.Place(c.planInput(s.estate))
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

// rebuildTables makes the look-up tables of services anew from the shares in
// force.
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
		tables[name] = placement.NewTable(s.plan, i, c.ramp.ramp.Shares(i), s.blocks, steerUnits, c.ownRegion())
	}
	s.tables = tables
	c.dirty = true
}

// tickSteer moves shifts on.
func (c *Control) tickSteer(now time.Time) {
	r := c.ramp
	if r.ramp == nil {
		return
	}
	if !r.ticking {
		if !r.position.At.IsZero() && r.ramp.Adopt(now, r.position) {
			c.Log.Info().Time("at", r.position.At).Msg("ramp_adopted")
			c.rebuildTables(allServices(c.steer.plan))
			r.ticking = true
		}
		r.ticking = r.ticking || now.Sub(r.startedAt) >= adoptWait
		if !r.ticking {
			return
		}
	}
	c.judgeZones(now)
	c.reportLoads()
	r.ramp.Tick(now)
	status := r.ramp.Ready()
	if len(status.Changed) > 0 {
		c.rebuildTables(status.Changed)
	}
	if r.moving && !status.Moving {
		r.stillSince = now
	}
	r.moving = status.Moving
	c.publishRamp(now, status)
}

// judgeZones marks zones without any instance that can be given work as lost,
// and plans anew when that changes.
func (c *Control) judgeZones(now time.Time) {
	if now.Sub(c.started) < zoneGrace {
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

// reportLoads tells the ramp the load of each zone.
func (c *Control) reportLoads() {
	for _, z := range c.steer.estate.Zones {
		for _, s := range c.steer.estate.Services {
			if rep, ok := c.zoneLoad(z.Name, s.Name); ok {
				c.ramp.ramp.Report(s.Name, z.Name, rep)
			}
		}
	}
}

// publishRamp tells others where shifts stand, while they move. One instance
// of each zone is enough.
func (c *Control) publishRamp(now time.Time, status shift.Status) {
	relays := c.members.View().Zone(c.Self.Zone).Relays
	if len(relays) == 0 || relays[0] != c.Self.Identity || len(status.Changed) == 0 {
		return
	}
	c.logError("ramp_record_failed", c.records.set(now, c.records.global, recordRamp, c.ramp.ramp.State()))
}

func (c *Control) takeRamp(now time.Time, rec refresh.Record) {
	var p shift.State
	if c.ramp.ticking || json.Unmarshal(rec.Value, &p) != nil || !p.At.After(c.ramp.position.At) || p.At.After(now.Add(shift.MaxClockSkew)) {
		return
	}
	c.ramp.position = p
}
