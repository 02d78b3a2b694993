package filter

import "context"

type permitKey struct{}

// WithAttemptPermit returns a context in which every attempt to run the request
// first calls permit. The authority of the request's key provides permit and
// returns false from it to prevent further attempts.
func WithAttemptPermit(ctx context.Context, permit func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

// AttemptPermitted reports whether another attempt may start. If ctx has no
// permit, it returns true.
func AttemptPermitted(ctx context.Context) bool {
	permit, ok := ctx.Value(permitKey{}).(func() bool)
	return !ok || permit()
}
