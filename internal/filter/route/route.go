// Package route chooses where a request runs: on a backend server owned here,
// by a neighbour in the zone that has room, or in another zone under the cap of
// the link to it. When no place takes the request within the mean time of one
// it is answered as not run, with a time to come back. Further attempts follow
// the rules and the budget of the retry package.
//
// What an operator sees: the counters route.own, route.neighbour, route.zone,
// route.relay, route.retry, route.hedge and route.wait, and a span for each
// place tried.
package route

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/banyandeal/banyandeal/internal/decide/retry"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/forward"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/snapshot"
	"github.com/banyandeal/banyandeal/internal/telemetry"
	"github.com/banyandeal/banyandeal/internal/trace"
)

const (
	// hedgeHeadroom is the least share of own slots that must be free for a
	// second attempt of a request that is still running.
	hedgeHeadroom = 0.5
	// minAttemptTime is the least time left for another attempt.
	minAttemptTime = 2 * time.Millisecond
	// waitParts is how many times a request that waits for a place looks for
	// one in the mean time of a request.
	waitParts = 4
)

// Links guards the caps of the links out of this instance's region.
type Links interface {
	// Acquire takes the right to send one request to the region; release gives
	// it back. Requests inside the region always may.
	Acquire(region string) (release func(), ok bool)
}

// Slots tells what the owned backend servers can take.
type Slots interface {
	Free(service string) (free, slots int)
}

// Filter routes requests.
type Filter struct {
	Policy   Policy
	Snapshot func() *snapshot.Snapshot
	Sender   *forward.Sender
	Slots    Slots
	Links    Links
	Budgets  *Budgets
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
		c := *r
		c.Avoid = filter.NewAvoid()
		s := &search{Filter: f, own: own, snap: f.Snapshot(), r: &c, seen: newVisited()}
		if r.Stage >= filter.StageRelay {
			// The instance that passed the request on decides on retries.
			return s.attempt(ctx)
		}
		return f.attempts(ctx, s)
	})
}

// search walks the places for one request. One attempt goes to the first place
// that takes the request: a place that turns it away unseen costs nothing.
type search struct {
	Filter
	own  filter.Handler
	snap *snapshot.Snapshot
	r    *filter.Request
	seen *visited
}

// attempt tries places until one of them has taken the request.
func (s *search) attempt(ctx context.Context) (*filter.Answer, error) {
	var last *outcome.Error
	until := time.Now().Add(s.patience())
	for {
		if !filter.Permitted(ctx) {
			return nil, outcome.NotRunError(outcome.KindCancelled, 0, "the request was withdrawn before it was sent")
		}
		p, ok := s.choose(time.Now())
		if !ok && s.awaitRoom(ctx, until) {
			continue
		}
		if !ok && last == nil {
			return nil, s.noCapacity()
		}
		if !ok {
			return nil, s.comeBack(last)
		}
		release, ok := s.Links.Acquire(p.region)
		if !ok {
			s.seen.closeLink(p.region)
			last = outcome.NotRunError(outcome.KindLinkFull, s.retryAfter(), "the link to %s is full", p.region)
			continue
		}
		answer, err := s.try(ctx, p, release)
		if err == nil {
			return answer, nil
		}
		e := outcome.AsError(err)
		if !unseen(e) {
			return nil, err
		}
		if p.to == nil {
			s.seen.leaveOwn()
		}
		last = e
	}
}

// comeBack gives an error of a place that named no time to come back one.
func (s *search) comeBack(e *outcome.Error) *outcome.Error {
	if e.RetryAfter > 0 {
		return e
	}
	c := *e
	c.RetryAfter = s.retryAfter()
	return &c
}

// patience is how long the request may wait for a place. One that another
// instance passed on does not: its sender looks for the next place.
func (s *search) patience() time.Duration {
	if s.r.Stage >= filter.StageRelay {
		return 0
	}
	return s.Policy.patience(s.r.Service)
}

// awaitRoom waits a part of the mean time of a request, after which every place
// may be tried again. It reports false when the request is not to wait any
// longer.
func (s *search) awaitRoom(ctx context.Context, until time.Time) bool {
	part := time.Duration((1 + rand.Float64()) / 2 * float64(s.r.Service.MeanTime) / waitParts)
	if part <= 0 || time.Now().Add(part).After(until) {
		return false
	}
	t := time.NewTimer(part)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	s.Metrics.Count("route.wait")
	s.seen.reset()
	return true
}

// unseen reports whether a place turned the request away before any backend
// server saw it.
func unseen(e *outcome.Error) bool {
	if e.Outcome != outcome.NotRun {
		return false
	}
	switch e.Kind {
	case outcome.KindNoCapacity, outcome.KindLinkFull, outcome.KindPeerLost, outcome.KindNotReady:
		return true
	}
	return false
}

func (s *search) noCapacity() *outcome.Error {
	return outcome.NotRunError(outcome.KindNoCapacity, s.retryAfter(), "no zone in reach has a free slot for %s", s.r.Service.Name)
}

// retryAfter is when the work ahead of a request that finds no place is done.
func (s *search) retryAfter() time.Duration {
	l := retry.Backlog{MeanTime: s.r.Service.MeanTime}
	if z, ok := s.snap.ZoneOf(s.snap.Zone); ok {
		l.Slots = z.Slots[s.r.Service.Name]
		l.Ahead = l.Slots
	}
	return retry.RetryAfter(l, rand.Float64())
}

func (s *search) try(ctx context.Context, p place, release func()) (*filter.Answer, error) {
	s.Metrics.Count("route." + p.kind)
	if p.to == nil {
		defer release()
		return s.own.Serve(ctx, s.r)
	}
	ctx, span := s.Recorder.Start(ctx, "forward", attribute.String("to", p.to.ID), attribute.String("zone", p.to.Zone))
	done := s.Outbox.add(p.to, s.r.Service.Name)
	answer, err := s.Sender.Send(ctx, forward.Target{Address: p.to.Peer, ID: p.to.ID}, s.r, p.stage)
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

// endOf classifies the error of an attempt for the rules of retries.
func endOf(err error) retry.Result {
	e := outcome.AsError(err)
	var failed *forward.NoReplyError
	switch {
	case e.Kind == outcome.KindQuarantined, e.Kind == outcome.KindCancelled && e.Outcome == outcome.NotRun:
		return retry.Stopped
	case errors.As(err, &failed) && !failed.Sent:
		return retry.NotSent
	case e.Outcome == outcome.NotRun:
		return retry.Refused
	case e.Kind == outcome.KindCutAnswer:
		return retry.Cut
	case e.Kind == outcome.KindDeadline:
		return retry.Expired
	}
	return retry.Lost
}
