// Package identify reads what the caller says of a request: its id, its
// deadline and the object that it concerns.
package identify

import (
	"context"
	"net/http"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/platform"
)

// defaultDeadline is how long a caller waits that does not say it.
const defaultDeadline = 30 * time.Second

// Filter implements gateway.Filter.
type Filter struct{}

// Serve implements gateway.Filter.
func (Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Answer {
	ex.ID = platform.RequestID(ex.Header)
	if ex.ID == "" {
		ex.Outcome.Reason = "no_id"
		return gateway.Final(http.StatusBadRequest, "send the request with an id of its own")
	}
	wait, ok := platform.Timeout(ex.Header)
	if !ok {
		wait = defaultDeadline
	}
	ex.CallerDeadline = ex.Received.Add(wait)
	ex.Object = platform.ObjectKey(ex.Header)
	return next(ctx, ex)
}
