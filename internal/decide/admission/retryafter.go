package admission

import "time"

// Bounds of the time after which a rejected caller may retry.
const (
	// minRetryAfter is the shortest time, before jitter and maxRetryAfterShare
	// are applied.
	minRetryAfter = 60 * time.Millisecond
	// maxRetryAfterShare is the longest time as a share of the time left until
	// the caller's deadline.
	maxRetryAfterShare = 0.25
	// retryAfterJitter is the largest random extension of the time, as a share
	// of it.
	retryAfterJitter = 1.0
)

// RetryAfter returns the time after which a rejected caller may retry. It is
// the expected time until a slot is free for the caller, randomized so that
// callers do not retry together, and short enough to leave time for another
// retry.
func (m *Machine) RetryAfter(req *RequestState, now time.Time) time.Duration {
	remaining := req.CallerDeadline.Sub(now)
	wait := float64(max(minRetryAfter, req.slotFreeIn)) * (1 + retryAfterJitter*m.cfg.Rand.Float64())
	return max(0, min(time.Duration(wait), time.Duration(maxRetryAfterShare*float64(remaining))))
}
