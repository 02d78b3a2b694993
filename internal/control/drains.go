package control

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/pool"
)

// maxDrains is the maximum number of drains that are tracked; the oldest are
// dropped.
const maxDrains = 32

// drainLog tracks drains from when they are declared until no request is in
// flight.
type drainLog struct {
	all []operator.DrainStatus
	// steeredHere is when lookups were last steered to this instance's zone.
	steeredHere time.Time
}

// add starts to track a drain. It does nothing if the drain is already tracked.
func (d *drainLog) add(what string, now time.Time) {
	if slices.ContainsFunc(d.all, func(s operator.DrainStatus) bool { return s.What == what }) {
		return
	}
	d.all = append(d.all, operator.DrainStatus{What: what, Since: now})
	if len(d.all) > maxDrains {
		d.all = d.all[1:]
	}
}

// update records the number of requests in flight of a drain, and reports
// whether the drain has just ended. A drain does not end while takesRequests is
// true, because new requests may still arrive.
func (d *drainLog) update(what string, inFlight int, takesRequests bool, now time.Time) (ended bool) {
	for i := range d.all {
		s := &d.all[i]
		if s.What != what || s.DurationSeconds != 0 {
			continue
		}
		s.InFlight = inFlight
		if inFlight == 0 && !takesRequests {
			s.DurationSeconds = max(now.Sub(s.Since).Seconds(), 0.001)
			return true
		}
	}
	return false
}

// status returns a copy of the tracked drains.
func (d *drainLog) status() []operator.DrainStatus {
	return append([]operator.DrainStatus(nil), d.all...)
}

// retain removes the drains that are no longer declared.
func (d *drainLog) retain(declared map[string]bool) {
	d.all = slices.DeleteFunc(d.all, func(s operator.DrainStatus) bool { return !declared[s.What] })
}

// updateDrains updates the drains that concern this instance: those of its
// zone, of the zone's sites, and of the backend servers that it owns.
func (c *Control) updateDrains(now time.Time) {
	e := c.steer.estate
	if e == nil {
		return
	}
	declared := map[string]bool{}
	track := func(what string, inFlight int, takesRequests bool) {
		declared[what] = true
		c.drains.add(what, now)
		if c.drains.update(what, inFlight, takesRequests, now) {
			c.Log.Info().Str("what", what).Msg("drained")
		}
	}
	if e.ZoneDraining(c.Self.Zone) {
		if c.steeredHere() {
			c.drains.steeredHere = now
		}
		track("zone "+c.Self.Zone, c.Pool.TotalInFlight(), now.Sub(c.drains.steeredHere) < c.maxLookupTTL())
	}
	usage := c.Pool.Usage()
	for _, u := range usage {
		if u.State.IsDraining() {
			track("backend "+u.Name, u.InFlight, false)
		}
	}
	for _, s := range e.Sites {
		if s.Zone == c.Self.Zone && s.State.IsDraining() {
			inFlight, takesRequests := siteUsage(s.Name, usage)
			track("site "+s.Name, inFlight, takesRequests)
			// The eligibility of the site's backend servers changes with time
			// alone, so a new snapshot is needed without any other event.
			c.dirty = c.dirty || takesRequests
		}
	}
	c.drains.retain(declared)
}

// siteUsage returns the number of requests in flight on a site's backend
// servers that this instance owns, and whether any of them may still be given
// new requests.
func siteUsage(site string, usage []pool.Usage) (inFlight int, takesRequests bool) {
	for _, u := range usage {
		if u.Site == site {
			inFlight += u.InFlight
			takesRequests = takesRequests || u.Eligibility != balance.Ineligible
		}
	}
	return inFlight, takesRequests
}

// steeredHere reports whether lookups are steered to this instance's zone.
func (c *Control) steeredHere() bool {
	if c.steer.plan == nil {
		return false
	}
	for i, sp := range c.steer.plan.Services {
		flows, _ := sumByZone(flowOf(c.ramp.ramp.Shares(i), sp.Flow))
		for zi, z := range c.steer.plan.Input.Zones {
			if z.Name == c.Self.Zone && flows[zi] > 0 {
				return true
			}
		}
	}
	return false
}
