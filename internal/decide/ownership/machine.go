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
	// table is the newest row, decoded; its assignments are sorted.
	table Table
	// broken is set while the newest row cannot be decoded; nothing is written
	// then.
	broken bool
	// holdings are the backend servers that this instance uses, or used and
	// has not given yet. Every one was read in the row with this incarnation
	// as the owner.
	holdings map[string]*holding
	// backends is nil until the configuration is known.
	backends map[string]Backend
	// missingSince is when an assigned backend server left the configuration.
	missingSince map[string]time.Time
	view         membership.ZoneView
	states       map[membership.Identity]membership.State
	receivers    []membership.Identity
	// viewChanged is when the set of receivers changed last.
	viewChanged time.Time
	// orphansSince is when backend servers without a live owner were first
	// seen; zero when there are none.
	orphansSince time.Time
	probedAt     map[membership.Identity]time.Time
	// changed is set when the wanted owners have to be worked out anew; without
	// it that is done at checkAt.
	changed    bool
	checkAt    time.Time
	leaving    bool
	abandoning bool
	attempts   uint64
	ready      Ready
}

// phase is how far a holding is on its way out.
type phase uint8

const (
	serving phase = iota
	// stopping holdings take no new work and wait for Drained.
	stopping
	// drained holdings have nothing in flight and may be given.
	drained
)

// holding is one backend server in this instance's hands.
type holding struct {
	epoch uint64
	phase phase
	// attempt is that of the last Stop.
	attempt       uint64
	occupiedUntil time.Time
}

// New returns the machine of an instance that has just started.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:          cfg,
		row:          cas.NewRow(RowPrefix+cfg.Zone, cfg.Self.String(), now),
		holdings:     map[string]*holding{},
		missingSince: map[string]time.Time{},
		states:       map[membership.Identity]membership.State{},
		probedAt:     map[membership.Identity]time.Time{},
		viewChanged:  now,
	}
}

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{}
	return r
}

// Known reports whether the row has been read.
func (m *Machine) Known() bool {
	_, ok := m.row.Current()
	return ok
}

// Version returns the version of the newest row seen, to be told to others.
func (m *Machine) Version() uint64 {
	row, _ := m.row.Current()
	return row.Version
}

// OwnerOf returns the owner of a backend server as far as this instance knows.
func (m *Machine) OwnerOf(backend string) (Assignment, bool) {
	i, ok := m.table.find(backend)
	if !ok {
		return Assignment{}, false
	}
	return m.table.Assignments[i], true
}

// Assignments returns all known owners, sorted by backend server. The caller
// must not change them.
func (m *Machine) Assignments() []Assignment { return m.table.Assignments }

// Holds reports whether this instance may have work on a backend server.
func (m *Machine) Holds(backend string) bool {
	h, ok := m.holdings[backend]
	return ok && h.phase != drained
}

// Released reports whether a leaving instance has nothing left to hand over.
func (m *Machine) Released() bool { return m.leaving && len(m.holdings) == 0 }

// SetView takes the zone's part of a new membership view.
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
		m.receivers, m.viewChanged = receivers, now
	}
	m.changed = true
	m.advance(now)
}

// SetBackends takes the zone's backend servers of a new configuration.
func (m *Machine) SetBackends(now time.Time, backends []Backend) {
	m.backends = make(map[string]Backend, len(backends))
	for _, b := range backends {
		m.backends[b.Name] = b
	}
	m.changed = true
	m.advance(now)
}

// Row takes the row as read. The error names a row that cannot be decoded; the
// machine then keeps what it knew.
func (m *Machine) Row(now time.Time, row platform.Row) error {
	isNew := m.row.Observe(now, row, m.poll())
	return m.took(now, isNew)
}

// Written takes the reply to the write with change ID id.
func (m *Machine) Written(now time.Time, id string, reply platform.TxnReply) error {
	before := m.table
	isNew := m.row.Replied(now, id, reply, m.poll())
	err := m.took(now, isNew)
	if reply.Committed {
		m.hint(before)
	}
	return err
}

// WriteFailed takes a write whose outcome is not known.
func (m *Machine) WriteFailed(now time.Time, id string) {
	m.row.Failed(now, id)
	m.advance(now)
}

// ReadFailed takes a read that failed.
func (m *Machine) ReadFailed(now time.Time) {
	m.row.ReadFailed(now)
	m.advance(now)
}

// Hint takes notice from another instance that the row has reached a version.
func (m *Machine) Hint(now time.Time, version uint64) {
	m.row.Hint(now, version)
	m.advance(now)
}

// Drained tells that nothing is in flight on a backend server since the Stop
// with the given attempt.
func (m *Machine) Drained(now time.Time, backend string, attempt uint64) {
	if h, ok := m.holdings[backend]; ok && h.phase == stopping && h.attempt == attempt {
		h.phase = drained
		m.changed = true
	}
	m.advance(now)
}

// Leave begins the planned stop: everything is handed over to the zone's live
// instances. Without any this instance keeps serving.
func (m *Machine) Leave(now time.Time) {
	m.leaving, m.changed = true, true
	m.receivers = slices.DeleteFunc(slices.Clone(m.receivers), func(id membership.Identity) bool { return id == m.cfg.Self })
	m.advance(now)
}

// Abandon ends a planned stop for which no receiver is left: what is still held
// is drained and written into the row as without an owner.
func (m *Machine) Abandon(now time.Time) {
	m.abandoning = true
	m.Leave(now)
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Time) { m.advance(now) }

func (m *Machine) poll() time.Duration {
	if m.view.IsRelay(m.cfg.Self) {
		return m.cfg.PollRelay
	}
	return m.cfg.PollOther
}

func (m *Machine) took(now time.Time, isNew bool) error {
	var err error
	m.changed = m.changed || isNew
	if row, _ := m.row.Current(); isNew && row.Version > 0 {
		var t Table
		t, err = decode(row.Value)
		if m.broken = err != nil; !m.broken {
			m.table = t
		}
	}
	m.advance(now)
	return errors.Annotatef(err, "row %s%s cannot be decoded; restore it from a version before", RowPrefix, m.cfg.Zone)
}

// advance does what the state calls for after any event.
func (m *Machine) advance(now time.Time) {
	m.sync(now)
	if m.backends != nil && m.Known() && (m.changed || !now.Before(m.checkAt)) {
		m.decide(now)
	}
	for range 2 {
		read, write := m.row.Next(now)
		m.ready.Read = m.ready.Read || read
		if write != nil {
			m.ready.Write = write
		}
	}
}

// decide works out the wanted owners and acts on them.
func (m *Machine) decide(now time.Time) {
	m.changed = false
	want := m.want(now)
	m.steer(now, want)
	m.write(now, want)
	m.probe(now)
	m.checkAt = now.Add(checkEvery)
	if !m.orphansSince.IsZero() {
		m.checkAt = now.Add(m.cfg.ClaimStep)
	}
}

// sync brings the holdings in step with the row.
func (m *Machine) sync(now time.Time) {
	for _, name := range sortedKeys(m.holdings) {
		h := m.holdings[name]
		a, ok := m.OwnerOf(name)
		if ok && a.Owner == m.cfg.Self && a.Epoch == h.epoch {
			continue
		}
		delete(m.holdings, name)
		if h.phase == drained {
			m.ready.Gave = append(m.ready.Gave, name)
		} else {
			m.ready.Lost = append(m.ready.Lost, name)
		}
	}
	if m.backends == nil {
		// Without a configuration nothing can be sent, and how long the work of
		// a dead owner may go on is not known.
		return
	}
	for _, a := range m.table.Assignments {
		if a.Owner == m.cfg.Self && m.holdings[a.Backend] == nil {
			m.start(now, a)
		}
	}
}

func (m *Machine) start(now time.Time, a Assignment) {
	h := &holding{epoch: a.Epoch}
	if a.Inherited {
		h.occupiedUntil = now.Add(m.hold(a.Backend))
	}
	m.holdings[a.Backend] = h
	m.ready.Starts = append(m.ready.Starts, Start{Backend: a.Backend, Epoch: a.Epoch, OccupiedUntil: h.occupiedUntil})
}

// hold is how long work of a dead owner may go on.
func (m *Machine) hold(backend string) time.Duration {
	if b, ok := m.backends[backend]; ok {
		return b.Deadline
	}
	return m.cfg.DefaultHold
}

// dead reports whether there is evidence that an assignment's owner is dead.
func (m *Machine) dead(a Assignment) bool {
	if a.Owner == m.cfg.Self {
		return false
	}
	// Whoever listened at this instance's own address before is gone.
	return (a.Peer == m.cfg.Peer && a.Peer != "") || m.states[a.Owner] == membership.Gone
}

// want computes the wanted owners.
func (m *Machine) want(now time.Time) map[string]membership.Identity {
	var items []item
	orphans := false
	for _, a := range m.table.Assignments {
		it := item{name: a.Backend, slots: max(1, m.backends[a.Backend].Slots), owner: a.Owner}
		dead := m.dead(a)
		it.placed = !dead && m.states[a.Owner] != membership.Leaving && !(a.Owner == m.cfg.Self && m.leaving)
		orphans = orphans || dead
		items = append(items, it)
	}
	for _, name := range sortedKeys(m.backends) {
		if _, ok := m.table.find(name); !ok {
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

// steer stops what has to go elsewhere and resumes what may stay.
func (m *Machine) steer(now time.Time, want map[string]membership.Identity) {
	moving := 0
	for _, h := range m.holdings {
		if h.phase != serving {
			moving++
		}
	}
	for _, name := range sortedKeys(m.holdings) {
		h := m.holdings[name]
		leaves := m.mustGo(now, name, want)
		if !leaves && m.mayMove(now, moving) {
			to, ok := want[name]
			leaves = ok && to != m.cfg.Self
		}
		switch {
		case h.phase == serving && leaves:
			m.attempts++
			moving++
			h.phase, h.attempt = stopping, m.attempts
			m.ready.Stops = append(m.ready.Stops, Stop{Backend: name, Attempt: m.attempts})
		case h.phase != serving && !leaves && m.row.Pending() == nil && !m.wanted(name, want):
			h.phase = serving
			m.ready.Starts = append(m.ready.Starts, Start{Backend: name, Epoch: h.epoch, OccupiedUntil: h.occupiedUntil, Resumed: true})
		}
	}
}

// wanted reports whether another instance is to own a backend server.
func (m *Machine) wanted(name string, want map[string]membership.Identity) bool {
	to, ok := want[name]
	return ok && to != m.cfg.Self
}

// mustGo reports whether a holding has to go whatever the balance.
func (m *Machine) mustGo(now time.Time, name string, want map[string]membership.Identity) bool {
	if m.removable(now, name) {
		return true
	}
	return m.leaving && (m.abandoning || m.wanted(name, want))
}

// removable reports whether a backend server has long left the configuration.
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

// mayMove reports whether one more holding may move for balance: a quarter of
// them at once, and only while the view is calm.
func (m *Machine) mayMove(now time.Time, moving int) bool {
	return now.Sub(m.viewChanged) >= m.cfg.RebalanceAfter && moving < max(1, len(m.holdings)/4)
}

// write proposes the next row when it differs from the present one.
func (m *Machine) write(now time.Time, want map[string]membership.Identity) {
	if m.broken || !m.row.CanWrite() {
		return
	}
	next, changed := m.give(now, want)
	if m.mayClaim(now) {
		changed = m.claim(&next, want) || changed
	}
	if !changed {
		return
	}
	slices.SortFunc(next.Assignments, func(a, b Assignment) int { return cmp.Compare(a.Backend, b.Backend) })
	value, err := json.Marshal(next)
	if err != nil {
		// Table holds only strings, numbers and booleans.
		panic(err)
	}
	m.row.Propose(value)
}

// give copies the table with this instance's drained holdings handed over or
// removed.
func (m *Machine) give(now time.Time, want map[string]membership.Identity) (next Table, changed bool) {
	for _, a := range m.table.Assignments {
		h := m.holdings[a.Backend]
		if h == nil || h.phase != drained || a.Owner != m.cfg.Self {
			next.Assignments = append(next.Assignments, a)
			continue
		}
		occupied := now.Before(h.occupiedUntil)
		switch {
		case m.removable(now, a.Backend) || (m.abandoning && !m.wanted(a.Backend, want)):
			if occupied {
				next.Assignments = append(next.Assignments, a)
				continue
			}
		case m.wanted(a.Backend, want):
			next.Assignments = append(next.Assignments, m.assign(a.Backend, want[a.Backend], a.Epoch, occupied))
		default:
			next.Assignments = append(next.Assignments, a)
			continue
		}
		changed = true
	}
	return next, changed
}

// mayClaim reports whether this instance's turn to assign backend servers
// without a live owner has come.
func (m *Machine) mayClaim(now time.Time) bool {
	if m.orphansSince.IsZero() {
		return false
	}
	var names []string
	for _, r := range m.receivers {
		names = append(names, r.String())
	}
	rank := slices.Index(hrw.Rank("claim/"+m.cfg.Zone, names), m.cfg.Self.String())
	if rank < 0 {
		rank = maxClaimRank
	}
	return now.Sub(m.orphansSince) >= time.Duration(min(rank, maxClaimRank))*m.cfg.ClaimStep
}

// claim assigns what has no owner or a dead one.
func (m *Machine) claim(next *Table, want map[string]membership.Identity) bool {
	changed := false
	for i, a := range next.Assignments {
		if to, ok := want[a.Backend]; ok && m.dead(a) {
			next.Assignments[i] = m.assign(a.Backend, to, a.Epoch, true)
			changed = true
		}
	}
	for _, name := range sortedKeys(m.backends) {
		_, assigned := m.table.find(name)
		if to, ok := want[name]; ok && !assigned {
			next.Assignments = append(next.Assignments, m.assign(name, to, 0, false))
			changed = true
		}
	}
	return changed
}

func (m *Machine) assign(backend string, to membership.Identity, epoch uint64, inherited bool) Assignment {
	a := Assignment{Backend: backend, Owner: to, Epoch: epoch + 1, Inherited: inherited}
	for _, in := range m.view.Instances {
		if in.Identity == to {
			a.Peer = in.Peer
		}
	}
	return a
}

// probe asks for evidence about owners that the view does not know.
func (m *Machine) probe(now time.Time) {
	asked := map[membership.Identity]bool{}
	for _, a := range m.table.Assignments {
		_, known := m.states[a.Owner]
		if known || asked[a.Owner] || a.Owner == m.cfg.Self || m.dead(a) {
			continue
		}
		asked[a.Owner] = true
		if last, ok := m.probedAt[a.Owner]; ok && now.Sub(last) < m.cfg.ProbeEvery {
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

// hint asks to tell the new owners of what this instance just wrote.
func (m *Machine) hint(before Table) {
	var to []membership.Identity
	for _, a := range m.table.Assignments {
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

// decode reads a row's value. Each backend server may stand there once.
func decode(value []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(value, &t); err != nil {
		return Table{}, errors.Trace(err)
	}
	slices.SortFunc(t.Assignments, func(a, b Assignment) int { return cmp.Compare(a.Backend, b.Backend) })
	for i := range len(t.Assignments) - 1 {
		if name := t.Assignments[i].Backend; name == t.Assignments[i+1].Backend {
			return Table{}, errors.NotValidf("two owners of backend server %q", name)
		}
	}
	return t, nil
}

// find returns the index of a backend server's assignment.
func (t *Table) find(backend string) (int, bool) {
	return slices.BinarySearchFunc(t.Assignments, backend, func(a Assignment, n string) int { return cmp.Compare(a.Backend, n) })
}
