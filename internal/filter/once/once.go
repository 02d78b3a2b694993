// Package once makes a request that is not idempotent run at most once. It
// sends the request to the authority of its key, which either runs the request
// or returns the stored outcome. Idempotent requests go straight to the next
// handler.
//
// Metrics: the counters once.records and once.bytes, and the kinds home_gone,
// foreign_key and table_down in request.kind.*.
package once

import (
	"context"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/keys"
)

// Filter sends requests that are not idempotent to the authority of their key.
type Filter struct {
	Keeper *keys.Keeper
}

// Name implements filter.Filter.
func (Filter) Name() string { return "once" }

// Wrap implements filter.Filter.
func (f Filter) Wrap(next filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) (*filter.Response, error) {
		if r.Idempotent {
			return next.Serve(ctx, r)
		}
		return f.Keeper.Do(ctx, r, r.Hops, next)
	})
}
