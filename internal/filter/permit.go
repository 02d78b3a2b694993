package filter

import "context"

type permitKey struct{}

// WithPermit returns a context in which each try to run the request first asks
// permit, which the authority of the request's key gives.
func WithPermit(ctx context.Context, permit func() bool) context.Context {
	return context.WithValue(ctx, permitKey{}, permit)
}

// Permitted reports whether another try may start. Without a permit in ctx it
// may.
func Permitted(ctx context.Context) bool {
	permit, ok := ctx.Value(permitKey{}).(func() bool)
	return !ok || permit()
}
