package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// backend models a backend server. It has slots, a FIFO queue, and a cache of
// the objects that it has recently handled.
type backend struct {
	traffic.Backend
	service *Service
	// terminated is set once the process has ended. delisted is set while the
	// published state omits the backend server.
	terminated, delisted bool
	// coldUntil is the simulated time at which the cold start ends.
	coldUntil time.Duration
	// slowness multiplies the run times; 1 is the usual speed.
	slowness float64
	// shedShare is the share in [0,1] of requests that it rejects at random.
	shedShare float64
	// running is the number of occupied slots.
	running int
	queue   []*run
	// limit is the request limit that responses state; nil if there is none.
	limit *namedLimit
	// rest is the rest that it asks for when it turns a request away, and leaving is set
	// while its responses say that it leaves. told holds what instances got since.
	rest    time.Duration
	leaving bool
	told    map[*instance]*toldInstance
	// lastRuns maps each cached object to the time of its last run.
	lastRuns map[string]time.Duration
}

// run is one request at a backend server.
type run struct {
	kind   *RequestKind
	object string
	// deadline is the simulated time at which the backend server abandons the
	// run.
	deadline time.Duration
	// done is called with the outcome.
	done func(outcome runOutcome)
}

// runOutcome is the outcome of a run.
type runOutcome uint8

const (
	// runCompleted means that the run finished within its deadline.
	runCompleted runOutcome = iota
	// runRejected means that the backend server rejected the request without
	// running it.
	runRejected
	// runAborted means that the backend server process had ended or ended during
	// the run.
	runAborted
)

func newBackend(s *Service, id, zone string) *backend {
	return &backend{
		Backend: traffic.Backend{ID: id, Service: s.Name, Address: id, Zone: zone, Slots: s.Slots},
		service: s, slowness: 1, lastRuns: map[string]time.Duration{}, told: map[*instance]*toldInstance{},
	}
}

// accept starts the request in a free slot, queues it, or rejects it if the
// queue is full or the backend server sheds it.
func (b *backend) accept(sim *simulation, r *run) {
	if b.limit != nil {
		b.limit.arrivals = append(b.limit.arrivals, sim.now)
	}
	switch {
	case b.terminated:
		r.done(runAborted)
	case b.shedShare > 0 && sim.rng.Float64() < b.shedShare, len(b.queue) >= b.service.QueueLimit:
		r.done(runRejected)
	case b.running < b.service.Slots:
		b.start(sim, r)
	default:
		b.queue = append(b.queue, r)
	}
}

// start occupies a slot, runs the request, and then starts queued requests.
func (b *backend) start(sim *simulation, r *run) {
	b.running++
	end := sim.now + b.runTime(sim.now, sim.rng, r)
	// A backend server abandons a run at the deadline of the request.
	sim.at(min(end, max(sim.now, r.deadline)), func() {
		switch {
		case b.terminated:
			r.done(runAborted)
			return
		case end <= r.deadline:
			b.recordRun(r.object, sim.now)
			r.done(runCompleted)
		}
		b.running--
		b.startQueued(sim)
	})
}

// startQueued starts queued requests while slots are free. It rejects queued
// requests whose deadline has passed.
func (b *backend) startQueued(sim *simulation) {
	for len(b.queue) > 0 && b.running < b.service.Slots {
		r := b.queue[0]
		b.queue = b.queue[1:]
		if sim.now >= r.deadline {
			r.done(runRejected)
			continue
		}
		b.start(sim, r)
	}
}

// runTime returns the random run time of a request, at least one millisecond.
func (b *backend) runTime(now time.Duration, rng *rand.Rand, r *run) time.Duration {
	duration := float64(r.kind.RunTime) * (1 + runTimeDeviation*rng.NormFloat64())
	if _, warm := b.lastRuns[r.object]; warm {
		duration *= r.kind.WarmFactor
	}
	if now < b.coldUntil {
		duration *= b.service.ColdFactor
	}
	return time.Duration(max(float64(time.Millisecond), duration*b.slowness))
}

// recordRun adds the object to the cache and evicts the least recently used
// object if the cache is full.
func (b *backend) recordRun(object string, now time.Duration) {
	b.lastRuns[object] = now
	if len(b.lastRuns) <= b.service.ObjectMemory {
		return
	}
	oldest, at := "", now
	for o, t := range b.lastRuns {
		if t < at || (t == at && o < oldest) {
			oldest, at = o, t
		}
	}
	delete(b.lastRuns, oldest)
}

// terminate ends the process of the backend server and aborts its queued
// requests. Runs in progress abort at the time at which they would have
// finished or been abandoned.
func (b *backend) terminate(sim *simulation) {
	b.terminated = true
	for _, r := range b.queue {
		r.done(runAborted)
	}
	b.queue = nil
}
