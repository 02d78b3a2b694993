package testbed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/standin/delaynet"
)

const (
	ctlLimit = 15 * time.Second
	// InForceLimit is how long a new version may take to be in force.
	InForceLimit = 4 * time.Second
)

// Options set up a testbed.
type Options struct {
	// Dir is the declared estate, Bin the directory of the programs, Work a
	// directory for settings, logs and run logs.
	Dir, Bin, Work string
	// Policy is that of the daemons, empty for the default.
	Policy string
	// Delayed puts the delays between zones, regions and callers before the
	// listeners of the entry instances.
	Delayed bool
	// ColdRequests is how many first requests of a backend server are slow, 0
	// for the default.
	ColdRequests int
	// Slowdown multiplies the mean and hedge times of the estate's services, so
	// that a load which the machine can carry fills their slots; 0 is 1.
	Slowdown int
	// Author is named as the author of changes.
	Author string
	// Progress gets a line for each step.
	Progress io.Writer
}

// Bed is one testbed.
type Bed struct {
	Estate  *estate.Estate
	Entries []Entry
	Watch   *Watcher
	// Dir is the testbed's own copy of the declared estate.
	Dir string

	opts  Options
	procs *processes
	http  *http.Client
	began time.Time
	// relays holds the relays before each entry instance, by id.
	relays map[string][]*delaynet.Relay

	// platform and admin are the addresses of the platform's stand-in.
	platform, admin string
}

// New lays out a testbed and starts nothing. Close ends it.
func New(opts Options) (*Bed, error) {
	b := &Bed{
		opts: opts, began: time.Now(), http: &http.Client{Timeout: sampleTimeout}, relays: map[string][]*delaynet.Relay{},
		Dir:   filepath.Join(opts.Work, "estate"),
		procs: &processes{bin: opts.Bin, logs: opts.Work, all: map[string]*process{}},
	}
	if err := os.CopyFS(b.Dir, os.DirFS(opts.Dir)); err != nil {
		return nil, errors.Annotatef(err, "copying the estate from %s", opts.Dir)
	}
	if err := eachFile(b.Dir, func(data []byte) []byte { return slowDown(data, max(opts.Slowdown, 1)) }); err != nil {
		return nil, errors.Trace(err)
	}
	var err error
	if b.Estate, err = movePorts(b.Dir); err != nil {
		return nil, errors.Trace(err)
	}
	b.Entries = layoutEntries(b.Estate)
	addrs, err := freeAddresses(loopback, perPlatform+perEntry*len(b.Entries))
	if err != nil {
		return nil, errors.Trace(err)
	}
	b.platform, b.admin = addrs[0], addrs[1]
	fillAddresses(b.Entries, addrs[perPlatform:])
	if opts.Delayed {
		if err := b.delayEntries(); err != nil {
			b.Close()
			return nil, errors.Trace(err)
		}
	}
	b.Watch = newWatcher(b.Estate, b.Entries)
	return b, nil
}

// Close ends whatever is left.
func (b *Bed) Close() {
	b.procs.killAll()
	for _, relays := range b.relays {
		for _, r := range relays {
			r.Close()
		}
	}
}

// Say writes a line of progress.
func (b *Bed) Say(format string, args ...any) {
	fmt.Fprintf(b.opts.Progress, "%5.1f s  %s\n", b.Took().Seconds(), fmt.Sprintf(format, args...))
}

// Took returns the time since the testbed was laid out.
func (b *Bed) Took() time.Duration { return time.Since(b.began) }

// Start brings the whole estate up and puts its configuration in force, which
// took the time that it returns, or 0 if it was not in force in time.
func (b *Bed) Start(ctx context.Context) (inForce time.Duration, err error) {
	for _, step := range []func(context.Context) error{b.startPlatform, b.startBackends, b.startEntries} {
		if err := step(ctx); err != nil {
			return 0, errors.Trace(err)
		}
		if err := b.allRun(); err != nil {
			return 0, errors.Trace(err)
		}
	}
	b.Say("%d processes run: the platform, %d entry instances, the backend servers", len(b.procs.all), len(b.Entries))
	go b.Watch.run(ctx)
	inForce, err = b.Change(ctx, "apply", b.Dir, "--expect-version", "0")
	if err != nil {
		return 0, errors.Trace(err)
	}
	for _, e := range b.Entries {
		if err := b.waitFor(ctx, "http://"+e.Advertise.Operator+"/v1/ready"); err != nil {
			return 0, errors.Trace(err)
		}
	}
	b.Say("every entry instance is ready")
	return inForce, nil
}

// allRun returns an error if a process has ended. One whose port was taken has,
// though another process answers on it.
func (b *Bed) allRun() error {
	for name, p := range b.procs.all {
		if p.ended() {
			return errors.Errorf("%s ended at its start; see its log in %s", name, b.opts.Work)
		}
	}
	return nil
}

// ctl runs banyanctl.
func (b *Bed) ctl(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, ctlLimit)
	defer cancel()
	global := []string{"--platform", "http://" + b.platform}
	for _, e := range b.Entries {
		if p := b.procs.get(e.ID); p != nil && !p.ended() {
			global = append(global, "--operator", e.Advertise.Operator)
		}
	}
	cmd := exec.CommandContext(ctx, filepath.Join(b.opts.Bin, "banyanctl"), append(global, args...)...)
	out, err := cmd.CombinedOutput()
	return errors.Annotatef(err, "banyanctl %s: %s", strings.Join(args, " "), out)
}

// Change runs a banyanctl command that puts a new version in force, and
// measures from its start until the last instance has it. It returns 0 if that
// took longer than InForceLimit.
func (b *Bed) Change(ctx context.Context, args ...string) (time.Duration, error) {
	began, before := time.Now(), b.Watch.Version()
	if err := b.ctl(ctx, append(args, "--author", b.opts.Author)...); err != nil {
		return 0, errors.Trace(err)
	}
	var took time.Duration
	err := b.Until(ctx, InForceLimit, "new version everywhere", func() bool {
		last, ok := b.Watch.InForce(before + 1)
		took = last.Sub(began)
		return ok
	})
	if err != nil {
		return 0, errors.Trace(ctx.Err())
	}
	return took, nil
}

// SetState declares a zone or region draining (verb "drain") or active
// ("fill") and returns as Change does.
func (b *Bed) SetState(ctx context.Context, verb, kind, name string) (time.Duration, error) {
	return b.Change(ctx, verb, kind, name, "--dir", b.Dir, "--apply")
}

// Kill ends processes at once and takes them from the platform's list.
func (b *Bed) Kill(names ...string) error {
	b.procs.killAtOnce(names)
	for _, n := range names {
		b.refuseRelays(n)
		b.Watch.Forget(n)
	}
	for _, n := range names {
		if err := b.Unlist(n); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Stop asks processes to stop, waits, and returns the errors of those that did
// not exit 0 in time.
func (b *Bed) Stop(limit time.Duration, names ...string) []error {
	errs := b.procs.stopAll(names, limit)
	for _, n := range names {
		b.refuseRelays(n)
		b.Watch.Forget(n)
	}
	return errs
}

// Names returns the processes in order, those that have ended included.
func (b *Bed) Names() []string { return b.procs.names() }

// Ended reports whether a process has ended.
func (b *Bed) Ended(name string) bool { return b.procs.get(name).ended() }

// IsEntry reports whether a process is an entry instance.
func (b *Bed) IsEntry(name string) bool {
	_, ok := b.entry(name)
	return ok
}

// Callers returns one caller for each block, weighted by its demand, and the
// demand of all in requests per second. Those of a delayed testbed come from
// an address near their region and ask its entry instances first.
func (b *Bed) Callers() ([]bench.Caller, float64) {
	callers, demand := Callers(b.Estate)
	if !b.opts.Delayed {
		return callers, demand
	}
	near := map[string][]string{}
	for _, e := range b.Entries {
		region := b.Watch.Region(e.Zone)
		near[region] = append(near[region], e.Advertise.Caller)
	}
	n := 0
	for _, block := range b.Estate.Blocks {
		if block.Demand > 0 {
			callers[n].LocalAddr, callers[n].PreferredEntries = callerIP(b.regionIndex(block.Region)), near[block.Region]
			n++
		}
	}
	return callers, demand
}

// CallerAddresses returns the caller addresses of all entry instances.
func (b *Bed) CallerAddresses() []string {
	var out []string
	for _, e := range b.Entries {
		out = append(out, e.Advertise.Caller)
	}
	return out
}

// Runs reads the run logs of all backend servers.
func (b *Bed) Runs() ([]backend.Run, error) {
	var runs []backend.Run
	for _, s := range b.Estate.Services {
		for _, be := range s.Backends {
			part, err := b.readRuns(be.Name)
			if err != nil {
				return nil, errors.Trace(err)
			}
			runs = append(runs, part...)
		}
	}
	return runs, nil
}

func (b *Bed) readRuns(name string) ([]backend.Run, error) {
	f, err := os.Open(b.runsFile(name))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return backend.ReadRuns(f)
}
