package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Policy routes the requests of one instance. admission.Machine implements it;
// its methods are documented there.
type Policy interface {
	Begin(e *admission.Snapshot, r admission.Request, now time.Time) *admission.RequestState
	Next(t *admission.RequestState, e *admission.Snapshot, now time.Time) (affinity.Choice, admission.Reason)
	RecordEnd(t *admission.RequestState, c affinity.Choice, r affinity.Result, ran bool, now time.Time)
	CheckRetry(t *admission.RequestState, ran, reached bool, now time.Time) admission.Reason
	RetryAfter(t *admission.RequestState, now time.Time) time.Duration
}

// placementPolicy is a policy that assigns objects to backend servers. The
// leader, the first instance of a region, decides the placements.
type placementPolicy interface {
	Assign(e *admission.Snapshot, r admission.PlacementRequest, version uint64, now time.Time) []assign.Entry
	Balance(e *admission.Snapshot, now time.Time)
	PendingPlacement(t *admission.RequestState, now time.Time) (admission.PlacementRequest, bool)
	MergePlacements(t *admission.RequestState, entries []assign.Entry, now time.Time)
	PlacesVersion() uint64
}

// NewPolicy returns a new policy for an instance.
type NewPolicy func(sim *simulation, instance, zone string) Policy

// Policies lists the policies that can be simulated.
var Policies = []struct {
	Name string
	New  NewPolicy
}{
	{"baseline", newBaseline},
	{"banyandeal", newMachine},
	{"all-knowing", newOracle},
}

// bounds holds the bounds of all deployments.
var bounds = traffic.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5}

// newMachine returns the daemon's policy.
func newMachine(sim *simulation, instance, zone string) Policy {
	return admission.New(admission.Config{
		Instance: instance, Region: sim.regionOf[zone], RegionOf: sim.regionOf, Bounds: bounds,
		Rand: rand.New(rand.NewPCG(sim.rng.Uint64(), 2)),
	})
}

// baseline is a simple forwarding policy. It uses rendezvous hashing over all
// regions with lowered hashes for other regions. It skips backend servers to
// which this instance alone has as many requests in flight as they have slots.
// It never retries.
type baseline struct {
	simulation *simulation
	zone       string
	// inflight counts the requests in flight from this instance by backend
	// server.
	inflight map[string]int
}

// otherRegionFactor lowers the hashes of backend servers in other regions.
const otherRegionFactor = 0.8

func newBaseline(sim *simulation, _, zone string) Policy {
	return &baseline{simulation: sim, zone: zone, inflight: map[string]int{}}
}

// Begin implements Policy.
func (b *baseline) Begin(e *admission.Snapshot, r admission.Request, _ time.Time) *admission.RequestState {
	name := r.Route.Targets[0].Service
	return &admission.RequestState{Request: r, ServiceName: name, Service: e.Services[name], Snapshot: e}
}

// Next implements Policy.
func (b *baseline) Next(t *admission.RequestState, _ *admission.Snapshot, now time.Time) (affinity.Choice, admission.Reason) {
	var best *traffic.Backend
	highest := 0.0
	for _, x := range t.Snapshot.Backends[t.ServiceName] {
		if b.inflight[x.ID] >= x.Slots || now.Before(x.ColdUntil) {
			continue
		}
		score := hrw.Fraction(t.Route.Prefix+t.Object, x.ID)
		if b.simulation.regionOf[x.Zone] != b.simulation.regionOf[b.zone] {
			score *= otherRegionFactor
		}
		if score > highest {
			best, highest = x, score
		}
	}
	if best == nil {
		return affinity.Choice{}, admission.NoneUsable
	}
	b.inflight[best.ID]++
	return affinity.Choice{Backend: best}, ""
}

// RecordEnd implements Policy.
func (b *baseline) RecordEnd(_ *admission.RequestState, c affinity.Choice, _ affinity.Result, _ bool, _ time.Time) {
	b.inflight[c.Backend.ID]--
}

// CheckRetry implements Policy.
func (b *baseline) CheckRetry(*admission.RequestState, bool, bool, time.Time) admission.Reason {
	return admission.AttemptLimit
}

// RetryAfter implements Policy.
func (b *baseline) RetryAfter(*admission.RequestState, time.Time) time.Duration {
	return defaultRetryWait
}

// oracle is a policy that sees the true current state of all backend servers
// and sends each request where its estimated cost is lowest. A policy that has
// to learn from responses cannot know as much, so its score shows how much
// improvement is possible.
type oracle struct {
	baseline
}

func newOracle(sim *simulation, _, zone string) Policy {
	return &oracle{baseline{simulation: sim, zone: zone, inflight: map[string]int{}}}
}

// Next implements Policy.
func (a *oracle) Next(t *admission.RequestState, _ *admission.Snapshot, now time.Time) (affinity.Choice, admission.Reason) {
	sim := a.simulation
	var best *traffic.Backend
	least := math.Inf(1)
	for _, x := range t.Snapshot.Backends[t.ServiceName] {
		b := sim.find(x.ID)
		if b.terminated || b.delisted {
			continue
		}
		if cost := a.cost(t, b); cost < least {
			best, least = x, cost
		}
	}
	if best == nil {
		return affinity.Choice{}, admission.NoneUsable
	}
	return affinity.Choice{Backend: best}, ""
}

// cost returns the estimated time to the response in seconds. It also includes
// the time that a run on an uncached object takes from later requests.
func (a *oracle) cost(t *admission.RequestState, b *backend) float64 {
	sim := a.simulation
	k := sim.kindByName(t.Route.Name)
	run := k.RunTime.Seconds() * k.WarmFactor * b.slowness
	coldCost := 0.0
	if _, warm := b.lastRuns[k.Name+t.Object]; !warm {
		coldCost = k.RunTime.Seconds() * (1 - k.WarmFactor) * b.slowness
	}
	if sim.now < b.coldUntil {
		run *= b.service.ColdFactor
	}
	queuedAhead := float64(max(0, b.running+len(b.queue)-b.service.Slots+1))
	wait := queuedAhead / float64(b.service.Slots) * k.RunTime.Seconds() * k.WarmFactor
	failure := b.shedShare * k.Objective.Seconds()
	return sim.rtt(a.zone, b.Zone).Seconds() + wait + run + 2*coldCost + failure
}

// kindByName returns the kind with the given name, or nil if there is none.
func (sim *simulation) kindByName(name string) *RequestKind {
	for i := range sim.deployment.Kinds {
		if sim.deployment.Kinds[i].Name == name {
			return &sim.deployment.Kinds[i]
		}
	}
	return nil
}
