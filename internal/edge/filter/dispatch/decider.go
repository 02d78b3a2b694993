package dispatch

import (
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/rest"
	"github.com/banyandeal/banyandeal/internal/decide/restart"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/random"
)

// Decider makes an admission.Machine safe for concurrent use. It guards the
// machine by a mutex and passes the current time and the current view to it.
type Decider struct {
	settings *traffic.Settings
	control  *control.Control
	// clockZero returns when the clock was zero that all instances share.
	clockZero func() time.Time
	observer  Observer

	mu      sync.Mutex
	machine *admission.Machine
	// view is the view that snapshot was built from.
	view *control.View
	// snapshot caches the result of snapshotOf for view.
	snapshot *admission.Snapshot
}

// Observer is told what backend servers have said of themselves. Its methods must not block.
type Observer interface {
	// LimitChanged reports a change of a request limit, which so many instances share.
	LimitChanged(c limit.Change, instances int)
	// RestChanged reports the beginning or the end of a rest, or that a backend server
	// leaves.
	RestChanged(c rest.Change)
	// RestartChecked reports what a health check has told of a backend server whose connection
	// broke, or that one has become cold, or is no longer, while the store cannot be read.
	RestartChecked(c restart.Change)
}

// NewDecider returns a Decider without load observations or placements. clockZero returns
// when the clock was zero that all instances share, or the zero time if it is unknown.
func NewDecider(s *traffic.Settings, c *control.Control, clockZero func() time.Time, observer Observer, r *random.Source) *Decider {
	return &Decider{settings: s, control: c, clockZero: clockZero, observer: observer, machine: admission.New(admission.Config{
		Instance: s.Instance, Region: s.Region, Zone: s.Zone, RegionOf: s.RegionOf, Bounds: s.Bounds,
		Rand: r.Fork(),
	})}
}

func (d *Decider) begin(ex *gateway.Exchange) *admission.RequestState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Begin(d.snapshotOf(ex.View), admission.Request{
		ID: ex.ID, Object: ex.Object, Route: ex.Route, Account: ex.Account,
		Received: ex.Received, Deadline: ex.Deadline, CallerDeadline: ex.CallerDeadline,
		PriorRuns: priorRuns(ex.Handover),
	}, time.Now())
}

// priorRuns returns how many backend servers may have run a request before it arrived here.
func priorRuns(h *ingress.Handover) int {
	if h == nil {
		return 0
	}
	return h.Runs
}

// Forgive ends the avoidance of all backend servers after this instance could not reach them.
func (d *Decider) Forgive() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Forgive()
}

// snapshotOf returns the part of a view that the machine needs. The caller holds
// mu, and v has a configuration.
func (d *Decider) snapshotOf(v *control.View) *admission.Snapshot {
	if d.view == v {
		return d.snapshot
	}
	s := &admission.Snapshot{Services: v.Config.Services, Backends: v.Backends, Instances: len(v.Members), Members: v.Members, ClockZero: d.clockZero()}
	for _, m := range v.Members {
		if d.settings.RegionOf[m.Zone] == d.settings.Region {
			s.RegionInstances++
		}
		if m.Zone == d.settings.Zone {
			s.ZoneInstances++
		}
	}
	d.view, d.snapshot = v, s
	return s
}

// usable reports whether a backend server may still get requests.
func (d *Decider) usable(b *traffic.Backend) bool { return d.control.View().Usable(b) }

// next returns the backend server for the next attempt as the newest configuration decides,
// or the reason why there is none. A wait for a permit or an earlier attempt may have taken
// as long as the timeout of the route.
func (d *Decider) next(ex *gateway.Exchange, state *admission.RequestState) (affinity.Choice, admission.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.control.View()
	if v.Config != ex.View.Config {
		if denial := d.follow(ex, state, v); denial != "" {
			return affinity.Choice{}, denial
		}
	}
	return d.machine.Next(state, d.snapshotOf(v), time.Now())
}

// hedgeDelay returns how long the attempt of a choice lasts before a second one may begin beside
// it, or false if none may.
func (d *Decider) hedgeDelay(state *admission.RequestState, c affinity.Choice) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.HedgeDelay(state, c)
}

// hedge returns the backend server for a second attempt beside the first. There is none after a
// change of the configuration, which may concern the request.
func (d *Decider) hedge(ex *gateway.Exchange, state *admission.RequestState, first affinity.Choice) (affinity.Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.control.View()
	if v.Config != ex.View.Config {
		return affinity.Choice{}, false
	}
	return d.machine.Hedge(state, first, d.snapshotOf(v), time.Now())
}

// follow moves a request on to the configuration of a newer view. It returns the reason why
// the request may not be sent any more, or an empty reason. The caller holds mu.
func (d *Decider) follow(ex *gateway.Exchange, state *admission.RequestState, v *control.View) admission.Reason {
	match := admission.Match{Route: v.Config.Match(ex.Host, ex.Target)}
	if match.Route != nil {
		account, ok := v.Config.Account(match.Route, ex.Credential)
		match.Account, match.Unauthorized = account, !ok
	}
	denial := d.machine.Follow(state, d.snapshotOf(v), match, time.Now())
	ex.View, ex.Deadline, ex.Outcome.Service = v, state.Deadline, state.ServiceName
	if match.Route != nil {
		ex.Route, ex.Account = match.Route, match.Account
	}
	return denial
}

func (d *Decider) recordEnd(state *admission.RequestState, c affinity.Choice, r affinity.Result, mayHaveRun bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.RecordEnd(state, c, r, mayHaveRun, time.Now())
}

// observeLimit records what a response states about the request limit of its backend
// server.
func (d *Decider) observeLimit(b *traffic.Backend, s limit.Statement, sent time.Time) {
	d.withLimits(func(t *limit.Table, now time.Time) {
		t.Observe(identityOf(b), s, sent, now)
	})
}

// observeRest records what a response says of a rest or a leaving of its backend server.
func (d *Decider) observeRest(b *traffic.Backend, s rest.Statement) {
	d.withRests(func(t *rest.Table, now time.Time) { t.Observe(identityOf(b), s, now) })
}

// withRests calls f with the table of rests, and then reports its changes.
func (d *Decider) withRests(f func(t *rest.Table, now time.Time)) {
	d.mu.Lock()
	f(d.machine.Rests(), time.Now())
	changes := d.machine.Rests().TakeChanges()
	d.mu.Unlock()
	for _, c := range changes {
		d.observer.RestChanged(c)
	}
}

// changedAfter reports whether a backend server may have become cold since it was chosen at a time:
// because a connection to it has broken, or because it was found cold.
func (d *Decider) changedAfter(b *traffic.Backend, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Restarts().ChangedAfter(identityOf(b), at, time.Now())
}

// Restarts calls f with the table of the backend servers that may have become cold before the store
// tells, and then reports its changes.
func (d *Decider) Restarts(f func(t *restart.Table, now time.Time)) {
	d.mu.Lock()
	f(d.machine.Restarts(), time.Now())
	changes := d.machine.Restarts().TakeChanges()
	d.mu.Unlock()
	for _, c := range changes {
		d.observer.RestartChecked(c)
	}
}

// ExpireRests ends the rests of backend servers that are over.
func (d *Decider) ExpireRests() {
	d.withRests(func(t *rest.Table, now time.Time) { t.Expire(now) })
}

// identityOf returns the incarnation of a backend server.
func identityOf(b *traffic.Backend) limit.Backend { return limit.Backend{ID: b.ID, Born: b.Born} }

// withLimits calls f with the table of request limits, and then reports its changes.
func (d *Decider) withLimits(f func(t *limit.Table, now time.Time)) {
	d.mu.Lock()
	f(d.machine.Limits(), time.Now())
	changes := d.machine.Limits().TakeChanges()
	d.mu.Unlock()
	instances := len(d.control.View().Members)
	for _, c := range changes {
		d.observer.LimitChanged(c, instances)
	}
}

// DueLimits implements limits.Table.
func (d *Decider) DueLimits(cleans bool) []limit.Write {
	var due []limit.Write
	instances := len(d.control.View().Members)
	d.withLimits(func(t *limit.Table, now time.Time) { due = t.Due(instances, cleans, now) })
	return due
}

// LimitsWritten implements limits.Table.
func (d *Decider) LimitsWritten(writes []limit.Write, version uint64) {
	d.withLimits(func(t *limit.Table, now time.Time) { t.Written(writes, version, now) })
}

// MergeLimits implements limits.Table.
func (d *Decider) MergeLimits(rows []limit.SharedRow, reading limit.Reading) {
	d.withLimits(func(t *limit.Table, now time.Time) { t.Merge(rows, reading, now) })
}

// LimitedBackends returns the number of backend servers with a request limit.
func (d *Decider) LimitedBackends() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.machine.Limits().Limited(time.Now()))
}

func (d *Decider) checkRetry(state *admission.RequestState, mayHaveRun, reached bool) admission.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.CheckRetry(state, mayHaveRun, reached, time.Now())
}

func (d *Decider) retryAfter(state *admission.RequestState) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.RetryAfter(state, time.Now())
}

func (d *Decider) pendingPlacement(state *admission.RequestState) (admission.PlacementRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.PendingPlacement(state, time.Now())
}

// refreshPlacement looks up the placement of the request's object again.
func (d *Decider) refreshPlacement(state *admission.RequestState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.MergePlacements(state, nil, time.Now())
}

// Assign implements places.PlacementTable. Without a configuration nothing is assigned.
func (d *Decider) Assign(r admission.PlacementRequest, after uint64) []assign.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.control.View()
	if v.Config == nil {
		return nil
	}
	return d.machine.Assign(d.snapshotOf(v), r, after, time.Now())
}

// Merge implements places.PlacementTable.
func (d *Decider) Merge(entries []assign.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.MergePlacements(nil, entries, time.Now())
}

// Adopt implements places.PlacementTable.
func (d *Decider) Adopt(entries []assign.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.AdoptPlacements(entries, time.Now())
}

// Balance implements places.PlacementTable.
func (d *Decider) Balance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.control.View(); v.Config != nil {
		d.machine.Balance(d.snapshotOf(v), time.Now())
	}
}

// TakeOver implements places.PlacementTable.
func (d *Decider) TakeOver() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.TakeOver()
}

// PlacesVersion implements places.PlacementTable.
func (d *Decider) PlacesVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.PlacesVersion()
}
