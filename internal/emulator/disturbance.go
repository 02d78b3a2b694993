package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
)

// applyDisturbance starts a disturbance and schedules its end.
func (sim *simulation) applyDisturbance(t Disturbance, newPolicy NewPolicy) {
	switch t.Kind {
	case Burst:
		sim.applyBurst(t)
	case MoveCallers:
		zone := sim.disturbedZone(t)
		to := sim.zones[(slices.Index(sim.zones, zone)+1)%len(sim.zones)]
		sim.callerShifts[zone] = callerShift{to: to, share: t.Share}
		sim.after(t.ActiveFor, func() { delete(sim.callerShifts, zone) })
	case Evacuate:
		sim.evacuate(sim.disturbedZone(t), t.ActiveFor)
	case Crash:
		sim.crash(sim.pickBackends(t), t.ActiveFor)
	case Slow:
		sim.impair(t, func(b *backend) { b.slowness = t.Factor }, func(b *backend) { b.slowness = 1 })
	case Shed:
		sim.impair(t, func(b *backend) { b.shedShare = t.Factor }, func(b *backend) { b.shedShare = 0 })
	case Replace:
		sim.replace(sim.pickBackends(t), t.ActiveFor)
	case RestartInstances:
		sim.restart(newPolicy)
	case RepeatCrashing, RepeatCrashingSilently:
		sim.repeatCrashing(t)
	case AskForRest:
		sim.impair(t, func(b *backend) { b.shedShare, b.rest = t.Factor, restLength }, func(b *backend) { b.shedShare, b.rest = 0, 0 })
	case SayLeaving:
		sim.impair(t, func(b *backend) { b.leaving = true }, func(b *backend) { b.leaving = false })
	case NameLimits:
		sim.nameLimits(t)
	}
}

// restart replaces the policies of all instances. The new policies know only
// the placements and the request limits, which a real instance would read from the store.
func (sim *simulation) restart(newPolicy NewPolicy) {
	for _, z := range sim.zones {
		for _, i := range sim.instances[z] {
			old := i.policy
			i.policy = newPolicy(sim, i.name, z)
			if before, ok := old.(placementPolicy); ok {
				kept := before.Assign(i.snapshot, admission.PlacementRequest{}, 0, sim.clock())
				i.policy.(placementPolicy).MergePlacements(nil, kept, sim.clock())
			}
			if p, ok := i.policy.(limitPolicy); ok {
				p.Limits().Merge(slices.Collect(maps.Values(sim.limitRows)), limit.Whole, sim.clock())
			}
		}
	}
}

// applyBurst raises the request rate in the affected zones and schedules the
// reset.
func (sim *simulation) applyBurst(t Disturbance) {
	region := ""
	if t.Zone != "" {
		region = sim.regionOf[sim.disturbedZone(t)]
	}
	for _, z := range sim.zones {
		if region == "" || sim.regionOf[z] == region {
			sim.rateFactor[z] = t.Factor
			sim.after(t.ActiveFor, func() { sim.rateFactor[z] = 1 })
		}
	}
}

// disturbedZone returns the zone of the disturbance, or a random one if it
// names none or AnyZone.
func (sim *simulation) disturbedZone(t Disturbance) string {
	if t.Zone != "" && t.Zone != AnyZone {
		return t.Zone
	}
	return sim.zones[sim.rng.IntN(len(sim.zones))]
}

// pickBackends returns a random selection of the affected backend servers, at
// least one.
func (sim *simulation) pickBackends(t Disturbance) []*backend {
	service := t.Service
	if service == "" {
		service = sim.deployment.Services[0].Name
	}
	var list []*backend
	for _, b := range sim.backends {
		if b.Service == service && !b.delisted {
			list = append(list, b)
		}
	}
	sim.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(1, int(t.Share*float64(len(list))+0.5))]
}

// impair applies begin to the affected backend servers and schedules end.
func (sim *simulation) impair(t Disturbance, begin, end func(*backend)) {
	for _, b := range sim.pickBackends(t) {
		begin(b)
		sim.after(t.ActiveFor, func() { end(b) })
	}
}

// evacuate delists the backend servers of a zone for the duration d. They are
// cold afterwards.
func (sim *simulation) evacuate(zone string, d time.Duration) {
	for _, b := range sim.backends {
		if b.Zone == zone {
			b.delisted = true
		}
	}
	sim.publish(propagationDelay)
	sim.after(d, func() {
		for _, b := range sim.backends {
			if b.Zone == zone && !b.terminated {
				b.delisted = false
				b.coldUntil = sim.now + b.service.ColdStart
			}
		}
		sim.publish(propagationDelay)
	})
}

// crash ends the processes of backend servers. Cold ones replace them after the
// duration d.
func (sim *simulation) crash(list []*backend, d time.Duration) {
	for _, b := range list {
		b.terminate(sim)
	}
	delist := func() {
		for _, b := range list {
			b.delisted = true
		}
	}
	sim.after(lapseDelay, func() {
		delist()
		sim.publish(0)
	})
	sim.after(d, func() {
		delist()
		for _, b := range list {
			sim.addBackend(b.service, b.Zone).coldUntil = sim.now + b.service.ColdStart
		}
		sim.publish(propagationDelay)
	})
}

// replace starts a new backend server for each one of the list, spread over the
// duration d. The old one is delisted and finishes its requests.
func (sim *simulation) replace(list []*backend, d time.Duration) {
	for n, b := range list {
		sim.after(d*time.Duration(n)/time.Duration(len(list)), func() {
			sim.addBackend(b.service, b.Zone).coldUntil = sim.now + b.service.ColdStart
			b.delisted = true
			sim.publish(propagationDelay)
		})
	}
}
