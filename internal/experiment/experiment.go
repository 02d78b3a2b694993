// Package experiment measures the daemon's policy against the plain baseline:
// it runs a scenario twice with the same seed and load, once with each, and
// compares what callers saw, the headroom that was left and drain times.
package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

// Bounds of one run.
const (
	loadLimit   = 40 * time.Second
	stopLimit   = 5 * time.Second
	maxRequests = 100_000
	maxInFlight = 2_000
	maxAttempts = 50
	patience    = 6 * time.Second
	ownKeyShare = 0.1
)

// Set-up of the testbed.
const (
	// slowdown lets the declared demand fill about half of the slots.
	slowdown = 8
	// coldRequests is how many first requests of a backend server are slow.
	coldRequests = 10
)

// Options set up an experiment.
type Options struct {
	// Dir is the declared estate, Bin the directory of the programs, Work a
	// directory for settings, logs and run logs.
	Dir, Bin, Work string
	Seed           uint64
	// Progress gets a line for each step.
	Progress io.Writer
}

// Result is what came of one run.
type Result struct {
	Policy string
	// Services sums up the requests that were due after the warm-up.
	Services  []bench.OpResult
	Headrooms []testbed.Headroom
	Links     []testbed.LinkUse
	// Faults counts broken promises, those of the warm-up included.
	Faults map[bench.Fault]int
	// Skipped counts arrivals that the load generator did not send.
	Skipped int64
	// Drain is how long the drain took to the last start of work before it was
	// seen empty for quietTime, 0 without a drain. Unfinished is set if it was
	// not within drainLimit.
	Drain      time.Duration
	Unfinished bool
}

// Comparison is the result of a scenario with both policies.
type Comparison struct {
	Scenario          Scenario
	Estate            string
	Baseline, Steered *Result
}

// Run runs a scenario with the baseline and then with the daemon's policy.
func Run(ctx context.Context, s Scenario, opts Options) (*Comparison, error) {
	c := &Comparison{Scenario: s}
	for _, p := range []struct {
		policy string
		to     **Result
	}{{static.PolicyBaseline, &c.Baseline}, {static.PolicySteered, &c.Steered}} {
		r, name, err := runOne(ctx, s, p.policy, opts)
		if err != nil {
			return nil, errors.Annotatef(err, "scenario %s, policy %s", s.Name, p.policy)
		}
		*p.to, c.Estate = r, name
	}
	return c, nil
}

// run is one run of a scenario.
type run struct {
	*testbed.Bed
	scenario Scenario
	opts     Options
	work     string
	// zone and region have the most slots, smallest is the region with the
	// fewest.
	zone, region, smallest string
	began                  time.Time
	drained                drained
}

// drained is what a scenario drains, and when.
type drained struct {
	in    func(zone string) bool
	began time.Time
	// until is when it was seen empty, or given up as unfinished.
	until      time.Time
	unfinished bool
}

func runOne(ctx context.Context, s Scenario, policy string, opts Options) (*Result, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work := filepath.Join(opts.Work, s.Name+"-"+policy)
	if err := os.MkdirAll(work, 0o755); err != nil {
		return nil, "", errors.Trace(err)
	}
	fmt.Fprintf(opts.Progress, "%s, %s\n", s.Name, policy)
	bed, err := testbed.New(testbed.Options{
		Dir: opts.Dir, Bin: opts.Bin, Work: work, Policy: policy, Delayed: true, ColdRequests: coldRequests,
		Slowdown: slowdown, Author: "experiment", Progress: opts.Progress,
	})
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	defer bed.Close()
	r := &run{Bed: bed, scenario: s, opts: opts, work: work}
	r.zone = bySlots(bed.Estate, func(zone string) string { return zone })[0]
	regions := bySlots(bed.Estate, bed.Watch.Region)
	r.region, r.smallest = regions[0], regions[len(regions)-1]
	if _, err := bed.Start(ctx); err != nil {
		return nil, "", errors.Trace(err)
	}
	load, err := r.underLoad(ctx)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	result, err := r.result(load)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	result.Policy = policy
	return result, bed.Estate.Name, nil
}

// underLoad runs the script after the warm-up while callers send requests.
func (r *run) underLoad(ctx context.Context) (*bench.Result, error) {
	callers, demand := r.Callers()
	workloads := testbed.Workloads(r.Estate, demand*r.scenario.load)
	if r.scenario.flash {
		workloads = append(workloads, flashOf(workloads))
	}
	load, err := bench.NewLoad(bench.Config{
		Entries: r.CallerAddresses(), Callers: callers, Workloads: workloads, Duration: loadLimit,
		MaxRequests: maxRequests, MaxInFlight: maxInFlight, MaxAttempts: maxAttempts, MaxWait: patience,
		CallerKeyShare: ownKeyShare, Seed: r.opts.Seed, TokenPrefix: "experiment",
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Say("load of %.0f requests a second", demand*r.scenario.load)
	r.began = time.Now()
	done := make(chan *bench.Result, 1)
	go func() { done <- load.Run(ctx) }()
	err = testbed.Pause(ctx, warmUp)
	if err == nil {
		err = r.scenario.script(ctx, r)
	}
	load.Stop()
	result := <-done
	return result, errors.Trace(err)
}

// result ends the stand-ins, whose run logs are then whole, and sums up.
func (r *run) result(load *bench.Result) (*Result, error) {
	out := &Result{Faults: map[bench.Fault]int{}, Skipped: load.Skipped}
	out.Headrooms, _ = r.Watch.Headrooms()
	var standins []string
	for _, name := range r.Names() {
		if !r.IsEntry(name) && !r.Ended(name) {
			standins = append(standins, name)
		}
	}
	for _, err := range r.Stop(stopLimit, standins...) {
		r.Say("stand-in: %v", err)
	}
	if err := bench.WriteRecords(filepath.Join(r.work, "records.jsonl"), load.Records); err != nil {
		return nil, errors.Trace(err)
	}
	runs, err := r.Runs()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var counted []bench.Record
	for _, rec := range load.Records {
		if rec.Start.Sub(r.began) >= warmUp {
			counted = append(counted, rec)
		}
	}
	out.Services = bench.SummariseByService(counted)
	out.Links = r.LinkUses(load.Records, runs)
	for _, v := range bench.Check(load.Records, runs) {
		out.Faults[v.Fault]++
		r.Say("%s", v)
	}
	out.Drain, out.Unfinished = r.drainTime(runs), r.drained.unfinished
	return out, nil
}

// drainTime finds the last start of work in what was drained.
func (r *run) drainTime(runs []backend.Run) time.Duration {
	if r.drained.in == nil {
		return 0
	}
	inside := map[string]bool{}
	for _, name := range r.backends(r.drained.in) {
		inside[name] = true
	}
	var last time.Time
	for _, run := range runs {
		if inside[run.Backend] && run.Started.Before(r.drained.until) && run.Started.After(last) {
			last = run.Started
		}
	}
	return max(last.Sub(r.drained.began), 0)
}
