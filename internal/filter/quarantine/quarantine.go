// Package quarantine rejects requests that crashed the backend servers which
// ran them. The error is final and is returned immediately.
//
// Metrics: the kind quarantined in request.kind.*.
package quarantine

import (
	"context"

	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/quarantine"
)

// Filter rejects quarantined requests.
type Filter struct {
	Guard *quarantine.Guard
}

// Name implements filter.Filter.
func (Filter) Name() string { return "quarantine" }

// Wrap implements filter.Filter.
func (f Filter) Wrap(next filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) (*filter.Response, error) {
		if f.Guard.Quarantined(quarantine.Fingerprint(r)) {
			return nil, decide.RejectionError()
		}
		return next.Serve(ctx, r)
	})
}
