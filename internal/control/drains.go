package control

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/pool"
)

// keptDrains is how many finished drains are remembered.
const keptDrains = 32

// drainLog follows drains from their declaration until nothing is in flight.
type drainLog struct {
	all []operator.DrainStatus
	// steered is when look-ups last led to this instance's zone.
	steered time.Time
}

// begin notes a drain; one that is known already is left as it is.
func (d *drainLog) begin(what string, now time.Time) {
	if slices.ContainsFunc(d.all, func(s operator.DrainStatus) bool { return s.What == what }) {
		return
	}
	d.all = append(d.all, operator.DrainStatus{What: what, Since: now})
	if len(d.all) > keptDrains {
		d.all = d.all[1:]
	}
}

// update notes the work left of a drain and reports whether it has just ended.
// One that is open has work to come.
func (d *drainLog) update(what string, inFlight int, open bool, now time.Time) (ended bool) {
	for i := range d.all {
		s := &d.all[i]
		if s.What != what || s.DurationSeconds != 0 {
			continue
		}
		s.InFlight = inFlight
		if inFlight == 0 && !open {
			s.DurationSeconds = max(now.Sub(s.Since).Seconds(), 0.001)
			return true
		}
	}
	return false
}

func (d *drainLog) status() []operator.DrainStatus {
	return append([]operator.DrainStatus(nil), d.all...)
}

// keep drops the drains that are no longer declared.
func (d *drainLog) keep(declared map[string]bool) {
	d.all = slices.DeleteFunc(d.all, func(s operator.DrainStatus) bool { return !declared[s.What] })
}

// followDrains notes the drains that concern this instance: its zone, the
// zone's sites, and the backend servers that it owns.
func (c *Control) followDrains(now time.Time) {
	e := c.steer.estate
	if e == nil {
		return
	}
	declared := map[string]bool{}
	follow := func(what string, inFlight int, open bool) {
		declared[what] = true
		c.drains.begin(what, now)
		if c.drains.update(what, inFlight, open, now) {
			c.Log.Info().Str("what", what).Msg("drained")
		}
	}
	if e.ZoneDraining(c.Self.Zone) {
		if c.steered() {
			c.drains.steered = now
		}
		follow("zone "+c.Self.Zone, c.Pool.Total(), now.Sub(c.drains.steered) < c.longestTTL())
	}
	usage := c.Pool.Usage()
	for _, u := range usage {
		if u.State.IsDraining() {
			follow("backend "+u.Name, u.InFlight, false)
		}
	}
	for _, s := range e.Sites {
		if s.Zone == c.Self.Zone && s.State.IsDraining() {
			inFlight, open := siteWork(s.Name, usage)
			follow("site "+s.Name, inFlight, open)
			// Time alone closes its backend servers.
			c.dirty = c.dirty || open
		}
	}
	c.drains.keep(declared)
}

// siteWork returns what a site's backend servers that this instance owns have in
// flight, and whether one of them is still given work.
func siteWork(site string, usage []pool.Usage) (inFlight int, open bool) {
	for _, u := range usage {
		if u.Site == site {
			inFlight += u.InFlight
			open = open || u.Standing != balance.Ineligible
		}
	}
	return inFlight, open
}

// steered reports whether look-ups lead to this instance's zone.
func (c *Control) steered() bool {
	if c.steer.plan == nil {
		return false
	}
	for i, sp := range c.steer.plan.Services {
		flows, _ := columns(flowOf(c.ramp.ramp.Shares(i), sp.Flow))
		for zi, z := range c.steer.plan.Input.Zones {
			if z.Name == c.Self.Zone && flows[zi] > 0 {
				return true
			}
		}
	}
	return false
}
