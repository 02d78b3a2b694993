package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/estate"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

// Limits of the promises that the demo checks.
const (
	inForceLimit = 4 * time.Second
	drainLimit   = 20 * time.Second
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
	loadLimit   = 50 * time.Second
	ctlLimit    = 15 * time.Second
)

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
	opts    Options
	work    string
	dir     string
	estate  *estate.Estate
	entries []entrySpec
	targets targets
	procs   *processes
	http    *http.Client
	watch   *watcher
	began   time.Time

	platformURL, adminURL string

	// stopped waits for the planned stop under load.
	stopped sync.WaitGroup

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
	defer d.procs.killAll()
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
	d.report.Took = time.Since(d.began)
	return d.report, nil
}

func prepare(opts Options) (*demo, error) {
	d := &demo{opts: opts, work: opts.Work, began: time.Now(), http: &http.Client{Timeout: sampleTimeout}}
	d.dir = filepath.Join(d.work, "estate")
	if err := os.CopyFS(d.dir, os.DirFS(opts.Dir)); err != nil {
		return nil, errors.Annotatef(err, "copying the estate from %s", opts.Dir)
	}
	var err error
	if d.estate, err = movePorts(d.dir); err != nil {
		return nil, errors.Trace(err)
	}
	d.entries = layoutEntries(d.estate)
	if err := fillAddresses(d.entries); err != nil {
		return nil, errors.Trace(err)
	}
	if d.targets, err = chooseTargets(d.estate, d.entries); err != nil {
		return nil, errors.Trace(err)
	}
	d.procs = &processes{bin: opts.Bin, logs: d.work, all: map[string]*process{}}
	d.watch = newWatcher(d.estate, d.entries)
	d.report = &Report{Estate: d.estate.Name}
	return d, nil
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.opts.Progress, "%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
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
	for _, step := range []func(context.Context) error{d.startPlatform, d.startBackends, d.startEntries} {
		if err := step(ctx); err != nil {
			return errors.Trace(err)
		}
		if err := d.allRun(); err != nil {
			return errors.Trace(err)
		}
	}
	d.report.Processes = len(d.procs.all)
	d.say("%d processes run: the platform, %d entry instances, the backend servers", d.report.Processes, len(d.entries))
	go d.watch.run(ctx)
	if err := d.change(ctx, "configuration in force everywhere, first", "apply", d.dir, "--expect-version", "0", "--author", "demo"); err != nil {
		return errors.Trace(err)
	}
	for _, e := range d.entries {
		if err := d.waitFor(ctx, "http://"+e.operator+"/v1/ready"); err != nil {
			return errors.Trace(err)
		}
	}
	d.say("every entry instance is ready")
	return nil
}

// allRun returns an error if a process has ended. One whose port was taken has,
// though another process answers on it.
func (d *demo) allRun() error {
	for name, p := range d.procs.all {
		if p.ended() {
			return errors.Errorf("%s ended at its start; see its log in %s", name, d.work)
		}
	}
	return nil
}

// ctl runs banyanctl.
func (d *demo) ctl(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, ctlLimit)
	defer cancel()
	global := []string{"--platform", d.platformURL}
	for _, e := range d.entries {
		if p := d.procs.get(e.id); p != nil && !p.ended() {
			global = append(global, "--operator", e.operator)
		}
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.opts.Bin, "banyanctl"), append(global, args...)...)
	out, err := cmd.CombinedOutput()
	return errors.Annotatef(err, "banyanctl %s: %s", strings.Join(args, " "), out)
}

// change runs a banyanctl command that puts a new version in force, and
// measures from its start until the last instance has it.
func (d *demo) change(ctx context.Context, name string, args ...string) error {
	began, before := time.Now(), d.watch.version()
	if err := d.ctl(ctx, args...); err != nil {
		return errors.Trace(err)
	}
	m := Measure{Name: name, Limit: inForceLimit}
	err := d.until(ctx, inForceLimit, "new version everywhere", func() bool {
		last, ok := d.watch.inForce(before + 1)
		m.Took = last.Sub(began)
		return ok
	})
	if err != nil {
		m.Took = 0
		d.breaks("%s: not within %s", name, inForceLimit)
	}
	d.measure(m)
	return nil
}

// underLoad runs the script while callers send requests.
func (d *demo) underLoad(ctx context.Context) error {
	callers, demand := callersOf(d.estate)
	var entries []string
	for _, e := range d.entries {
		entries = append(entries, e.caller)
	}
	load, err := bench.NewLoad(bench.Config{
		Entries: entries, Callers: callers, Workloads: workloadsOf(d.estate, demand*d.opts.LoadShare),
		Duration: loadLimit, MaxRequests: maxRequests, MaxInFlight: maxInFlight, MaxAttempts: maxAttempts,
		Patience: patience, OwnKeyShare: ownKeyShare, Seed: d.opts.Seed, Prefix: tokenPrefix(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	d.say("load of %.0f requests a second from %d callers", demand*d.opts.LoadShare, len(callers))
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
	if err := pause(ctx, calmTime); err != nil {
		return errors.Trace(err)
	}
	for _, step := range []func(context.Context) error{d.drain, d.fill, d.stopEntry, d.killEntry, d.killBackend, d.outage} {
		if err := step(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// drain empties a zone.
func (d *demo) drain(ctx context.Context) error {
	zone := d.targets.drainZone
	d.say("drain zone %s", zone)
	d.drainBegan = time.Now()
	if err := d.change(ctx, "drain of zone "+zone+" in force", "drain", "zone", zone, "--dir", d.dir, "--apply", "--author", "demo"); err != nil {
		return errors.Trace(err)
	}
	var quiet time.Time
	err := d.until(ctx, drainLimit, "empty zone", func() bool {
		if d.watch.zoneBusy(zone) > 0 || quiet.IsZero() {
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
	d.say("fill zone %s", zone)
	d.fillBegan = time.Now()
	if err := d.change(ctx, "fill of zone "+zone+" in force", "fill", "zone", zone, "--dir", d.dir, "--apply", "--author", "demo"); err != nil {
		return errors.Trace(err)
	}
	return pause(ctx, fillTime)
}

func (d *demo) killEntry(ctx context.Context) error { return d.killOne(ctx, d.targets.killEntry) }

func (d *demo) killBackend(ctx context.Context) error { return d.killOne(ctx, d.targets.killBackend) }

// stopEntry begins the planned stop of an entry instance, which goes on while
// the script does.
func (d *demo) stopEntry(context.Context) error {
	e := d.targets.stopEntry
	d.say("planned stop of %s", e.id)
	if err := d.list(api.Instance{ID: e.id, Kind: api.KindEntry, Zone: e.zone, State: api.InstanceLeaving, Peer: e.peer}); err != nil {
		return errors.Trace(err)
	}
	d.stopped.Go(func() {
		began := time.Now()
		err := d.procs.stop(e.id, entryStopLimit)
		d.watch.forget(e.id)
		m := Measure{Name: "planned stop of " + e.id + " under load", Limit: entryStopLimit}
		if err == nil {
			m.Took = time.Since(began)
			err = d.unlist(e.id)
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
	d.say("kill %s", name)
	d.procs.kill(name)
	d.watch.forget(name)
	if err := d.unlist(name); err != nil {
		return errors.Trace(err)
	}
	return pause(ctx, killTime)
}

// outage takes the platform down for a while.
func (d *demo) outage(ctx context.Context) error {
	d.say("platform down for %s", outageTime)
	if err := d.admin(http.MethodPost, "/admin/faults", platform.Faults{Down: platform.DownRefuse}); err != nil {
		return errors.Trace(err)
	}
	if err := pause(ctx, outageTime); err != nil {
		return errors.Trace(err)
	}
	d.say("platform up")
	if err := d.admin(http.MethodPost, "/admin/faults", platform.Faults{}); err != nil {
		return errors.Trace(err)
	}
	return pause(ctx, recoverTime)
}

// stopAll asks every process to stop: entry instances first.
func (d *demo) stopAll() {
	d.report.Headrooms, d.report.Samples = d.watch.headrooms()
	d.stopped.Wait()
	d.say("stop everything")
	var entries, rest []string
	for name, p := range d.procs.all {
		switch {
		case slices.Contains(d.targets.all(), name):
		case p.ended():
			d.breaks("%s ended by itself; see its log in %s", name, d.work)
		case d.isEntry(name):
			entries = append(entries, name)
		default:
			rest = append(rest, name)
		}
	}
	for _, err := range d.procs.stopAll(entries, entryStopLimit) {
		d.breaks("planned stop: %v", err)
	}
	for _, err := range d.procs.stopAll(rest, standinStopTime) {
		d.breaks("stand-in: %v", err)
	}
}

// check compares what callers were told with the run logs, and the headroom
// with the caps.
func (d *demo) check() error {
	if err := d.writeRecords(); err != nil {
		return errors.Trace(err)
	}
	var runs []backend.Run
	for _, s := range d.estate.Services {
		for _, b := range s.Backends {
			part, err := d.readRuns(b.Name)
			if err != nil {
				return errors.Trace(err)
			}
			runs = append(runs, part...)
		}
	}
	d.report.Violations = bench.Check(d.report.Load.Records, runs)
	for _, h := range d.report.Headrooms {
		if h.Least < 0 {
			d.breaks("%s: %d more than the capacity of %d", h.Name, -h.Least, h.Capacity)
		}
	}
	d.report.Links = d.linkUses(runs)
	for _, l := range d.report.Links {
		if l.MostInFlight > l.MaxInFlight {
			d.breaks("link %s: %d in flight at once by the run logs, its cap is %d", l.Name, l.MostInFlight, l.MaxInFlight)
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
	for _, s := range d.estate.Services {
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

func (d *demo) isEntry(name string) bool {
	return slices.ContainsFunc(d.entries, func(e entrySpec) bool { return e.id == name })
}

// writeRecords keeps what callers saw next to the logs, a JSON line each.
func (d *demo) writeRecords() error {
	f, err := os.Create(filepath.Join(d.work, "records.jsonl"))
	if err != nil {
		return errors.Trace(err)
	}
	out := json.NewEncoder(f)
	for _, r := range d.report.Load.Records {
		if err := out.Encode(r); err != nil {
			_ = f.Close()
			return errors.Trace(err)
		}
	}
	return errors.Trace(f.Close())
}

func (d *demo) readRuns(name string) ([]backend.Run, error) {
	f, err := os.Open(d.runsFile(name))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return backend.ReadRuns(f)
}
