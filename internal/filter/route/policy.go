package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/retry"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

// Policy is how places are chosen and retries bounded. What a place may take
// in all, by slots or by the cap of a link, is not for a policy to say.
type Policy interface {
	// choose returns the next place for the request; the lock of seen is held.
	choose(s *search, now time.Time) (place, bool)
	// retries returns the bounds of the service's further attempts, and after
	// how long an idempotent one is hedged, 0 for never.
	retries(s *estate.Service) (budget retry.BudgetConfig, hedgeAfter time.Duration)
	// patience is how long a request waits while no place has room.
	patience(s *estate.Service) time.Duration
}

// Limits of the budget of retries of one service at one instance.
const (
	// budgetMinRate is in tokens per second.
	budgetMinRate = 1
	budgetBurst   = 10
)

// Steered chooses by load: the backend servers owned here, a neighbour in the
// zone, or the first of the other zones in the caller's order that can have a
// free slot. Retries and hedges have a budget.
type Steered struct{}

func (Steered) choose(s *search, now time.Time) (place, bool) {
	if !s.seen.own {
		if free, _ := s.Slots.Free(s.r.Service.Name); free > 0 && s.r.Avoid.Len() < ownAttempts {
			return s.here(), true
		}
		s.seen.own = true
	}
	return s.elsewhere(now)
}

func (Steered) retries(s *estate.Service) (retry.BudgetConfig, time.Duration) {
	return retry.BudgetConfig{Share: s.Retry.BudgetShare, MinRate: budgetMinRate, Burst: budgetBurst}, s.HedgeAfter
}

// patience is the mean time of a request: by then some slot has come free,
// unless there is more work than can be carried.
func (Steered) patience(s *estate.Service) time.Duration { return s.MeanTime }

// Baseline is the plain policy that Steered is measured against: an instance
// of the zone drawn by the slots it owns, another zone drawn by its configured
// weight when none is left, whatever is known of their load. Retries have no
// budget, and nothing is hedged.
type Baseline struct{}

func (Baseline) choose(s *search, _ time.Time) (place, bool) {
	if p, ok := s.drawInZone(); ok || s.snap.Estate == nil || s.r.Stage == filter.StageZone {
		return p, ok
	}
	return s.drawZone()
}

func (Baseline) retries(*estate.Service) (retry.BudgetConfig, time.Duration) {
	return retry.BudgetConfig{Share: 1, MinRate: math.MaxInt32, Burst: math.MaxInt32}, 0
}

func (Baseline) patience(*estate.Service) time.Duration { return 0 }

// weightUnit is the scale of a zone's weight.
const weightUnit = 1_000_000

// drawInZone draws an instance of the zone by the slots it owns.
func (s *search) drawInZone() (place, bool) {
	service := s.r.Service.Name
	var names []string
	var weights []int64
	if _, slots := s.Slots.Free(service); !s.seen.own && s.r.Avoid.Len() < ownAttempts {
		names, weights = append(names, s.snap.Self.ID), append(weights, int64(slots))
	}
	home, _ := s.snap.ZoneOf(s.snap.Zone)
	for _, p := range s.neighbours(home) {
		names, weights = append(names, p.Name), append(weights, int64(p.Slots))
	}
	name, ok := balance.ChooseByWeight(names, weights, rand.Uint64())
	if !ok {
		return place{}, false
	}
	if name == s.snap.Self.ID {
		return s.here(), true
	}
	return s.neighbour(find(home, name)), true
}

// drawZone draws another zone by its configured weight, and an instance of it.
func (s *search) drawZone() (place, bool) {
	var names []string
	var weights []int64
	for i := range s.snap.Zones {
		z := &s.snap.Zones[i]
		if s.open(z) {
			names = append(names, z.Name)
			weights = append(weights, int64(s.r.Service.Weights[z.Name]*weightUnit))
		}
	}
	name, ok := balance.ChooseByWeight(names, weights, rand.Uint64())
	if !ok {
		return place{}, false
	}
	z, _ := s.snap.ZoneOf(name)
	in := s.drawInstance(z)
	if in == nil {
		s.seen.zones[name] = perZone
		return s.drawZone()
	}
	return s.zone(z, in), true
}

// drawInstance draws any instance of the zone that was not tried, or nil.
func (s *search) drawInstance(z snapshot.Zone) *snapshot.Instance {
	first := rand.IntN(len(z.Instances))
	for i := range z.Instances {
		in := &z.Instances[(first+i)%len(z.Instances)]
		if !s.seen.instances[in.ID] {
			return in
		}
	}
	return nil
}
