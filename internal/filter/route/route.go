// Package route chooses the destination of a request: a backend server that this
// instance owns, another instance of the zone that has free slots, or another
// zone if the cap of the link to it allows. If no destination accepts the
// request within the service's mean request time, the caller gets a not-run
// error with a Retry-After. Package retry decides on retries and hedges and
// limits them by a budget.
//
// Metrics: the counters route.own, route.neighbour, route.zone, route.relay,
// route.retry, route.hedge and route.wait. Each destination tried gets a span.
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
	// minHedgeHeadroom is the minimum share of free slots, among those of the
	// backend servers that this instance owns, for sending a hedge.
	minHedgeHeadroom = 0.5
	// minAttemptTime is the minimum time left before the deadline for starting
	// another attempt.
	minAttemptTime = 2 * time.Millisecond
	// capacityChecks is the number of intervals that the mean request time is
	// divided into. A request that waits for capacity tries the destinations
	// again after each interval, which jitter shortens by up to half.
	capacityChecks = 4
)

// Links enforces the caps of the links from this instance's region to others.
type Links interface {
	// Acquire acquires the right to send one request to the region; ok is false
	// if the link is full. release returns the right. Requests to the
	// instance's own region need no right and always succeed.
	Acquire(region string) (release func(), ok bool)
}

// Slots reports the capacity of the backend servers that this instance owns.
type Slots interface {
	// Free returns the number of free slots and of all slots of the service.
	Free(service string) (free, slots int)
}

// Filter chooses destinations for requests and sends the requests there.
type Filter struct {
	Policy           Policy
	Snapshot         func() *snapshot.Snapshot
	Sender           *forward.Sender
	Slots            Slots
	Links            Links
	RetryBudgets     *RetryBudgets
	PeerObservations *PeerObservations
	Metrics          *telemetry.Metrics
	Recorder         *trace.Recorder
}

// Name implements filter.Filter.
func (Filter) Name() string { return "route" }

// Wrap implements filter.Filter.
func (f Filter) Wrap(ownHandler filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, request *filter.Request) (*filter.Response, error) {
		if request.Stage == filter.StageOwner {
			return ownHandler.Serve(ctx, request)
		}
		c := *request
		c.ExcludedBackends = filter.NewExcludedBackends()
		s := &search{Filter: f, ownHandler: ownHandler, snap: f.Snapshot(), request: &c, tried: newTriedDestinations()}
		if request.Stage >= filter.StageRelay {
			// The instance that forwarded the request decides on retries.
			return s.attempt(ctx)
		}
		return f.retryLoop(ctx, s)
	})
}

// search looks for a destination for one request. An attempt ends at the first
// destination that accepts the request. A destination that rejects it before a
// backend server has received it does not count as an attempt.
type search struct {
	Filter
	ownHandler filter.Handler
	snap       *snapshot.Snapshot
	request    *filter.Request
	tried      *triedDestinations
}

// attempt tries destinations until one of them accepts the request.
func (s *search) attempt(ctx context.Context) (*filter.Response, error) {
	var lastErr *outcome.Error
	waitUntil := time.Now().Add(s.maxWait())
	for {
		if !filter.AttemptPermitted(ctx) {
			return nil, outcome.NotRunError(outcome.KindCancelled, 0, "the request was cancelled before it was sent")
		}
		dest, ok := s.choose(time.Now())
		if !ok && s.waitForCapacity(ctx, waitUntil) {
			continue
		}
		if !ok && lastErr == nil {
			return nil, s.noCapacity()
		}
		if !ok {
			return nil, s.withRetryAfter(lastErr)
		}
		release, ok := s.Links.Acquire(dest.region)
		if !ok {
			s.tried.skipLink(dest.region)
			lastErr = outcome.NotRunError(outcome.KindLinkFull, s.retryAfter(), "the link to %s is full", dest.region)
			continue
		}
		resp, err := s.send(ctx, dest, release)
		if err == nil {
			return resp, nil
		}
		e := outcome.AsError(err)
		if !rejectedUnsent(e) {
			return nil, err
		}
		if dest.instance == nil {
			s.tried.skipOwnBackends()
		}
		lastErr = e
	}
}

// withRetryAfter returns e with a RetryAfter. If e has none, as when the
// destination gave no time, it returns a copy with this instance's estimate.
func (s *search) withRetryAfter(e *outcome.Error) *outcome.Error {
	if e.RetryAfter > 0 {
		return e
	}
	c := *e
	c.RetryAfter = s.retryAfter()
	return &c
}

// maxWait returns how long the request may wait for capacity. A request that
// another instance forwarded does not wait: the sender tries the next
// destination.
func (s *search) maxWait() time.Duration {
	if s.request.Stage >= filter.StageRelay {
		return 0
	}
	return s.Policy.maxWait(s.request.Service)
}

// waitForCapacity waits for a fraction of the mean request time, with jitter, and
// then allows every destination to be tried again. It returns false if the wait
// would end after until or if ctx is done.
func (s *search) waitForCapacity(ctx context.Context, until time.Time) bool {
	interval := time.Duration((1 + rand.Float64()) / 2 * float64(s.request.Service.MeanTime) / capacityChecks)
	if interval <= 0 || time.Now().Add(interval).After(until) {
		return false
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	s.Metrics.Count("route.wait")
	s.tried.reset()
	return true
}

// rejectedUnsent reports whether a destination rejected the request before any
// backend server received it.
func rejectedUnsent(e *outcome.Error) bool {
	if e.Outcome != outcome.NotRun {
		return false
	}
	switch e.Kind {
	case outcome.KindNoCapacity, outcome.KindLinkFull, outcome.KindPeerLost, outcome.KindNotReady:
		return true
	}
	return false
}

// noCapacity returns the error for a request that no destination has capacity
// for.
func (s *search) noCapacity() *outcome.Error {
	return outcome.NotRunError(outcome.KindNoCapacity, s.retryAfter(), "no reachable zone has a free slot for %s", s.request.Service.Name)
}

// retryAfter estimates when a slot in this instance's zone is free for a request
// that no destination has capacity for. It assumes that all slots of the zone are
// in use.
func (s *search) retryAfter() time.Duration {
	backlog := retry.Backlog{MeanTime: s.request.Service.MeanTime}
	if z, ok := s.snap.ZoneOf(s.snap.Zone); ok {
		backlog.Slots = z.Slots[s.request.Service.Name]
		backlog.Ahead = backlog.Slots
	}
	return retry.RetryAfter(backlog, rand.Float64())
}

// send sends the request to the destination and calls release when the request
// has ended. For a streamed response that is when the stream is closed.
func (s *search) send(ctx context.Context, dest destination, release func()) (*filter.Response, error) {
	s.Metrics.Count("route." + dest.kind)
	if dest.instance == nil {
		defer release()
		return s.ownHandler.Serve(ctx, s.request)
	}
	ctx, span := s.Recorder.Start(ctx, "forward", attribute.String("to", dest.instance.ID), attribute.String("zone", dest.instance.Zone))
	requestDone := s.PeerObservations.addRequest(dest.instance, s.request.Service.Name)
	resp, err := s.Sender.Send(ctx, forward.Target{Address: dest.instance.Peer, ID: dest.instance.ID}, s.request, dest.stage)
	if err != nil {
		requestDone(outcome.AsError(err).Kind == outcome.KindNoCapacity)
		release()
		trace.End(span, err)
		return nil, err
	}
	finish := func() { requestDone(false); release(); trace.End(span, nil) }
	if resp.Stream == nil {
		finish()
		return resp, nil
	}
	resp.Stream = &hookedStream{ReadCloser: resp.Stream, finish: finish}
	return resp, nil
}

// attemptResult classifies the error of an attempt for the retry machine.
func attemptResult(err error) retry.Result {
	e := outcome.AsError(err)
	var failed *forward.Failed
	switch {
	case e.Kind == outcome.KindQuarantined, e.Kind == outcome.KindCancelled && e.Outcome == outcome.NotRun:
		return retry.Stopped
	case errors.As(err, &failed) && !failed.Sent:
		return retry.NotSent
	case e.Outcome == outcome.NotRun:
		return retry.Refused
	case e.Kind == outcome.KindTruncatedResponse:
		return retry.Cut
	case e.Kind == outcome.KindDeadline:
		return retry.Expired
	}
	return retry.Lost
}
