// Package identify reads the request headers of the platform: the request id, the
// deadline, the key of the caller's account and the affinity key of the object. It computes the fingerprint by which
// repeats of the request are recognized.
package identify

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/credential"
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
	ex.Credential = presented(ex)
	scope := strings.ToLower(ex.Host) + "\x00" + callerIdentity(ex)
	ex.Fingerprint = quarantine.FingerprintOf(scope, ex.Method, ex.Target, ex.Body...)
	return next(ctx, ex)
}

// presented returns what the request says of the caller's account. What another instance has read of it
// counts for a request that it has handed over without its key.
func presented(ex *gateway.Exchange) credential.Credential {
	if ex.Handover != nil && ex.Handover.Credential.State != credential.Absent {
		return ex.Handover.Credential
	}
	return platform.Credential(ex.Header)
}

// callerIdentity returns what comes nearest to an identity of the caller, since the platform has no
// header that names it: its credentials, if any, and the object that the request is about.
// Repeats of one request have the same identity.
func callerIdentity(ex *gateway.Exchange) string {
	return string(ex.Credential.Digest[:]) + "\x00" + ex.Object
}
