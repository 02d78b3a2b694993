package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Defaults and bounds of a Machine.
const (
	// DefaultMaxBytes is the memory for keys and their outcomes.
	DefaultMaxBytes = 32 << 20
	// DefaultMaxHops is how many instances may forward one attempt.
	DefaultMaxHops = 3
	// DefaultClaimShards is the number of rows that hold claims.
	DefaultClaimShards = 64
	// MaxClockSkew is the largest difference of two instances' clocks.
	MaxClockSkew = time.Minute
	// MaxWaitersPerKey is how many attempts may wait for one key.
	MaxWaitersPerKey = 64
	// MaxUnroutedAttempts is how many attempts may wait for claims, and how many for a
	// successor's reply.
	MaxUnroutedAttempts = 4096
	// maxMoves bounds a chain of handovers as it is followed.
	maxMoves = 16
)

// Config holds the settings of a Machine. All instances of an estate share
// MaxKeyTTL and ClaimShards.
type Config struct {
	Self Home
	// MaxKeyTTL is the longest time from the issue of a key, or its claim, to
	// its expiry.
	MaxKeyTTL time.Duration
	// ClaimTTL is how long a key chosen by a caller is remembered.
	ClaimTTL time.Duration
	// MaxBytes bounds the memory for keys; 0 is DefaultMaxBytes.
	MaxBytes int64
	// MaxHops bounds forwarding; 0 is DefaultMaxHops.
	MaxHops int
	// ClaimShards is the number of claim rows; 0 is DefaultClaimShards.
	ClaimShards uint32
}

// Machine is the state machine of one instance. It is not safe for concurrent
// use.
type Machine struct {
	cfg Config
	// now never goes back.
	now   time.Time
	store *store
	// runs holds the runs in the states queued and started.
	runs    map[RunID]*record
	lastRun RunID
	// attempts holds the records whose waiting list has the attempt.
	attempts map[AttemptID]*record
	// forwards holds the attempts that another instance is to answer.
	forwards map[AttemptID]forwarded
	claims   claims
	// held holds the homes whose keys this instance may run. It has Self until
	// a handover, and then is empty.
	held  map[Home]*authority
	peers peers
	// leaving is set from a Handover on.
	leaving *leaving
	out     []Action
}

// forwarded is an attempt that another instance is to answer.
type forwarded struct {
	Arrive
	to Home
}

// authority is the right to run one home's keys.
type authority struct {
	// floor only rises; see Authority.
	floor time.Time
	// until is when the last key of the home has expired; zero for Self.
	until time.Time
}

// New returns the machine of an instance that has just started, so that no key
// of its own can have been issued before.
func New(cfg Config) *Machine {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.MaxHops == 0 {
		cfg.MaxHops = DefaultMaxHops
	}
	if cfg.ClaimShards == 0 {
		cfg.ClaimShards = DefaultClaimShards
	}
	return &Machine{
		cfg:      cfg,
		store:    newStore(cfg.MaxBytes),
		runs:     map[RunID]*record{},
		attempts: map[AttemptID]*record{},
		forwards: map[AttemptID]forwarded{},
		claims:   newClaims(cfg.ClaimShards),
		held:     map[Home]*authority{cfg.Self: {}},
		peers:    newPeers(),
	}
}

// Step handles one event at a time and returns what is to be done, in order.
// A time before that of an earlier step counts as the earlier one.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if now.After(m.now) {
		m.now = now
	}
	m.store.expire(m.now)
	m.out = nil
	switch e := ev.(type) {
	case Arrive:
		m.arrive(e)
	case Cancel:
		m.cancel(e)
	case Start:
		m.start(e.Run)
	case Finish:
		m.finish(e)
	case ForwardResult:
		m.forwardResult(e)
	case ClaimResult:
		m.claimResult(e)
	case StartHandover:
		m.handover(e.To)
	case TransferReply:
		m.transferReply(e)
	case TransferReceived:
		m.adopt(e.Transfer)
	case RunResults:
		m.settleRemote(e)
	case RunResultsAck:
		m.settleReply(e)
	case AuthorityMoved:
		m.peers.move(e.From, e.To, m.now.Add(m.memory()))
	case HomeTerminated:
		m.gone(e.Home)
	case Tick:
		m.tick()
	}
	return m.out
}

// HandoverComplete reports whether a planned stop may end: the authority has been handed
// over, no attempt waits here, and every end has been passed on, unless the
// successor has ended itself.
func (m *Machine) HandoverComplete() bool {
	l := m.leaving
	if l == nil || len(l.parked) > 0 || m.store.live > 0 || len(m.forwards) > 0 {
		return false
	}
	return m.peers.ended(l.to, m.cfg.Self) || l.accepted && len(l.unsent) == 0
}

// Stats describes the memory of a Machine.
type Stats struct {
	// Records counts the keys in memory, Live those of them that may still be
	// running.
	Records, Live int
	// Bytes is what they take, at most about Config.MaxBytes.
	Bytes int64
	// Floor is the latest expiry of an own key that was dropped early; zero
	// when there was none.
	Floor time.Time
}

// Stats returns the present figures.
func (m *Machine) Stats() Stats {
	s := Stats{Records: len(m.store.records), Live: m.store.live, Bytes: m.store.bytes}
	if a := m.held[m.cfg.Self]; a != nil {
		s.Floor = a.floor
	}
	return s
}

// memory is how long a fact about a home matters: until its last key expired.
func (m *Machine) memory() time.Duration { return m.cfg.MaxKeyTTL + MaxClockSkew }

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) answer(a AttemptID, r Result) { m.emit(Respond{Attempt: a, Result: r}) }

func (m *Machine) arrive(a Arrive) {
	if err := CheckKey(a.Key); err != nil {
		m.emit(Reject{Attempt: a.Attempt, Err: err})
		return
	}
	if a.Hops > m.cfg.MaxHops {
		m.answer(a.Attempt, resumable(outcome.KindPeerLost, "no instance that was asked is the authority of the key"))
		return
	}
	if m.meet(a) {
		return
	}
	if k, err := ParseKey(a.Key); err == nil {
		m.route(a, k.Home, k.Expiry)
		return
	}
	if m.leaving != nil {
		m.passOn(a)
		return
	}
	m.claim(a)
}

// meet handles an attempt of a key that is in memory.
func (m *Machine) meet(a Arrive) bool {
	r := m.store.get(a.Key)
	if r == nil || r.state == idle && m.held[r.home] == nil {
		return false
	}
	if r.fingerprint != a.Fingerprint {
		m.emit(Reject{Attempt: a.Attempt, Err: foreignKey()})
		return true
	}
	if len(r.waiting) >= MaxWaitersPerKey {
		m.answer(a.Attempt, resumable(outcome.KindOverloaded, "too many attempts wait for the key"))
		return true
	}
	switch r.state {
	case settled:
		res := r.result
		res.Replayed = true
		m.answer(a.Attempt, res)
	case idle:
		m.await(r, a.Attempt)
		m.queue(r)
	default:
		m.await(r, a.Attempt)
		m.emit(Join{Attempt: a.Attempt, Key: a.Key})
	}
	return true
}

// route takes an attempt to the authority over the home's keys.
func (m *Machine) route(a Arrive, home Home, expiry time.Time) {
	if m.meet(a) {
		return
	}
	if m.held[home] != nil {
		m.admit(a, home, expiry)
		return
	}
	to, ok := m.peers.authority(home, m.cfg.Self)
	switch {
	case ok && m.leaving != nil && to == m.leaving.to:
		m.passOn(a)
	case ok && to != m.cfg.Self:
		m.forward(a, to)
	default:
		m.answer(a.Attempt, lost(outcome.KindHomeGone,
			fmt.Sprintf("the key's home %s has ended, and what became of the request with it", home)))
	}
}

// admit runs a key that this authority has not in memory, unless it may have
// been forgotten.
func (m *Machine) admit(a Arrive, home Home, expiry time.Time) {
	switch {
	case !expiry.After(m.now):
		m.answer(a.Attempt, lost(outcome.KindHomeGone, "the key has expired, and its outcome with it"))
		return
	case !expiry.After(m.held[home].floor):
		m.answer(a.Attempt, lost(outcome.KindHomeGone, "the outcome of the key may have been dropped for want of memory"))
		return
	case expiry.After(m.now.Add(m.memory())):
		m.answer(a.Attempt, lost(outcome.KindHomeGone, "the key expires later than any key of this estate"))
		return
	}
	r := &record{key: a.Key, home: home, expiry: expiry, fingerprint: a.Fingerprint, state: idle}
	if !m.store.shrink(r.cost(), m.forget) {
		m.answer(a.Attempt, resumable(outcome.KindOverloaded, "the memory for keys is full of requests in progress"))
		return
	}
	if !expiry.After(m.held[home].floor) {
		// The memory was made by dropping a later key.
		m.answer(a.Attempt, lost(outcome.KindHomeGone, "the memory for keys is full of later keys"))
		return
	}
	m.store.add(r)
	m.await(r, a.Attempt)
	m.queue(r)
}

// forget keeps a dropped key from running again.
func (m *Machine) forget(r *record) {
	a := m.held[r.home]
	if a == nil && m.leaving != nil {
		a = m.leaving.saved[r.home]
	}
	if a != nil && r.expiry.After(a.floor) {
		a.floor = r.expiry
	}
}

func (m *Machine) await(r *record, a AttemptID) {
	r.waiting = append(r.waiting, a)
	m.attempts[a] = r
}

// queue starts a run of an idle key for the first attempt that waits.
func (m *Machine) queue(r *record) {
	m.lastRun++
	r.run = m.lastRun
	m.runs[r.run] = r
	m.store.setState(r, queued)
	m.emit(Run{Run: r.run, Attempt: r.waiting[0], Key: r.key})
}

func (m *Machine) start(run RunID) {
	r := m.runs[run]
	if r == nil || len(r.waiting) == 0 {
		m.emit(DenyStart{Run: run})
		return
	}
	m.store.setState(r, started)
	m.emit(AllowStart{Run: run})
}

func (m *Machine) finish(e Finish) {
	r := m.runs[e.Run]
	if r == nil {
		return
	}
	delete(m.runs, e.Run)
	if e.Result.Outcome == outcome.NotRun && len(r.waiting) == 0 {
		m.rest(r)
		return
	}
	m.settle(r, e.Result)
}

// rest puts a key whose run was withdrawn back to idle; nothing was told.
func (m *Machine) rest(r *record) {
	r.run = 0
	m.store.setState(r, idle)
	if m.held[r.home] == nil {
		m.sendEnd(r)
	}
}

// settle ends a key for good and answers all that wait for it.
func (m *Machine) settle(r *record, res Result) {
	if len(res.Body) > MaxStoredBody {
		res.Body, res.BodyDropped = nil, true
	}
	if res.Outcome == outcome.NotRun {
		res.Err = sealed(res.Err)
	}
	r.run, r.result = 0, res
	m.store.setState(r, settled)
	for _, a := range r.waiting {
		delete(m.attempts, a)
		m.answer(a, res)
	}
	r.waiting = nil
	if m.held[r.home] == nil {
		m.sendEnd(r)
	}
	m.store.shrink(0, m.forget)
}

func (m *Machine) cancel(e Cancel) {
	tell := func(res Result) {
		if e.Reason == DeadlineExceeded {
			m.answer(e.Attempt, res)
		}
	}
	pending := resumable(outcome.KindDeadline, "the deadline passed before the request had ended")
	r := m.attempts[e.Attempt]
	if r == nil {
		if m.dropWaiting(e.Attempt) {
			tell(pending)
		}
		return
	}
	delete(m.attempts, e.Attempt)
	r.waiting = slices.DeleteFunc(r.waiting, func(a AttemptID) bool { return a == e.Attempt })
	if len(r.waiting) > 0 || r.state == remote {
		tell(pending)
		return
	}
	run := r.run
	m.emit(CancelQueuedRun{Run: run})
	if r.state == started {
		tell(pending)
		return
	}
	delete(m.runs, run)
	if e.Reason == DeadlineExceeded {
		m.settle(r, withdrawn())
		tell(withdrawn())
		return
	}
	m.rest(r)
}

// dropWaiting removes an attempt that waits for a claim, for another instance
// or for a successor.
func (m *Machine) dropWaiting(a AttemptID) bool {
	if _, ok := m.forwards[a]; ok {
		delete(m.forwards, a)
		return true
	}
	if m.claims.drop(a) {
		return true
	}
	return m.leaving != nil && m.leaving.drop(a)
}

func (m *Machine) forward(a Arrive, to Home) {
	m.forwards[a.Attempt] = forwarded{Arrive: a, to: to}
	m.emit(Forward{Attempt: a.Attempt, Key: a.Key, To: to})
}

func (m *Machine) forwardResult(e ForwardResult) {
	f, ok := m.forwards[e.Attempt]
	if !ok {
		return
	}
	delete(m.forwards, e.Attempt)
	to, alive := m.peers.authority(f.to, m.cfg.Self)
	switch {
	case e.Replied:
		m.answer(e.Attempt, e.Result)
	case e.NotSent && (!alive || to != f.to) && f.Hops < m.cfg.MaxHops:
		// The authority has moved or ended since; each try counts as a hop.
		f.Hops++
		m.arrive(f.Arrive)
	default:
		m.answer(e.Attempt, resumable(outcome.KindPeerLost, "the key's authority could not be reached"))
	}
}

func (m *Machine) tick() {
	m.peers.expire(m.now)
	for h, a := range m.held {
		if h != m.cfg.Self && !a.until.After(m.now) {
			delete(m.held, h)
		}
	}
	m.resend()
}
