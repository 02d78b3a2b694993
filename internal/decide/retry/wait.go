package retry

import "time"

// Bounds of the waits that this package computes.
const (
	// MinRetryAfter and MaxRetryAfter bound the time after which a caller is
	// asked to come back.
	MinRetryAfter = 200 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// DefaultBackoff is the longest wait before the second further attempt; it
	// doubles with each one. The first goes to another backend server at once.
	DefaultBackoff = 10 * time.Millisecond
	// DefaultMaxBackoff is the longest wait before any attempt.
	DefaultMaxBackoff = 500 * time.Millisecond
)

// Backoff returns the wait before the n-th further attempt, from 1: a share
// random, in [0,1), of a limit that starts at base and doubles up to ceiling.
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

// Backlog is what is ahead of a request that was turned away.
type Backlog struct {
	// Slots is how many requests run at once, Ahead how many run or wait.
	Slots, Ahead int
	// MeanServiceTime is the time a backend server works on one request.
	MeanServiceTime time.Duration
}

// RetryAfter returns when a caller that was turned away may come back: the
// time in which what is ahead is worked off, spread by random, in [0,1), over
// that time and half of it again, so that callers do not come back together.
// With no slots it is MaxRetryAfter.
func RetryAfter(l Backlog, random float64) time.Duration {
	if l.Slots <= 0 {
		return MaxRetryAfter
	}
	rounds := float64(l.Ahead+1) / float64(l.Slots)
	after := time.Duration(rounds * float64(l.MeanServiceTime) * (1 + random/2))
	return min(max(after, MinRetryAfter), MaxRetryAfter)
}
