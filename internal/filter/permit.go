package filter

import "context"

type permitKey struct{}

// WithAttemptPermit returns a context in which each try to run the request first asks
// permit, which the authority of the request's key gives.
func WithAttemptPermit(ctx context.Context, permit func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

// AttemptPermitted reports whether another try may start. Without a permit in ctx it
// may.
func AttemptPermitted(ctx context.Context) bool {
	permit, ok := ctx.Value(permitKey{}).(func() bool)
	return !ok || permit()
}
