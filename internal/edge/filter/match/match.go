// Package match finds the route of a request.
package match

import (
	"context"
	"net/http"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// noConfigRetryAfter is how long a caller waits before it retries at an instance
// that has no configuration yet.
const noConfigRetryAfter = 300 * time.Millisecond

const (
	// maxConfigAge is the time after the last read of the configuration from which there may
	// be a newer one. The longest wait of a read and the time for its reply are within it.
	maxConfigAge = 1600 * time.Millisecond
	// oldConfigRetryAfter is how long a caller waits before it asks again for what an instance
	// with such a configuration does not allow.
	oldConfigRetryAfter = 500 * time.Millisecond
)

// Filter implements gateway.Filter. It rejects requests that match no route.
type Filter struct {
	// ConfigReadAt returns when the configuration was last found to be in force. It may be
	// nil.
	ConfigReadAt func() time.Time
}

// Serve implements gateway.Filter.
func (f Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	if ex.View.Config == nil {
		ex.Outcome.Reason = "no_config"
		return NoConfig()
	}
	ex.Route = ex.View.Config.Match(ex.Host, ex.Target)
	if ex.Route == nil {
		ex.Outcome.Reason = gateway.ReasonNoRoute
		return NotInForce(ex, f.ConfigReadAt, gateway.ErrorResponse(http.StatusNotFound, "no route has this host and path"))
	}
	return next(ctx, ex)
}

// NoConfig returns the response to a request at an instance that has no configuration yet.
func NoConfig() *ingress.Response {
	return gateway.UnavailableResponse(noConfigRetryAfter, "the instance is starting; come back later")
}

// NotInForce returns the response to a request that the configuration does not allow: refusal, or
// that the caller may come back if a newer configuration may allow it. configReadAt returns when the
// configuration was last found to be in force; it may be nil.
func NotInForce(ex *gateway.Exchange, configReadAt func() time.Time, refusal *ingress.Response) *ingress.Response {
	if configReadAt != nil {
		ex.Outcome.ConfigReadAt = configReadAt()
	}
	if at := ex.Outcome.ConfigReadAt; !at.IsZero() && time.Since(at) > maxConfigAge {
		ex.Outcome.Reason = gateway.ReasonOldConfig
		return gateway.UnavailableResponse(oldConfigRetryAfter, "the configuration cannot be read at present, and the last one does not allow the request; come back later")
	}
	return refusal
}
