package linkcap

import "time"

// limiter counts the requests that this instance has in flight, and has started
// within RateWindow, on one link.
type limiter struct {
	inFlight int64
	// starts are the times of the starts within the last RateWindow, oldest
	// first. They begin at index head.
	starts []time.Time
	head   int
	// rejected is the number of rejected requests since the last request for
	// rights.
	rejected int64
}

// used returns the rights that are in use at now.
func (l *limiter) used(now time.Time) Rights {
	for l.head < len(l.starts) && now.Sub(l.starts[l.head]) >= RateWindow {
		l.head++
	}
	if l.head > len(l.starts)/2 {
		l.starts = append(l.starts[:0], l.starts[l.head:]...)
		l.head = 0
	}
	return Rights{InFlight: l.inFlight, Rate: int64(len(l.starts) - l.head)}
}

// tryAcquire counts one more request, or reports false if usable does not allow
// it.
func (l *limiter) tryAcquire(now time.Time, usable Rights) bool {
	used := l.used(now)
	if used.InFlight >= usable.InFlight || used.Rate >= usable.Rate {
		l.rejected++
		return false
	}
	l.inFlight++
	l.starts = append(l.starts, now)
	return true
}
