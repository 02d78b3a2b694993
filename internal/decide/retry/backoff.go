package retry

import "time"

// Bounds of the delays that this package computes.
const (
	// MinRetryAfter is the shortest delay that a rejected caller is asked to wait.
	MinRetryAfter = 200 * time.Millisecond
	// MaxRetryAfter is the longest delay that a rejected caller is asked to wait.
	MaxRetryAfter = 30 * time.Second
	// DefaultBackoff is the maximum delay before the second retry. It doubles
	// with each further retry. The first retry has no delay, as it goes to
	// another backend server.
	DefaultBackoff = 10 * time.Millisecond
	// DefaultMaxBackoff is the maximum delay before any retry.
	DefaultMaxBackoff = 500 * time.Millisecond
)

// Backoff returns the delay before the n-th retry, where n starts at 1. The
// first retry has no delay. The delay of a later one is random, in [0,1), times
// a limit that starts at base and doubles with each retry up to ceiling.
func Backoff(n int, base, ceiling time.Duration, random float64) time.Duration {
	if n <= 1 {
		return 0
	}
	limit := base
	for i := 2; i < n && limit < ceiling; i++ {
		limit *= 2
	}
	return time.Duration(random * float64(min(limit, ceiling)))
}

// Backlog is the work that is ahead of a rejected request.
type Backlog struct {
	// Slots is the number of requests that run concurrently; Ahead is the number
	// of requests that run or wait.
	Slots, Ahead int
	// MeanTime is the mean time that a backend server takes for one request.
	MeanTime time.Duration
}

// RetryAfter returns the delay after which a rejected caller should retry. It
// is the time needed to finish the backlog, multiplied by 1 + random/2, where
// random is in [0,1), so that callers do not all retry at the same moment. The
// result is in [MinRetryAfter, MaxRetryAfter]; without slots it is
// MaxRetryAfter.
func RetryAfter(l Backlog, random float64) time.Duration {
	if l.Slots <= 0 {
		return MaxRetryAfter
	}
	rounds := float64(l.Ahead+1) / float64(l.Slots)
	after := time.Duration(rounds * float64(l.MeanTime) * (1 + random/2))
	return min(max(after, MinRetryAfter), MaxRetryAfter)
}
