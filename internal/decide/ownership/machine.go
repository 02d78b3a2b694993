package ownership

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/cas"
	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Machine is the state machine of one instance for its own zone. It is not safe
// for concurrent use.
type Machine struct {
	cfg Config
	row *cas.Row
	// rowValue is the newest row, decoded. Its assignments are sorted.
	rowValue RowValue
	// undecodable is set while the newest row cannot be decoded. Nothing is
	// written then.
	undecodable bool
	// holdings are the backend servers that this instance uses, or has used and
	// not yet handed over. Each was read in the row with this incarnation as
	// the owner.
	holdings map[string]*holding
	// backends is the configuration by name. It is nil until it is known.
	backends map[string]Backend
	// missingSince is when a backend server in the row was first missing from
	// the configuration.
	missingSince map[string]time.Time
	// view is the zone's part of the newest membership view.
	view membership.ZoneView
	// states are the membership states in view.
	states map[membership.Identity]membership.State
	// receivers are the instances that may be assigned backend servers.
	receivers []membership.Identity
	// receiversChanged is when the set of receivers last changed.
	receiversChanged time.Time
	// orphansSince is when backend servers without a live owner were first
	// seen. It is zero when there are none.
	orphansSince time.Time
	// probedAt is when an owner was last probed.
	probedAt map[membership.Identity]time.Time
	// dirty is set when the desired owners must be computed.
	dirty bool
	// recomputeAt is when the desired owners are computed if dirty is not set.
	recomputeAt time.Time
	// leaving is set by Leave.
	leaving bool
	// forceLeaving is set by ForceLeave.
	forceLeaving bool
	// stopAttempts is the Attempt of the newest Stop of any backend server.
	stopAttempts uint64
	ready        Ready
}

// phase is the progress of a holding towards its handover.
type phase uint8

const (
	// A serving holding accepts requests.
	serving phase = iota
	// A stopping holding accepts no new requests and waits for Drained.
	stopping
	// A drained holding has no requests in flight and may be handed over.
	drained
)

// holding is the state of one backend server that this instance owns.
type holding struct {
	epoch uint64
	phase phase
	// attempt is the Attempt of the last Stop.
	attempt       uint64
	occupiedUntil time.Time
}

// New returns the state machine of an instance that has just started.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:              cfg,
		row:              cas.NewRow(RowPrefix+cfg.Zone, cfg.Self.String(), now),
		holdings:         map[string]*holding{},
		missingSince:     map[string]time.Time{},
		states:           map[membership.Identity]membership.State{},
		probedAt:         map[membership.Identity]time.Time{},
		receiversChanged: now,
	}
}

// Ready returns the actions that have become due since the last call.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{}
	return r
}

// RowKnown reports whether the row has been read.
func (m *Machine) RowKnown() bool {
	_, ok := m.row.Current()
	return ok
}

// Version returns the version of the newest row seen. Other instances are sent
// it as a hint.
func (m *Machine) Version() uint64 {
	row, _ := m.row.Current()
	return row.Version
}

// OwnerOf returns the assignment of a backend server in the newest row seen.
func (m *Machine) OwnerOf(backend string) (Assignment, bool) {
	i, ok := m.rowValue.find(backend)
	if !ok {
		return Assignment{}, false
	}
	return m.rowValue.Assignments[i], true
}

// Assignments returns all assignments in the newest row seen, sorted by backend
// server. The caller must not modify them.
func (m *Machine) Assignments() []Assignment { return m.rowValue.Assignments }

// MayHaveInFlight reports whether this instance may have requests in flight on
// a backend server.
func (m *Machine) MayHaveInFlight(backend string) bool {
	h, ok := m.holdings[backend]
	return ok && h.phase != drained
}

// LeaveComplete reports whether a leaving instance has nothing left to hand
// over.
func (m *Machine) LeaveComplete() bool { return m.leaving && len(m.holdings) == 0 }

// SetView sets the zone's part of a new membership view.
func (m *Machine) SetView(now time.Time, view membership.ZoneView) {
	m.view = view
	clear(m.states)
	var receivers []membership.Identity
	for _, in := range view.Instances {
		m.states[in.Identity] = in.State
		if in.State == membership.Live && !(in.Identity == m.cfg.Self && m.leaving) {
			receivers = append(receivers, in.Identity)
		}
	}
	if !slices.Equal(receivers, m.receivers) {
		m.receivers, m.receiversChanged = receivers, now
	}
	m.dirty = true
	m.advance(now)
}

// SetBackends sets the zone's backend servers from a new configuration.
func (m *Machine) SetBackends(now time.Time, backends []Backend) {
	m.backends = make(map[string]Backend, len(backends))
	for _, b := range backends {
		m.backends[b.Name] = b
	}
	m.dirty = true
	m.advance(now)
}

// Row processes the row as read. If the row cannot be decoded, the machine
// keeps the assignments it had and returns an error.
func (m *Machine) Row(now time.Time, row platform.Row) error {
	isNew := m.row.Observe(now, row, m.pollInterval())
	return m.applyRow(now, isNew)
}

// WriteReplied processes the reply to the write with change ID id. Its errors
// are those of Row.
func (m *Machine) WriteReplied(now time.Time, id string, reply platform.TxnReply) error {
	before := m.rowValue
	isNew := m.row.Replied(now, id, reply, m.pollInterval())
	err := m.applyRow(now, isNew)
	if reply.Committed {
		m.hintNewOwners(before)
	}
	return err
}

// WriteFailed records that the outcome of the write with change ID id is not
// known.
func (m *Machine) WriteFailed(now time.Time, id string) {
	m.row.Failed(now, id)
	m.advance(now)
}

// ReadFailed records that a read failed.
func (m *Machine) ReadFailed(now time.Time) {
	m.row.ReadFailed(now)
	m.advance(now)
}

// Hint records that another instance has seen the row at a version.
func (m *Machine) Hint(now time.Time, version uint64) {
	m.row.Hint(now, version)
	m.advance(now)
}

// Drained records that no request is in flight on a backend server since the
// Stop with the given attempt.
func (m *Machine) Drained(now time.Time, backend string, attempt uint64) {
	if h, ok := m.holdings[backend]; ok && h.phase == stopping && h.attempt == attempt {
		h.phase = drained
		m.dirty = true
	}
	m.advance(now)
}

// Leave starts the planned shutdown, in which everything is handed over to the
// zone's live instances. If there is none, this instance continues to serve.
func (m *Machine) Leave(now time.Time) {
	m.leaving, m.dirty = true, true
	m.receivers = slices.DeleteFunc(slices.Clone(m.receivers), func(id membership.Identity) bool { return id == m.cfg.Self })
	m.advance(now)
}

// ForceLeave completes a planned shutdown for which there is no receiver left:
// the remaining backend servers are drained and written into the row as having
// no owner.
func (m *Machine) ForceLeave(now time.Time) {
	m.forceLeaving = true
	m.Leave(now)
}

// Tick advances the machine to now.
func (m *Machine) Tick(now time.Time) { m.advance(now) }

// pollInterval returns the interval between reads of the row in this instance's
// current role.
func (m *Machine) pollInterval() time.Duration {
	if m.view.IsRelay(m.cfg.Self) {
		return m.cfg.RelayPollInterval
	}
	return m.cfg.NonRelayPollInterval
}

// applyRow adopts the current row if it is new.
func (m *Machine) applyRow(now time.Time, isNew bool) error {
	var err error
	m.dirty = m.dirty || isNew
	if row, _ := m.row.Current(); isNew && row.Version > 0 {
		var v RowValue
		v, err = decode(row.Value)
		if m.undecodable = err != nil; !m.undecodable {
			m.rowValue = v
		}
	}
	m.advance(now)
	return errors.Annotatef(err, "row %s%s cannot be decoded; restore it from an earlier version", RowPrefix, m.cfg.Zone)
}

// advance brings the machine up to date after any event.
func (m *Machine) advance(now time.Time) {
	m.syncHoldings(now)
	if m.backends != nil && m.RowKnown() && (m.dirty || !now.Before(m.recomputeAt)) {
		m.recompute(now)
	}
	for range 2 {
		read, write := m.row.Next(now)
		m.ready.Read = m.ready.Read || read
		if write != nil {
			m.ready.Write = write
		}
	}
}

// recompute computes the desired owners and acts on them.
func (m *Machine) recompute(now time.Time) {
	m.dirty = false
	desiredOwners := m.desiredOwners(now)
	m.stopOrResume(now, desiredOwners)
	m.proposeRow(now, desiredOwners)
	m.probe(now)
	m.recomputeAt = now.Add(recomputeInterval)
	if !m.orphansSince.IsZero() {
		m.recomputeAt = now.Add(m.cfg.RankDelay)
	}
}

// syncHoldings updates the holdings to match the row.
func (m *Machine) syncHoldings(now time.Time) {
	for _, name := range sortedKeys(m.holdings) {
		h := m.holdings[name]
		a, ok := m.OwnerOf(name)
		if ok && a.Owner == m.cfg.Self && a.Epoch == h.epoch {
			continue
		}
		delete(m.holdings, name)
		if h.phase == drained {
			m.ready.HandedOver = append(m.ready.HandedOver, name)
		} else {
			m.ready.Lost = append(m.ready.Lost, name)
		}
	}
	if m.backends == nil {
		// Without a configuration no request can be sent, and it is not known
		// how long requests of a dead owner may continue to run.
		return
	}
	for _, a := range m.rowValue.Assignments {
		if a.Owner == m.cfg.Self && m.holdings[a.Backend] == nil {
			m.startHolding(now, a)
		}
	}
}

// startHolding adds a holding for an assignment to this instance.
func (m *Machine) startHolding(now time.Time, a Assignment) {
	h := &holding{epoch: a.Epoch}
	if a.Inherited {
		h.occupiedUntil = now.Add(m.maxRequestTime(a.Backend))
	}
	m.holdings[a.Backend] = h
	m.ready.Starts = append(m.ready.Starts, Start{Backend: a.Backend, Epoch: a.Epoch, OccupiedUntil: h.occupiedUntil})
}

// maxRequestTime returns how long the requests of a dead owner may continue to
// run.
func (m *Machine) maxRequestTime(backend string) time.Duration {
	if b, ok := m.backends[backend]; ok {
		return b.Deadline
	}
	return m.cfg.FallbackDeadline
}

// dead reports whether there is evidence that an assignment's owner is dead.
func (m *Machine) dead(a Assignment) bool {
	if a.Owner == m.cfg.Self {
		return false
	}
	// The address is this instance's own now, so an owner that listened there
	// before is dead.
	return (a.Peer == m.cfg.Peer && a.Peer != "") || m.states[a.Owner] == membership.Gone
}

// desiredOwners returns the desired owners by backend server.
func (m *Machine) desiredOwners(now time.Time) map[string]membership.Identity {
	var items []item
	orphans := false
	for _, a := range m.rowValue.Assignments {
		it := item{name: a.Backend, slots: max(1, m.backends[a.Backend].Slots), owner: a.Owner}
		dead := m.dead(a)
		it.placed = !dead && m.states[a.Owner] != membership.Leaving && !(a.Owner == m.cfg.Self && m.leaving)
		orphans = orphans || dead
		items = append(items, it)
	}
	for _, name := range sortedKeys(m.backends) {
		if _, ok := m.rowValue.find(name); !ok {
			items = append(items, item{name: name, slots: max(1, m.backends[name].Slots)})
			orphans = true
		}
	}
	switch {
	case !orphans:
		m.orphansSince = time.Time{}
	case m.orphansSince.IsZero():
		m.orphansSince = now
	}
	return plan(items, m.receivers)
}

// stopOrResume stops holdings that should move to another instance and resumes
// those that can stay.
func (m *Machine) stopOrResume(now time.Time, desired map[string]membership.Identity) {
	moving := 0
	for _, h := range m.holdings {
		if h.phase != serving {
			moving++
		}
	}
	for _, name := range sortedKeys(m.holdings) {
		h := m.holdings[name]
		release := m.mustRelease(now, name, desired)
		if !release && m.mayRebalance(now, moving) {
			to, ok := desired[name]
			release = ok && to != m.cfg.Self
		}
		switch {
		case h.phase == serving && release:
			m.stopAttempts++
			moving++
			h.phase, h.attempt = stopping, m.stopAttempts
			m.ready.Stops = append(m.ready.Stops, Stop{Backend: name, Attempt: m.stopAttempts})
		case h.phase != serving && !release && m.row.Pending() == nil && !m.wantedElsewhere(name, desired):
			h.phase = serving
			m.ready.Starts = append(m.ready.Starts, Start{Backend: name, Epoch: h.epoch, OccupiedUntil: h.occupiedUntil, Resumed: true})
		}
	}
}

// wantedElsewhere reports whether the desired owner of a backend server is
// another instance.
func (m *Machine) wantedElsewhere(name string, desired map[string]membership.Identity) bool {
	to, ok := desired[name]
	return ok && to != m.cfg.Self
}

// mustRelease reports whether a holding must be released regardless of the
// balance.
func (m *Machine) mustRelease(now time.Time, name string, desired map[string]membership.Identity) bool {
	if m.removable(now, name) {
		return true
	}
	return m.leaving && (m.forceLeaving || m.wantedElsewhere(name, desired))
}

// removable reports whether a backend server has been missing from the
// configuration for RemoveAfter.
func (m *Machine) removable(now time.Time, name string) bool {
	if _, ok := m.backends[name]; ok {
		delete(m.missingSince, name)
		return false
	}
	since, ok := m.missingSince[name]
	if !ok {
		m.missingSince[name] = now
		return false
	}
	return now.Sub(since) >= m.cfg.RemoveAfter
}

// mayRebalance reports whether one more holding may move for balance, when
// moving holdings are stopping or drained already. At most a quarter of the
// holdings, but at least one, move at a time, and only after the receivers have
// been unchanged for RebalanceAfter.
func (m *Machine) mayRebalance(now time.Time, moving int) bool {
	return now.Sub(m.receiversChanged) >= m.cfg.RebalanceAfter && moving < max(1, len(m.holdings)/4)
}

// proposeRow computes the next row and proposes it if it differs from the
// current one.
func (m *Machine) proposeRow(now time.Time, desired map[string]membership.Identity) {
	if m.undecodable || !m.row.CanWrite() {
		return
	}
	next, changed := m.handOver(now, desired)
	if m.mayAssignOrphans(now) {
		changed = m.assignOrphans(&next, desired) || changed
	}
	if !changed {
		return
	}
	slices.SortFunc(next.Assignments, func(a, b Assignment) int { return cmp.Compare(a.Backend, b.Backend) })
	value, err := json.Marshal(next)
	if err != nil {
		// RowValue holds only strings, numbers and booleans.
		panic(err)
	}
	m.row.Propose(value)
}

// handOver returns a copy of the row value in which this instance's drained
// holdings are handed over or removed.
func (m *Machine) handOver(now time.Time, desired map[string]membership.Identity) (next RowValue, changed bool) {
	for _, a := range m.rowValue.Assignments {
		h := m.holdings[a.Backend]
		if h == nil || h.phase != drained || a.Owner != m.cfg.Self {
			next.Assignments = append(next.Assignments, a)
			continue
		}
		occupied := now.Before(h.occupiedUntil)
		switch {
		case m.removable(now, a.Backend) || (m.forceLeaving && !m.wantedElsewhere(a.Backend, desired)):
			if occupied {
				next.Assignments = append(next.Assignments, a)
				continue
			}
		case m.wantedElsewhere(a.Backend, desired):
			next.Assignments = append(next.Assignments, m.newAssignment(a.Backend, desired[a.Backend], a.Epoch, occupied))
		default:
			next.Assignments = append(next.Assignments, a)
			continue
		}
		changed = true
	}
	return next, changed
}

// mayAssignOrphans reports whether this instance has waited for its rank's
// delay and may assign backend servers that have no live owner.
func (m *Machine) mayAssignOrphans(now time.Time) bool {
	if m.orphansSince.IsZero() {
		return false
	}
	var names []string
	for _, r := range m.receivers {
		names = append(names, r.String())
	}
	rank := slices.Index(hrw.Rank("claim/"+m.cfg.Zone, names), m.cfg.Self.String())
	if rank < 0 {
		rank = maxRank
	}
	return now.Sub(m.orphansSince) >= time.Duration(min(rank, maxRank))*m.cfg.RankDelay
}

// assignOrphans assigns backend servers whose owner is dead or that have none.
// It reports whether it changed next.
func (m *Machine) assignOrphans(next *RowValue, desired map[string]membership.Identity) bool {
	changed := false
	for i, a := range next.Assignments {
		if to, ok := desired[a.Backend]; ok && m.dead(a) {
			next.Assignments[i] = m.newAssignment(a.Backend, to, a.Epoch, true)
			changed = true
		}
	}
	for _, name := range sortedKeys(m.backends) {
		_, assigned := m.rowValue.find(name)
		if to, ok := desired[name]; ok && !assigned {
			next.Assignments = append(next.Assignments, m.newAssignment(name, to, 0, false))
			changed = true
		}
	}
	return changed
}

// newAssignment returns the assignment of a backend server to its next owner.
// epoch is the previous owner's.
func (m *Machine) newAssignment(backend string, to membership.Identity, epoch uint64, inherited bool) Assignment {
	a := Assignment{Backend: backend, Owner: to, Epoch: epoch + 1, Inherited: inherited}
	for _, in := range m.view.Instances {
		if in.Identity == to {
			a.Peer = in.Peer
		}
	}
	return a
}

// probe requests evidence about owners that are missing from the membership
// view.
func (m *Machine) probe(now time.Time) {
	asked := map[membership.Identity]bool{}
	for _, a := range m.rowValue.Assignments {
		_, known := m.states[a.Owner]
		if known || asked[a.Owner] || a.Owner == m.cfg.Self || m.dead(a) {
			continue
		}
		asked[a.Owner] = true
		if last, ok := m.probedAt[a.Owner]; ok && now.Sub(last) < m.cfg.ProbeInterval {
			continue
		}
		m.probedAt[a.Owner] = now
		m.ready.Probes = append(m.ready.Probes, membership.Probe{Target: a.Owner, Zone: m.cfg.Zone, Peer: a.Peer})
	}
	for id := range m.probedAt {
		if !asked[id] {
			delete(m.probedAt, id)
		}
	}
}

// hintNewOwners requests hints to the owners that this instance's write has
// just assigned.
func (m *Machine) hintNewOwners(before RowValue) {
	var to []membership.Identity
	for _, a := range m.rowValue.Assignments {
		i, ok := before.find(a.Backend)
		if a.Owner != m.cfg.Self && (!ok || before.Assignments[i].Owner != a.Owner) {
			to = append(to, a.Owner)
		}
	}
	slices.SortFunc(to, membership.Identity.Compare)
	for _, id := range slices.Compact(to) {
		m.ready.Hints = append(m.ready.Hints, Hint{To: id, Version: m.Version()})
	}
}

// decode decodes a row's value and sorts it. It rejects a backend server that
// occurs twice.
func decode(value []byte) (RowValue, error) {
	var v RowValue
	if err := json.Unmarshal(value, &v); err != nil {
		return RowValue{}, errors.Trace(err)
	}
	slices.SortFunc(v.Assignments, func(a, b Assignment) int { return cmp.Compare(a.Backend, b.Backend) })
	for i := range len(v.Assignments) - 1 {
		if name := v.Assignments[i].Backend; name == v.Assignments[i+1].Backend {
			return RowValue{}, errors.NotValidf("row with two owners of backend server %q", name)
		}
	}
	return v, nil
}

// find returns the index of a backend server's assignment.
func (v *RowValue) find(backend string) (int, bool) {
	return slices.BinarySearchFunc(v.Assignments, backend, func(a Assignment, n string) int { return cmp.Compare(a.Backend, n) })
}
