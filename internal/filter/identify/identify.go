// Package identify classifies a request: its operation, whether it is
// idempotent, and its key. A request that no declared operation matches counts
// as not idempotent.
package identify

import (
	"context"
	"strings"

	"github.com/banyandeal/banyandeal/internal/filter"
)

// Filter classifies requests.
type Filter struct {
	// IssueKey returns a fresh key whose home is this instance; a request that is
	// not idempotent and brings no key gets one.
	IssueKey func(r *filter.Request) (string, error)
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
			key, err := f.IssueKey(&c)
			if err != nil {
				return nil, err
			}
			c.Key = key
		}
		return next.Serve(ctx, &c)
	})
}
