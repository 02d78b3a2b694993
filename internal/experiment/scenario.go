package experiment

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

// Load levels as shares of the declared demand.
const (
	usualLoad = 0.5
	peakLoad  = 1.0
)

// Durations of the phases of the scenarios.
const (
	// warmUp is the time between the start of the load and the script. Requests
	// of the warm-up do not count in the service results.
	warmUp = 5 * time.Second
	// calmTime is how long the calm scenario lasts.
	calmTime = 12 * time.Second
	// zoneOutageTime is the time between the kill and the restart of a zone.
	zoneOutageTime = 8 * time.Second
	// recoveryTime is how long the load continues after a zone has been
	// restarted or filled.
	recoveryTime = 8 * time.Second
	// regionOutageTime is how long the load continues after a region has been
	// killed.
	regionOutageTime = 12 * time.Second
	// flashTime is how long a flash crowd lasts.
	flashTime = 6 * time.Second
	// settleTime is how long the load continues after a flash crowd or a
	// platform outage.
	settleTime = 5 * time.Second
	// platformOutageTime is how long the platform refuses connections.
	platformOutageTime = 10 * time.Second
	// drainLimit bounds the wait for drained zones to become empty.
	drainLimit = 10 * time.Second
	// postDrainTime is how long the load continues after drainLimit.
	postDrainTime = 6 * time.Second
	// quietPeriod is how long drained zones must have no requests in flight to
	// count as empty.
	quietPeriod = time.Second
)

// flashFactor is the request rate of a service in a flash crowd as a multiple
// of its usual rate.
const flashFactor = 4

// Scenario is a sequence of events in a deployment under load.
type Scenario struct {
	// Name identifies the scenario on the command line.
	Name string
	// Summary says in one line what happens.
	Summary string
	// load is the request rate as a share of the declared demand.
	load float64
	// flash adds a flash crowd of bookings to the load.
	flash bool
	// script performs the events after the warm-up.
	script func(context.Context, *run) error
}

// Scenarios lists all scenarios in the order in which they are run.
var Scenarios = []Scenario{
	{Name: "calm", Summary: "nothing happens", load: usualLoad, script: calm},
	{Name: "zone-lost", Summary: "all processes of the largest zone are killed, and started again 8 s later", load: usualLoad, script: zoneLost},
	{Name: "region-lost", Summary: "all processes of the largest region are killed at peak", load: peakLoad, script: regionLost},
	{Name: "flash", Summary: "for 6 s the smallest service gets four times its usual rate, bookings all of it", load: usualLoad, flash: true, script: flash},
	{Name: "cold-fill", Summary: "a zone is drained, its backend servers are replaced by cold ones, and it is filled at peak", load: peakLoad, script: coldFill},
	{Name: "platform-down", Summary: "the platform refuses connections for 10 s", load: usualLoad, script: platformDown},
	{Name: "region-drained", Summary: "the smallest region is drained at peak, since the validator refuses to drain a larger one then", load: peakLoad, script: regionDrained},
}

// Find returns the scenario with the given name. Errors: NotFound if there is
// none.
func Find(name string) (Scenario, error) {
	i := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, errors.NotFoundf("scenario %q (see --help for the list)", name)
	}
	return Scenarios[i], nil
}

func calm(ctx context.Context, _ *run) error { return testbed.Pause(ctx, calmTime) }

// zoneLost kills all processes of the largest zone and later restarts them.
func zoneLost(ctx context.Context, r *run) error {
	names := r.processes(func(zone string) bool { return zone == r.zone })
	r.Say("killing all processes of zone %s", r.zone)
	if err := r.Kill(names...); err != nil {
		return errors.Trace(err)
	}
	if err := testbed.Pause(ctx, zoneOutageTime); err != nil {
		return errors.Trace(err)
	}
	r.Say("restarting all processes of zone %s", r.zone)
	if err := r.StartAll(ctx, names...); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, recoveryTime)
}

// regionLost kills all processes of the largest region.
func regionLost(ctx context.Context, r *run) error {
	r.Say("killing all processes of region %s", r.largestRegion)
	if err := r.Kill(r.processes(r.inLargestRegion)...); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, regionOutageTime)
}

// flash waits until the flash crowd, which is part of the load, has ended and
// settled.
func flash(ctx context.Context, _ *run) error {
	return testbed.Pause(ctx, flashTime+settleTime)
}

// coldFill drains the largest zone, restarts its backend servers, which are
// then cold, and fills the zone.
func coldFill(ctx context.Context, r *run) error {
	if err := r.drain(ctx, "zone", r.zone, func(z string) bool { return z == r.zone }); err != nil {
		return errors.Trace(err)
	}
	cold := r.backends(func(z string) bool { return z == r.zone })
	if err := r.Kill(cold...); err != nil {
		return errors.Trace(err)
	}
	if err := r.StartAll(ctx, cold...); err != nil {
		return errors.Trace(err)
	}
	r.Say("filling zone %s", r.zone)
	if _, err := r.SetState(ctx, "fill", "zone", r.zone); err != nil {
		return errors.Trace(err)
	}
	return r.waitAfterDrainStart(ctx, drainLimit+recoveryTime)
}

// platformDown makes the platform refuse connections for platformOutageTime.
func platformDown(ctx context.Context, r *run) error {
	r.Say("making the platform refuse connections for %s", platformOutageTime)
	if err := r.Admin(http.MethodPost, "/admin/faults", platform.Faults{Down: platform.DownRefuse}); err != nil {
		return errors.Trace(err)
	}
	if err := testbed.Pause(ctx, platformOutageTime); err != nil {
		return errors.Trace(err)
	}
	r.Say("letting the platform accept connections again")
	if err := r.Admin(http.MethodPost, "/admin/faults", platform.Faults{}); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, settleTime)
}

// regionDrained drains the smallest region.
func regionDrained(ctx context.Context, r *run) error {
	in := func(zone string) bool { return r.Watch.Region(zone) == r.smallestRegion }
	if err := r.drain(ctx, "region", r.smallestRegion, in); err != nil {
		return errors.Trace(err)
	}
	return r.waitAfterDrainStart(ctx, drainLimit+postDrainTime)
}

// waitAfterDrainStart waits until t after the start of the drain, so that both
// policies get the same load however long the drain took.
func (r *run) waitAfterDrainStart(ctx context.Context, t time.Duration) error {
	return testbed.Pause(ctx, time.Until(r.drainState.started.Add(t)))
}

// drain drains a zone or region and waits until it has had no requests in
// flight for quietPeriod, for at most drainLimit.
func (r *run) drain(ctx context.Context, kind, name string, inScope func(zone string) bool) error {
	r.Say("draining %s %s", kind, name)
	r.drainState = drainState{inScope: inScope, started: time.Now()}
	if _, err := r.SetState(ctx, "drain", kind, name); err != nil {
		return errors.Trace(err)
	}
	lastBusy := time.Now()
	deadline := lastBusy.Add(drainLimit)
	defer func() {
		r.drainState.ended = time.Now()
		r.drainState.unfinished = time.Since(lastBusy) < quietPeriod
	}()
	for time.Since(lastBusy) < quietPeriod && time.Now().Before(deadline) {
		if r.hasInFlight(inScope) {
			lastBusy = time.Now()
		}
		if err := testbed.Pause(ctx, pollInterval); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// pollInterval is the time between two checks for requests in flight.
const pollInterval = 50 * time.Millisecond

// hasInFlight reports whether requests are in flight in the zones that in
// selects.
func (r *run) hasInFlight(in func(zone string) bool) bool {
	return slices.ContainsFunc(r.Estate.Zones, func(z estate.Zone) bool { return in(z.Name) && r.Watch.ZoneBusy(z.Name) > 0 })
}

func (r *run) inLargestRegion(zone string) bool { return r.Watch.Region(zone) == r.largestRegion }

// processes returns the names of all processes in the zones that in selects.
func (r *run) processes(in func(zone string) bool) []string {
	out := r.backends(in)
	for _, e := range r.Entries {
		if in(e.Zone) {
			out = append(out, e.ID)
		}
	}
	return out
}

// backends returns the names of the backend servers in the zones that in
// selects.
func (r *run) backends(in func(zone string) bool) []string {
	var out []string
	for _, s := range r.Estate.Services {
		for _, b := range s.Backends {
			if in(b.Zone) {
				out = append(out, b.Name)
			}
		}
	}
	return out
}

// bySlots returns the distinct names that nameOf gives the zones, ordered by
// descending number of slots; names with as many slots are in alphabetical
// order.
func bySlots(e *estate.Estate, nameOf func(zone string) string) []string {
	slots := map[string]int{}
	var names []string
	for _, z := range e.Zones {
		names = append(names, nameOf(z.Name))
	}
	slices.Sort(names)
	names = slices.Compact(names)
	for _, s := range e.Services {
		for _, b := range s.Backends {
			slots[nameOf(b.Zone)] += b.Slots
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(slots[b], slots[a]) })
	return names
}

// flashWorkload returns the extra workload of a flash crowd. It has the
// non-idempotent operations of the service with the lowest rate among the
// services that have such operations.
func flashWorkload(usual []bench.Workload) bench.Workload {
	var out bench.Workload
	for _, w := range usual {
		var ops []bench.Op
		for _, o := range w.Ops {
			if !o.Idempotent {
				ops = append(ops, o)
			}
		}
		if len(ops) > 0 && (out.Rate == 0 || w.Rate < out.Rate) {
			out = w
			out.Ops = ops
		}
	}
	out.Rate *= flashFactor - 1
	out.StartDelay, out.ArrivalTime = warmUp, flashTime
	return out
}
