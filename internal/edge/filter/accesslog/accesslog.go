// Package accesslog logs and counts how each request ended.
package accesslog

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
)

const (
	// failureLines and successLines bound the lines per second.
	failureLines = 20
	successLines = 2
)

// Filter implements gateway.Filter.
type Filter struct {
	log     zerolog.Logger
	metrics *metrics.Metrics

	mu        sync.Mutex
	window    time.Time
	failures  int
	successes int
	dropped   int
}

// New returns the filter.
func New(log zerolog.Logger, m *metrics.Metrics) *Filter { return &Filter{log: log, metrics: m} }

// Serve implements gateway.Filter.
func (f *Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	a := next(ctx, ex)
	took := time.Since(ex.Received)
	f.count(ex, a, took)
	if f.mayLog(a.Status < http.StatusMultipleChoices) {
		f.write(ctx, ex, a, took)
	}
	return a
}

func (f *Filter) count(ex *gateway.Exchange, a *ingress.Response, took time.Duration) {
	route := ""
	if ex.Route != nil {
		route = ex.Route.Name
	}
	f.metrics.RecordRequest(route, ex.Outcome.Service, ex.Outcome.Zone(), ex.Outcome.Reason, a.Status, took)
}

// mayLog takes a line of the budget; failures have one of their own.
func (f *Filter) mayLog(success bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.window) >= time.Second {
		if f.dropped > 0 {
			f.metrics.AddCount("log_dropped", f.dropped)
		}
		f.window, f.failures, f.successes, f.dropped = now, failureLines, successLines, 0
	}
	left := &f.failures
	if success {
		left = &f.successes
	}
	if *left == 0 {
		f.dropped++
		return false
	}
	*left--
	return true
}

// write logs a line for each attempt, one for what decided a refusal, and one
// for the answer. They are written together, so that a request has all of its
// lines or none.
func (f *Filter) write(ctx context.Context, ex *gateway.Exchange, a *ingress.Response, took time.Duration) {
	for n, attempt := range ex.Outcome.Attempts {
		f.attempt(ex, n+1, attempt)
	}
	if ex.Outcome.Rejection != nil {
		f.refusal(ex, ex.Outcome.Rejection)
	}
	f.answer(ctx, ex, a, took)
}

func (f *Filter) attempt(ex *gateway.Exchange, n int, a gateway.Attempt) {
	e := f.line("attempt", ex).Int("attempt", n).Dur("sent_after", a.Sent.Sub(ex.Received))
	choice(e, a.Choice)
	e.Str("end", a.Reason).Bool("ran", a.MayHaveRun).Dur("took", a.Took)
	if a.Status > 0 {
		e.Int("status", a.Status)
	}
	if a.Detail != "" {
		e.Str("detail", a.Detail)
	}
	e.Msg("")
}

func (f *Filter) refusal(ex *gateway.Exchange, r *gateway.Rejection) {
	e := f.line("refusal", ex).Str("reason", ex.Outcome.Reason).
		Int("candidates", len(ex.View.Backends[ex.Outcome.Service])).Dur("patience", r.Patience)
	if r.Backend != nil {
		choice(e, r.Choice)
	}
	e.Msg("")
}

func (f *Filter) answer(ctx context.Context, ex *gateway.Exchange, a *ingress.Response, took time.Duration) {
	o := ex.Outcome
	e := f.line("request", ex).Str("reason", o.Reason).Int("status", a.Status).
		Dur("took", took).Int("sends", len(o.Attempts))
	if ex.View.Config != nil {
		e.Uint64("config", ex.View.Config.Version)
	}
	if ex.Route != nil {
		e.Str("route", ex.Route.Name).Str("service", o.Service).Str("object", ex.Object).
			Dur("left", time.Until(ex.Deadline))
	}
	if retryAfter := a.Header.Get("Retry-After"); retryAfter != "" {
		e.Str("retry_after", retryAfter)
	}
	e.Bool("caller_gone", ctx.Err() != nil).Msg("")
}

func (f *Filter) line(event string, ex *gateway.Exchange) *zerolog.Event {
	return f.log.Info().Str("event", event).Str("id", ex.ID)
}

// choice adds what decided for a backend server, with the age of the load report
// behind it.
func choice(e *zerolog.Event, c affinity.Choice) {
	e.Str("backend", c.Backend.ID).Str("backend_zone", c.Backend.Zone).Int("rank", c.Rank).Bool("warm", c.Warm).Bool("placed", c.Placed).
		Dur("expected", c.Expected).Dur("wait", c.Wait)
	if c.LoadAge >= 0 {
		e.Dur("load_age", c.LoadAge)
	}
}
