package admission

import "time"

// Waits of callers that are turned away: the least, the most as a share of the
// time left to them, and by how much they are spread.
const (
	minReturn      = 60 * time.Millisecond
	maxReturnShare = 0.25
	returnSpread   = 1.0
)

// RetryAfter returns when a caller that was turned away may come back: when a
// slot is expected to be free for it, spread so that callers do not return
// together, and soon enough for another try.
func (m *Machine) RetryAfter(t *RequestState, now time.Time) time.Duration {
	left := t.CallerDeadline.Sub(now)
	wait := float64(max(minReturn, t.freeIn)) * (1 + returnSpread*m.cfg.Rand.Float64())
	return max(0, min(time.Duration(wait), time.Duration(maxReturnShare*float64(left))))
}
