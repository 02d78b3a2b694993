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
	epoch    = time.Unix(1000, 0)
	settings = Settings{
		MaxShare: Unit / 20, ColdShare: Unit / 50, ColdTime: 10 * time.Second,
		HoldAt: 900, ResumeAt: 800, MinChange: Unit / 1000,
		Load: load.Policy{FreshAge: time.Second, StaleAge: 4 * time.Second, AssumedUtilisation: 700, RefusalHold: time.Second},
	}
)

const testTTL = 4 * time.Second

// TestScripts runs the scripts of testdata/scripts. Time begins at 0 s.
//
//	start, target  lines "zone NAME REGION CAPACITY", "link FROM TO CAP",
//	               "demand REGION RATE"; the plan is put in force, or moved to.
//	               "service NAME" begins another service, with lines "capacity
//	               ZONE CAPACITY" and "demand"
//	load           lines "ZONE BUSY SLOTS [silent]": the reports sent from now on
//	refused, lost, back  zone=NAME
//	run            to=T every=T: shares in percent, and the most moved in a second
//	replace        [alone since=T]: by an instance that adopts the position, or
//	               that knows only the last two plans
//	pause          to=T
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{r: New(settings), loads: map[string]string{}}
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
				s.r.Start(s.at(), s.plan)
			case "target":
				s.before, s.plan = s.plan, parsePlan(t, d.Input)
				s.r.SetTarget(s.at(), s.plan)
				return s.printAll(func(i int) placement.Matrix { return s.plan.Services[i].Flow }, 1)
			case "load":
				for line := range strings.Lines(d.Input) {
					name, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
					s.loads[name] = rest
				}
			case "refused":
				s.r.Refused("s", zone, s.at())
			case "lost", "back":
				s.r.Lost(zone, d.Cmd == "lost")
			case "pause":
				s.now = time.Duration(to) * time.Second
			case "run":
				return s.run(time.Duration(to)*time.Second, time.Duration(every)*time.Second)
			case "replace":
				s.replace(t, d.HasArg("alone"), epoch.Add(time.Duration(since)*time.Second))
				return s.printAll(s.r.Shares, 0)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

type script struct {
	r            *Ramp
	now          time.Duration
	plan, before *placement.Plan
	loads        map[string]string
}

func (s *script) at() time.Time { return epoch.Add(s.now) }

func (s *script) run(to, every time.Duration) string {
	var b strings.Builder
	var most placement.Rate
	past := make([][]placement.Matrix, len(s.plan.Services))
	for s.now < to {
		s.now += Step
		s.report()
		for i := range past {
			past[i] = append(past[i], s.r.Shares(i))
		}
		s.r.Tick(s.at())
		for i := range past {
			if n := len(past[i]) - int(stepsPerSecond); n >= 0 {
				most = max(most, s.r.services[i].moved(past[i][n], s.r.Shares(i)))
			}
		}
		if s.now%every == 0 {
			st := s.r.Ready()
			fmt.Fprintf(&b, "%vs", s.now.Seconds())
			if st.Moving {
				b.WriteString(" moving")
			}
			for _, h := range st.Held {
				fmt.Fprintf(&b, " held=%s", h.Zone)
			}
			b.WriteString("\n" + s.printAll(s.r.Shares, 0))
		}
	}
	fmt.Fprintf(&b, "moved at most %.4g%% a second\n", percent(most))
	return b.String()
}

func (s *script) report() {
	for _, z := range s.plan.Input.Zones {
		var busy, slots int
		if l, ok := s.loads[z.Name]; ok && !strings.Contains(l, "silent") {
			fmt.Sscan(l, &busy, &slots)
			for _, svc := range s.plan.Services {
				s.r.Report(svc.Name, z.Name, load.Report{Busy: load.MilliSlots(busy) * load.Slot, Slots: slots, At: s.at()})
			}
		}
	}
}

func (s *script) replace(t *testing.T, alone bool, since time.Time) {
	n := New(settings)
	if alone {
		n.StartFrom(s.at(), s.before, s.plan, since)
	} else {
		wire, err := json.Marshal(s.r.Position())
		require.NoError(t, err)
		var p Position
		require.NoError(t, json.Unmarshal(wire, &p))
		n.Start(s.at(), s.plan)
		require.True(t, n.Adopt(s.at(), p))
	}
	s.r = n
}

// printAll shows a matrix of each service, with its name if there are several.
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

// print shows shares in percent, or with flows set requests per second.
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

func percent(v placement.Rate) float64 { return 100 * float64(v) / float64(Unit) }

// moved returns the share of the traffic whose zone differs between two.
func (s *service) moved(a, b placement.Matrix) placement.Rate {
	d := placement.NewMatrix(a.Edges, a.Zones)
	for i := range d.V {
		d.V[i] = max(b.V[i]-a.V[i], 0)
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

// drawInput draws an estate; its demand is what all of a schedule's plans share.
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

// drawPlan draws capacities for the input.
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

// cellRounding is what rounding each cell down hides in a sum: millionths of a
// request per second in flows, parts of Unit in shares.
const cellRounding = 16

// watcher keeps the shares that were in force for the TTL, apart from the ramp.
type watcher struct {
	in placement.Input
	// past holds the shares of each service after each step, oldest first, and
	// until when they were in force.
	past  [][]placement.Matrix
	until []time.Time
}

// held returns the most that an edge region may send to a set of zones together
// at a time.
func (w *watcher) held(now time.Time, s *service, i, e int, zones func(z int) bool) placement.Rate {
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
	return s.flow(e, top)
}

// loads returns what callers may send to each zone of each service, and over
// each link.
func (w *watcher) loads(now time.Time, r *Ramp) (zones, links []placement.Rate) {
	links = make([]placement.Rate, len(w.in.Links))
	for i := range r.services {
		for zone := range w.in.Zones {
			var sum placement.Rate
			for e := range w.in.Regions {
				sum += w.held(now, &r.services[i], i, e, func(z int) bool { return z == zone })
			}
			zones = append(zones, sum)
		}
		for k, l := range w.in.Links {
			links[k] += w.held(now, &r.services[i], i, l.From, func(z int) bool { return w.in.Zones[z].Region == l.To })
		}
	}
	return zones, links
}

// note takes the shares in force from now on.
func (w *watcher) note(now time.Time, r *Ramp) {
	var shares []placement.Matrix
	for i := range r.services {
		shares = append(shares, r.services[i].shares)
	}
	if len(w.past) > 0 {
		w.until = append(w.until, now)
	}
	w.past = append(w.past, shares)
}

// TestCapsHoldOverAnySchedule drives ramps by random changes of plan, reports,
// losses, pauses and replacements. No second moves more than the cap, no share
// is lost, and no step takes a zone or link over its cap, or further over it.
func TestCapsHoldOverAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		set := settings
		set.CapLosses = rapid.Bool().Draw(t, "capLosses")
		plan := drawPlan(t, in)
		r, twin := New(set), New(set)
		now := epoch
		r.Start(now, plan)
		twin.Start(now, plan)
		w := &watcher{in: in}
		w.note(now, r)
		anyLost := false
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(Step * time.Duration(1+3*max(rapid.IntRange(-20, 1).Draw(t, "missed"), 0)))
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
				r.Lost(zone, lost)
				twin.Lost(zone, lost)
				anyLost = anyLost || lost
			case 4:
				p := r.Position()
				require.False(t, r.Adopt(now, p) && r.anchored)
				r = New(set)
				r.Start(now.Add(-Step), plan)
				require.True(t, r.Adopt(now, p))
				twin = New(set)
				twin.Start(now.Add(-Step), plan)
				require.True(t, twin.Adopt(now, p))
			}
			checkStep(t, r, twin, w, now, anyLost && !set.CapLosses)
		}
	})
}

func checkStep(t *rapid.T, r, twin *Ramp, w *watcher, now time.Time, free bool) {
	zones, links := w.loads(now, r)
	r.Tick(now)
	r.Tick(now.Add(Step / 2))
	twin.Tick(now)
	require.Equal(t, twin.Position(), r.Position(), "instances that are told the same agree")
	w.note(now, r)
	newZones, newLinks := w.loads(now, r)
	back := w.past[max(len(w.past)-1-int(stepsPerSecond), 0)]
	for i := range r.services {
		s := &r.services[i]
		for e := range s.demand {
			require.Equal(t, Unit, proportion.Sum(s.shares.Row(e)))
			require.GreaterOrEqual(t, slices.Min(s.shares.Row(e)), placement.Rate(0))
		}
		if !free {
			require.LessOrEqual(t, s.moved(back[i], s.shares), r.set.MaxShare+cellRounding)
		}
		for z := range w.in.Zones {
			k := i*len(w.in.Zones) + z
			require.LessOrEqual(t, newZones[k], max(zones[k], r.plan.Input.Services[i].Capacity[z]+s.total/tolerance+cellRounding))
		}
	}
	for k, l := range w.in.Links {
		slack := placement.Rate(0)
		for i := range r.services {
			slack += r.services[i].total/tolerance + cellRounding
		}
		require.LessOrEqual(t, newLinks[k], max(links[k], l.Cap+slack))
	}
}

// TestRampsArrive gives ramps far more time than they need, with fresh reports
// of idle zones. They arrive, but for a few of these crowded estates in which
// full zones or links are to swap load: those say that they are still moving.
func TestRampsArrive(t *testing.T) {
	ramps, late := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r, now := New(settings), epoch
		r.Start(now, drawPlan(t, in))
		r.SetTarget(now, drawPlan(t, in))
		for range 300 * stepsPerSecond {
			now = now.Add(Step)
			for _, z := range in.Zones {
				for _, s := range in.Services {
					r.Report(s.Name, z.Name, load.Report{Slots: 10, At: now})
				}
			}
			r.Tick(now)
		}
		ramps++
		if r.Ready().Moving {
			late++
			return
		}
		for i := range r.services {
			require.Less(t, r.services[i].cost(r.services[i].wants()), settings.MinChange)
			require.False(t, r.services[i].empties())
		}
	})
	require.LessOrEqual(t, late*100, ramps)
}

// TestAdoptTakesTheFurthestSoundPosition offers positions of clocks that differ
// and positions that make no sense.
func TestAdoptTakesTheFurthestSoundPosition(t *testing.T) {
	plan := parsePlan(t, "zone a r 100\nzone b r 100\ndemand r 50")
	r := New(settings)
	r.Start(epoch, plan)
	position := func(age time.Duration, a, b placement.Rate) Position {
		return Position{At: epoch.Add(-age), Services: []ServicePosition{{
			Name: "s", Cells: []CellPosition{{Edge: "r", Zone: "a", Share: a}, {Edge: "r", Zone: "b", Share: b}, {Edge: "?", Zone: "?", Share: 1}},
			Cold: []ColdZone{{Zone: "a", Until: epoch.Add(time.Hour)}},
		}}}
	}
	shown := r.Shares(0)
	require.True(t, r.Adopt(epoch, position(2*time.Second, Unit/4, Unit*3/4)))
	require.False(t, r.Adopt(epoch, position(3*time.Second, Unit, 0)), "one further back")
	require.True(t, r.Adopt(epoch, position(-time.Second, Unit/5, Unit*4/5)), "a clock that is a second ahead")
	require.False(t, r.Adopt(epoch, position(-time.Hour, Unit, 0)), "a clock that is wrong")
	require.Equal(t, []placement.Rate{Unit / 5, Unit * 4 / 5, 0}, r.Shares(0).Row(0))
	require.True(t, r.Adopt(epoch, position(-2*time.Second, Unit, Unit)))
	require.Equal(t, []placement.Rate{Unit / 5, Unit * 4 / 5, 0}, r.Shares(0).Row(0), "shares beyond the whole are left")
	require.Equal(t, []placement.Rate{Unit / 2, Unit / 2, 0}, shown.Row(0), "shares that were handed out do not change")
	require.False(t, r.services[0].zones[0].coldUntil.After(epoch.Add(settings.ColdTime)))
}

// largePlans are two plans of 8 regions, 26 zones and 2 services, the second
// without one of the zones.
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
			r, now := New(settings), epoch
			r.Start(now, from)
			for i := 0; b.Loop(); i++ {
				if moving && i%100 == 0 {
					from, to = to, from
					r.SetTarget(now, from)
				}
				now = now.Add(Step)
				r.Tick(now)
			}
		})
	}
}

func BenchmarkPosition(b *testing.B) {
	from, to := largePlans()
	r := New(settings)
	r.Start(epoch, from)
	r.SetTarget(epoch, to)
	r.Tick(epoch.Add(Step))
	size := 0
	for b.Loop() {
		wire, _ := json.Marshal(r.Position())
		size = len(wire)
	}
	b.ReportMetric(float64(size), "B/position")
}
