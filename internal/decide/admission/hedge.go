package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
)

const (
	// hedgePatience is how many times its longest expected time an attempt lasts before a second
	// one may begin beside it.
	hedgePatience = 1.25
	// hedgeMargin is how many times the expected time of the second attempt must be left.
	hedgeMargin = 1.1
)

// mayHedge reports whether another attempt of a request may begin beside those in flight, which
// may run too.
func (r *RequestState) mayHedge() bool {
	return r.Route.Kind.Idempotent() && r.Isolation == nil && r.runs+r.inFlight < r.Route.MaxAttempts && r.Sends < maxSends
}

// HedgeDelay returns how long an attempt lasts at the longest unless its backend server is
// disturbed or its response is lost: the object may have to be loaded. It returns false if no
// second attempt may begin beside this one.
func (m *Machine) HedgeDelay(req *RequestState, c affinity.Choice) (time.Duration, bool) {
	if !req.mayHedge() {
		return 0, false
	}
	p := req.query.Profile
	longest := max(c.Expected, m.balancer.RoundTrip(c.Backend.Zone)+c.Wait+p.Cold+p.Transfer)
	return time.Duration(hedgePatience * float64(longest)), true
}

// Hedge returns the backend server for a second attempt beside the first one, which has not
// ended in time; the second attempt then counts as sent and against the retry budget. The backend
// server is another one if that can still respond in time, and otherwise the same one, which has
// loaded the object: its response may only have been lost. It returns false if neither can, if
// there is a queue, which a second attempt would lengthen, or if the budget is empty.
func (m *Machine) Hedge(req *RequestState, first affinity.Choice, snapshot *Snapshot, now time.Time) (affinity.Choice, bool) {
	if !req.mayHedge() {
		return affinity.Choice{}, false
	}
	m.renew(req, snapshot, now)
	left := time.Duration(float64(req.Deadline.Sub(now)) / hedgeMargin)
	choice, ok := m.otherInTime(req, left, now)
	if !ok {
		choice, ok = m.sameInTime(req, first, left, now)
	}
	if !ok || !m.budget(req.ServiceName, now).Take(now) {
		return affinity.Choice{}, false
	}
	m.recordSent(req, choice, req.query, now)
	return choice, true
}

// otherInTime returns another backend server that is expected to respond within left.
func (m *Machine) otherInTime(req *RequestState, left time.Duration, now time.Time) (affinity.Choice, bool) {
	choice, ok := m.choose(req, req.query, now)
	if !ok || choice.Wait > 0 {
		return choice, false
	}
	expected := choice.Expected
	if !choice.Warm {
		expected += req.query.Profile.Cold - req.query.Profile.Warm
	}
	return choice, expected <= left
}

// sameInTime returns the backend server of the first attempt if it is expected to respond within
// left and may still get requests.
func (m *Machine) sameInTime(req *RequestState, first affinity.Choice, left time.Duration, now time.Time) (affinity.Choice, bool) {
	for _, b := range req.query.Backends {
		if identityOf(b) != identityOf(first.Backend) {
			continue
		}
		if !m.rests.State(identityOf(b), now).Available() || !m.allows(req, b, now) {
			return affinity.Choice{}, false
		}
		choice := m.balancer.Again(req.query, b, now)
		return choice, choice.Wait == 0 && choice.Expected <= left
	}
	return affinity.Choice{}, false
}
