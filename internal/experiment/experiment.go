// Package experiment compares the daemon's routing policy with a baseline
// policy. It runs a scenario twice with the same seed and load, once with each
// policy, and compares the results that callers observed, the remaining
// headroom and the drain times.
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

// Limits and load settings of one run.
const (
	// maxLoadDuration bounds the duration of the load.
	maxLoadDuration = 40 * time.Second
	// stopTimeout is how long the stand-ins get to stop.
	stopTimeout = 5 * time.Second
	// maxRequests bounds the number of requests of a run.
	maxRequests = 100_000
	// maxInFlight bounds the requests in flight; the load generator skips
	// arrivals beyond it.
	maxInFlight = 2_000
	// maxAttempts bounds the attempts that a caller makes for one request.
	maxAttempts = 50
	// callerMaxWait is the time after a request was due beyond which a caller
	// begins no attempt.
	callerMaxWait = 6 * time.Second
	// ownKeyShare is the share in [0,1] of non-idempotent requests that use a
	// key of the caller's choice.
	ownKeyShare = 0.1
)

// Settings of the testbed.
const (
	// slowdown multiplies the mean and hedge times of the declared services.
	// With it the declared demand occupies about half of the slots.
	slowdown = 8
	// coldRequests is the number of slow first requests of each backend server.
	coldRequests = 10
)

// Options configure an experiment.
type Options struct {
	// Dir is the directory of the declared deployment. Bin is the directory of
	// the program binaries. Work is a directory for settings, process logs and
	// run logs.
	Dir, Bin, Work string
	// Seed seeds the load generator.
	Seed uint64
	// Progress receives one line for each step.
	Progress io.Writer
}

// Result holds the measurements of one run.
type Result struct {
	// Policy is the name of the policy that ran.
	Policy string
	// Services summarises the requests that were due after the warm-up, with one
	// entry for each service.
	Services []bench.OpResult
	// Headrooms lists the least headroom observed for each region and link.
	Headrooms []testbed.Headroom
	// Links lists the use of each link, according to the records of the load
	// generator and the run logs.
	Links []testbed.LinkUse
	// Violations counts violated guarantees, including those during the warm-up.
	Violations map[bench.Fault]int
	// Skipped counts arrivals that the load generator did not send.
	Skipped int64
	// DrainTime is the time from the start of the drain to the last start of a
	// request in the drained zones before the drain ended. It is 0 without a
	// drain.
	DrainTime time.Duration
	// DrainUnfinished reports that the drained zones were not empty for
	// quietPeriod within drainLimit.
	DrainUnfinished bool
}

// Comparison holds the results of a scenario with both policies.
type Comparison struct {
	// Scenario is the scenario that both policies ran.
	Scenario Scenario
	// Deployment is the name of the declared deployment.
	Deployment string
	// Baseline is the result with the baseline policy. Steered is the result
	// with the daemon's policy.
	Baseline, Steered *Result
}

// Run runs a scenario first with the baseline and then with the daemon's
// policy. It returns the first error of either run.
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
		*p.to, c.Deployment = r, name
	}
	return c, nil
}

// run is the state of one run of a scenario.
type run struct {
	*testbed.Bed
	scenario Scenario
	opts     Options
	// workDir is the directory for the files of this run.
	workDir string
	// zone is the zone with the most slots. largestRegion is the region with the
	// most slots, smallestRegion the one with the fewest.
	zone, largestRegion, smallestRegion string
	// loadStarted is when the load generator was started.
	loadStarted time.Time
	// drainState describes the drain of this run. It is zero without a drain.
	drainState drainState
}

// drainState describes what a scenario drains, and when.
type drainState struct {
	// inScope reports whether a zone is drained.
	inScope func(zone string) bool
	// started is when the drain was requested.
	started time.Time
	// ended is when the drained zones had been empty for quietPeriod, or when
	// the wait was given up.
	ended time.Time
	// unfinished reports that the drained zones were not empty for quietPeriod
	// when the wait ended.
	unfinished bool
}

// runOne runs a scenario with one policy on a new testbed. It returns the
// result and the name of the declared deployment.
func runOne(ctx context.Context, s Scenario, policy string, opts Options) (*Result, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workDir := filepath.Join(opts.Work, s.Name+"-"+policy)
	if err := os.MkdirAll(workDir, 0o755); err != nil {
		return nil, "", errors.Trace(err)
	}
	fmt.Fprintf(opts.Progress, "%s, %s\n", s.Name, policy)
	bed, err := testbed.New(testbed.Options{
		Dir: opts.Dir, Bin: opts.Bin, Work: workDir, Policy: policy, Delayed: true, ColdRequests: coldRequests,
		Slowdown: slowdown, Author: "experiment", Progress: opts.Progress,
	})
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	defer bed.Close()
	r := &run{Bed: bed, scenario: s, opts: opts, workDir: workDir}
	r.zone = bySlots(bed.Estate, func(zone string) string { return zone })[0]
	regions := bySlots(bed.Estate, bed.Watch.Region)
	r.largestRegion, r.smallestRegion = regions[0], regions[len(regions)-1]
	if _, err := bed.Start(ctx); err != nil {
		return nil, "", errors.Trace(err)
	}
	load, err := r.runUnderLoad(ctx)
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

// runUnderLoad starts the load, waits for the warm-up, runs the script of the
// scenario, and stops the load.
func (r *run) runUnderLoad(ctx context.Context) (*bench.Result, error) {
	callers, demand := r.Callers()
	workloads := testbed.Workloads(r.Estate, demand*r.scenario.load)
	if r.scenario.flash {
		workloads = append(workloads, flashWorkload(workloads))
	}
	load, err := bench.NewLoad(bench.Config{
		Entries: r.CallerAddresses(), Callers: callers, Workloads: workloads, Duration: maxLoadDuration,
		MaxRequests: maxRequests, MaxInFlight: maxInFlight, MaxAttempts: maxAttempts, MaxWait: callerMaxWait,
		CallerKeyShare: ownKeyShare, Seed: r.opts.Seed, TokenPrefix: "experiment",
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Say("starting a load of %.0f requests per second", demand*r.scenario.load)
	r.loadStarted = time.Now()
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

// result stops the stand-ins, so that their run logs are complete, and
// summarises the run.
func (r *run) result(load *bench.Result) (*Result, error) {
	out := &Result{Violations: map[bench.Fault]int{}, Skipped: load.Skipped}
	out.Headrooms, _ = r.Watch.Headrooms()
	var standins []string
	for _, name := range r.Names() {
		if !r.IsEntry(name) && !r.Ended(name) {
			standins = append(standins, name)
		}
	}
	for _, err := range r.Stop(stopTimeout, standins...) {
		r.Say("stand-in did not stop cleanly: %v", err)
	}
	if err := bench.WriteRecords(filepath.Join(r.workDir, "records.jsonl"), load.Records); err != nil {
		return nil, errors.Trace(err)
	}
	runs, err := r.Runs()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var counted []bench.Record
	for _, rec := range load.Records {
		if rec.Start.Sub(r.loadStarted) >= warmUp {
			counted = append(counted, rec)
		}
	}
	out.Services = bench.SummariseByService(counted)
	out.Links = r.LinkUses(load.Records, runs)
	for _, v := range bench.Check(load.Records, runs) {
		out.Violations[v.Fault]++
		r.Say("%s", v)
	}
	out.DrainTime, out.DrainUnfinished = r.drainTime(runs), r.drainState.unfinished
	return out, nil
}

// drainTime returns the time from the start of the drain to the last start of a
// request in the drained zones, or 0 if nothing was drained.
func (r *run) drainTime(runs []backend.Run) time.Duration {
	if r.drainState.inScope == nil {
		return 0
	}
	inside := map[string]bool{}
	for _, name := range r.backends(r.drainState.inScope) {
		inside[name] = true
	}
	var last time.Time
	for _, run := range runs {
		if inside[run.Backend] && run.Started.Before(r.drainState.ended) && run.Started.After(last) {
			last = run.Started
		}
	}
	return max(last.Sub(r.drainState.started), 0)
}
