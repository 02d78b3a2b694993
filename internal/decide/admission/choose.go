package admission

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// choose returns the backend server for a request. Two kinds get it only if no other may:
// one whose limit has ended a moment ago and to which the object has not returned, and one
// that has asked for rest and may be tried.
func (m *Machine) choose(req *RequestState, query affinity.Query, now time.Time) (affinity.Choice, bool) {
	available := func(b *traffic.Backend) bool {
		return m.rests.State(identityOf(b), now).Available() && m.allows(req, b, now)
	}
	passes := []func(*traffic.Backend) bool{
		func(b *traffic.Backend) bool { return m.returned(req, b, now) && available(b) },
	}
	if req.Isolation != nil {
		// Grants differ between instances, which are to choose the same backend server.
		unpaced := func(b *traffic.Backend) bool { return !m.isPaced(req.Service, b, now) && available(b) }
		passes = slices.Insert(passes, 0, unpaced)
	}
	if !m.limits.Empty() {
		passes = append(passes, available)
	}
	if !m.rests.Empty() {
		mayTry := func(b *traffic.Backend) bool { return m.rests.MayTry(identityOf(b), now) && m.allows(req, b, now) }
		passes = append(passes, mayTry)
	}
	for _, allows := range passes {
		query.Allows = allows
		if found, ok := m.balancer.Choose(query, now); ok {
			return found, ok
		}
	}
	return affinity.Choice{}, false
}

// noneUsable returns why no backend server can get the request.
func (m *Machine) noneUsable(req *RequestState, now time.Time) Reason {
	req.Limitation, req.RestingBackend = m.limitation(req, now), m.restingBackend(req, now)
	switch {
	case req.RestingBackend != nil && (req.Limitation == nil || req.RestingBackend.Left < req.Limitation.FreeIn):
		req.slotFreeIn = req.RestingBackend.Left
		return Resting
	case req.Limitation != nil:
		req.slotFreeIn = req.Limitation.FreeIn
		return Limited
	}
	return NoneUsable
}
