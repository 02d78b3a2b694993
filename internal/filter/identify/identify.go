// Package identify determines a request's operation, whether the request is
// idempotent, and its idempotency key. A request that matches no declared
// operation is treated as not idempotent.
package identify

import (
	"context"
	"strings"

	"github.com/banyandeal/banyandeal/internal/filter"
)

// Filter classifies requests.
type Filter struct {
	// Issue returns a new key whose home is this instance. It is called for a
	// request that is not idempotent and has no key.
	Issue func(r *filter.Request) (string, error)
}

// Name implements filter.Filter.
func (Filter) Name() string { return "identify" }

// Wrap implements filter.Filter.
func (f Filter) Wrap(next filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) (*filter.Response, error) {
		c := *r
		path, _, _ := strings.Cut(r.Path, "?")
		op, known := r.Service.Operation(r.Method, path)
		c.Operation, c.Idempotent = op.Name, known && op.Idempotent
		if !c.Idempotent && c.Key == "" {
			key, err := f.Issue(&c)
			if err != nil {
				return nil, err
			}
			c.Key = key
		}
		return next.Serve(ctx, &c)
	})
}
