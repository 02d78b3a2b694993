// Package soak runs the entry instances of the users' platform as separate
// processes on loopback, against stand-ins for the store and for the backend
// servers. It injects faults from outside, by signals and proxies, and checks the
// guarantees of the system by what callers and backend servers observe.
//
// All random choices derive from a seed. A run has three phases: planned
// operations only, which overlap; then faults and planned operations; then neither,
// and the system has to recover. Some callers send requests behind one another, and read large
// responses slowly. In the first two, callers also repeat requests that
// crash backend servers, and backend servers name request limits, ask for rest or say
// that they leave. Keys of client accounts come and go, and a quota changes.
//
// A plan chooses the steps. That of mixed faults lets the store come back from older
// copies in the second phase. That of faults at roles leaves the store calm, so that the
// bounds on configurations and look-ups hold for all instances that are undisturbed
// themselves, and gives the links of the instances the rates of real ones. That of
// evacuations has a store that always responds, though not always with its newest state, so
// that evacuations bind all instances that are undisturbed themselves.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/wait"
)

// Shares of the duration of a run that its phases take. The rest is the phase in
// which the system has to recover.
const (
	plannedShare = 0.3
	faultShare   = 0.4
	// meanStepInterval is the mean time between the starts of two steps.
	meanStepInterval = 900 * time.Millisecond
	// warmUpTime is how long callers send requests before the first step.
	warmUpTime = time.Second
)

// Options configure a run.
type Options struct {
	// Program is the path of the daemon. WorkDir is a directory for settings and logs.
	Program, WorkDir string
	Seed             uint64
	// InstancesPerZone is the number of instances in each availability zone, at most 60.
	InstancesPerZone int
	// Plan names the steps.
	Plan PlanName
	// RunTime is the duration of the run, excluding startup and shutdown.
	RunTime time.Duration
	// Progress receives a line for each step.
	Progress io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// WorkDir is the directory with the settings and logs of this run.
	WorkDir  string
	Requests int
	// Served counts the requests that got a response with status 200.
	Served int
	// Violations describes the guarantees that were violated.
	Violations []string
}

// run is the state of one run in progress.
type run struct {
	opts        Options
	environment *environment
	started     time.Time
	stepsWG     sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

// Run executes one run. An error means that the run could not be carried out;
// violated guarantees are in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	work := filepath.Join(opts.WorkDir, fmt.Sprintf("%s-%d-%d-%s", opts.Plan, opts.Seed, opts.InstancesPerZone, opts.RunTime))
	if err := os.MkdirAll(work, 0o700); err != nil {
		return nil, errors.Annotate(err, "create the directory for settings and logs")
	}
	e, err := newEnvironment(work, opts)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer e.close()
	for _, i := range e.instances {
		if err := e.start(i); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if err := e.awaitReady(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	r := &run{opts: opts, environment: e, started: time.Now()}
	return r.execute(ctx), nil
}

// execute runs the steps of all phases while callers send requests, and checks the
// results.
func (r *run) execute(ctx context.Context) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &callerGroup{environment: r.environment}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, r.opts.Seed)
	}()
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0))
	wait.Sleep(ctx, warmUpTime)
	background, endBackground := context.WithCancel(ctx)
	defer endBackground()
	pipelined := make(chan struct{})
	go func() {
		defer close(pipelined)
		c.pipeline(ctx, r.opts.Seed)
	}()
	r.stepsWG.Go(func() { c.sendCrashing(background, r.opts.Seed) })
	r.stepsWG.Go(func() { r.environment.nameLimits(background, r.opts.Seed) })
	r.stepsWG.Go(func() { r.environment.askForRest(background, r.opts.Seed) })
	r.stepsWG.Go(func() { r.environment.sayLeaving(background, r.opts.Seed) })
	r.stepsWG.Go(func() { c.useAccounts(background, r.opts.Seed) })
	watch := &lookupWatch{}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		watch.run(ctx, r.environment, r.opts.Seed)
	}()
	faultsBegin := time.Now().Add(time.Duration(plannedShare * float64(r.opts.RunTime)))
	r.runSteps(ctx, rng, r.environment.plan.planned, faultsBegin)
	if r.environment.plan.storeRollsBack {
		r.stepsWG.Go(func() { r.environment.rollBackStore(background, r.opts.Seed) })
	}
	r.runSteps(ctx, rng, r.environment.plan.faults, faultsBegin.Add(time.Duration(faultShare*float64(r.opts.RunTime))))
	endBackground()
	r.stepsWG.Wait()
	wait.Sleep(ctx, time.Duration((1-plannedShare-faultShare)*float64(r.opts.RunTime)))
	end := time.Now()
	cancel()
	<-done
	<-pipelined
	<-watched
	violations := append(r.violations, check(r.environment, c.records, faultsBegin, end)...)
	violations = append(violations, crashViolations(r.environment, c.records, faultsBegin)...)
	violations = append(violations, limitViolations(r.environment, c.records)...)
	violations = append(violations, restViolations(r.environment, c.records, faultsBegin)...)
	violations = append(violations, evacuationViolations(r.environment, c.records)...)
	violations = append(violations, partitionViolations(r.environment, c.records)...)
	violations = append(violations, quotaViolations(r.environment)...)
	violations = append(violations, watch.violations(r.environment)...)
	report := &Report{Seed: r.opts.Seed, WorkDir: r.environment.workDir, Requests: len(c.records), Violations: violations}
	for _, x := range c.records {
		if x.err == nil && x.status == 200 {
			report.Served++
		}
	}
	return report
}

// runSteps starts random steps of the list until the given time. Each step has a
// random source of its own, so that the duration of one step doesn't affect the
// random choices of the others.
func (r *run) runSteps(ctx context.Context, rng *rand.Rand, list []step, until time.Time) {
	for {
		pause := time.Duration(rng.ExpFloat64() * float64(meanStepInterval))
		s, stepRNG := list[rng.IntN(len(list))], rand.New(rand.NewPCG(rng.Uint64(), 0))
		if time.Now().Add(pause).After(until) {
			wait.Sleep(ctx, time.Until(until))
			return
		}
		wait.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(r.opts.Progress, "%6.1f s  %s\n", time.Since(r.started).Seconds(), s.name)
		r.stepsWG.Go(func() {
			if err := s.execute(ctx, r.environment, stepRNG); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.violations = append(r.violations, err.Error())
			}
		})
	}
}
