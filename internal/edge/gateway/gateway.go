// Package gateway runs callers' requests through a pipeline of filters. Each
// filter calls the next one; the last filter sends the request to backend
// servers.
package gateway

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/decide/quota"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/credential"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// Exchange is the state of a request while it passes through the filters.
type Exchange struct {
	// Request is the request as the caller sent it.
	*ingress.Request
	// ID is the request id that the caller has chosen.
	ID string
	// View is the view that was current when the request arrived. It is replaced by the
	// newest one when an attempt is decided by a newer configuration.
	View *control.View
	// Route is the route that the request matched in the configuration of View, or the last
	// one that it matched, if that configuration has none; nil if it never matched any.
	Route *traffic.Route
	// Credential is what the request says of the client account of its caller, and Account that
	// account in the configuration of View; nil if it has none.
	Credential credential.Credential
	Account    *traffic.Account
	// Object is the affinity key of the request, or empty.
	Object string
	// Deadline is the earlier of CallerDeadline and the end of the route's
	// timeout.
	Deadline time.Time
	// CallerDeadline is when the caller stops waiting for the response.
	CallerDeadline time.Time
	// Fingerprint is the same for all repeats of the request by its caller, while
	// each of them has an ID of its own.
	Fingerprint quarantine.Fingerprint
	// Outcome collects how the request was handled, for the log and metrics.
	Outcome Outcome
}

// ReasonNoRoute is the reason of a request that no route of the configuration in force
// matches.
const ReasonNoRoute = "no_route"

// ReasonOldConfig is the reason of such a request while a newer configuration may be in
// force elsewhere.
const ReasonOldConfig = "old_config"

// ReasonUnauthorized is the reason of a request that shows no client account on a route that
// requires one.
const ReasonUnauthorized = "unauthorized"

// ReasonQuota is the reason of a request beyond the quota of its client account.
const ReasonQuota = "quota"

// ReasonQuarantined is the reason of a request that is not sent because equal requests
// crashed the backend servers that ran them.
const ReasonQuarantined = "quarantined"

// ReasonUnresolved is the reason of a request that is not sent because an equal request got
// no response and may have crashed its backend server.
const ReasonUnresolved = "unresolved"

// Outcome describes how a request was handled, for the log and the metrics.
type Outcome struct {
	// Reason names how the request ended.
	Reason string
	// Verdict is the newest verdict on the request, and Evidence what it is based on.
	Verdict  quarantine.Verdict
	Evidence quarantine.Evidence
	// Service is the service that was chosen among the targets of the route.
	Service string
	// Attempts holds the attempts in the order in which they were made.
	Attempts []Attempt
	// Handovers holds the instances that the request was handed over to, in their order.
	Handovers []Handover
	// ConfigReadAt is when the configuration was last found to be in force, set for a
	// request that no route of it matches, or no account.
	ConfigReadAt time.Time
	// Quota is the decision on a request whose client account has a quota; nil if it has none.
	Quota *QuotaDecision
	// Rejected is set when the request was rejected before a first or a further
	// attempt because no backend server qualified.
	Rejected *Rejection
}

// Runs returns the number of backend servers and instances that may have run the request.
func (o *Outcome) Runs() int {
	n := 0
	for _, a := range o.Attempts {
		if a.MayHaveRun {
			n++
		}
	}
	for _, h := range o.Handovers {
		if h.MayHaveRun {
			n++
		}
	}
	return n
}

// Attempt is one attempt to send the request to a backend server.
type Attempt struct {
	// Choice is the chosen backend server and the estimates behind the choice.
	affinity.Choice
	// Sent is when the attempt started.
	Sent time.Time
	// Took is the duration of the attempt.
	Took time.Duration
	// TableAge is how old the operator's table was when the attempt started, by the response
	// of the store; -1 if that is unknown.
	TableAge time.Duration
	// Reason names how the attempt ended.
	Reason string
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Detail is the error text of an attempt without a response.
	Detail string
	// MayHaveRun is set when the backend server may have run the request.
	MayHaveRun bool
	// Limit is what the response states about the rate of requests that the backend
	// server takes.
	Limit platform.RequestLimit
	// Rest is the rest that the response asks for. Leaving is set if it says that the
	// backend server leaves.
	Rest    platform.Rest
	Leaving bool
}

// QuotaDecision is the decision on a request by the quota of its client account.
type QuotaDecision struct {
	traffic.Quota
	quota.Verdict
	// Waited is how long the request waited for credits of other instances.
	Waited time.Duration
}

// Handover is an attempt to hand the request over to another instance.
type Handover struct {
	// Instance is the name of the other instance.
	Instance string
	// Sent is when the handover started, Took its duration.
	Sent time.Time
	Took time.Duration
	// Result names how it ended, Detail why.
	Result, Detail string
	// MayHaveRun is set if a backend server may have run the request by it.
	MayHaveRun bool
}

// Rejection explains why a request was sent to no further backend server.
type Rejection struct {
	// Choice is the best candidate that was not used. Its Backend may be nil.
	affinity.Choice
	// Patience is the maximum wait for a slot that was allowed.
	Patience time.Duration
	// Limitation is the request limit because of which the request was rejected, if any.
	Limitation *admission.Limitation
	// RestingBackend is the backend server because of whose rest the request was rejected, if
	// any.
	RestingBackend *admission.RestingBackend
}

// Zone returns the availability zone of the last attempt, empty if there is
// none.
func (o *Outcome) Zone() string {
	if len(o.Attempts) == 0 {
		return ""
	}
	return o.Attempts[len(o.Attempts)-1].Backend.Zone
}

// Next runs the filters that follow the current one.
type Next func(ctx context.Context, ex *Exchange) *ingress.Response

// Filter is one step of the pipeline. Serve either returns a response itself or
// calls next. Filters are called concurrently.
type Filter interface {
	Serve(ctx context.Context, ex *Exchange, next Next) *ingress.Response
}

// Chain builds the pipeline of the filters, in their order. The last filter must
// not call next.
func Chain(filters ...Filter) Next {
	var next Next
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, ex *Exchange) *ingress.Response { return f.Serve(ctx, ex, rest) }
	}
	return next
}

// Gateway passes requests, each with the current view, to the pipeline.
type Gateway struct {
	control *control.Control
	chain   Next
}

// New returns a Gateway that runs the filters in their order.
func New(c *control.Control, filters ...Filter) *Gateway {
	return &Gateway{control: c, chain: Chain(filters...)}
}

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	resp, _ := g.ServeObserved(ctx, r)
	return resp
}

// ServeObserved is like Serve and also returns how the request was handled.
func (g *Gateway) ServeObserved(ctx context.Context, r *ingress.Request) (*ingress.Response, *Outcome) {
	ex := &Exchange{Request: r, View: g.control.View()}
	resp := g.chain(ctx, ex)
	return resp, &ex.Outcome
}
