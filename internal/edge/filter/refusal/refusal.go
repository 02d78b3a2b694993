// Package refusal keeps statuses that promise that a request has not run from callers whose
// request may have run.
package refusal

import (
	"context"
	"net/http"

	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// Filter implements gateway.Filter. Every response that a later filter returns passes through it,
// whether this instance, a backend server or another instance has made it.
type Filter struct{}

// Serve implements gateway.Filter. A caller may repeat any request after such a status, so that
// the status of a backend server that has run the request is not passed on, nor its Retry-After.
func (Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	resp := next(ctx, ex)
	if !PromisesNotRun(resp.Status) || ex.Outcome.Runs() == 0 {
		return resp
	}
	return gateway.ErrorResponse(http.StatusBadGateway, "the backend servers failed; the request may have run")
}

// PromisesNotRun reports whether a status tells callers that the request has not run and will not
// run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
