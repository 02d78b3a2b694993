// Package account finds the client account of a request.
package account

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/filter/match"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/platform"
)

// ReasonUnconfirmed is the reason of a request whose key may have been removed since this instance
// last heard of the configuration.
const ReasonUnconfirmed = "key_unconfirmed"

// unconfirmedRetryAfter is how long a caller of such a request waits before it comes back.
const unconfirmedRetryAfter = 500 * time.Millisecond

// confirmMargin is the part of the time in which a removed key must be refused that is kept for
// requests that are under way.
const confirmMargin = 0.8

// Filter implements gateway.Filter. It stands behind the filter that finds the route. Requests
// without a client account on a route that requires one are rejected; others lose their key, which
// nothing else needs to see. It does nothing if the configuration has no accounts.
type Filter struct {
	// ConfigReadAt returns when the configuration was last found to be in force, and
	// ConfirmedAt when the store last confirmed it. Both may be nil.
	ConfigReadAt, ConfirmedAt func() time.Time
	// RevocationTime is how long keys are accepted while the store does not confirm the
	// configuration; 0 is no limit.
	RevocationTime time.Duration
}

// Serve implements gateway.Filter.
func (f Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	if !ex.View.Config.HasAccounts() {
		return next(ctx, ex)
	}
	platform.RemoveCredentials(ex.Header)
	found, ok := ex.View.Config.Account(ex.Route, ex.Credential)
	ex.Account = found
	switch {
	case !ok:
		ex.Outcome.Reason = gateway.ReasonUnauthorized
		return match.NotInForce(ex, f.ConfigReadAt, gateway.UnauthorizedResponse())
	case found != nil && !f.confirmed():
		ex.Outcome.Reason = ReasonUnconfirmed
		return gateway.UnavailableResponse(unconfirmedRetryAfter, "the store cannot be read, and the key may have been removed; come back later")
	}
	return next(ctx, ex)
}

// confirmed reports whether keys may be accepted by the configuration that is known.
func (f Filter) confirmed() bool {
	if f.RevocationTime == 0 || f.ConfirmedAt == nil {
		return true
	}
	return time.Since(f.ConfirmedAt()) < time.Duration(confirmMargin*float64(f.RevocationTime))
}
