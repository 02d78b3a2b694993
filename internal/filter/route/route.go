// Package route chooses where a request runs: on a backend server owned here,
// by a neighbour in the zone that has room, or in another zone under the cap of
// the link to it. When no place takes the request it is answered at once as
// not run, with a time to come back.
//
// What an operator sees: the counters route.own, route.neighbour, route.zone
// and route.retry, and a span for each place tried.
package route

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/forward"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/snapshot"
	"github.com/banyandeal/banyandeal/internal/telemetry"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// retryAfter is when a caller comes back for whom no place had room.
const retryAfter = time.Second

// Links guards the caps of the links out of this instance's region.
type Links interface {
	// Acquire takes the right to send one request to the region; release gives
	// it back. Requests inside the region always may.
	Acquire(region string) (release func(), ok bool)
}

// Budget bounds retries.
type Budget interface {
	// First counts a request of the service.
	First(service string)
	// Retry reports whether one more try is allowed now.
	Retry(service string) bool
}

// Slots tells what the owned backend servers can take.
type Slots interface {
	Free(service string) (free, slots int)
}

// Filter routes requests.
type Filter struct {
	Snapshot func() *snapshot.Snapshot
	Sender   *forward.Sender
	Slots    Slots
	Links    Links
	Budget   Budget
	Outbox   *Outbox
	Metrics  *telemetry.Metrics
	Recorder *trace.Recorder
}

// Name implements filter.Filter.
func (Filter) Name() string { return "route" }

// Wrap implements filter.Filter.
func (f Filter) Wrap(own filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) (*filter.Answer, error) {
		if r.Stage == filter.StageOwn {
			return own.Serve(ctx, r)
		}
		f.Budget.First(r.Service.Name)
		t := &tries{Filter: f, own: own, snap: f.Snapshot(), r: r, left: max(r.Service.Retry.MaxAttempts, 1),
			seen: visited{instances: map[string]bool{}, zones: map[string]int{}, full: map[string]bool{}}}
		if after := r.Service.HedgeAfter; after > 0 && r.Idempotent && r.Stage != filter.StageZone {
			return t.hedged(ctx, after)
		}
		return t.serve(ctx)
	})
}

// tries walks the places for one request until one of them ends it.
type tries struct {
	Filter
	own  filter.Handler
	snap *snapshot.Snapshot
	r    *filter.Request
	seen visited
	left int
	last *outcome.Error
}

// serve tries places in order. Only a try that left the request not run, or
// one of an idempotent request, is followed by another.
func (t *tries) serve(ctx context.Context) (*filter.Answer, error) {
	for first := true; ; first = false {
		p, release, ok := t.next()
		if !ok {
			return nil, t.failure()
		}
		if !first && !t.mayRetry(ctx) {
			release()
			return nil, t.failure()
		}
		answer, err := t.try(ctx, p, release)
		if err == nil {
			return answer, nil
		}
		t.last = outcome.AsError(err)
		if t.last.Outcome != outcome.NotRun && !t.r.Idempotent {
			return nil, t.last
		}
	}
}

func (t *tries) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || !filter.Permitted(ctx) {
		return false
	}
	// A place that refused at once cost nobody anything; only work that was
	// begun elsewhere is charged to the budget.
	if t.last.Kind != outcome.KindNoCapacity && t.last.Kind != outcome.KindPeerLost && !t.Budget.Retry(t.r.Service.Name) {
		return false
	}
	t.Metrics.Count("route.retry")
	return true
}

func (t *tries) failure() *outcome.Error {
	if t.last != nil {
		return t.last
	}
	return outcome.NotRunError(outcome.KindNoCapacity, retryAfter, "no zone in reach has a free slot for %s", t.r.Service.Name)
}

// next returns the next place that has room and, for another region, a right
// on the link to it.
func (t *tries) next() (place, func(), bool) {
	for t.left > 0 {
		p, ok := t.choose(time.Now())
		if !ok {
			break
		}
		release, ok := t.Links.Acquire(p.region)
		if !ok {
			t.seen.full[p.region] = true
			t.last = outcome.NotRunError(outcome.KindLinkFull, retryAfter, "the link to %s is full", p.region)
			continue
		}
		t.left--
		return p, release, true
	}
	return place{}, nil, false
}

func (t *tries) try(ctx context.Context, p place, release func()) (*filter.Answer, error) {
	t.Metrics.Count("route." + p.kind)
	if p.to == nil {
		defer release()
		return t.own.Serve(ctx, t.r)
	}
	ctx, span := t.Recorder.Start(ctx, "forward", attribute.String("to", p.to.ID), attribute.String("zone", p.to.Zone))
	done := t.Outbox.add(p.to, t.r.Service.Name)
	answer, err := t.Sender.Send(ctx, forward.Target{Address: p.to.Peer, ID: p.to.ID}, t.r, p.stage)
	if err != nil {
		done(outcome.AsError(err).Kind == outcome.KindNoCapacity)
		release()
		trace.End(span, err)
		return nil, err
	}
	end := func() { done(false); release(); trace.End(span, nil) }
	if answer.Stream == nil {
		end()
		return answer, nil
	}
	answer.Stream = &endStream{ReadCloser: answer.Stream, end: end}
	return answer, nil
}
