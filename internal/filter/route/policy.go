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

// Policy chooses destinations and limits retries. It does not decide how many
// requests a destination accepts: slots and the caps of links limit that under
// every policy.
type Policy interface {
	// choose returns the next destination for the request, or false if none is
	// left. The caller holds the lock of s.tried.
	choose(s *search, now time.Time) (destination, bool)
	// retryPolicy returns the retry budget of the service and the delay after
	// which an idempotent request is hedged; 0 means never.
	retryPolicy(s *estate.Service) (budget retry.BudgetConfig, hedgeAfter time.Duration)
	// maxWait returns how long a request waits if no destination has capacity.
	maxWait(s *estate.Service) time.Duration
}

// Limits of the retry budget of one service at one instance.
const (
	// budgetMinRate is the minimum refill rate in tokens per second.
	budgetMinRate = 1
	// budgetBurst is the maximum number of tokens.
	budgetBurst = 10
)

// Steered is the policy that chooses by load. It prefers the backend servers that
// this instance owns, then another instance of the zone, then the first zone in
// the caller's order that may have a free slot. Retries and hedges are limited by
// a budget.
type Steered struct{}

func (Steered) choose(s *search, now time.Time) (destination, bool) {
	if !s.tried.ownBackends {
		if free, _ := s.Slots.Free(s.request.Service.Name); free > 0 && s.request.ExcludedBackends.Len() < maxOwnAttempts {
			return s.toOwnBackends(), true
		}
		s.tried.ownBackends = true
	}
	return s.chooseRemote(now)
}

func (Steered) retryPolicy(s *estate.Service) (retry.BudgetConfig, time.Duration) {
	return retry.BudgetConfig{Share: s.Retry.BudgetShare, MinRate: budgetMinRate, Burst: budgetBurst}, s.HedgeAfter
}

// maxWait returns the mean request time of the service. A slot becomes free
// within that time unless the service is overloaded.
func (Steered) maxWait(svc *estate.Service) time.Duration { return svc.MeanTime }

// Baseline is the simple policy that Steered is compared with in measurements. It
// chooses a random instance of the zone, weighted by the slots that each instance
// owns, and if none is left another zone by its configured weight. It ignores
// load, does not limit retries by a budget and does not hedge.
type Baseline struct{}

func (Baseline) choose(s *search, _ time.Time) (destination, bool) {
	if dest, ok := s.randomInZone(); ok || s.snap.Estate == nil || s.request.Stage == filter.StageZone {
		return dest, ok
	}
	return s.randomZone()
}

func (Baseline) retryPolicy(*estate.Service) (retry.BudgetConfig, time.Duration) {
	return retry.BudgetConfig{Share: 1, MinRate: math.MaxInt32, Burst: math.MaxInt32}, 0
}

func (Baseline) maxWait(*estate.Service) time.Duration { return 0 }

// weightScale is the factor by which a zone's configured weight is multiplied to
// get an integer.
const weightScale = 1_000_000

// randomInZone returns a random untried instance of this instance's zone,
// weighted by the slots that each instance owns.
func (s *search) randomInZone() (destination, bool) {
	service := s.request.Service.Name
	var names []string
	var weights []int64
	if _, slots := s.Slots.Free(service); !s.tried.ownBackends && s.request.ExcludedBackends.Len() < maxOwnAttempts {
		names, weights = append(names, s.snap.Self.ID), append(weights, int64(slots))
	}
	ownZone, _ := s.snap.ZoneOf(s.snap.Zone)
	for _, p := range s.neighbours(ownZone) {
		names, weights = append(names, p.Name), append(weights, int64(p.Slots))
	}
	name, ok := balance.ChooseByWeight(names, weights, rand.Uint64())
	if !ok {
		return destination{}, false
	}
	if name == s.snap.Self.ID {
		return s.toOwnBackends(), true
	}
	return s.toNeighbour(findInstance(ownZone, name)), true
}

// randomZone returns a random untried instance of another zone, which is chosen
// by its configured weight.
func (s *search) randomZone() (destination, bool) {
	var names []string
	var weights []int64
	for i := range s.snap.Zones {
		z := &s.snap.Zones[i]
		if s.zoneEligible(z) {
			names = append(names, z.Name)
			weights = append(weights, int64(s.request.Service.Weights[z.Name]*weightScale))
		}
	}
	name, ok := balance.ChooseByWeight(names, weights, rand.Uint64())
	if !ok {
		return destination{}, false
	}
	z, _ := s.snap.ZoneOf(name)
	inst := s.randomInstance(z)
	if inst == nil {
		s.tried.zones[name] = maxInstancesPerZone
		return s.randomZone()
	}
	return s.toZone(z, inst), true
}

// randomInstance returns a random untried instance of the zone, or nil if there
// is none. The zone must have an instance.
func (s *search) randomInstance(z snapshot.Zone) *snapshot.Instance {
	start := rand.IntN(len(z.Instances))
	for i := range z.Instances {
		inst := &z.Instances[(start+i)%len(z.Instances)]
		if !s.tried.instances[inst.ID] {
			return inst
		}
	}
	return nil
}
