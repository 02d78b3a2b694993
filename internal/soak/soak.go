// Package soak runs the entry instances of the users' platform as separate
// processes on loopback, against stand-ins for the store and for backend servers,
// harms them from outside by signals and proxies, and checks the promises by what
// callers and backend servers see.
//
// A seed decides on all that happens. First there are only planned operations,
// which overlap; then faults and planned operations; then nothing, and the system
// has to be well again. Traffic between instances is not harmed but by pauses and
// ends of processes.
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
)

// Lengths of the parts of a run, as shares of its length.
const (
	plannedPart = 0.3
	faultPart   = 0.4
	// stepMean is the mean time between steps.
	stepMean = 900 * time.Millisecond
	// settleTime is what callers get after the start before anything happens.
	settleTime = time.Second
)

// Options set up a run.
type Options struct {
	// Program is the daemon, WorkDir a directory for settings and logs.
	Program, WorkDir string
	Seed          uint64
	// Duration is how long it takes, without the start and the end.
	Duration time.Duration
	// Progress gets a line for each step.
	Progress io.Writer
}

// Report is what came of a run.
type Report struct {
	Seed uint64
	// WorkDir holds the settings and logs.
	WorkDir     string
	Requests int
	// Served counts the requests that were answered with success.
	Served int
	// Violations lists the promises that did not hold.
	Violations []string
}

// run is one run under way.
type run struct {
	opts    Options
	estate  *estate
	began   time.Time
	stepsWG sync.WaitGroup

	mu     sync.Mutex
	broken []string
}

// Run makes one run. The error tells that it could not be carried out.
func Run(ctx context.Context, opts Options) (*Report, error) {
	work := filepath.Join(opts.WorkDir, fmt.Sprintf("seed-%d-%s", opts.Seed, opts.Duration))
	if err := os.MkdirAll(work, 0o700); err != nil {
		return nil, errors.Annotate(err, "make a directory for logs")
	}
	e, err := newEstate(work, opts.Program)
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
	r := &run{opts: opts, estate: e, began: time.Now()}
	return r.play(ctx), nil
}

// play sends requests while the steps happen.
func (r *run) play(ctx context.Context) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &crowd{estate: r.estate}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, r.opts.Seed)
	}()
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0))
	sleep(ctx, settleTime)
	calm := time.Now().Add(time.Duration(plannedPart * float64(r.opts.Duration)))
	r.steps(ctx, rng, planned, calm)
	r.steps(ctx, rng, unplanned, calm.Add(time.Duration(faultPart*float64(r.opts.Duration))))
	r.stepsWG.Wait()
	sleep(ctx, time.Duration((1-plannedPart-faultPart)*float64(r.opts.Duration)))
	end := time.Now()
	cancel()
	<-done
	broken := append(r.broken, check(r.estate, c.records, calm, end)...)
	report := &Report{Seed: r.opts.Seed, WorkDir: r.estate.work, Requests: len(c.records), Violations: broken}
	for _, x := range c.records {
		if x.err == nil && x.status == 200 {
			report.Served++
		}
	}
	return report
}

// steps lets steps of the list begin until a time; each has a random source of
// its own, so that how long one takes changes nothing for the others.
func (r *run) steps(ctx context.Context, rng *rand.Rand, list []step, until time.Time) {
	for {
		wait := time.Duration(rng.ExpFloat64() * float64(stepMean))
		s, own := list[rng.IntN(len(list))], rand.New(rand.NewPCG(rng.Uint64(), 0))
		if time.Now().Add(wait).After(until) {
			sleep(ctx, time.Until(until))
			return
		}
		sleep(ctx, wait)
		_, _ = fmt.Fprintf(r.opts.Progress, "%6.1f s  %s\n", time.Since(r.began).Seconds(), s.name)
		r.stepsWG.Go(func() {
			if err := s.do(ctx, r.estate, own); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.broken = append(r.broken, err.Error())
			}
		})
	}
}
