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

// Loads as shares of the declared demand.
const (
	usualLoad = 0.5
	peakLoad  = 1.0
)

// Lengths of the scenarios' parts.
const (
	warmUp      = 5 * time.Second
	calmTime    = 12 * time.Second
	lostTime    = 8 * time.Second
	backTime    = 8 * time.Second
	regionTime  = 12 * time.Second
	flashTime   = 6 * time.Second
	settleTime  = 5 * time.Second
	outageTime  = 10 * time.Second
	drainLimit  = 10 * time.Second
	drainedTime = 6 * time.Second
	quietTime   = time.Second
)

// flashFactor is how many times its usual rate a service gets in a flash.
const flashFactor = 4

// Scenario is one thing that happens to an estate under load.
type Scenario struct {
	Name string
	// About tells in one line what happens.
	About string
	// load is a share of the declared demand.
	load float64
	// flash adds a flash of bookings to the load.
	flash  bool
	script func(context.Context, *run) error
}

// Scenarios are all there are, in the order in which they are run.
var Scenarios = []Scenario{
	{Name: "calm", About: "nothing happens", load: usualLoad, script: calm},
	{Name: "zone-lost", About: "all processes of the largest zone are killed, and started again 8 s later", load: usualLoad, script: zoneLost},
	{Name: "region-lost", About: "all processes of the largest region are killed at peak", load: peakLoad, script: regionLost},
	{Name: "flash", About: "for 6 s the smallest service gets four times its usual rate, bookings all of it", load: usualLoad, flash: true, script: flash},
	{Name: "cold-fill", About: "a zone is drained, its backend servers are replaced by cold ones, and it is filled at peak", load: peakLoad, script: coldFill},
	{Name: "platform-down", About: "the platform refuses connections for 10 s", load: usualLoad, script: platformDown},
	{Name: "region-drained", About: "the smallest region is drained at peak, since the validator refuses to drain a larger one then", load: peakLoad, script: regionDrained},
}

// Find returns the scenario of a name.
func Find(name string) (Scenario, error) {
	i := slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, errors.NotFoundf("scenario %q; --help lists them, it", name)
	}
	return Scenarios[i], nil
}

func calm(ctx context.Context, _ *run) error { return testbed.Pause(ctx, calmTime) }

func zoneLost(ctx context.Context, r *run) error {
	names := r.members(func(zone string) bool { return zone == r.zone })
	r.Say("zone %s lost", r.zone)
	if err := r.Kill(names...); err != nil {
		return errors.Trace(err)
	}
	if err := testbed.Pause(ctx, lostTime); err != nil {
		return errors.Trace(err)
	}
	r.Say("zone %s back", r.zone)
	if err := r.StartAll(ctx, names...); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, backTime)
}

func regionLost(ctx context.Context, r *run) error {
	r.Say("region %s lost", r.region)
	if err := r.Kill(r.members(r.inRegion)...); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, regionTime)
}

// flash lasts until the bookings, which the load itself adds, are over.
func flash(ctx context.Context, _ *run) error {
	return testbed.Pause(ctx, flashTime+settleTime)
}

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
	r.Say("fill zone %s", r.zone)
	if _, err := r.SetState(ctx, "fill", "zone", r.zone); err != nil {
		return errors.Trace(err)
	}
	return r.pauseUntil(ctx, drainLimit+backTime)
}

func platformDown(ctx context.Context, r *run) error {
	r.Say("platform down for %s", outageTime)
	if err := r.Admin(http.MethodPost, "/admin/faults", platform.Faults{Down: platform.DownRefuse}); err != nil {
		return errors.Trace(err)
	}
	if err := testbed.Pause(ctx, outageTime); err != nil {
		return errors.Trace(err)
	}
	r.Say("platform up")
	if err := r.Admin(http.MethodPost, "/admin/faults", platform.Faults{}); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, settleTime)
}

func regionDrained(ctx context.Context, r *run) error {
	in := func(zone string) bool { return r.Watch.Region(zone) == r.smallest }
	if err := r.drain(ctx, "region", r.smallest, in); err != nil {
		return errors.Trace(err)
	}
	return r.pauseUntil(ctx, drainLimit+drainedTime)
}

// pauseUntil waits until a time after the drain began, so that both policies
// have the same load however long the drain took.
func (r *run) pauseUntil(ctx context.Context, t time.Duration) error {
	return testbed.Pause(ctx, time.Until(r.drained.began.Add(t)))
}

// drain drains a zone or region and waits until it is empty, or drainLimit.
func (r *run) drain(ctx context.Context, kind, name string, in func(zone string) bool) error {
	r.Say("drain %s %s", kind, name)
	r.drained = drained{in: in, began: time.Now()}
	if _, err := r.SetState(ctx, "drain", kind, name); err != nil {
		return errors.Trace(err)
	}
	quiet := time.Now()
	deadline := quiet.Add(drainLimit)
	defer func() {
		r.drained.until = time.Now()
		r.drained.unfinished = time.Since(quiet) < quietTime
	}()
	for time.Since(quiet) < quietTime && time.Now().Before(deadline) {
		if r.busy(in) {
			quiet = time.Now()
		}
		if err := testbed.Pause(ctx, pollPeriod); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

const pollPeriod = 50 * time.Millisecond

// busy reports whether there is work in progress in the zones.
func (r *run) busy(in func(zone string) bool) bool {
	return slices.ContainsFunc(r.Estate.Zones, func(z estate.Zone) bool { return in(z.Name) && r.Watch.ZoneBusy(z.Name) > 0 })
}

func (r *run) inRegion(zone string) bool { return r.Watch.Region(zone) == r.region }

// members returns all processes in zones.
func (r *run) members(in func(zone string) bool) []string {
	out := r.backends(in)
	for _, e := range r.Entries {
		if in(e.Zone) {
			out = append(out, e.ID)
		}
	}
	return out
}

// backends returns the backend servers in zones.
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

// bySlots returns names from the one with the most slots to the one with the
// fewest; equals stand in order.
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

// flashOf returns the workload of a flash: the non-idempotent requests of the
// service that can carry least among those that have any.
func flashOf(usual []bench.Workload) bench.Workload {
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
