// Package dispatch sends a request to backend servers until one of them has
// responded or no further attempt is allowed.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/attempt"
	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/decide/rest"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/filter/refusal"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/responsehead"
	"github.com/banyandeal/banyandeal/platform"
)

// Filter implements gateway.Filter. It is the last filter of the pipeline.
type Filter struct {
	pool       *egress.Pool
	decider    *Decider
	placements PlacementResolver
	guard      *quarantine.Guard
	hooks      Hooks
}

// Hooks connects the filter to other parts. All of them may be nil.
type Hooks struct {
	// Confirm is called before a request is sent to a backend server, and may wait for a moment
	// until it is known whether that is cold.
	Confirm func(ctx context.Context, b *traffic.Backend)
	// OnIsolated is told of suspects that are sent in isolation.
	OnIsolated OnIsolated
	// TableReadAt returns when the store's response arrived by which the operator's table is
	// known.
	TableReadAt func() time.Time
	// Isolated reports whether this instance reaches no backend server.
	Isolated func() bool
}

// isolated reports whether this instance reaches no backend server.
func (h Hooks) isolated() bool { return h.Isolated != nil && h.Isolated() }

// confirm calls Confirm, unless no check would reach the backend server.
func (h Hooks) confirm(ctx context.Context, b *traffic.Backend) {
	if h.Confirm != nil && !h.isolated() {
		h.Confirm(ctx, b)
	}
}

// tableAge returns the age of the operator's table, -1 if it is unknown.
func (h Hooks) tableAge() time.Duration {
	if h.TableReadAt == nil {
		return -1
	}
	at := h.TableReadAt()
	if at.IsZero() {
		return -1
	}
	return time.Since(at)
}

// OnIsolated is called when a suspect is sent to a backend server in isolation from
// other suspects. confined is set if only the few backend servers for suspects may get it.
type OnIsolated func(id, backend string, fp decide.Fingerprint, confined bool, ev decide.Evidence)

// PlacementResolver obtains the placement of an object and merges it into the
// Decider.
type PlacementResolver interface {
	Resolve(ctx context.Context, r admission.PlacementRequest)
}

// New returns the filter. guard decides which requests may be sent.
func New(pool *egress.Pool, decider *Decider, placements PlacementResolver, guard *quarantine.Guard, hooks Hooks) *Filter {
	return &Filter{pool: pool, decider: decider, placements: placements, guard: guard, hooks: hooks}
}

// Serve implements gateway.Filter.
func (f *Filter) Serve(ctx context.Context, ex *gateway.Exchange, _ gateway.Next) *ingress.Response {
	state := f.decider.begin(ex)
	ex.Outcome.Service = state.ServiceName
	if placement, ok := f.decider.pendingPlacement(state); ok {
		f.placements.Resolve(ctx, placement)
		f.decider.refreshPlacement(state)
	}
	for {
		resp, end := f.attempt(ctx, ex, state)
		if resp != nil {
			return resp
		}
		if stop := f.retryDenial(ctx, state, end); stop != "" {
			return f.stop(ex, state, end, stop)
		}
	}
}

// attempt makes one attempt. It returns the response for the caller, or nil and the end
// of the attempt if the request may be sent again.
func (f *Filter) attempt(ctx context.Context, ex *gateway.Exchange, state *admission.RequestState) (*ingress.Response, attemptEnd) {
	permit, verdict, err := f.guard.Admit(ctx, ex.Fingerprint)
	ex.Outcome.Verdict, ex.Outcome.Evidence = f.guard.Evidence(ex.Fingerprint)
	var unresolved *quarantine.UnresolvedError
	switch {
	case errors.As(err, &unresolved):
		return f.rejectUnresolved(ex, state, unresolved), attemptEnd{}
	case err != nil:
		return f.deadlineExceeded(ex, state), attemptEnd{}
	case verdict == decide.Quarantined:
		return f.rejectQuarantined(ex, state), attemptEnd{}
	}
	defer permit.Release()
	state.Isolation = isolation(permit, ex.Fingerprint, ex.Outcome.Evidence)
	choice, rejection := f.decider.next(ex, state)
	if rejection == admission.Expired {
		return f.deadlineExceeded(ex, state), attemptEnd{}
	}
	if rejection != "" {
		ex.Outcome.Rejected = &gateway.Rejection{Choice: choice, Patience: state.Patience, Limitation: state.Limitation, RestingBackend: state.RestingBackend}
		return f.reject(ex, state, string(rejection)), attemptEnd{}
	}
	if permit.Isolated() && f.hooks.OnIsolated != nil {
		f.hooks.OnIsolated(ex.ID, choice.Backend.ID, ex.Fingerprint, permit.Confined(), ex.Outcome.Evidence)
	}
	// A newer route may have a shorter timeout than the one that ctx was made for.
	sendCtx, cancel := context.WithDeadline(ctx, ex.Deadline)
	defer cancel()
	end := f.sendHedged(sendCtx, ex, state, choice, permit)
	if end.response != nil && !end.retryable {
		ex.Outcome.Reason = end.reason
		return end.response, end
	}
	return nil, end
}

// isolation returns how an attempt of a suspect is separated from other suspects, or
// nil if the permit is not for a suspect.
func isolation(permit *quarantine.Permit, fp decide.Fingerprint, ev decide.Evidence) *admission.Isolation {
	if !permit.Isolated() {
		return nil
	}
	return &admission.Isolation{
		Key: fp.String(), Confined: permit.Confined(),
		Avoid: func(b *traffic.Backend) bool {
			return admission.StartedAfter(b, ev.FirstSent) || permit.Avoid(egress.ConnectionKey(b))
		},
	}
}

// rejectQuarantined returns the response to a request that was quarantined after it
// had been admitted.
func (f *Filter) rejectQuarantined(ex *gateway.Exchange, state *admission.RequestState) *ingress.Response {
	ex.Outcome.Reason = gateway.ReasonQuarantined
	if state.MayHaveRun() {
		return gateway.QuarantinedAfterRun()
	}
	return gateway.Quarantined(time.Until(ex.Outcome.Evidence.Expiry))
}

// rejectUnresolved returns the response to a suspect whose last attempt may have crashed
// its backend server.
func (f *Filter) rejectUnresolved(ex *gateway.Exchange, state *admission.RequestState, err *quarantine.UnresolvedError) *ingress.Response {
	ex.Outcome.Reason = gateway.ReasonUnresolved
	if state.MayHaveRun() {
		return gateway.ErrorResponse(http.StatusBadGateway, err.Error())
	}
	return gateway.UnavailableResponse(err.Left, err.Error())
}

// Reasons of attempts without a response.
const (
	// ReasonUnreachable means that the request did not reach the backend server.
	ReasonUnreachable = "unreachable"
	// ReasonNotDialed means that there was no open connection to the backend server, and new
	// ones fail everywhere.
	ReasonNotDialed = "not_dialed"
	// reasonWithdrawn means that the backend server was to get no requests any more before
	// the request was sent.
	reasonWithdrawn = "withdrawn"
	// reasonMisdirected means that another backend server has the address.
	reasonMisdirected = "misdirected"
	// reasonConnectionLost means that the connection ended after the request had
	// been sent.
	reasonConnectionLost = "connection_lost"
	// reasonSpoilt means that the response is not one to a run, or not valid.
	reasonSpoilt = "spoilt_answer"
	// reasonOvertaken means that another attempt beside it was answered first.
	reasonOvertaken = "overtaken"
	// reasonBackendCrashed means that the backend server also refused a new
	// connection after that.
	reasonBackendCrashed = "backend_crashed"
)

// attemptEnd describes how one attempt ended.
type attemptEnd struct {
	// response is the response for the caller, or nil if the attempt yielded
	// none.
	response *ingress.Response
	// retryable is set when the request is retried, if allowed, although there
	// is a response.
	retryable bool
	// mayHaveRun is set when the backend server may have run the request.
	mayHaveRun bool
	// reason is the name of the end in the log.
	reason string
	// err is the cause of an attempt without a response.
	err error
	// limit is what the response states about the rate of requests that the backend
	// server takes.
	limit platform.RequestLimit
	// rest and leaving are what the response asks for besides.
	rest    platform.Rest
	leaving bool
	// record is the attempt for the log.
	record gateway.Attempt
	// stamped is set when the response has the stamp of the backend server.
	stamped bool
}

// reached reports whether the request may have arrived at the backend server.
func (e attemptEnd) reached() bool {
	return e.reason != ReasonUnreachable && e.reason != reasonWithdrawn && e.reason != ReasonNotDialed
}

// final reports whether the end is the response for the caller.
func (e attemptEnd) final() bool { return e.response != nil && !e.retryable }

// send makes one attempt and records its end, except in the log.
func (f *Filter) send(ctx context.Context, ex *gateway.Exchange, state *admission.RequestState, choice affinity.Choice, permit *quarantine.Permit) attemptEnd {
	chosen := time.Now()
	f.hooks.confirm(ctx, choice.Backend)
	tracked := permit.Start(egress.ConnectionKey(choice.Backend))
	started, tableAge := time.Now(), f.hooks.tableAge()
	request := f.request(ex, choice.Backend)
	// A new connection shows that the backend server is up when it gets a suspect.
	request.NewConnection = permit.Isolated()
	// The zone may have been evacuated, or the backend server have left, during the connect. An idle
	// connection may have shown that it has started again, or a check that it is cold.
	request.Allowed = func() bool {
		return f.decider.usable(choice.Backend) && !f.decider.changedAfter(choice.Backend, chosen)
	}
	request.OnWrite = func(alive time.Time) { f.guard.Written(tracked, alive) }
	resp, err := f.pool.Do(ctx, choice.Backend, request)
	end, result := f.classify(ctx, choice.Backend, resp, err)
	result.Took = time.Since(started)
	f.recordEvidence(ctx, tracked, choice.Backend, result.Outcome, &end)
	f.decider.recordEnd(state, choice, result, end.mayHaveRun)
	f.observeLimit(choice.Backend, end, result.Outcome, started)
	f.decider.observeRest(choice.Backend, statement(end))
	a := gateway.Attempt{Choice: choice, Sent: started, Took: result.Took, Reason: end.reason, MayHaveRun: end.mayHaveRun, TableAge: tableAge}
	if resp != nil {
		a.Status, a.Limit, a.Rest, a.Leaving = resp.Status, end.limit, end.rest, end.leaving
	}
	if err != nil {
		a.Detail = err.Error()
	}
	end.record = a
	return end
}

// statement returns what the end of an attempt says of its backend server. What another one
// at its address says of a rest or of leaving is not about it.
func statement(end attemptEnd) rest.Statement {
	if end.reason == reasonMisdirected {
		return rest.Statement{Replaced: true}
	}
	return rest.Statement{Rest: end.rest.For, Leaving: end.leaving}
}

// observeLimit records the request limit that a response states. Only a complete response to
// a run tells that there is none.
func (f *Filter) observeLimit(b *traffic.Backend, end attemptEnd, outcome affinity.Outcome, sent time.Time) {
	switch {
	case end.limit.Named() && outcome != affinity.Unreachable:
		f.decider.observeLimit(b, limit.Statement{Limited: true, PerSecond: end.limit.PerSecond}, sent)
	case end.limit.Header == "" && end.stamped && outcome == affinity.Answered:
		f.decider.observeLimit(b, limit.Statement{}, sent)
	}
}

// recordEvidence records what the end of an attempt shows about the request. If the
// backend server has crashed, it changes the reason of the end.
func (f *Filter) recordEvidence(ctx context.Context, tracked *quarantine.Attempt, b *traffic.Backend, outcome affinity.Outcome, end *attemptEnd) {
	switch {
	case errors.Is(context.Cause(ctx), errOvertaken):
		// The request has completed elsewhere.
		f.guard.Inconclusive(tracked)
	case end.err != nil && f.hooks.isolated():
		// The connections of an instance that is cut off show nothing about the request.
		f.guard.Inconclusive(tracked)
	case end.reason == reasonConnectionLost:
		if f.guard.ConnectionLost(ctx, tracked, b.Address) {
			end.reason = reasonBackendCrashed
		}
	case outcome == affinity.Answered:
		f.guard.Done(tracked)
	case end.err != nil && end.mayHaveRun:
		f.guard.Unanswered(tracked)
	case isRefused(end.err) && f.decider.usable(b):
		f.guard.Refused(tracked)
	default:
		f.guard.Inconclusive(tracked)
	}
}

// isRefused reports whether an attempt failed because the address refuses connections.
func isRefused(err error) bool {
	var egressErr *egress.Error
	return errors.As(err, &egressErr) && egressErr.ConnectionRefused
}

// request returns the request that is sent to b: the caller's request without
// hop-by-hop headers and without the key of a client account, with the name of that account, the
// remaining time and the id of b.
func (f *Filter) request(ex *gateway.Exchange, b *traffic.Backend) *egress.Request {
	h := ex.Header.Clone()
	attempt.StripHopHeaders(h)
	h.Del("Expect")
	h.Del("Content-Length")
	platform.SetForwardHeaders(h, time.Until(ex.Deadline), b.ID)
	setAccount(h, ex)
	return &egress.Request{
		ID: ex.ID, Method: ex.Method, Target: ex.Target, Host: ex.Host, Header: h, Body: ex.Body, Memory: ex.Memory,
	}
}

// setAccount replaces what the caller says of its client account by the account.
func setAccount(h http.Header, ex *gateway.Exchange) {
	if ex.View.Config.HasAccounts() {
		platform.RemoveCredentials(h)
	}
	name := ""
	if ex.Account != nil {
		name = ex.Account.Name
	}
	platform.SetAccount(h, name)
}

// classify returns what the end of an attempt means for the request, and the
// result that updates the estimates of the backend server.
func (f *Filter) classify(ctx context.Context, b *traffic.Backend, resp *egress.BackendResponse, err error) (attemptEnd, affinity.Result) {
	if err != nil {
		return f.classifyError(ctx, err)
	}
	v := platform.ParseResponseInfo(resp.Status, resp.Header, b.ID)
	result := affinity.Result{RTT: resp.DialTime, Transfer: resp.TransferTime}
	if v.HasLoad {
		result.Load = &affinity.Load{Running: v.Running, Waiting: v.Waiting, Slots: v.Slots}
	}
	end, outcome := classifyResponse(resp, v)
	end.limit, end.stamped, result.Outcome = v.Limit, v.Stamped, outcome
	end.rest, end.leaving = v.Rest, v.Leaving
	return end, result
}

// classifyResponse is classify for a complete response.
func classifyResponse(resp *egress.BackendResponse, v platform.ResponseInfo) (attemptEnd, affinity.Outcome) {
	switch {
	case v.Misdirected:
		return attemptEnd{reason: reasonMisdirected}, affinity.Unreachable
	case v.NotRun:
		return attemptEnd{reason: "shed"}, affinity.Shed
	case refusal.PromisesNotRun(resp.Status):
		// Without that statement it is a failure of the backend server itself, after a run.
		return attemptEnd{mayHaveRun: true, reason: "false_refusal"}, affinity.Failed
	case resp.Status < http.StatusInternalServerError && v.Stamped:
		return attemptEnd{mayHaveRun: true, response: callerResponse(resp), reason: "answered"}, affinity.Answered
	case resp.Status >= http.StatusMultipleChoices && resp.Status < http.StatusInternalServerError:
		return attemptEnd{mayHaveRun: true, response: callerResponse(resp), reason: "answered"}, affinity.Answered
	case resp.Status >= http.StatusInternalServerError:
		return attemptEnd{mayHaveRun: true, response: callerResponse(resp), retryable: true, reason: "server_error"}, affinity.Failed
	}
	return attemptEnd{mayHaveRun: true, reason: reasonSpoilt}, affinity.Failed
}

// classifyError is classify for an attempt without a complete response. An error
// other than *egress.Error counts as one after the request was sent.
func (f *Filter) classifyError(ctx context.Context, err error) (attemptEnd, affinity.Result) {
	var egressErr *egress.Error
	if !errors.As(err, &egressErr) {
		egressErr = &egress.Error{Sent: true, Cause: err}
	}
	end := attemptEnd{mayHaveRun: egressErr.Sent, err: err, reason: reasonConnectionLost}
	switch {
	case errors.Is(context.Cause(ctx), errOvertaken):
		end.reason = reasonOvertaken
		return end, affinity.Result{Outcome: affinity.Abandoned}
	case ctx.Err() != nil:
		end.reason = "abandoned"
		return end, affinity.Result{Outcome: affinity.Abandoned}
	case egressErr.Withdrawn:
		end.reason = reasonWithdrawn
		return end, affinity.Result{Outcome: affinity.Abandoned}
	case egressErr.NotDialed:
		end.reason = ReasonNotDialed
		return end, affinity.Result{Outcome: affinity.Abandoned}
	case !egressErr.Sent:
		end.reason = ReasonUnreachable
		return end, affinity.Result{Outcome: affinity.Unreachable, Silent: egressErr.TimedOut()}
	case errors.As(err, new(*responsehead.Error)):
		end.reason = reasonSpoilt
		return end, affinity.Result{Outcome: affinity.Failed}
	case egressErr.Reused && !egressErr.ResponseStarted:
		// Backend servers close idle connections in normal operation, so that
		// this is no evidence of a failure.
		return end, affinity.Result{Outcome: affinity.Abandoned}
	}
	return end, affinity.Result{Outcome: affinity.Failed}
}

// retryDenial returns the reason why the request is not sent again, or an empty
// reason if it is sent again.
func (f *Filter) retryDenial(ctx context.Context, state *admission.RequestState, end attemptEnd) admission.Reason {
	if ctx.Err() != nil {
		return admission.Expired
	}
	return f.decider.checkRetry(state, end.mayHaveRun, end.reached())
}

// stop returns the response to a request that is not sent again, for the reason
// denial. An error response of a backend server is forwarded unchanged.
func (f *Filter) stop(ex *gateway.Exchange, state *admission.RequestState, end attemptEnd, denial admission.Reason) *ingress.Response {
	ex.Outcome.Reason = end.reason
	switch {
	case end.response != nil:
		return end.response
	case denial == admission.Expired:
		return f.deadlineExceeded(ex, state)
	case denial == admission.MayHaveRun:
		return gateway.ErrorResponse(http.StatusBadGateway, "the request may have run; look at its effect before sending it again")
	case denial == admission.AttemptLimit:
		return f.reject(ex, state, end.reason)
	}
	return f.reject(ex, state, string(denial))
}

// deadlineExceeded returns the response to a request whose deadline has passed.
func (f *Filter) deadlineExceeded(ex *gateway.Exchange, state *admission.RequestState) *ingress.Response {
	ex.Outcome.Reason = string(admission.Expired)
	if !state.MayHaveRun() {
		return gateway.UnavailableResponse(f.decider.retryAfter(state), "no backend server was free in time; come back later")
	}
	return gateway.ErrorResponse(http.StatusGatewayTimeout, "no answer came in time; the request may have run")
}

// reject returns the response to a request that is sent to no further backend
// server.
func (f *Filter) reject(ex *gateway.Exchange, state *admission.RequestState, reason string) *ingress.Response {
	ex.Outcome.Reason = reason
	switch {
	case state.MayHaveRun():
	case admission.Reason(reason) == admission.KeyRemoved:
		return gateway.UnauthorizedResponse()
	default:
		return gateway.UnavailableResponse(f.decider.retryAfter(state), unavailableText(admission.Reason(reason)))
	}
	return gateway.ErrorResponse(http.StatusBadGateway, "the backend servers failed; the request may have run")
}

// unavailableText returns the text of the response to a request that has not run.
func unavailableText(reason admission.Reason) string {
	switch reason {
	case admission.RouteGone:
		return "the route has been removed since the request arrived; come back later, or correct host and path"
	case admission.NoHomeRegion:
		return "the home regions of the route and of the client account have none in common; ask the operators of the service to correct them"
	}
	return "no backend server can take the request now; come back later"
}

// callerResponse converts the response of a backend server to the one for the
// caller. It removes the hop-by-hop headers.
func callerResponse(resp *egress.BackendResponse) *ingress.Response {
	attempt.StripHopHeaders(resp.Header)
	resp.Header.Del("Content-Length")
	return &ingress.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body}
}
