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

// Policy decides on the requests of one instance; admission.Machine is one.
type Policy interface {
	Begin(e *admission.Snapshot, r admission.Request, now time.Time) *admission.RequestState
	Next(t *admission.RequestState, e *admission.Snapshot, now time.Time) (affinity.Choice, admission.Reason)
	RecordEnd(t *admission.RequestState, c affinity.Choice, r affinity.Result, ran bool, now time.Time)
	CheckRetry(t *admission.RequestState, ran, reached bool, now time.Time) admission.Reason
	RetryAfter(t *admission.RequestState, now time.Time) time.Duration
}

// placer is a policy whose objects have places that one instance of a region
// assigns.
type placer interface {
	Assign(e *admission.Snapshot, r admission.PlacementRequest, version uint64, now time.Time) []assign.Entry
	Balance(e *admission.Snapshot, now time.Time)
	PendingPlacement(t *admission.RequestState, now time.Time) (admission.PlacementRequest, bool)
	MergePlacements(t *admission.RequestState, entries []assign.Entry, now time.Time)
	PlacesVersion() uint64
}

// NewPolicy returns the policy of an instance.
type NewPolicy func(w *world, instance, zone string) Policy

// Policies are those that can be played.
var Policies = []struct {
	Name string
	New  NewPolicy
}{
	{"baseline", newBaseline},
	{"banyandeal", newMachine},
	{"all-knowing", newAllKnowing},
}

// bounds are those of the deployments for further attempts.
var bounds = traffic.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second}

func newMachine(w *world, instance, zone string) Policy {
	return admission.New(admission.Config{
		Instance: instance, Region: w.regionOf[zone], RegionOf: w.regionOf, Bounds: bounds,
		Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
	})
}

// baseline is a plain forwarder: rendezvous hashing over all regions, other
// regions' hashes lowered, those skipped on which this instance alone has as
// many requests as there are slots. It never tries twice.
type baseline struct {
	world    *world
	zone     string
	inflight map[string]int
}

// otherRegion lowers the hash of backend servers of other regions.
const otherRegion = 0.8

func newBaseline(w *world, _, zone string) Policy {
	return &baseline{world: w, zone: zone, inflight: map[string]int{}}
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
		if b.world.regionOf[x.Zone] != b.world.regionOf[b.zone] {
			score *= otherRegion
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
func (b *baseline) RetryAfter(*admission.RequestState, time.Time) time.Duration { return plainWait }

// allKnowing sees the true state of all backend servers at the moment, and sends
// each request where it ends first. No policy that has to learn from answers
// knows as much; its score tells what is left to gain.
type allKnowing struct {
	baseline
}

func newAllKnowing(w *world, _, zone string) Policy {
	return &allKnowing{baseline{world: w, zone: zone, inflight: map[string]int{}}}
}

// Next implements Policy.
func (a *allKnowing) Next(t *admission.RequestState, _ *admission.Snapshot, now time.Time) (affinity.Choice, admission.Reason) {
	w := a.world
	var best *traffic.Backend
	least := math.Inf(1)
	for _, x := range t.Snapshot.Backends[t.ServiceName] {
		b := w.find(x.ID)
		if b.gone || b.hidden {
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

// cost is the time until the answer in seconds, and what a run that does not
// know the object takes from those that come after it.
func (a *allKnowing) cost(t *admission.RequestState, b *backend) float64 {
	w := a.world
	k := w.kind(t.Route.Name)
	run := k.Work.Seconds() * k.WarmShare * b.slowness
	extra := 0.0
	if _, warm := b.known[k.Name+t.Object]; !warm {
		extra = k.Work.Seconds() * (1 - k.WarmShare) * b.slowness
	}
	if w.now < b.coldUntil {
		run *= b.service.ColdFactor
	}
	ahead := float64(max(0, b.running+len(b.queue)-b.service.Slots+1))
	wait := ahead / float64(b.service.Slots) * k.Work.Seconds() * k.WarmShare
	failure := b.shed * k.Objective.Seconds()
	return w.rtt(a.zone, b.Zone).Seconds() + wait + run + 2*extra + failure
}

func (w *world) kind(name string) *Kind {
	for i := range w.deployment.Kinds {
		if w.deployment.Kinds[i].Name == name {
			return &w.deployment.Kinds[i]
		}
	}
	return nil
}
