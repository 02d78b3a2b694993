package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// choose returns the backend server for a request. Three kinds get it only if no other may:
// one whose limit has ended a moment ago and to which the object has not returned, one whose
// connection has broken a moment ago, and one that has asked for rest and may be tried.
func (m *Machine) choose(req *RequestState, query affinity.Query, now time.Time) (affinity.Choice, bool) {
	available := func(b *traffic.Backend) bool {
		return m.rests.State(identityOf(b), now).Available() && m.allows(req, b, now)
	}
	passes := []func(*traffic.Backend) bool{
		func(b *traffic.Backend) bool { return m.returned(req, b, now) && available(b) },
	}
	if !m.restarts.Empty() {
		usual := passes[0]
		settled := func(b *traffic.Backend) bool { return !m.restarts.Unsettled(identityOf(b)) && usual(b) }
		passes = slices.Insert(passes, 0, settled)
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
	if req.Isolation != nil && req.Isolation.Confined {
		return m.chooseConfined(req, query, passes, now)
	}
	return m.chooseInTurn(query, passes, now)
}

// chooseInTurn returns the choice among the backend servers that the first of the passes
// allows which allows any.
func (m *Machine) chooseInTurn(query affinity.Query, passes []func(*traffic.Backend) bool, now time.Time) (affinity.Choice, bool) {
	for _, allows := range passes {
		query.Allows = allows
		if found, ok := m.balancer.Choose(query, now); ok {
			return found, ok
		}
	}
	return affinity.Choice{}, false
}

// chooseConfined is choose for a confined request. It goes to the few backend servers for
// suspects, and to others only if one of these is up but full or may not get it. While all
// of them are down, it goes nowhere: suspects have ended them.
func (m *Machine) chooseConfined(req *RequestState, query affinity.Query, passes []func(*traffic.Backend) bool, now time.Time) (affinity.Choice, bool) {
	few := query
	few.Backends = forSuspects(query.Backends)
	found, ok := m.chooseInTurn(few, passes, now)
	if ok && found.Wait <= m.maxWait(req, now) {
		return found, ok
	}
	if _, up := m.balancer.Choose(few, now); !up {
		return affinity.Choice{}, false
	}
	return m.chooseInTurn(query, passes, now)
}

const (
	// suspectShare is the share of a service's backend servers that get suspects, at least
	// minForSuspects of them. It bounds how many are down because of suspects.
	suspectShare   = 1.0 / 6
	minForSuspects = 2
	// suspectsKey ranks the backend servers of a service.
	suspectsKey = "suspects"
)

// forSuspects returns the backend servers that get suspects, the same ones at all instances
// that know the same backend servers. Those that are down are among them. They are in as many
// availability zones as possible, so that the loss of one does not leave suspects without any.
func forSuspects(all []*traffic.Backend) []*traffic.Backend {
	count := max(minForSuspects, int(math.Ceil(suspectShare*float64(len(all)))))
	if count >= len(all) {
		return all
	}
	ranked := slices.SortedFunc(slices.Values(all), func(a, b *traffic.Backend) int {
		return cmp.Or(cmp.Compare(hrw.Fraction(suspectsKey, a.ID), hrw.Fraction(suspectsKey, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	rankInZone, inZone := map[string]int{}, map[string]int{}
	for _, b := range ranked {
		rankInZone[b.ID] = inZone[b.Zone]
		inZone[b.Zone]++
	}
	slices.SortStableFunc(ranked, func(a, b *traffic.Backend) int { return cmp.Compare(rankInZone[a.ID], rankInZone[b.ID]) })
	return ranked[:count]
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
	case req.Isolation != nil && req.Isolation.Confined:
		return Confined
	}
	return NoneUsable
}
