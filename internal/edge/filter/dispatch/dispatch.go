// Package dispatch sends a request to backend servers until one has answered
// or none may be tried any more.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/attempt"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// maxSends bounds the backend servers that one request is offered to,
// refusals included.
const maxSends = 4

// Filter implements gateway.Filter and is the last of the pipeline.
type Filter struct {
	pool *egress.Pool
	desk *Desk
}

// New returns the filter.
func New(pool *egress.Pool, desk *Desk) *Filter { return &Filter{pool: pool, desk: desk} }

// try is the state of one request over its attempts.
type try struct {
	ex    *gateway.Exchange
	query affinity.Query
	// service is the target of the route that was drawn for the request.
	service *traffic.Service
	// runs counts the backend servers that may have run the request.
	runs  int
	sends int
	// freeIn is when a slot is expected to be free, if the last choice knew.
	freeIn time.Duration
}

// Serve implements gateway.Filter.
func (f *Filter) Serve(ctx context.Context, ex *gateway.Exchange, _ gateway.Next) *ingress.Answer {
	t := f.desk.begin(ex)
	if t.service == nil {
		ex.Outcome.Reason = "no_service"
		return gateway.NotRun(f.desk.retryAfter(t), "the service of the route is not declared")
	}
	for {
		choice, refusal := f.desk.choose(t)
		if refusal != "" {
			return f.giveUp(t, refusal)
		}
		end := f.send(ctx, t, choice)
		if end.answer != nil {
			return end.answer
		}
		if done := f.final(ctx, t, end); done != nil {
			return done
		}
	}
}

// ending is how one attempt ended: with an answer for the caller, or without.
type ending struct {
	answer *ingress.Answer
	// ran is set when the backend server may have run the request.
	ran    bool
	reason string
	err    error
}

// send makes one attempt.
func (f *Filter) send(ctx context.Context, t *try, choice affinity.Choice) ending {
	t.sends++
	b := choice.Backend
	t.query.Tried[b.ID] = true
	o := &t.ex.Outcome
	o.Backend, o.Zone, o.Attempts, o.Rank, o.Warm = b.ID, b.Zone, t.sends, choice.Rank, choice.Warm
	o.Expected, o.Wait, o.LoadAge = choice.Expected, choice.Wait, choice.LoadAge
	started := time.Now()
	resp, err := f.pool.Do(ctx, b, f.request(t, b))
	end, result := f.judge(ctx, t, resp, err)
	result.Took = time.Since(started)
	f.desk.ended(t, choice, result)
	if end.ran {
		t.runs++
	}
	o.Reason = end.reason
	return end
}

func (f *Filter) request(t *try, b *traffic.Backend) *egress.Request {
	h := t.ex.Header.Clone()
	attempt.StripHopHeaders(h)
	h.Del("Expect")
	h.Del("Content-Length")
	platform.SetForward(h, time.Until(t.ex.Deadline), b.ID)
	return &egress.Request{
		ID: t.ex.ID, Method: t.ex.Method, Target: t.ex.Target, Host: t.ex.Host, Header: h, Body: t.ex.Body,
	}
}

// judge says what an attempt's end means for the request and for what is known
// of the backend server.
func (f *Filter) judge(ctx context.Context, t *try, resp *egress.Response, err error) (ending, affinity.Result) {
	if err != nil {
		return f.judgeError(ctx, err)
	}
	v := platform.ReadVerdict(resp.Status, resp.Header)
	result := affinity.Result{RTT: resp.DialTime}
	if v.HasLoad {
		result.Load = &affinity.Load{Running: v.Running, Waiting: v.Waiting, Slots: v.Slots}
	}
	switch {
	case v.Misdirected:
		result.End = affinity.Unreachable
		return ending{reason: "misdirected"}, result
	case v.NotRun:
		result.End = affinity.Shed
		return ending{reason: "shed"}, result
	case resp.Status < http.StatusInternalServerError && v.Stamped:
		result.End = affinity.Answered
		return ending{ran: true, answer: deliver(resp), reason: "answered"}, result
	case resp.Status >= http.StatusMultipleChoices && resp.Status < http.StatusInternalServerError:
		result.End = affinity.Answered
		return ending{ran: true, answer: deliver(resp), reason: "answered"}, result
	case resp.Status >= http.StatusInternalServerError:
		result.End = affinity.Failed
		end := ending{ran: true, reason: "server_error"}
		if !f.desk.mayRepeat(t) {
			end.answer = deliver(resp)
		}
		return end, result
	}
	result.End = affinity.Failed
	return ending{ran: true, reason: "spoilt_answer"}, result
}

func (f *Filter) judgeError(ctx context.Context, err error) (ending, affinity.Result) {
	var failed *egress.Error
	if !errors.As(err, &failed) {
		failed = &egress.Error{Sent: true, Cause: err}
	}
	end := ending{ran: failed.Sent, err: err, reason: "connection_lost"}
	switch {
	case ctx.Err() != nil:
		end.reason = "abandoned"
		return end, affinity.Result{End: affinity.Abandoned}
	case !failed.Sent:
		end.reason = "unreachable"
		return end, affinity.Result{End: affinity.Unreachable}
	case failed.Reused && !failed.Broken:
		// An idle connection that closes says little of its backend server.
		return end, affinity.Result{End: affinity.Abandoned}
	}
	return end, affinity.Result{End: affinity.Failed}
}

// final returns the answer to a request that is not sent again, nil for one
// that is.
func (f *Filter) final(ctx context.Context, t *try, end ending) *ingress.Answer {
	o := &t.ex.Outcome
	if end.err != nil {
		o.Detail = end.err.Error()
	}
	if ctx.Err() != nil {
		return f.expired(t)
	}
	if end.ran && !t.ex.Route.Idempotent {
		return gateway.Final(http.StatusBadGateway, "the request may have run; look at its effect before sending it again")
	}
	if t.sends >= maxSends || (t.runs > 0 && !f.desk.mayRepeat(t)) {
		return f.giveUp(t, end.reason)
	}
	if end.reason != "unreachable" && !f.desk.takeRetry(t) {
		return f.giveUp(t, "retry_budget")
	}
	return nil
}

// expired answers a request whose time is over.
func (f *Filter) expired(t *try) *ingress.Answer {
	t.ex.Outcome.Reason = "expired"
	if t.runs == 0 {
		return gateway.NotRun(f.desk.retryAfter(t), "no backend server was free in time; come back later")
	}
	return gateway.Final(http.StatusGatewayTimeout, "no answer came in time; the request may have run")
}

// giveUp answers a request that goes to no further backend server.
func (f *Filter) giveUp(t *try, reason string) *ingress.Answer {
	t.ex.Outcome.Reason = reason
	if t.runs == 0 {
		return gateway.NotRun(f.desk.retryAfter(t), "no backend server can take the request now; come back later")
	}
	return gateway.Final(http.StatusBadGateway, "the backend servers failed; the request may have run")
}

// deliver passes a backend server's answer on.
func deliver(resp *egress.Response) *ingress.Answer {
	attempt.StripHopHeaders(resp.Header)
	resp.Header.Del("Content-Length")
	return &ingress.Answer{Status: resp.Status, Header: resp.Header, Body: resp.Body}
}
