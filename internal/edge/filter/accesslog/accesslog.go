// Package accesslog logs and counts how each request ended.
package accesslog

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

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
func (f *Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Answer {
	a := next(ctx, ex)
	took := time.Since(ex.Received)
	f.count(ex, a, took)
	if f.mayLog(a.Status < http.StatusMultipleChoices) {
		f.write(ctx, ex, a, took)
	}
	return a
}

func (f *Filter) count(ex *gateway.Exchange, a *ingress.Answer, took time.Duration) {
	route := ""
	if ex.Route != nil {
		route = ex.Route.Name
	}
	f.metrics.Request(route, ex.Outcome.Service, ex.Outcome.Zone, ex.Outcome.Reason, a.Status, took)
}

// mayLog takes a line of the budget; failures have one of their own.
func (f *Filter) mayLog(success bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.window) >= time.Second {
		if f.dropped > 0 {
			f.metrics.Add("log_dropped", f.dropped)
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

func (f *Filter) write(ctx context.Context, ex *gateway.Exchange, a *ingress.Answer, took time.Duration) {
	o := ex.Outcome
	e := f.log.Info().Str("event", "request").Str("id", ex.ID).Str("reason", o.Reason).Int("status", a.Status).
		Dur("took", took).Int("sends", o.Attempts)
	if ex.View.Config != nil {
		e = e.Uint64("config", ex.View.Config.Version)
	}
	if ex.Route != nil {
		e = e.Str("route", ex.Route.Name).Str("service", o.Service).Str("object", ex.Object).
			Dur("left", time.Until(ex.Deadline)).Int("candidates", len(ex.View.Backends[o.Service]))
	}
	if o.Attempts > 0 {
		e = e.Str("backend", o.Backend).Int("rank", o.Rank).Bool("warm", o.Warm).
			Dur("expected", o.Expected).Dur("wait", o.Wait).Dur("load_age", o.LoadAge)
	}
	if o.Detail != "" {
		e = e.Str("detail", o.Detail)
	}
	if retryAfter := a.Header.Get("Retry-After"); retryAfter != "" {
		e = e.Str("retry_after", retryAfter)
	}
	e.Bool("caller_gone", ctx.Err() != nil).Msg("")
}
