package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/bench"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

// Limits of the promises that the demo checks.
const (
	drainLimit = 20 * time.Second
	// quietTime without work makes a drained zone count as empty.
	quietTime       = time.Second
	entryStopLimit  = 15 * time.Second
	standinStopTime = 5 * time.Second
)

// Lengths of the script's parts.
const (
	calmTime    = 3 * time.Second
	fillTime    = 5 * time.Second
	killTime    = 4 * time.Second
	outageTime  = 5 * time.Second
	recoverTime = 2 * time.Second
	crowdTime   = 4 * time.Second
	loadLimit   = 50 * time.Second
)

// crowdFactor is the load of a crowd as a multiple of what its region bears.
const crowdFactor = 1.5

// rateSlack allows for requests that left in two seconds and arrived in one.
const rateSlack = 0.1

// Bounds of the load.
const (
	maxRequests = 200_000
	maxInFlight = 2_000
	maxAttempts = 8
	patience    = 6 * time.Second
	ownKeyShare = 0.1
)

// Options set up a demo.
type Options struct {
	// Dir is the declared estate, Bin the directory of the programs, Work a
	// directory for settings, logs and run logs.
	Dir, Bin, Work string
	// LoadShare scales the demand that the estate declares.
	LoadShare float64
	Seed      uint64
	// Progress gets a line for each step.
	Progress io.Writer
}

type demo struct {
	*testbed.Bed
	opts    Options
	targets targets

	// stopped waits for the planned stop under load.
	stopped sync.WaitGroup
	// crowdRecords holds the requests of the crowd.
	crowdRecords []bench.Record

	// mu guards the lists of report while stopped is awaited.
	mu     sync.Mutex
	report *Report
	// drainBegan and fillBegan bound the time that the zone was to be empty.
	drainBegan, fillBegan time.Time
}

// Run runs the demo. The error tells that it could not be carried out; whether
// the promises were kept stands in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	d, err := prepare(opts)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer d.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.start(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	if err := d.underLoad(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	d.stopAll()
	if err := d.check(); err != nil {
		return nil, errors.Trace(err)
	}
	d.report.Took = d.Took()
	return d.report, nil
}

func prepare(opts Options) (*demo, error) {
	bed, err := testbed.New(testbed.Options{Dir: opts.Dir, Bin: opts.Bin, Work: opts.Work, Author: "demo", Progress: opts.Progress})
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &demo{Bed: bed, opts: opts, report: &Report{Estate: bed.Estate.Name}}
	if d.targets, err = chooseTargets(bed.Estate, bed.Entries); err != nil {
		bed.Close()
		return nil, errors.Trace(err)
	}
	return d, nil
}

func (d *demo) breaks(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Broken = append(d.report.Broken, fmt.Sprintf(format, args...))
}

func (d *demo) measure(m Measure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Measures = append(d.report.Measures, m)
}

// start brings the whole estate up and puts its configuration in force.
func (d *demo) start(ctx context.Context) error {
	took, err := d.Start(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	d.report.Processes = len(d.Names())
	d.inForce("configuration in force everywhere, first", took)
	return nil
}

// inForce notes how long a new version took; 0 is too long.
func (d *demo) inForce(name string, took time.Duration) {
	if took == 0 {
		d.breaks("%s: not within %s", name, testbed.InForceLimit)
	}
	d.measure(Measure{Name: name, Took: took, Limit: testbed.InForceLimit})
}

// setState drains or fills the zone.
func (d *demo) setState(ctx context.Context, verb string) error {
	zone := d.targets.drainZone
	took, err := d.SetState(ctx, verb, "zone", zone)
	if err != nil {
		return errors.Trace(err)
	}
	d.inForce(verb+" of zone "+zone+" in force", took)
	return nil
}

// underLoad runs the script while callers send requests.
func (d *demo) underLoad(ctx context.Context) error {
	callers, demand := d.Callers()
	load, err := bench.NewLoad(bench.Config{
		Entries: d.CallerAddresses(), Callers: callers, Workloads: testbed.Workloads(d.Estate, demand*d.opts.LoadShare),
		Duration: loadLimit, MaxRequests: maxRequests, MaxInFlight: maxInFlight, MaxAttempts: maxAttempts,
		MaxWait: patience, CallerKeyShare: ownKeyShare, Seed: d.opts.Seed, TokenPrefix: tokenPrefix(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	d.Say("load of %.0f requests a second from %d callers", demand*d.opts.LoadShare, len(callers))
	result := make(chan *bench.Result, 1)
	go func() { result <- load.Run(ctx) }()
	err = d.script(ctx)
	load.Stop()
	d.report.Load = <-result
	return errors.Trace(err)
}

// tokenPrefix keeps the requests of demos that run at once apart.
func tokenPrefix() string { return "demo" + strconv.Itoa(os.Getpid()) }

// script is what happens to the estate under load.
func (d *demo) script(ctx context.Context) error {
	if err := testbed.Pause(ctx, calmTime); err != nil {
		return errors.Trace(err)
	}
	for _, step := range []func(context.Context) error{d.crowd, d.drain, d.fill, d.stopEntry, d.killEntry, d.killBackend, d.outage} {
		if err := step(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// crowd drives the region with the fewest slots past them, beside the other load,
// so that its requests use the links.
func (d *demo) crowd(ctx context.Context) error {
	region := d.targets.crowdRegion
	rate := crowdFactor * testbed.RegionCapacity(d.Estate, region)
	d.Say("crowd of %.0f requests a second in region %s", rate, region)
	load, err := bench.NewLoad(bench.Config{
		Entries: d.AddressesIn(region), Callers: d.CallersIn(region), Workloads: testbed.Workloads(d.Estate, rate),
		Duration: crowdTime, MaxRequests: maxRequests, MaxInFlight: maxInFlight, MaxAttempts: 1,
		MaxWait: patience, Seed: d.opts.Seed + 1, TokenPrefix: tokenPrefix() + "crowd",
	})
	if err != nil {
		return errors.Trace(err)
	}
	d.crowdRecords = load.Run(ctx).Records
	return nil
}

// drain empties a zone.
func (d *demo) drain(ctx context.Context) error {
	zone := d.targets.drainZone
	d.Say("drain zone %s", zone)
	d.drainBegan = time.Now()
	if err := d.setState(ctx, "drain"); err != nil {
		return errors.Trace(err)
	}
	var quiet time.Time
	err := d.Until(ctx, drainLimit, "empty zone", func() bool {
		if d.Watch.ZoneBusy(zone) > 0 || quiet.IsZero() {
			quiet = time.Now()
		}
		return time.Since(quiet) >= quietTime
	})
	if err != nil {
		d.breaks("zone %s was not empty within %s", zone, drainLimit)
	}
	return nil
}

// fill lets a zone take work again.
func (d *demo) fill(ctx context.Context) error {
	zone := d.targets.drainZone
	d.Say("fill zone %s", zone)
	d.fillBegan = time.Now()
	if err := d.setState(ctx, "fill"); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, fillTime)
}

func (d *demo) killEntry(ctx context.Context) error { return d.killOne(ctx, d.targets.killEntry) }

func (d *demo) killBackend(ctx context.Context) error { return d.killOne(ctx, d.targets.killBackend) }

// stopEntry begins the planned stop of an entry instance, which goes on while
// the script does.
func (d *demo) stopEntry(context.Context) error {
	e := d.targets.stopEntry
	d.Say("planned stop of %s", e.ID)
	if err := d.List(api.Instance{ID: e.ID, Kind: api.KindEntry, Zone: e.Zone, State: api.InstanceLeaving, Peer: e.Advertise.Peer}); err != nil {
		return errors.Trace(err)
	}
	d.stopped.Go(func() {
		began := time.Now()
		m := Measure{Name: "planned stop of " + e.ID + " under load", Limit: entryStopLimit}
		var err error
		if errs := d.Stop(entryStopLimit, e.ID); len(errs) > 0 {
			err = errs[0]
		} else {
			m.Took = time.Since(began)
			err = d.Unlist(e.ID)
		}
		if err != nil {
			d.breaks("planned stop: %v", err)
		}
		d.measure(m)
	})
	return nil
}

// killOne kills a process and takes it from the platform's list.
func (d *demo) killOne(ctx context.Context, name string) error {
	d.Say("kill %s", name)
	if err := d.Kill(name); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, killTime)
}

// outage takes the platform down for a while.
func (d *demo) outage(ctx context.Context) error {
	d.Say("platform down for %s", outageTime)
	if err := d.Admin(http.MethodPost, "/admin/faults", platform.Faults{Down: platform.DownRefuse}); err != nil {
		return errors.Trace(err)
	}
	if err := testbed.Pause(ctx, outageTime); err != nil {
		return errors.Trace(err)
	}
	d.Say("platform up")
	if err := d.Admin(http.MethodPost, "/admin/faults", platform.Faults{}); err != nil {
		return errors.Trace(err)
	}
	return testbed.Pause(ctx, recoverTime)
}

// stopAll asks every process to stop: entry instances first.
func (d *demo) stopAll() {
	d.report.Headrooms, d.report.Samples = d.Watch.Headrooms()
	d.stopped.Wait()
	d.Say("stop everything")
	var entries, rest []string
	for _, name := range d.Names() {
		switch {
		case slices.Contains(d.targets.all(), name):
		case d.Ended(name):
			d.breaks("%s ended by itself; see its log in %s", name, d.opts.Work)
		case d.IsEntry(name):
			entries = append(entries, name)
		default:
			rest = append(rest, name)
		}
	}
	for _, err := range d.Stop(entryStopLimit, entries...) {
		d.breaks("planned stop: %v", err)
	}
	for _, err := range d.Stop(standinStopTime, rest...) {
		d.breaks("stand-in: %v", err)
	}
}

// check compares what callers were told with the run logs, and the headroom
// with the caps.
func (d *demo) check() error {
	if err := bench.WriteRecords(filepath.Join(d.opts.Work, "records.jsonl"), d.report.Load.Records); err != nil {
		return errors.Trace(err)
	}
	runs, err := d.Runs()
	if err != nil {
		return errors.Trace(err)
	}
	records := append(slices.Clone(d.report.Load.Records), d.crowdRecords...)
	d.report.Violations = bench.Check(records, runs)
	for _, h := range d.report.Headrooms {
		if h.Least < 0 {
			d.breaks("%s: %d more than the capacity of %d", h.Name, -h.Least, h.Capacity)
		}
	}
	d.report.Links = d.LinkUses(records, runs)
	if !slices.ContainsFunc(d.report.Links, func(l testbed.LinkUse) bool { return l.Requests > 0 }) {
		d.breaks("no request crossed a link, so that no cap was tried")
	}
	for _, l := range d.report.Links {
		if l.MostInFlight > l.MaxInFlight {
			d.breaks("link %s: %d in flight at once by the run logs, its cap is %d", l.Name, l.MostInFlight, l.MaxInFlight)
		}
		if float64(l.MostStarted) > l.MaxRate*(1+rateSlack) {
			d.breaks("link %s: %d started in a second by the run logs, its cap is %.0f", l.Name, l.MostStarted, l.MaxRate)
		}
	}
	d.measureDrain(runs)
	return nil
}

// measureDrain finds the last work that the drained zone did before its fill,
// and the first that it did after it.
func (d *demo) measureDrain(runs []backend.Run) {
	zone := d.targets.drainZone
	inZone := map[string]bool{}
	for _, s := range d.Estate.Services {
		for _, b := range s.Backends {
			inZone[b.Name] = b.Zone == zone
		}
	}
	var last, first time.Time
	for _, r := range runs {
		switch {
		case !inZone[r.Backend]:
		case r.Started.Before(d.fillBegan):
			last = latest(last, latest(r.Started, r.Ended))
		case first.IsZero() || r.Started.Before(first):
			first = r.Started
		}
	}
	d.measure(Measure{Name: "drain of zone " + zone + ", to its last work", Took: max(last.Sub(d.drainBegan), 1), Limit: drainLimit})
	if first.IsZero() {
		d.breaks("zone %s got no work after its fill", zone)
		return
	}
	d.measure(Measure{Name: "fill of zone " + zone + ", to its first work", Took: first.Sub(d.fillBegan), Limit: fillTime})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
