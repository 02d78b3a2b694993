// Package gateway is the pipeline that a caller's request passes through:
// each filter calls the next, and the last sends the request to backend
// servers.
package gateway

import (
	"context"
	"time"

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
	// Service, Backend and Zone are those of the last attempt.
	Service, Backend, Zone string
	Attempts               int
	// Expected and Wait are what the last choice expected, LoadAge the age of
	// the report behind it.
	Expected, Wait, LoadAge time.Duration
	Rank                    int
	Warm                    bool
	Detail                  string
}

// Next is the rest of the pipeline.
type Next func(ctx context.Context, ex *Exchange) *ingress.Answer

// Filter handles an exchange or hands it to next.
type Filter interface {
	Serve(ctx context.Context, ex *Exchange, next Next) *ingress.Answer
}

// Chain builds the pipeline. The last filter never calls next.
func Chain(filters ...Filter) Next {
	var next Next
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, ex *Exchange) *ingress.Answer { return f.Serve(ctx, ex, rest) }
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
func (g *Gateway) Serve(ctx context.Context, r *ingress.Request) *ingress.Answer {
	return g.chain(ctx, &Exchange{Request: r, View: g.control.View()})
}
