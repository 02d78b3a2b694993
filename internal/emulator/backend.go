package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// backend models a backend server: slots, a queue in order of arrival, and a
// memory of the objects that it has handled.
type backend struct {
	traffic.Backend
	service *Service
	// gone is set when its process has ended, hidden when it takes no new
	// requests.
	gone, hidden bool
	coldUntil    time.Duration
	slowness     float64
	shed         float64
	running      int
	queue        []*run
	// known holds the objects by the time of their last run.
	known map[string]time.Duration
}

// run is one request at a backend server.
type run struct {
	kind     *Kind
	object   string
	deadline time.Duration
	done     func(end runEnd)
}

// runEnd is how a run ended.
type runEnd uint8

const (
	ranWell runEnd = iota
	refused
	broken
)

func newBackend(s *Service, id, zone string) *backend {
	return &backend{
		Backend: traffic.Backend{ID: id, Service: s.Name, Address: id, Zone: zone, Slots: s.Slots},
		service: s, slowness: 1, known: map[string]time.Duration{},
	}
}

// take gives the request a slot, a place in the queue, or a refusal.
func (b *backend) take(w *world, r *run) {
	switch {
	case b.gone:
		r.done(broken)
	case b.shed > 0 && w.rng.Float64() < b.shed, len(b.queue) >= b.service.Queue:
		r.done(refused)
	case b.running < b.service.Slots:
		b.start(w, r)
	default:
		b.queue = append(b.queue, r)
	}
}

func (b *backend) start(w *world, r *run) {
	b.running++
	end := w.now + b.runTime(w.now, w.rng, r)
	// A backend server stops work when its caller's time is over.
	w.at(min(end, max(w.now, r.deadline)), func() {
		switch {
		case b.gone:
			r.done(broken)
			return
		case end <= r.deadline:
			b.remember(r.object, w.now)
			r.done(ranWell)
		}
		b.running--
		b.next(w)
	})
}

// next starts the first of the queue that still has time.
func (b *backend) next(w *world) {
	for len(b.queue) > 0 && b.running < b.service.Slots {
		r := b.queue[0]
		b.queue = b.queue[1:]
		if w.now >= r.deadline {
			r.done(refused)
			continue
		}
		b.start(w, r)
	}
}

func (b *backend) runTime(now time.Duration, rng *rand.Rand, r *run) time.Duration {
	work := float64(r.kind.Work) * (1 + workSpread*rng.NormFloat64())
	if _, warm := b.known[r.object]; warm {
		work *= r.kind.WarmShare
	}
	if now < b.coldUntil {
		work *= b.service.ColdFactor
	}
	return time.Duration(max(float64(time.Millisecond), work*b.slowness))
}

func (b *backend) remember(object string, now time.Duration) {
	b.known[object] = now
	if len(b.known) <= b.service.Remembers {
		return
	}
	oldest, at := "", now
	for o, t := range b.known {
		if t < at || (t == at && o < oldest) {
			oldest, at = o, t
		}
	}
	delete(b.known, oldest)
}

// end breaks off everything at the backend server.
func (b *backend) end(w *world) {
	b.gone = true
	for _, r := range b.queue {
		r.done(broken)
	}
	b.queue = nil
}
