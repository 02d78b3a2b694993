// Package accesslog logs how requests ended, up to a number of lines per second,
// and counts all of them.
package accesslog

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// maxFailureLines bounds the requests per second that are logged with a
	// status of 300 or above, or with a request limit that cannot be read.
	maxFailureLines = 20
	// maxSuccessLines bounds the requests per second that are logged with a
	// status below 300.
	maxSuccessLines = 2
	// maxUnmatchedBytes bounds the host and the path prefix in the line of a request that
	// matches no route.
	maxUnmatchedBytes = 64
)

// Filter implements gateway.Filter.
type Filter struct {
	log     zerolog.Logger
	metrics *metrics.Metrics

	// mu guards the fields below.
	mu sync.Mutex
	// windowStart is the start of the current window of one second.
	windowStart time.Time
	// failureLinesLeft is what remains of maxFailureLines in the window.
	failureLinesLeft int
	// successLinesLeft is what remains of maxSuccessLines in the window.
	successLinesLeft int
	// droppedLines is the number of requests in the window that were not logged.
	droppedLines int
}

// New returns a Filter.
func New(log zerolog.Logger, m *metrics.Metrics) *Filter { return &Filter{log: log, metrics: m} }

// Serve implements gateway.Filter.
func (f *Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	resp := next(ctx, ex)
	took := time.Since(ex.Received)
	f.countRequest(ex, resp, took)
	if f.takeLine(resp.Status < http.StatusMultipleChoices && !hasInvalidLimit(ex.Outcome.Attempts)) {
		f.logExchange(ctx, ex, resp, took)
	}
	return resp
}

// countRequest records the request in the metrics.
func (f *Filter) countRequest(ex *gateway.Exchange, resp *ingress.Response, took time.Duration) {
	route := ""
	if ex.Route != nil {
		route = ex.Route.Name
	}
	f.metrics.RecordRequest(route, ex.Outcome.Service, ex.Outcome.Zone(), ex.Outcome.Reason, resp.Status, took)
	f.countLimits(ex.Outcome.Attempts)
	if at := ex.Outcome.ConfigReadAt; !at.IsZero() {
		f.metrics.Observe("no_route_config_age_seconds", time.Since(at).Seconds())
	}
}

// countLimits counts the attempts whose responses state a request limit, a rest or a
// leaving, and those with an invalid one.
func (f *Filter) countLimits(attempts []gateway.Attempt) {
	for _, a := range attempts {
		switch {
		case a.Limit.Named():
			f.metrics.Add("answers_with_limit", 1)
		case a.Limit.Invalid:
			f.metrics.Add("answers_with_invalid_limit", 1)
		}
		switch {
		case a.Rest.Invalid:
			f.metrics.Add("answers_with_invalid_rest", 1)
		case a.Rest.For > 0:
			f.metrics.Add("answers_with_rest", 1)
		}
		if a.Leaving {
			f.metrics.Add("answers_with_leaving", 1)
		}
	}
}

// hasInvalidLimit reports whether a response states a request limit that cannot be read.
func hasInvalidLimit(attempts []gateway.Attempt) bool {
	return slices.ContainsFunc(attempts, func(a gateway.Attempt) bool { return a.Limit.Invalid })
}

// takeLine reports whether a request may be logged and deducts it from the
// window's limit. Failures and successes have separate limits.
func (f *Filter) takeLine(success bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.windowStart) >= time.Second {
		if f.droppedLines > 0 {
			f.metrics.Add("log_dropped", f.droppedLines)
		}
		f.windowStart, f.failureLinesLeft, f.successLinesLeft, f.droppedLines = now, maxFailureLines, maxSuccessLines, 0
	}
	remaining := &f.failureLinesLeft
	if success {
		remaining = &f.successLinesLeft
	}
	if *remaining == 0 {
		f.droppedLines++
		return false
	}
	*remaining--
	return true
}

// logExchange logs a line for each attempt, one for a rejection, and one for the
// response. A request is logged with all of its lines or with none.
func (f *Filter) logExchange(ctx context.Context, ex *gateway.Exchange, resp *ingress.Response, took time.Duration) {
	for n, attempt := range ex.Outcome.Attempts {
		f.attempt(ex, n+1, attempt)
	}
	for _, h := range ex.Outcome.Handovers {
		f.handover(ex, h)
	}
	if ex.Outcome.Rejected != nil {
		f.rejection(ex, ex.Outcome.Rejected)
	}
	if q := ex.Outcome.Quota; q != nil && !q.Allowed {
		f.overQuota(ex, q)
	}
	f.response(ctx, ex, resp, took)
}

// handover logs the line of a handover to another instance.
func (f *Filter) handover(ex *gateway.Exchange, h gateway.Handover) {
	e := f.newEvent("handover", ex).Str("to", h.Instance).Dur("sent_after", h.Sent.Sub(ex.Received)).
		Str("end", h.Result).Bool("ran", h.MayHaveRun).Dur("took", h.Took)
	if h.Detail != "" {
		e.Str("detail", h.Detail)
	}
	e.Msg("")
}

// attempt logs the line of the n-th attempt, beginning at 1.
func (f *Filter) attempt(ex *gateway.Exchange, n int, a gateway.Attempt) {
	e := f.newEvent("attempt", ex).Int("attempt", n).Dur("sent_after", a.Sent.Sub(ex.Received))
	addChoice(e, a.Choice)
	e.Str("end", a.Reason).Bool("ran", a.MayHaveRun).Dur("took", a.Took)
	if a.Status > 0 {
		e.Int("status", a.Status)
	}
	if a.TableAge >= 0 {
		e.Dur("table_age", a.TableAge)
	}
	if a.Detail != "" {
		e.Str("detail", a.Detail)
	}
	if a.Limit.Header != "" {
		e.Float64("limit", a.Limit.PerSecond).Str("limit_header", a.Limit.Header).Bool("limit_invalid", a.Limit.Invalid)
	}
	if a.Rest != (platform.Rest{}) {
		e.Dur("rest", a.Rest.For).Bool("rest_invalid", a.Rest.Invalid)
	}
	if a.Leaving {
		e.Bool("leaving", true)
	}
	e.Msg("")
}

// rejection logs the line of a rejection.
func (f *Filter) rejection(ex *gateway.Exchange, r *gateway.Rejection) {
	e := f.newEvent("refusal", ex).Str("reason", ex.Outcome.Reason).
		Int("candidates", len(ex.View.Backends[ex.Outcome.Service])).Dur("patience", r.Patience)
	if r.Backend != nil {
		addChoice(e, r.Choice)
	}
	if l := r.Limitation; l != nil {
		e.Str("limited_backend", l.Backend).Float64("limit", l.State.PerSecond).Dur("limit_age", time.Since(l.State.Since)).
			Float64("issued", l.Issued).Int("instances", l.Instances).Dur("free_in", l.FreeIn)
	}
	if b := r.RestingBackend; b != nil {
		e.Str("resting_backend", b.ID).Dur("rest_left", b.Left).Bool("leaving", b.Leaving)
	}
	e.Msg("")
}

// overQuota logs the line of a request beyond the quota of its client account.
func (f *Filter) overQuota(ex *gateway.Exchange, q *gateway.QuotaDecision) {
	e := f.newEvent("over_quota", ex).Str("account", ex.Account.Name).Float64("rate", q.PerSecond).Float64("burst", q.Burst).
		Int("share", q.Share).Int("free", q.Free).Float64("demand", q.Demand).Dur("waited", q.Waited).Dur("free_in", q.RetryAfter)
	if q.AnswerAge >= 0 {
		e.Dur("answer_age", q.AnswerAge)
	}
	e.Msg("")
}

// response logs the line of the response.
func (f *Filter) response(ctx context.Context, ex *gateway.Exchange, resp *ingress.Response, took time.Duration) {
	o := ex.Outcome
	e := f.newEvent("request", ex).Str("reason", o.Reason).Int("status", resp.Status).
		Dur("took", took).Int("sends", len(o.Attempts))
	if ex.View.Config != nil {
		e.Uint64("config", ex.View.Config.Version)
	}
	if o.Reason == gateway.ReasonUnauthorized || o.Reason == gateway.ReasonOldConfig {
		e.Stringer("credentials", ex.Credential.State)
	}
	if o.Reason == gateway.ReasonNoRoute || o.Reason == gateway.ReasonOldConfig {
		addUnmatched(e, ex)
	}
	if ex.Route != nil {
		e.Str("route", ex.Route.Name).Stringer("kind", ex.Route.Kind).Str("service", o.Service).Str("object", ex.Object).
			Int("body_bytes", len(resp.Body)).Dur("left", time.Until(ex.Deadline))
	}
	if ex.Account != nil {
		e.Str("account", ex.Account.Name)
	}
	if retryAfter := resp.Header.Get("Retry-After"); retryAfter != "" {
		e.Str("retry_after", retryAfter)
	}
	e.Bool("caller_gone", ctx.Err() != nil).Msg("")
}

// addUnmatched adds to a log event what tells a route that this instance does not know yet
// from one that does not exist: what was asked for, and how long ago the configuration was
// last found to be in force. Behind its first segment the path may name what belongs to
// callers; that and the query are not logged.
func addUnmatched(e *zerolog.Event, ex *gateway.Exchange) {
	e.Str("host", truncate(ex.Host)).Str("prefix", truncate(firstSegment(ex.Target)))
	if at := ex.Outcome.ConfigReadAt; !at.IsZero() {
		e.Dur("config_age", time.Since(at))
	}
}

// firstSegment returns a request target up to the end of the first segment of its path.
func firstSegment(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if end := strings.Index(strings.TrimPrefix(path, "/"), "/"); end >= 0 {
		return path[:min(len(path), end+2)]
	}
	return path
}

// truncate returns the first maxUnmatchedBytes bytes of s.
func truncate(s string) string { return s[:min(len(s), maxUnmatchedBytes)] }

// newEvent returns a log event that names the event and the request. Repeats of a
// request have the same fingerprint.
func (f *Filter) newEvent(event string, ex *gateway.Exchange) *zerolog.Event {
	e := f.log.Info().Str("event", event).Str("id", ex.ID).Stringer("fingerprint", ex.Fingerprint)
	if o := &ex.Outcome; o.Verdict != quarantine.Clear {
		e.Stringer("verdict", o.Verdict).Int("crashes", o.Evidence.Crashes).Dur("evidence_age", time.Since(o.Evidence.LastCrash))
	}
	return e
}

// addChoice adds a choice of a backend server and the estimates behind it to a
// log event.
func addChoice(e *zerolog.Event, c affinity.Choice) {
	e.Str("backend", c.Backend.ID).Str("backend_zone", c.Backend.Zone).Int("rank", c.Rank).Bool("warm", c.Warm).Bool("placed", c.Placed).
		Dur("expected", c.Expected).Dur("wait", c.Wait)
	if c.PassedOver != "" {
		e.Str("passed_over", c.PassedOver)
	}
	if c.LoadAge >= 0 {
		e.Dur("load_age", c.LoadAge)
	}
}
