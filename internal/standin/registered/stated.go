package registered

import (
	"slices"
	"strconv"
	"time"
)

// LimitPeriod is a time in which a backend server stated one request limit.
type LimitPeriod struct {
	PerSecond float64
	// To is zero while the period lasts.
	From, To time.Time
}

// SetAct sets how requests are treated.
func (b *Backend) SetAct(f func(a *Arrival) Act) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.act = f
}

// SetLimits sets the request limits that responses state from now on, normally one number.
// Without limits, responses state none.
func (b *Backend) SetLimits(limits ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLimits(limits)
}

// setLimits is SetLimits for a caller that holds b.mu.
func (b *Backend) setLimits(limits []string) {
	now := time.Now()
	if n := len(b.limitPeriods); n > 0 && b.limitPeriods[n-1].To.IsZero() {
		b.limitPeriods[n-1].To = now
	}
	b.limits = limits
	if len(limits) != 1 {
		return
	}
	if perSecond, err := strconv.ParseFloat(limits[0], 64); err == nil {
		b.limitPeriods = append(b.limitPeriods, LimitPeriod{PerSecond: perSecond, From: now})
	}
}

// LimitPeriods returns the times in which responses stated one valid request limit. A crash
// ends them.
func (b *Backend) LimitPeriods() []LimitPeriod {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.limitPeriods)
}

// SetRest turns away one request of so many from now on, with the given Retry-After; 0
// turns none away. A crash ends it.
func (b *Backend) SetRest(retryAfter string, every int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryAfter, b.restEvery = retryAfter, every
}

// SayLeaving makes all responses say that the backend server leaves, whatever its entry
// says. A crash ends it.
func (b *Backend) SayLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saysLeaving = true
}

// asksForRest reports whether the newest request is turned away for a rest. The caller
// holds b.mu.
func (b *Backend) asksForRest() bool { return b.restEvery > 0 && len(b.arrivals)%b.restEvery == 0 }

// forgetRequests forgets what responses ask of instances. The caller holds b.mu.
func (b *Backend) forgetRequests() {
	b.setLimits(nil)
	b.restEvery, b.saysLeaving = 0, false
}

// statedHeaders returns the header lines with which a response to a request states what
// the backend server asks of instances, and notes it with the arrival.
func (b *Backend) statedHeaders(a *Arrival, turnedAway bool) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := ""
	if turnedAway && b.restEvery > 0 {
		a.RetryAfter = b.retryAfter
		lines += "Retry-After: " + b.retryAfter + "\r\n"
	}
	if b.saysLeaving {
		a.Leaving = true
		lines += "Server-Leaving: 1\r\n"
	}
	a.Answered = time.Now()
	for _, limit := range b.limits {
		lines += "Server-Limit: " + limit + "\r\n"
	}
	return lines
}
