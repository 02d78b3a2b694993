package control

import (
	"math"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// maxRampTime is the longest time that a drain is assumed to take.
const maxRampTime = time.Hour

// startRamp starts the ramp of a new instance. If drains may be in progress,
// the ramp starts at the placement from before them, as of the time of the last
// one. A neighbour's state may replace it later.
func (c *Control) startRamp(now time.Time, plan *placement.Plan) {
	before, since := beforeDrains(c.steer.estate, now)
	if since.IsZero() {
		c.ramp.ramp.Start(now, plan)
		return
	}
	old, err := c.ComputePlacement(c.planInput(before))
	if err != nil {
		c.ramp.ramp.Start(now, plan)
		return
	}
	c.ramp.ramp.StartMidRamp(now, old, plan, since)
}

// beforeDrains returns a copy of the estate without those drains of regions,
// zones and sites that may still be in progress at the slowest pace. since is
// when the last of them was declared, or zero if there are none. Later versions
// that leave a drain unchanged do not change its time.
func beforeDrains(e *estate.Estate, now time.Time) (before *estate.Estate, since time.Time) {
	sites, zones, regions := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, s := range e.Sites {
		if !s.State.IsDraining() && !e.ZoneDraining(s.Zone) || now.Sub(s.Since) >= rampTime(e.Shift) {
			continue
		}
		z, _ := e.ZoneOf(s.Zone)
		sites[s.Name], zones[z.Name], regions[z.Region] = true, true, true
		if s.Since.After(since) {
			since = s.Since
		}
	}
	return withoutDrains(e, sites, zones, regions), since
}

// rampTime returns how long the slowest shift of a whole service takes. It is
// at most maxRampTime.
func rampTime(p estate.ShiftPolicy) time.Duration {
	share := min(p.ColdShare, p.MaxShare)
	if share <= 0 {
		return maxRampTime
	}
	return time.Duration(min(math.Ceil(float64(time.Second)/share), float64(maxRampTime)))
}

// withoutDrains returns a copy of the estate in which the named sites, zones
// and regions are active.
func withoutDrains(e *estate.Estate, sites, zones, regions map[string]bool) *estate.Estate {
	c := *e
	c.Regions = append([]estate.Region(nil), e.Regions...)
	c.Zones = append([]estate.Zone(nil), e.Zones...)
	c.Sites = append([]estate.Site(nil), e.Sites...)
	for i := range c.Regions {
		activate(&c.Regions[i].State, regions[c.Regions[i].Name])
	}
	for i := range c.Zones {
		activate(&c.Zones[i].State, zones[c.Zones[i].Name])
	}
	for i := range c.Sites {
		activate(&c.Sites[i].State, sites[c.Sites[i].Name])
	}
	return &c
}

func activate(s *estate.State, cond bool) {
	if cond {
		*s = estate.Active
	}
}
