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
// region. It is not safe for concurrent use: the caller guards it by a lock,
// TryAcquire and Release included.
type Machine struct {
	cfg Config
	row *cas.Row
	// ledger is the newest row, decoded; its rights add up to no more than its
	// caps.
	ledger *Ledger
	// broken is set while the newest row cannot be decoded; nothing is written
	// then.
	broken bool
	// changed is set when the next ledger has to be worked out anew; without
	// it that is done at checkAt.
	changed bool
	checkAt time.Time
	// own is this incarnation's entry of ledger, or nil.
	own *Holder
	// caps are the configured caps by target region; nil before they are known.
	caps map[string]Rights
	// hold is the longest that a request may be in flight.
	hold     time.Duration
	limiters map[string]*limiter
	// giving is what the outstanding write takes from own; it is not usable.
	giving map[string]Rights
	// loans hold what went to and came from each partner, also after the
	// partner's death until its part is settled.
	loans   map[membership.Identity]*loan
	members []membership.Instance
	states  map[membership.Identity]membership.State
	// deadSince is when a holder's death became known here.
	deadSince map[membership.Identity]time.Time
	// freeSince is when grants, joins or removals became due; zero when none
	// is.
	freeSince time.Time
	probedAt  map[membership.Identity]time.Time
	wantAt    map[string]time.Time
	// turn spreads wants over partners.
	turn    int
	leaving bool
	ready   Ready
}

// loan is the account between this instance and one partner, by link. Totals
// only rise. sent-received is what the partner holds of this instance's rights;
// below zero, what this instance holds of the partner's.
type loan struct {
	sent, received, acked map[string]Rights
	resendAt              time.Time
	// closed is set on evidence of the partner's death: nothing is sent or
	// received any more.
	closed bool
	// freeAt is when rights that a dead partner held are free of its work.
	freeAt time.Time
}

func newLoan() *loan {
	return &loan{sent: map[string]Rights{}, received: map[string]Rights{}, acked: map[string]Rights{}}
}

// out returns what the partner holds of this instance's rights, or below zero
// the reverse.
func (l *loan) out(to string) Rights { return l.sent[to].sub(l.received[to]) }

// New returns the machine of an instance that has just started.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:       cfg,
		row:       cas.NewRow(RowPrefix+cfg.Region, cfg.Self.String(), now),
		ledger:    &Ledger{},
		limiters:  map[string]*limiter{},
		giving:    map[string]Rights{},
		loans:     map[membership.Identity]*loan{},
		states:    map[membership.Identity]membership.State{},
		deadSince: map[membership.Identity]time.Time{},
		probedAt:  map[membership.Identity]time.Time{},
		wantAt:    map[string]time.Time{},
	}
}

// TryAcquire takes the right to start one request over the link to a region.
// Each success needs one Release.
func (m *Machine) TryAcquire(to string, now time.Time) bool {
	return m.limiter(to).tryAcquire(now, m.Usable(to))
}

// Release ends a request that TryAcquire let pass.
func (m *Machine) Release(to string) {
	if l := m.limiter(to); l.inFlight > 0 {
		l.inFlight--
	}
}

// Usable returns what this instance may have in flight and start per second on
// the link to a region.
func (m *Machine) Usable(to string) Rights {
	capacity, ok := m.caps[to]
	if !ok || m.own == nil {
		return Rights{}
	}
	return m.share(to).scale(capacity, m.ledger.cap(to)).positive()
}

// Used returns what is in flight and was started within RateWindow.
func (m *Machine) Used(to string, now time.Time) Rights { return m.limiter(to).used(now) }

// share is this instance's rights in units of the ledger's cap.
func (m *Machine) share(to string) Rights {
	if m.own == nil {
		return Rights{}
	}
	r := m.own.rights(to).sub(m.giving[to])
	for _, l := range m.loans {
		r = r.sub(l.out(to))
	}
	return r
}

// lent is what others hold of this instance's own rights.
func (m *Machine) lent(to string) Rights {
	var sum Rights
	for _, l := range m.loans {
		sum = sum.add(l.out(to).positive())
	}
	return sum
}

// spare is the part of the share that nothing runs under.
func (m *Machine) spare(to string, now time.Time) Rights {
	return m.share(to).sub(m.limiter(to).used(now)).positive()
}

func (m *Machine) limiter(to string) *limiter {
	l, ok := m.limiters[to]
	if !ok {
		l = &limiter{}
		m.limiters[to] = l
	}
	return l
}

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{}
	return r
}

// Released reports whether a leaving instance has given all that it can. What
// partners still hold is settled by them after its end.
func (m *Machine) Released() bool {
	if !m.leaving || m.row.Pending() != nil {
		return false
	}
	for _, to := range m.links() {
		if !m.share(to).positive().isZero() || m.limiter(to).inFlight > 0 {
			return false
		}
	}
	return true
}

// SetMembers takes the instances of the region, of all its zones, from a new
// membership view.
func (m *Machine) SetMembers(now time.Time, members []membership.Instance) {
	m.members = slices.Clone(members)
	slices.SortFunc(m.members, func(a, b membership.Instance) int { return a.Compare(b.Identity) })
	clear(m.states)
	for _, in := range m.members {
		m.states[in.Identity] = in.State
	}
	m.changed = true
	m.advance(now)
}

// SetCaps takes the configured caps by target region, and the longest that a
// request may be in flight.
func (m *Machine) SetCaps(now time.Time, caps map[string]Rights, hold time.Duration) {
	m.changed = true
	m.caps, m.hold = maps.Clone(caps), max(hold, RateWindow)
	m.advance(now)
}

// Row takes the row as read. The error names a row that cannot be decoded; the
// machine then keeps what it knew.
func (m *Machine) Row(now time.Time, row platform.Row) error {
	return m.took(now, m.row.Observe(now, row, m.cfg.Poll))
}

// Written takes the reply to the write with change ID id.
func (m *Machine) Written(now time.Time, id string, reply platform.TxnReply) error {
	return m.took(now, m.row.Replied(now, id, reply, m.cfg.Poll))
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

// Version returns the version of the newest row seen.
func (m *Machine) Version() uint64 {
	row, _ := m.row.Current()
	return row.Version
}

// Leave begins the planned stop.
func (m *Machine) Leave(now time.Time) {
	m.leaving, m.changed = true, true
	m.advance(now)
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Time) { m.advance(now) }

func (m *Machine) took(now time.Time, isNew bool) error {
	var err error
	if row, _ := m.row.Current(); isNew && row.Version > 0 {
		var next *Ledger
		next, err = decode(row.Value)
		m.broken = err != nil
		if !m.broken {
			m.adopt(next)
		}
	}
	if m.row.Pending() == nil {
		clear(m.giving)
	}
	m.advance(now)
	return errors.Annotatef(err, "row %s%s cannot be decoded; restore it from a version before", RowPrefix, m.cfg.Region)
}

// adopt takes a newer ledger. A partnership that it no longer has was settled
// by this instance's own write, which moved what it had received into its
// rights.
func (m *Machine) adopt(next *Ledger) {
	m.ready.Lost = m.ready.Lost || (m.own != nil && next.holder(m.cfg.Self) == nil)
	m.ledger, m.changed = next, true
	m.own = next.holder(m.cfg.Self)
	for id, l := range m.loans {
		switch {
		case m.own == nil:
			delete(m.loans, id)
		case l.closed && !slices.Contains(m.own.Partners, id):
			l.settled()
		}
	}
}

// settled forgets what this instance had received; what the dead partner held
// stays out until freeAt.
func (l *loan) settled() {
	for to := range l.received {
		out := l.out(to).positive()
		l.received[to] = l.sent[to].sub(out)
	}
}

// advance does what the state calls for after any event.
func (m *Machine) advance(now time.Time) {
	m.bury(now)
	m.resend(now)
	m.want(now)
	if m.caps != nil && !m.broken {
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

// bury notes deaths, closes the accounts with the dead, and frees what they
// held once their work has ended.
func (m *Machine) bury(now time.Time) {
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
		l.closed, l.freeAt = true, since.Add(m.hold)
		if m.own != nil && !slices.Contains(m.own.Partners, id) && !now.Before(l.freeAt) {
			delete(m.loans, id)
		}
	}
}

// dead reports whether there is evidence of a holder's death.
func (m *Machine) dead(h Holder) bool {
	if h.Identity == m.cfg.Self {
		return false
	}
	// Whoever listened at this instance's own address before is gone.
	return (h.Peer == m.cfg.Peer && h.Peer != "") || m.states[h.Identity] == membership.Gone
}

// links returns the configured links in order.
func (m *Machine) links() []string { return slices.Sorted(maps.Keys(m.caps)) }

// probe asks for evidence about holders that the view does not know.
func (m *Machine) probe(now time.Time) {
	for _, h := range m.ledger.Holders {
		if _, known := m.states[h.Identity]; known || h.Identity == m.cfg.Self || m.dead(h) {
			delete(m.probedAt, h.Identity)
			continue
		}
		if last, ok := m.probedAt[h.Identity]; ok && now.Sub(last) < m.cfg.ProbeEvery {
			continue
		}
		m.probedAt[h.Identity] = now
		m.ready.Probes = append(m.ready.Probes, membership.Probe{Target: h.Identity, Peer: h.Peer})
	}
}

// partners returns the living partners in order.
func (m *Machine) partners() []membership.Identity {
	if m.own == nil {
		return nil
	}
	var out []membership.Identity
	for _, id := range m.own.Partners {
		if s, known := m.states[id]; known && s <= membership.Leaving {
			out = append(out, id)
		}
	}
	return out
}
