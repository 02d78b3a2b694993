package linkcap

import "time"

// limiter counts what this instance has in flight and has lately started on one
// link.
type limiter struct {
	inFlight int64
	// starts are the times of the starts within the last RateWindow, oldest
	// first, from index head on.
	starts []time.Time
	head   int
	// refused counts the refusals since the last Want.
	refused int64
}

// used returns what is taken of the rights at now.
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

// tryAcquire takes one request's worth of usable.
func (l *limiter) tryAcquire(now time.Time, usable Rights) bool {
	used := l.used(now)
	if used.InFlight >= usable.InFlight || used.Rate >= usable.Rate {
		l.refused++
		return false
	}
	l.inFlight++
	l.starts = append(l.starts, now)
	return true
}
