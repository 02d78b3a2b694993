// Package expire sets the deadline of a request.
package expire

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// Filter implements gateway.Filter. It bounds the request by the caller's deadline
// and the timeout of the route.
type Filter struct{}

// Serve implements gateway.Filter.
func (Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	ex.Deadline = ex.CallerDeadline
	if limit := ex.Received.Add(ex.Route.Timeout); ex.Route.Timeout > 0 && limit.Before(ex.Deadline) {
		ex.Deadline = limit
	}
	if !time.Now().Before(ex.Deadline) {
		ex.Outcome.Reason = "expired"
		return gateway.UnavailableResponse(0, "the deadline passed before the request could be sent")
	}
	ctx, cancel := context.WithDeadline(ctx, ex.Deadline)
	defer cancel()
	return next(ctx, ex)
}
