package emulator

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/limitcheck"
)

// limitSyncInterval is the time between checks of an instance whether it has to write shared
// rows of request limits.
const limitSyncInterval = 200 * time.Millisecond

// limitPolicy is a policy that keeps request limits.
type limitPolicy interface{ Limits() *limit.Table }

// namedLimit is a request limit that a backend server states.
type namedLimit struct {
	backend   *backend
	perSecond float64
	// from and to are simulated times.
	from, to time.Duration
	// arrivals holds when requests arrived.
	arrivals []time.Duration
}

// nameLimits lets backend servers state the limit Factor, in requests per second.
func (sim *simulation) nameLimits(t Disturbance) {
	for _, b := range sim.pickBackends(t) {
		named := &namedLimit{backend: b, perSecond: t.Factor, from: sim.now, to: sim.now + t.ActiveFor}
		b.limit = named
		sim.limits = append(sim.limits, named)
		sim.after(t.ActiveFor, func() { b.limit = nil })
	}
	if !sim.sharesLimits {
		sim.sharesLimits = true
		sim.shareLimits()
	}
}

// statedLimit returns what a response of the backend server states.
func (b *backend) statedLimit() limit.Statement {
	if b.limit == nil {
		return limit.Statement{}
	}
	return limit.Statement{Limited: true, PerSecond: b.limit.perSecond}
}

// observeLimit passes what a response stated to the policy that sent the request.
func (sim *simulation) observeLimit(x *exchange, b *backend, stated limit.Statement, sent time.Duration) {
	if p, ok := x.policy.(limitPolicy); ok {
		p.Limits().Observe(limit.Backend{ID: b.ID, Born: b.Born}, stated, epoch.Add(sent), sim.clock())
	}
}

// shareLimits lets all instances write the shared rows that are due.
func (sim *simulation) shareLimits() {
	for _, z := range sim.zones {
		for _, i := range sim.instances[z] {
			if p, ok := i.policy.(limitPolicy); ok && i.snapshot != nil {
				sim.writeLimits(p.Limits(), i.snapshot.Instances)
			}
		}
	}
	if sim.now < sim.day.Length {
		sim.after(limitSyncInterval, sim.shareLimits)
	}
}

// writeLimits writes the shared rows that are due at an instance, unless another one has
// written them meanwhile.
func (sim *simulation) writeLimits(t *limit.Table, instances int) {
	for _, w := range t.Due(instances, false, sim.clock()) {
		current, exists := sim.limitRows[w.Row.Backend.ID]
		if current.Version != w.Row.Version {
			current.Backend, current.Deleted = w.Row.Backend, !exists
			t.Merge([]limit.SharedRow{current}, limit.Conflict, sim.clock())
			continue
		}
		sim.limitVersion++
		row := w.Row
		row.Version = sim.limitVersion
		t.Written([]limit.Write{w}, row.Version, sim.clock())
		sim.limitRows[row.Backend.ID] = row
		if row.Deleted {
			delete(sim.limitRows, row.Backend.ID)
		}
		sim.after(noticeDelay, func() { sim.deliverLimit(row) })
	}
}

// deliverLimit passes a shared row to all instances.
func (sim *simulation) deliverLimit(row limit.SharedRow) {
	for _, z := range sim.zones {
		for _, i := range sim.instances[z] {
			if p, ok := i.policy.(limitPolicy); ok {
				p.Limits().Merge([]limit.SharedRow{row}, limit.Changes, sim.clock())
			}
		}
	}
}

// limitUse says how a named limit was kept.
type limitUse struct {
	// worst is the largest number of requests in a limitcheck.Window, allowed what the limit
	// allows there.
	worst, allowed int
	// used is the share of the limit that was used.
	used float64
}

// use returns how the limit was kept from limitcheck.Contact after it was named.
func (n *namedLimit) use() limitUse {
	from := n.from + limitcheck.Contact
	var counted []time.Time
	for _, at := range n.arrivals {
		if at >= from && at < n.to {
			counted = append(counted, epoch.Add(at))
		}
	}
	u := limitUse{worst: limitcheck.Most(counted, limitcheck.Window), allowed: limitcheck.Allowed(n.perSecond)}
	if n.perSecond > 0 {
		u.used = float64(len(counted)) / (n.perSecond * (n.to - from).Seconds())
	}
	return u
}
