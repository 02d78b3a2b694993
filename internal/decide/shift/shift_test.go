package shift

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/proportion"
)

var (
	epoch        = time.Unix(1000, 0)
	testSettings = Settings{
		MaxShare: FullShare / 20, ColdShare: FullShare / 50, ColdTime: 10 * time.Second,
		HoldUtilisation: 900, ResumeUtilisation: 800, MinChange: FullShare / 1000,
		LoadPolicy: load.Policy{FreshAge: time.Second, StaleAge: 4 * time.Second, AssumedUtilisation: 700, RefusalHold: time.Second},
	}
)

const testTTL = 4 * time.Second

// TestScripts runs the scripts of testdata/scripts. Time starts at 0 s.
//
//	start, target  lines "zone NAME REGION CAPACITY", "link FROM TO CAP",
//	               "demand REGION RATE"; start puts the plan in force, target
//	               moves to it. "service NAME" starts another service, with
//	               lines "capacity ZONE CAPACITY" and "demand"
//	load           lines "ZONE BUSY SLOTS [silent]": the reports sent from now on
//	refused        zone=NAME: the zone refuses a request
//	lost, back     zone=NAME: the zone is lost, or no longer lost
//	run            to=T every=T: prints shares in percent, and the largest share
//	               moved in a second
//	replace        [alone since=T]: replaces the instance by one that adopts its
//	               state, or by one that knows only the last two plans
//	pause          to=T: no steps until then
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{ramp: New(testSettings), loads: map[string]string{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var zone string
			var to, every, since int
			d.MaybeScanArgs(t, "zone", &zone)
			d.MaybeScanArgs(t, "to", &to)
			d.MaybeScanArgs(t, "every", &every)
			d.MaybeScanArgs(t, "since", &since)
			switch d.Cmd {
			case "start":
				s.plan = parsePlan(t, d.Input)
				s.ramp.Start(s.at(), s.plan)
			case "target":
				s.previousPlan, s.plan = s.plan, parsePlan(t, d.Input)
				s.ramp.SetTarget(s.at(), s.plan)
				return s.printAll(func(i int) placement.Matrix { return s.plan.Services[i].Flow }, 1)
			case "load":
				for line := range strings.Lines(d.Input) {
					name, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
					s.loads[name] = rest
				}
			case "refused":
				s.ramp.Refused("s", zone, s.at())
			case "lost", "back":
				s.ramp.SetLost(zone, d.Cmd == "lost")
			case "pause":
				s.now = time.Duration(to) * time.Second
			case "run":
				return s.run(time.Duration(to)*time.Second, time.Duration(every)*time.Second)
			case "replace":
				s.replace(t, d.HasArg("alone"), epoch.Add(time.Duration(since)*time.Second))
				return s.printAll(s.ramp.Shares, 0)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// script is the state of one script.
type script struct {
	ramp *Ramp
	// now is the time since epoch.
	now time.Duration
	// plan and previousPlan are the last two plans.
	plan, previousPlan *placement.Plan
	// loads holds the arguments of the load command by zone.
	loads map[string]string
}

// at returns the present time.
func (s *script) at() time.Time { return epoch.Add(s.now) }

// run does the steps until to and prints the shares at each multiple of every.
func (s *script) run(to, every time.Duration) string {
	var b strings.Builder
	var most placement.Rate
	past := make([][]placement.Matrix, len(s.plan.Services))
	for s.now < to {
		s.now += StepInterval
		s.report()
		for i := range past {
			past[i] = append(past[i], s.ramp.Shares(i))
		}
		s.ramp.Tick(s.at())
		for i := range past {
			if n := len(past[i]) - int(stepsPerSecond); n >= 0 {
				most = max(most, s.ramp.services[i].moved(past[i][n], s.ramp.Shares(i)))
			}
		}
		if s.now%every == 0 {
			st := s.ramp.Ready()
			fmt.Fprintf(&b, "%vs", s.now.Seconds())
			if st.Moving {
				b.WriteString(" moving")
			}
			for _, h := range st.Held {
				fmt.Fprintf(&b, " held=%s", h.Zone)
			}
			b.WriteString("\n" + s.printAll(s.ramp.Shares, 0))
		}
	}
	fmt.Fprintf(&b, "moved at most %.4g%% a second\n", percent(most))
	return b.String()
}

// report records the load report of each zone that sends any.
func (s *script) report() {
	for _, z := range s.plan.Input.Zones {
		var busy, slots int
		if l, ok := s.loads[z.Name]; ok && !strings.Contains(l, "silent") {
			fmt.Sscan(l, &busy, &slots)
			for _, svc := range s.plan.Services {
				s.ramp.Report(svc.Name, z.Name, load.Report{Busy: load.MilliSlots(busy) * load.Slot, Slots: slots, At: s.at()})
			}
		}
	}
}

// replace replaces the ramp by that of a new instance.
func (s *script) replace(t *testing.T, withoutState bool, since time.Time) {
	n := New(testSettings)
	if withoutState {
		n.StartMidRamp(s.at(), s.previousPlan, s.plan, since)
	} else {
		wire, err := json.Marshal(s.ramp.State())
		require.NoError(t, err)
		var p State
		require.NoError(t, json.Unmarshal(wire, &p))
		n.Start(s.at(), s.plan)
		require.True(t, n.Adopt(s.at(), p))
	}
	s.ramp = n
}

// printAll prints the matrix of each service, with the service's name if there
// are several.
func (s *script) printAll(of func(service int) placement.Matrix, flows int) string {
	var b strings.Builder
	for i := range s.plan.Services {
		if len(s.plan.Services) > 1 {
			fmt.Fprintf(&b, " %s\n", s.plan.Services[i].Name)
		}
		b.WriteString(s.print(of(i), flows))
	}
	return b.String()
}

// print prints shares in percent, or flows in requests per second if flows is
// above 0.
func (s *script) print(m placement.Matrix, flows int) string {
	var b strings.Builder
	for e, name := range s.plan.Input.Regions {
		fmt.Fprintf(&b, "  %s:", name)
		for z, v := range m.Row(e) {
			zone := "overflow"
			if z < m.Zones {
				zone = s.plan.Input.Zones[z].Name
			}
			switch {
			case v == 0:
			case flows > 0:
				fmt.Fprintf(&b, " %s=%.4g", zone, float64(v)/float64(placement.PerSecond))
			default:
				fmt.Fprintf(&b, " %s=%.4g%%", zone, percent(v))
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func percent(v placement.Rate) float64 { return 100 * float64(v) / float64(FullShare) }

// moved returns the share of the traffic that is in different zones in a and b.
func (s *service) moved(a, b placement.Matrix) placement.Rate {
	d := placement.NewMatrix(a.Edges, a.Zones)
	for i := range d.Values {
		d.Values[i] = max(b.Values[i]-a.Values[i], 0)
	}
	return s.cost(d)
}

func parsePlan(t *testing.T, text string) *placement.Plan {
	in := placement.Input{Services: []placement.Service{{Name: "s", LookupTTL: testTTL}}}
	region := func(name string) int {
		if !slices.Contains(in.Regions, name) {
			in.Regions = append(in.Regions, name)
			for i := range in.Services {
				in.Services[i].Demand = append(in.Services[i].Demand, 0)
			}
		}
		return slices.Index(in.Regions, name)
	}
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		var rate placement.Rate
		if n, err := strconv.ParseFloat(f[len(f)-1], 64); err == nil {
			rate = placement.Rate(n * float64(placement.PerSecond))
		}
		svc := &in.Services[len(in.Services)-1]
		switch f[0] {
		case "zone":
			in.Zones = append(in.Zones, placement.Zone{Name: f[1], Region: region(f[2])})
			svc.Capacity = append(svc.Capacity, rate)
		case "link":
			in.Links = append(in.Links, placement.Link{From: region(f[1]), To: region(f[2]), Cap: rate})
		case "demand":
			r := region(f[1])
			svc.Demand[r] = rate
		case "service":
			in.Services = append(in.Services, placement.Service{Name: f[1], LookupTTL: testTTL,
				Demand: make([]placement.Rate, len(in.Regions)), Capacity: make([]placement.Rate, len(in.Zones))})
		case "capacity":
			svc.Capacity[slices.IndexFunc(in.Zones, func(z placement.Zone) bool { return z.Name == f[1] })] = rate
		}
	}
	p, err := placement.Compute(in)
	require.NoError(t, err)
	return p
}

// drawInput draws an estate without capacities. All plans of a schedule have
// its demand.
func drawInput(t *rapid.T) placement.Input {
	var in placement.Input
	regions := rapid.IntRange(1, 3).Draw(t, "regions")
	for r := range regions {
		in.Regions = append(in.Regions, fmt.Sprint("r", r))
		for z := range rapid.IntRange(1, 2).Draw(t, "zones") {
			in.Zones = append(in.Zones, placement.Zone{Name: fmt.Sprint("r", r, "z", z), Region: r})
		}
		for to := range regions {
			if to != r {
				in.Links = append(in.Links, placement.Link{From: r, To: to, Cap: drawRate(t, "cap")})
			}
		}
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "services") {
		s := placement.Service{Name: fmt.Sprint("s", i), LookupTTL: testTTL}
		for range in.Regions {
			s.Demand = append(s.Demand, drawRate(t, "demand"))
		}
		in.Services = append(in.Services, s)
	}
	return in
}

func drawRate(t *rapid.T, label string) placement.Rate {
	return placement.Rate(rapid.IntRange(0, 6).Draw(t, label)) * 50 * placement.PerSecond
}

// drawPlan draws capacities for the input and returns the plan.
func drawPlan(t *rapid.T, in placement.Input) *placement.Plan {
	in.Services = slices.Clone(in.Services)
	for i := range in.Services {
		in.Services[i].Capacity = nil
		for range in.Zones {
			in.Services[i].Capacity = append(in.Services[i].Capacity, drawRate(t, "capacity"))
		}
	}
	p, err := placement.Compute(in)
	require.NoError(t, err)
	return p
}

// cellRounding is the tolerance for sums of cells that are each rounded down:
// millionths of a request per second for flows, multiples of 1/FullShare for
// shares.
const cellRounding = 16

// shareHistory records the shares that were in force, independently of the
// ramp.
type shareHistory struct {
	in placement.Input
	// past holds the shares of each service after each step, the oldest first.
	past [][]placement.Matrix
	// until holds when the shares of each step but the last were replaced.
	until []time.Time
}

// peakFlow returns the largest flow that an edge region may send to a set of
// zones together, by lookup answers that have not expired at now.
func (w *shareHistory) peakFlow(now time.Time, s *service, i, e int, zones func(z int) bool) placement.Rate {
	var top placement.Rate
	for k, m := range w.past {
		if k < len(w.past)-1 && !w.until[k].After(now.Add(-testTTL)) {
			continue
		}
		var sum placement.Rate
		for z, v := range m[i].Row(e)[:m[i].Zones] {
			if zones(z) {
				sum += v
			}
		}
		top = max(top, sum)
	}
	return s.flowOf(e, top)
}

// peakFlows returns the largest flow that callers may send to each zone of each
// service, and over each link.
func (w *shareHistory) peakFlows(now time.Time, r *Ramp) (zones, links []placement.Rate) {
	links = make([]placement.Rate, len(w.in.Links))
	for i := range r.services {
		for zone := range w.in.Zones {
			var sum placement.Rate
			for e := range w.in.Regions {
				sum += w.peakFlow(now, &r.services[i], i, e, func(z int) bool { return z == zone })
			}
			zones = append(zones, sum)
		}
		for k, l := range w.in.Links {
			links[k] += w.peakFlow(now, &r.services[i], i, l.From, func(z int) bool { return w.in.Zones[z].Region == l.To })
		}
	}
	return zones, links
}

// record records the shares that are in force from now on.
func (w *shareHistory) record(now time.Time, r *Ramp) {
	var shares []placement.Matrix
	for i := range r.services {
		shares = append(shares, r.services[i].shares)
	}
	if len(w.past) > 0 {
		w.until = append(w.until, now)
	}
	w.past = append(w.past, shares)
}

// TestRandomSchedulesStayWithinCaps drives ramps by random changes of plan,
// reports, losses, pauses and replacements. It checks that no second moves more
// than the limit, that no share is lost, and that no step takes a zone or link
// over its cap, or further over it.
func TestRandomSchedulesStayWithinCaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		rampSettings := testSettings
		rampSettings.LimitLossMoves = rapid.Bool().Draw(t, "capLosses")
		plan := drawPlan(t, in)
		r, twin := New(rampSettings), New(rampSettings)
		now := epoch
		r.Start(now, plan)
		twin.Start(now, plan)
		history := &shareHistory{in: in}
		history.record(now, r)
		anyLost := false
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(StepInterval * time.Duration(1+3*max(rapid.IntRange(-20, 1).Draw(t, "missed"), 0)))
			zone := rapid.SampledFrom(in.Zones).Draw(t, "zone").Name
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				plan = drawPlan(t, in)
				r.SetTarget(now, plan)
				twin.SetTarget(now, plan)
			case 1, 2:
				rep := load.Report{Busy: load.MilliSlots(rapid.IntRange(0, 10).Draw(t, "busy")) * load.Slot, Slots: 10, At: now}
				r.Report("s0", zone, rep)
				twin.Report("s0", zone, rep)
			case 3:
				lost := rapid.Bool().Draw(t, "lost")
				r.SetLost(zone, lost)
				twin.SetLost(zone, lost)
				anyLost = anyLost || lost
			case 4:
				p := r.State()
				require.False(t, r.Adopt(now, p) && r.stepped)
				r = New(rampSettings)
				r.Start(now.Add(-StepInterval), plan)
				require.True(t, r.Adopt(now, p))
				twin = New(rampSettings)
				twin.Start(now.Add(-StepInterval), plan)
				require.True(t, twin.Adopt(now, p))
			}
			checkStep(t, r, twin, history, now, anyLost && !rampSettings.LimitLossMoves)
		}
	})
}

// checkStep does one step of both ramps and checks the result. lossesUncapped
// allows the step to move more than the limit per second.
func checkStep(t *rapid.T, r, twin *Ramp, w *shareHistory, now time.Time, lossesUncapped bool) {
	zones, links := w.peakFlows(now, r)
	r.Tick(now)
	r.Tick(now.Add(StepInterval / 2))
	twin.Tick(now)
	require.Equal(t, twin.State(), r.State(), "instances that receive the same input compute the same state")
	w.record(now, r)
	newZones, newLinks := w.peakFlows(now, r)
	secondAgo := w.past[max(len(w.past)-1-int(stepsPerSecond), 0)]
	for i := range r.services {
		s := &r.services[i]
		for e := range s.demand {
			require.Equal(t, FullShare, proportion.Sum(s.shares.Row(e)))
			require.GreaterOrEqual(t, slices.Min(s.shares.Row(e)), placement.Rate(0))
		}
		if !lossesUncapped {
			require.LessOrEqual(t, s.moved(secondAgo[i], s.shares), r.settings.MaxShare+cellRounding)
		}
		for z := range w.in.Zones {
			k := i*len(w.in.Zones) + z
			require.LessOrEqual(t, newZones[k], max(zones[k], r.plan.Input.Services[i].Capacity[z]+s.totalDemand/toleranceDivisor+cellRounding))
		}
	}
	for k, l := range w.in.Links {
		slack := placement.Rate(0)
		for i := range r.services {
			slack += r.services[i].totalDemand/toleranceDivisor + cellRounding
		}
		require.LessOrEqual(t, newLinks[k], max(links[k], l.Cap+slack))
	}
}

// TestRampsReachTheirTargets gives ramps far more time than they need, with
// fresh reports of idle zones, and checks that they reach their targets. Up to
// 1 % of these crowded estates may not: full zones or links have to swap load
// there. Such a ramp must report that it is still moving.
func TestRampsReachTheirTargets(t *testing.T) {
	ramps, unfinished := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r, now := New(testSettings), epoch
		r.Start(now, drawPlan(t, in))
		r.SetTarget(now, drawPlan(t, in))
		for range 300 * stepsPerSecond {
			now = now.Add(StepInterval)
			for _, z := range in.Zones {
				for _, s := range in.Services {
					r.Report(s.Name, z.Name, load.Report{Slots: 10, At: now})
				}
			}
			r.Tick(now)
		}
		ramps++
		if r.Ready().Moving {
			unfinished++
			return
		}
		for i := range r.services {
			require.Less(t, r.services[i].cost(r.services[i].deficits()), testSettings.MinChange)
			require.False(t, r.services[i].hasZoneToEmpty())
		}
	})
	require.LessOrEqual(t, unfinished*100, ramps)
}

// TestAdoptTakesNewestValidState offers states from clocks that differ, and
// states with shares that are out of range.
func TestAdoptTakesNewestValidState(t *testing.T) {
	plan := parsePlan(t, "zone a r 100\nzone b r 100\ndemand r 50")
	r := New(testSettings)
	r.Start(epoch, plan)
	stateAged := func(age time.Duration, a, b placement.Rate) State {
		return State{At: epoch.Add(-age), Services: []ServiceState{{
			Name: "s", Cells: []CellState{{Edge: "r", Zone: "a", Share: a}, {Edge: "r", Zone: "b", Share: b}, {Edge: "?", Zone: "?", Share: 1}},
			Cold: []ColdZone{{Zone: "a", Until: epoch.Add(time.Hour)}},
		}}}
	}
	returned := r.Shares(0)
	require.True(t, r.Adopt(epoch, stateAged(2*time.Second, FullShare/4, FullShare*3/4)))
	require.False(t, r.Adopt(epoch, stateAged(3*time.Second, FullShare, 0)), "an older state")
	require.True(t, r.Adopt(epoch, stateAged(-time.Second, FullShare/5, FullShare*4/5)), "a state from a clock that is one second ahead")
	require.False(t, r.Adopt(epoch, stateAged(-time.Hour, FullShare, 0)), "a state that is further ahead than MaxClockSkew")
	require.Equal(t, []placement.Rate{FullShare / 5, FullShare * 4 / 5, 0}, r.Shares(0).Row(0))
	require.True(t, r.Adopt(epoch, stateAged(-2*time.Second, FullShare, FullShare)))
	require.Equal(t, []placement.Rate{FullShare / 5, FullShare * 4 / 5, 0}, r.Shares(0).Row(0), "a row that adds up to more than FullShare is ignored")
	require.Equal(t, []placement.Rate{FullShare / 2, FullShare / 2, 0}, returned.Row(0), "shares returned earlier do not change")
	require.False(t, r.services[0].zones[0].coldUntil.After(epoch.Add(testSettings.ColdTime)))
}

// largePlans returns two plans of 8 regions, 26 zones and 2 services. In the
// second plan one of the zones has no capacity.
func largePlans() (a, b *placement.Plan) {
	in := placement.Input{}
	for r := range 8 {
		in.Regions = append(in.Regions, fmt.Sprint("r", r))
		for to := range 8 {
			if to != r {
				in.Links = append(in.Links, placement.Link{From: r, To: to, Cap: 5000 * placement.PerSecond})
			}
		}
	}
	for z := range 26 {
		in.Zones = append(in.Zones, placement.Zone{Name: fmt.Sprint("z", z), Region: z % 8})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 2 {
		s := placement.Service{Name: fmt.Sprint("s", i), LookupTTL: testTTL}
		for range 8 {
			s.Demand = append(s.Demand, placement.Rate(8000+rng.IntN(3000))*placement.PerSecond)
		}
		for range 26 {
			s.Capacity = append(s.Capacity, 4000*placement.PerSecond)
		}
		in.Services = append(in.Services, s)
	}
	a, _ = placement.Compute(in)
	for i := range in.Services {
		in.Services[i].Capacity = slices.Clone(in.Services[i].Capacity)
		in.Services[i].Capacity[3] = 0
	}
	b, _ = placement.Compute(in)
	return a, b
}

func BenchmarkTick(b *testing.B) {
	from, to := largePlans()
	for _, moving := range []bool{true, false} {
		b.Run(fmt.Sprintf("moving=%v", moving), func(b *testing.B) {
			b.ReportAllocs()
			r, now := New(testSettings), epoch
			r.Start(now, from)
			for i := 0; b.Loop(); i++ {
				if moving && i%100 == 0 {
					from, to = to, from
					r.SetTarget(now, from)
				}
				now = now.Add(StepInterval)
				r.Tick(now)
			}
		})
	}
}

func BenchmarkState(b *testing.B) {
	from, to := largePlans()
	r := New(testSettings)
	r.Start(epoch, from)
	r.SetTarget(epoch, to)
	r.Tick(epoch.Add(StepInterval))
	size := 0
	for b.Loop() {
		wire, _ := json.Marshal(r.State())
		size = len(wire)
	}
	b.ReportMetric(float64(size), "B/position")
}
