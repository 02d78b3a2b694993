// Package dispatch sends a request to backend servers until one has answered
// or none may be tried any more.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/attempt"
	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// Filter implements gateway.Filter and is the last of the pipeline.
type Filter struct {
	pool   *egress.Pool
	desk   *Desk
	places Places
}

// Places learns the places of objects for the desk.
type Places interface {
	Resolve(ctx context.Context, r admission.PlacementRequest)
}

// New returns the filter.
func New(pool *egress.Pool, desk *Desk, places Places) *Filter {
	return &Filter{pool: pool, desk: desk, places: places}
}

// Serve implements gateway.Filter.
func (f *Filter) Serve(ctx context.Context, ex *gateway.Exchange, _ gateway.Next) *ingress.Answer {
	t := f.desk.begin(ex)
	ex.Outcome.Service = t.ServiceName
	if ask, ok := f.desk.unplaced(t); ok {
		f.places.Resolve(ctx, ask)
		f.desk.placed(t)
	}
	for {
		choice, refusal := f.desk.next(t)
		if refusal != "" {
			ex.Outcome.Refused = &gateway.Refusal{Choice: choice, Patience: t.Patience}
			return f.giveUp(ex, t, string(refusal))
		}
		end := f.send(ctx, ex, t, choice)
		if end.answer != nil && !end.failed {
			ex.Outcome.Reason = end.reason
			return end.answer
		}
		if stop := f.mayNotGoOn(ctx, t, end); stop != "" {
			return f.stop(ex, t, end, stop)
		}
	}
}

// unreachable is the end of an attempt that did not arrive.
const unreachable = "unreachable"

// ending is how one attempt ended: with an answer for the caller, or without.
type ending struct {
	answer *ingress.Answer
	// failed is set for an answer that is worth another attempt.
	failed bool
	// ran is set when the backend server may have run the request.
	ran    bool
	reason string
	err    error
}

// send makes one attempt.
func (f *Filter) send(ctx context.Context, ex *gateway.Exchange, t *admission.RequestState, choice affinity.Choice) ending {
	started := time.Now()
	resp, err := f.pool.Do(ctx, choice.Backend, f.request(ex, choice.Backend))
	end, result := f.judge(ctx, resp, err)
	result.Took = time.Since(started)
	f.desk.ended(t, choice, result, end.ran)
	a := gateway.Attempt{Choice: choice, Sent: started, Took: result.Took, End: end.reason, Ran: end.ran}
	if resp != nil {
		a.Status = resp.Status
	}
	if err != nil {
		a.Detail = err.Error()
	}
	ex.Outcome.Attempts = append(ex.Outcome.Attempts, a)
	return end
}

func (f *Filter) request(ex *gateway.Exchange, b *traffic.Backend) *egress.Request {
	h := ex.Header.Clone()
	attempt.StripHopHeaders(h)
	h.Del("Expect")
	h.Del("Content-Length")
	platform.SetForward(h, time.Until(ex.Deadline), b.ID)
	return &egress.Request{
		ID: ex.ID, Method: ex.Method, Target: ex.Target, Host: ex.Host, Header: h, Body: ex.Body,
	}
}

// judge says what an attempt's end means for the request and for what is known
// of the backend server.
func (f *Filter) judge(ctx context.Context, resp *egress.Response, err error) (ending, affinity.Result) {
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
		result.Outcome = affinity.Unreachable
		return ending{reason: "misdirected"}, result
	case v.NotRun:
		result.Outcome = affinity.Shed
		return ending{reason: "shed"}, result
	case resp.Status < http.StatusInternalServerError && v.Stamped:
		result.Outcome = affinity.Answered
		return ending{ran: true, answer: deliver(resp), reason: "answered"}, result
	case resp.Status >= http.StatusMultipleChoices && resp.Status < http.StatusInternalServerError:
		result.Outcome = affinity.Answered
		return ending{ran: true, answer: deliver(resp), reason: "answered"}, result
	case resp.Status >= http.StatusInternalServerError:
		result.Outcome = affinity.Failed
		return ending{ran: true, answer: deliver(resp), failed: true, reason: "server_error"}, result
	}
	result.Outcome = affinity.Failed
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
		return end, affinity.Result{Outcome: affinity.Abandoned}
	case !failed.Sent:
		end.reason = unreachable
		return end, affinity.Result{Outcome: affinity.Unreachable}
	case failed.Reused && !failed.Broken:
		// An idle connection that closes says little of its backend server.
		return end, affinity.Result{Outcome: affinity.Abandoned}
	}
	return end, affinity.Result{Outcome: affinity.Failed}
}

// mayNotGoOn returns why a request is not sent again, empty if it is.
func (f *Filter) mayNotGoOn(ctx context.Context, t *admission.RequestState, end ending) admission.Reason {
	if ctx.Err() != nil {
		return admission.Expired
	}
	return f.desk.again(t, end.ran, end.reason != unreachable)
}

// stop answers a request that is not sent again. The failure of a backend server
// is passed on as it is.
func (f *Filter) stop(ex *gateway.Exchange, t *admission.RequestState, end ending, why admission.Reason) *ingress.Answer {
	ex.Outcome.Reason = end.reason
	switch {
	case end.answer != nil:
		return end.answer
	case why == admission.Expired:
		return f.expired(ex, t)
	case why == admission.MayHaveRun:
		return gateway.Final(http.StatusBadGateway, "the request may have run; look at its effect before sending it again")
	case why == admission.AttemptLimit:
		return f.giveUp(ex, t, end.reason)
	}
	return f.giveUp(ex, t, string(why))
}

// expired answers a request whose time is over.
func (f *Filter) expired(ex *gateway.Exchange, t *admission.RequestState) *ingress.Answer {
	ex.Outcome.Reason = string(admission.Expired)
	if !t.MayHaveRun() {
		return gateway.NotRun(f.desk.retryAfter(t), "no backend server was free in time; come back later")
	}
	return gateway.Final(http.StatusGatewayTimeout, "no answer came in time; the request may have run")
}

// giveUp answers a request that goes to no further backend server.
func (f *Filter) giveUp(ex *gateway.Exchange, t *admission.RequestState, reason string) *ingress.Answer {
	ex.Outcome.Reason = reason
	if !t.MayHaveRun() {
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
