package linkcap

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/cas"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Machine is the state machine of one instance for the links that leave its
// region. It is not safe for concurrent use: the caller must guard every call
// by a lock, including TryAcquire and Release.
type Machine struct {
	cfg Config
	row *cas.Row
	// ledger is the newest row, decoded. The rights in it add up to no more
	// than its caps.
	ledger *Ledger
	// undecodable is set while the newest row cannot be decoded. Nothing is
	// written then.
	undecodable bool
	// dirty is set when the next ledger must be computed.
	dirty bool
	// recomputeAt is when the next ledger is computed if dirty is not set.
	recomputeAt time.Time
	// ownEntry is this incarnation's entry in ledger, or nil.
	ownEntry *Holder
	// caps are the configured caps by target region. It is nil before they are
	// known.
	caps map[string]Rights
	// maxRequestTime is the longest time that a request may be in flight.
	maxRequestTime time.Duration
	limiters       map[string]*limiter
	// relinquishing holds the rights by target region that the pending write
	// takes from ownEntry. They are not usable.
	relinquishing map[string]Rights
	// loans holds what was sent to and received from each partner. The entry of
	// a dead partner is kept until its part is settled.
	loans   map[membership.Identity]*loan
	members []membership.Instance
	// states are the membership states in the view of the region.
	states map[membership.Identity]membership.State
	// deadSince is when this instance learned of a holder's death.
	deadSince map[membership.Identity]time.Time
	// updateDueSince is when grants, new entries or removals became due. It is
	// zero when none is due.
	updateDueSince time.Time
	// probedAt is when a holder was last probed.
	probedAt map[membership.Identity]time.Time
	// nextRequestAt is the earliest time of the next request for rights, by
	// target region.
	nextRequestAt map[string]time.Time
	// partnerTurn counts the requests for rights, to distribute them over the
	// partners.
	partnerTurn int
	leaving     bool
	ready       Ready
}

// loan is the account between this instance and one partner, by target region.
// The totals only rise. sent minus received is what the partner holds of this
// instance's rights. If it is negative, this instance holds that amount of the
// partner's rights.
type loan struct {
	// sent, received and acked are the totals by target region.
	sent, received, acked map[string]Rights
	// resendAt is when transfers that are not acknowledged are sent again.
	resendAt time.Time
	// closed is set on evidence of the partner's death. Nothing is sent or
	// received after that.
	closed bool
	// reusableAt is when the requests of a dead partner can no longer be
	// running, so that the rights it had borrowed can be used again.
	reusableAt time.Time
}

func newLoan() *loan {
	return &loan{sent: map[string]Rights{}, received: map[string]Rights{}, acked: map[string]Rights{}}
}

// outstanding returns what the partner holds of this instance's rights. It is
// negative when this instance holds rights of the partner.
func (l *loan) outstanding(to string) Rights { return l.sent[to].sub(l.received[to]) }

// New returns the state machine of an instance that has just started.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:           cfg,
		row:           cas.NewRow(RowPrefix+cfg.Region, cfg.Self.String(), now),
		ledger:        &Ledger{},
		limiters:      map[string]*limiter{},
		relinquishing: map[string]Rights{},
		loans:         map[membership.Identity]*loan{},
		states:        map[membership.Identity]membership.State{},
		deadSince:     map[membership.Identity]time.Time{},
		probedAt:      map[membership.Identity]time.Time{},
		nextRequestAt: map[string]time.Time{},
	}
}

// TryAcquire reports whether the rights allow one more request over the link to
// a region, and if so counts it. Each success must be followed by one Release.
func (m *Machine) TryAcquire(to string, now time.Time) bool {
	return m.limiter(to).tryAcquire(now, m.Usable(to))
}

// Release records the end of a request that TryAcquire admitted.
func (m *Machine) Release(to string) {
	if l := m.limiter(to); l.inFlight > 0 {
		l.inFlight--
	}
}

// Usable returns how many requests this instance may have in flight, and start
// per second, on the link to a region. It is scaled down if the configured cap
// is below the ledger's.
func (m *Machine) Usable(to string) Rights {
	capacity, ok := m.caps[to]
	if !ok || m.ownEntry == nil {
		return Rights{}
	}
	return m.netRights(to).scale(capacity, m.ledger.cap(to)).positive()
}

// Used returns how many requests are in flight, and were started within
// RateWindow, on the link to a region.
func (m *Machine) Used(to string, now time.Time) Rights { return m.limiter(to).used(now) }

// netRights returns this instance's rights after loans and the pending write,
// in units of the ledger's cap.
func (m *Machine) netRights(to string) Rights {
	if m.ownEntry == nil {
		return Rights{}
	}
	r := m.ownEntry.rights(to).sub(m.relinquishing[to])
	for _, l := range m.loans {
		r = r.sub(l.outstanding(to))
	}
	return r
}

// lent returns what partners hold of this instance's own rights.
func (m *Machine) lent(to string) Rights {
	var sum Rights
	for _, l := range m.loans {
		sum = sum.add(l.outstanding(to).positive())
	}
	return sum
}

// spare returns the part of the net rights that no request uses.
func (m *Machine) spare(to string, now time.Time) Rights {
	return m.netRights(to).sub(m.limiter(to).used(now)).positive()
}

func (m *Machine) limiter(to string) *limiter {
	l, ok := m.limiters[to]
	if !ok {
		l = &limiter{}
		m.limiters[to] = l
	}
	return l
}

// Ready returns the actions that have become due since the last call.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{}
	return r
}

// LeaveComplete reports whether a leaving instance has given up all rights that
// it can, and has no request in flight. Its partners settle what they still
// hold after it has ended.
func (m *Machine) LeaveComplete() bool {
	if !m.leaving || m.row.Pending() != nil {
		return false
	}
	for _, to := range m.links() {
		if !m.netRights(to).positive().isZero() || m.limiter(to).inFlight > 0 {
			return false
		}
	}
	return true
}

// SetMembers sets the instances of the region, in all its zones, from a new
// membership view.
func (m *Machine) SetMembers(now time.Time, members []membership.Instance) {
	m.members = slices.Clone(members)
	slices.SortFunc(m.members, func(a, b membership.Instance) int { return a.Compare(b.Identity) })
	clear(m.states)
	for _, in := range m.members {
		m.states[in.Identity] = in.State
	}
	m.dirty = true
	m.advance(now)
}

// SetCaps sets the configured caps by target region, and the longest time that
// a request may be in flight.
func (m *Machine) SetCaps(now time.Time, caps map[string]Rights, maxRequestTime time.Duration) {
	m.dirty = true
	m.caps, m.maxRequestTime = maps.Clone(caps), max(maxRequestTime, RateWindow)
	m.advance(now)
}

// Row processes the row as read. If the row cannot be decoded, the machine
// keeps the ledger it had and returns an error.
func (m *Machine) Row(now time.Time, row platform.Row) error {
	return m.applyRow(now, m.row.Observe(now, row, m.cfg.PollInterval))
}

// WriteReplied processes the reply to the write with change ID id. Its errors
// are those of Row.
func (m *Machine) WriteReplied(now time.Time, id string, reply platform.TxnReply) error {
	return m.applyRow(now, m.row.Replied(now, id, reply, m.cfg.PollInterval))
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

// Version returns the version of the newest row seen.
func (m *Machine) Version() uint64 {
	row, _ := m.row.Current()
	return row.Version
}

// Leave starts the planned shutdown.
func (m *Machine) Leave(now time.Time) {
	m.leaving, m.dirty = true, true
	m.advance(now)
}

// Tick advances the machine to now.
func (m *Machine) Tick(now time.Time) { m.advance(now) }

// applyRow adopts the current row if it is new. It ends the reservation of
// relinquished rights once no write is pending.
func (m *Machine) applyRow(now time.Time, isNew bool) error {
	var err error
	if row, _ := m.row.Current(); isNew && row.Version > 0 {
		var next *Ledger
		next, err = decode(row.Value)
		m.undecodable = err != nil
		if !m.undecodable {
			m.applyLedger(next)
		}
	}
	if m.row.Pending() == nil {
		clear(m.relinquishing)
	}
	m.advance(now)
	return errors.Annotatef(err, "row %s%s cannot be decoded; restore it from an earlier version", RowPrefix, m.cfg.Region)
}

// applyLedger adopts a newer ledger. If a partnership with a dead partner is
// missing from it, this instance's own write settled that partnership and moved
// what it had borrowed into its own rights.
func (m *Machine) applyLedger(next *Ledger) {
	m.ready.RightsLost = m.ready.RightsLost || (m.ownEntry != nil && next.holder(m.cfg.Self) == nil)
	m.ledger, m.dirty = next, true
	m.ownEntry = next.holder(m.cfg.Self)
	for id, l := range m.loans {
		switch {
		case m.ownEntry == nil:
			delete(m.loans, id)
		case l.closed && !slices.Contains(m.ownEntry.Partners, id):
			l.forgetReceived()
		}
	}
}

// forgetReceived removes from the account what this instance had borrowed. What
// the dead partner had borrowed stays outstanding until reusableAt.
func (l *loan) forgetReceived() {
	for to := range l.received {
		outstanding := l.outstanding(to).positive()
		l.received[to] = l.sent[to].sub(outstanding)
	}
}

// advance brings the machine up to date after any event.
func (m *Machine) advance(now time.Time) {
	m.recordDeaths(now)
	m.resendTransfers(now)
	m.requestRights(now)
	if m.caps != nil && !m.undecodable {
		if _, known := m.row.Current(); known {
			m.write(now)
			m.probe(now)
		}
	}
	for range 2 {
		read, write := m.row.Next(now)
		m.ready.Read = m.ready.Read || read
		if write != nil {
			m.ready.Write = write
		}
	}
}

// recordDeaths records newly known deaths and closes the loans with dead
// partners. It deletes a loan once it is settled and the dead partner's
// requests can no longer be running.
func (m *Machine) recordDeaths(now time.Time) {
	for _, h := range m.ledger.Holders {
		if _, noted := m.deadSince[h.Identity]; !noted && m.dead(h) {
			m.deadSince[h.Identity] = now
		}
	}
	for id := range m.deadSince {
		if m.ledger.holder(id) == nil && m.loans[id] == nil {
			delete(m.deadSince, id)
		}
	}
	for id, l := range m.loans {
		since, isDead := m.deadSince[id]
		if !isDead {
			continue
		}
		l.closed, l.reusableAt = true, since.Add(m.maxRequestTime)
		if m.ownEntry != nil && !slices.Contains(m.ownEntry.Partners, id) && !now.Before(l.reusableAt) {
			delete(m.loans, id)
		}
	}
}

// dead reports whether there is evidence that a holder is dead.
func (m *Machine) dead(h Holder) bool {
	if h.Identity == m.cfg.Self {
		return false
	}
	// The address is this instance's own now, so a holder that listened there
	// before is dead.
	return (h.Peer == m.cfg.Peer && h.Peer != "") || m.states[h.Identity] == membership.Gone
}

// links returns the target regions of the configured links, sorted.
func (m *Machine) links() []string { return slices.Sorted(maps.Keys(m.caps)) }

// probe requests evidence about holders that are missing from the membership
// view.
func (m *Machine) probe(now time.Time) {
	for _, h := range m.ledger.Holders {
		if _, known := m.states[h.Identity]; known || h.Identity == m.cfg.Self || m.dead(h) {
			delete(m.probedAt, h.Identity)
			continue
		}
		if last, ok := m.probedAt[h.Identity]; ok && now.Sub(last) < m.cfg.ProbeInterval {
			continue
		}
		m.probedAt[h.Identity] = now
		m.ready.Probes = append(m.ready.Probes, membership.Probe{Target: h.Identity, Peer: h.Peer})
	}
}

// partners returns the live and leaving partners, sorted.
func (m *Machine) partners() []membership.Identity {
	if m.ownEntry == nil {
		return nil
	}
	var out []membership.Identity
	for _, id := range m.ownEntry.Partners {
		if s, known := m.states[id]; known && s <= membership.Leaving {
			out = append(out, id)
		}
	}
	return out
}
