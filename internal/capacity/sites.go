package capacity

import (
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/shift"
	"github.com/banyandeal/banyandeal/internal/estate"

	"github.com/banyandeal/banyandeal/internal/blocktable"
)

// Names of the series over sites and zones.
const (
	siteContent = "sites and backend servers held, memory"
	siteChange  = "one site changed, bytes"
	siteApply   = "one site changed, processor"
	sitePlan    = "placement planned anew after a change, processor"
	zonePlan    = "placement computed, processor"
	zoneTables  = "look-up tables of all services, processor"
	zoneRamp    = "ramp step while moving, processor"
	zoneRest    = "ramp step at rest, processor"
)

// measureSites measures what grows with the number of sites.
func measureSites(add func(Series)) error {
	names := []string{siteContent, siteChange, siteApply, sitePlan}
	series := map[string]*Series{
		siteContent: {Unit: Bytes, Package: "internal/config"}, siteChange: {Unit: Bytes, Package: "internal/config"},
		siteApply: {Unit: Seconds, Package: "internal/config"}, sitePlan: {Unit: Seconds, Package: "internal/decide/placement"},
	}
	for _, n := range []int{Letter.Sites / 4, Letter.Sites / 2, Letter.Sites} {
		got, err := siteCosts(n)
		if err != nil {
			return errors.Trace(err)
		}
		for name, y := range got {
			series[name].Points = append(series[name].Points, Point{float64(n), y})
		}
	}
	for _, name := range names {
		s := series[name]
		s.Name, s.Variable, s.Target = name, "sites", float64(Letter.Sites)
		add(*s)
	}
	return nil
}

func siteCosts(n int) (map[string]float64, error) {
	size := Letter
	size.Sites, size.Blocks = n, 0
	e := newEstate(size)
	parts, m, err := config.Split(e)
	if err != nil {
		return nil, errors.Trace(err)
	}
	got := map[string]float64{}
	var a *config.Assembly
	got[siteContent] = heap(func() any { a, err = config.Join(m, fetchFrom(parts)); return a })
	if err != nil {
		return nil, errors.Trace(err)
	}
	e.Sites[n/2].State = estate.Draining
	data, bytes, get, err := changeOf(e, m)
	if err != nil {
		return nil, err
	}
	got[siteChange] = bytes
	if got[siteApply], err = applyTime(a, data, get); err != nil {
		return nil, err
	}
	demand := demandOf(e)
	got[sitePlan] = seconds(func() {
		_, err := placement.Compute(placement.NewInput(e, demand))
		check(err)
	})
	return got, nil
}

// demandOf returns an even demand that the estate can carry.
func demandOf(e *estate.Estate) placement.Demand {
	d := make(placement.Demand, len(e.Regions))
	for i := range d {
		d[i] = 1000 * placement.PerSecond
	}
	return d
}

// measureZones measures what grows with the number of zones, with one site a
// zone so that sites cost little.
func measureZones(add func(Series)) error {
	zones := over{add: add, variable: "zones", steps: []int{Letter.Zones / 3, Letter.Zones * 2 / 3, Letter.Zones}, target: Letter.Zones}
	zones.measure(zonePlan, Seconds, "internal/decide/placement", func(n int) float64 {
		e := zonesEstate(n)
		in := placement.NewInput(e, demandOf(e))
		return seconds(func() { mustPlan(in) })
	})
	zones.measure(zoneTables, Seconds, "internal/decide/placement", func(n int) float64 {
		e := zonesEstate(n)
		plan := mustPlan(placement.NewInput(e, demandOf(e)))
		return seconds(func() {
			for i, s := range plan.Services {
				placement.NewTable(plan, i, s.Flow, &blocktable.Table{}, placement.Granularity{}, 0)
			}
		})
	})
	zones.measure(zoneRamp, Seconds, "internal/decide/shift", func(n int) float64 { return rampTime(n, true) })
	zones.measure(zoneRest, Seconds, "internal/decide/shift", func(n int) float64 { return rampTime(n, false) })
	return nil
}

func zonesEstate(n int) *estate.Estate {
	size := Letter
	size.Zones, size.Sites, size.Blocks, size.SiteBackends = n, n, 0, 2
	e := newEstate(size)
	for i := range e.Services {
		for j := range e.Services[i].Backends {
			e.Services[i].Backends[j].Slots = 2000
		}
	}
	return e
}

func mustPlan(in placement.Input) *placement.Plan {
	p, err := placement.Compute(in)
	check(err)
	return p
}

// restSteps is how many ramp steps lie between two changes of the target.
const restSteps = 100

func rampTime(n int, moving bool) float64 {
	e := zonesEstate(n)
	from := mustPlan(placement.NewInput(e, demandOf(e)))
	e.Zones[n/2].State = estate.Draining
	to := mustPlan(placement.NewInput(e, demandOf(e)))
	r := shift.New(shift.NewSettings(e.Shift, load.Policy{FreshAge: 2 * time.Second, StaleAge: 20 * time.Second, AssumedUtilisation: 500, RefusalHold: time.Second}))
	now, steps := start, 0
	r.Start(now, from)
	return seconds(func() {
		if moving && steps%restSteps == 0 {
			from, to = to, from
			r.SetTarget(now, from)
		}
		steps++
		now = now.Add(shift.StepInterval)
		r.Tick(now)
	})
}
