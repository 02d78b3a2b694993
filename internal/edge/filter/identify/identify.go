// Package identify reads the request headers of the platform: the request id, the
// deadline and the affinity key of the object. It computes the fingerprint by which
// repeats of the request are recognized.
package identify

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/platform"
)

// defaultDeadline is the assumed timeout of a caller that sends no deadline.
const defaultDeadline = 30 * time.Second

// Filter implements gateway.Filter. It rejects requests without an id.
type Filter struct{}

// Serve implements gateway.Filter.
func (Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	ex.ID = platform.RequestID(ex.Header)
	if ex.ID == "" {
		ex.Outcome.Reason = "no_id"
		return gateway.ErrorResponse(http.StatusBadRequest, "send the request with an id of its own")
	}
	wait, ok := platform.Timeout(ex.Header)
	if !ok {
		wait = defaultDeadline
	}
	ex.CallerDeadline = ex.Received.Add(wait)
	ex.Object = platform.ObjectKey(ex.Header)
	scope := strings.ToLower(ex.Host) + "\x00" + platform.CallerIdentity(ex.Header)
	ex.Fingerprint = quarantine.FingerprintOf(scope, ex.Method, ex.Target, ex.Body...)
	return next(ctx, ex)
}
