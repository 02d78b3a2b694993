// Package quarantine turns away requests that brought down the backend servers
// which ran them. The caller gets its final answer at once.
//
// What an operator sees: the kind quarantined among request.kind.*.
package quarantine

import (
	"context"

	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/quarantine"
)

// Filter turns quarantined requests away.
type Filter struct {
	Guard *quarantine.Guard
}

// Name implements filter.Filter.
func (Filter) Name() string { return "quarantine" }

// Wrap implements filter.Filter.
func (f Filter) Wrap(next filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) (*filter.Answer, error) {
		if f.Guard.Quarantined(quarantine.Fingerprint(r)) {
			return nil, decide.RejectionError()
		}
		return next.Serve(ctx, r)
	})
}
