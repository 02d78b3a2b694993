package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
)

// strike lets a trouble begin and plans its end.
func (w *world) strike(t Trouble, newPolicy NewPolicy) {
	switch t.Kind {
	case Burst:
		w.crowd(t)
	case Shift:
		zone := w.zoneOf(t)
		to := w.zones[(slices.Index(w.zones, zone)+1)%len(w.zones)]
		w.moved[zone] = movement{to: to, share: t.Share}
		w.after(t.For, func() { delete(w.moved, zone) })
	case Evacuate:
		w.evacuate(w.zoneOf(t), t.For)
	case Crash:
		w.crash(w.some(t), t.For)
	case Slow:
		w.afflict(t, func(b *backend) { b.slowness = t.Factor }, func(b *backend) { b.slowness = 1 })
	case Shed:
		w.afflict(t, func(b *backend) { b.shed = t.Factor }, func(b *backend) { b.shed = 0 })
	case Replace:
		w.replace(w.some(t), t.For)
	case Restart:
		w.restart(newPolicy)
	}
}

// restart replaces all policies by new ones, which know no more than the places
// that the store has kept.
func (w *world) restart(newPolicy NewPolicy) {
	for _, z := range w.zones {
		for n, i := range w.instances[z] {
			old := i.policy
			i.policy = newPolicy(w, fmt.Sprintf("%s-%d-restarted", z, n), z)
			if before, ok := old.(placer); ok {
				kept := before.Assign(i.estate, admission.PlacementRequest{}, 0, w.clock())
				i.policy.(placer).MergePlacements(nil, kept, w.clock())
			}
		}
	}
}

func (w *world) crowd(t Trouble) {
	region := ""
	if t.Zone != "" {
		region = w.regionOf[w.zoneOf(t)]
	}
	for _, z := range w.zones {
		if region == "" || w.regionOf[z] == region {
			w.burst[z] = t.Factor
			w.after(t.For, func() { w.burst[z] = 1 })
		}
	}
}

func (w *world) zoneOf(t Trouble) string {
	if t.Zone != "" && t.Zone != AnyZone {
		return t.Zone
	}
	return w.zones[w.rng.IntN(len(w.zones))]
}

// some returns the share of the backend servers that the trouble happens to, one
// at least.
func (w *world) some(t Trouble) []*backend {
	service := t.Service
	if service == "" {
		service = w.deployment.Services[0].Name
	}
	var list []*backend
	for _, b := range w.backends {
		if b.Service == service && !b.hidden {
			list = append(list, b)
		}
	}
	w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(1, int(t.Share*float64(len(list))+0.5))]
}

func (w *world) afflict(t Trouble, begin, end func(*backend)) {
	for _, b := range w.some(t) {
		begin(b)
		w.after(t.For, func() { end(b) })
	}
}

// evacuate hides the backend servers of a zone; they are cold afterwards.
func (w *world) evacuate(zone string, d time.Duration) {
	for _, b := range w.backends {
		if b.Zone == zone {
			b.hidden = true
		}
	}
	w.publish(lag)
	w.after(d, func() {
		for _, b := range w.backends {
			if b.Zone == zone && !b.gone {
				b.hidden = false
				b.coldUntil = w.now + b.service.ColdStart
			}
		}
		w.publish(lag)
	})
}

// crash ends backend servers; new ones come after a while, cold.
func (w *world) crash(list []*backend, d time.Duration) {
	for _, b := range list {
		b.hidden = true
		b.end(w)
	}
	// Silence is noticed by the platform after several heartbeats.
	w.publish(4 * lag)
	w.after(d, func() {
		for _, b := range list {
			w.addBackend(b.service, b.Zone).coldUntil = w.now + b.service.ColdStart
		}
		w.publish(lag)
	})
}

// replace starts a new backend server for each of the list, then lets the old
// one finish.
func (w *world) replace(list []*backend, d time.Duration) {
	for n, b := range list {
		w.after(d*time.Duration(n)/time.Duration(len(list)), func() {
			w.addBackend(b.service, b.Zone).coldUntil = w.now + b.service.ColdStart
			b.hidden = true
			w.publish(lag)
		})
	}
}
