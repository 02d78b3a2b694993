// Package gateway is the pipeline that a caller's request passes through:
// each filter calls the next, and the last sends the request to backend
// servers.
package gateway

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Exchange is a request on its way through the filters.
type Exchange struct {
	*ingress.Request
	ID     string
	View   *control.View
	Route  *traffic.Route
	Object string
	// Deadline is when the caller or the route gives the request up.
	Deadline time.Time
	// CallerDeadline is when the caller gives up.
	CallerDeadline time.Time
	Outcome        Outcome
}

// Outcome is what the log and the counters say of a request.
type Outcome struct {
	// Reason names how the request ended.
	Reason string
	// Service is the target that was drawn.
	Service string
	// Attempts holds the attempts in their order.
	Attempts []Attempt
	// Rejection tells why the request was sent nowhere, or not again.
	Rejection *Rejection
}

// Attempt is one offer of the request to a backend server.
type Attempt struct {
	// Choice holds what decided.
	affinity.Choice
	Sent time.Time
	Took time.Duration
	// Reason names how the attempt ended, Status is that of the answer, 0 without
	// one, and Detail tells more of a failure.
	Reason    string
	Status int
	Detail string
	// MayHaveRun tells that the backend server may have run the request.
	MayHaveRun bool
}

// Rejection is what decided that a request goes to no further backend server.
type Rejection struct {
	// Choice is the best candidate that was passed over; its Backend may be nil.
	affinity.Choice
	// Patience is the longest wait for a slot that was allowed.
	Patience time.Duration
}

// Zone returns the availability zone of the last attempt, empty if there is
// none.
func (o *Outcome) Zone() string {
	if len(o.Attempts) == 0 {
		return ""
	}
	return o.Attempts[len(o.Attempts)-1].Backend.Zone
}

// Next is the rest of the pipeline.
type Next func(ctx context.Context, ex *Exchange) *ingress.Response

// Filter handles an exchange or hands it to next.
type Filter interface {
	Serve(ctx context.Context, ex *Exchange, next Next) *ingress.Response
}

// Chain builds the pipeline. The last filter never calls next.
func Chain(filters ...Filter) Next {
	var next Next
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, ex *Exchange) *ingress.Response { return f.Serve(ctx, ex, rest) }
	}
	return next
}

// Gateway hands requests to the pipeline.
type Gateway struct {
	control *control.Control
	chain   Next
}

// New returns the handler of callers' requests.
func New(c *control.Control, filters ...Filter) *Gateway {
	return &Gateway{control: c, chain: Chain(filters...)}
}

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	return g.chain(ctx, &Exchange{Request: r, View: g.control.View()})
}
