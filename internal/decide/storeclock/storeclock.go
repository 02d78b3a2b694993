// Package storeclock estimates when the steady clock of the platform's store was zero, by the
// times that its responses state. All instances have a clock in common by it.
package storeclock

import "time"

const (
	// clockJump is the difference from which on the store's clock may have been set back.
	clockJump = time.Second
	// clockJumpResponses is the number of responses in a row that must show this. One alone
	// may have been held up on its way.
	clockJumpResponses = 4
)

// Estimator estimates when the store's steady clock was zero. A response is late by the time
// that it was on its way, so that the earliest estimate is the best one. It is not safe for
// concurrent use.
type Estimator struct {
	zero time.Time
	// later is the earliest of the estimates since the last one that was not later than
	// zero by clockJump or more, and count their number.
	later time.Time
	count int
}

// Observe records the time in seconds that a response states, which is 0 if it states none.
func (c *Estimator) Observe(seconds float64, received time.Time) {
	if seconds <= 0 {
		return
	}
	estimate := received.Add(-time.Duration(seconds * float64(time.Second)))
	if c.zero.IsZero() || estimate.Sub(c.zero) < clockJump {
		c.count = 0
		if c.zero.IsZero() || estimate.Before(c.zero) {
			c.zero = estimate
		}
		return
	}
	if c.count == 0 || estimate.Before(c.later) {
		c.later = estimate
	}
	c.count++
	if c.count >= clockJumpResponses {
		c.zero, c.count = c.later, 0
	}
}

// Zero returns the time at which the store's clock was zero, or the zero time before the first
// response.
func (c *Estimator) Zero() time.Time { return c.zero }
