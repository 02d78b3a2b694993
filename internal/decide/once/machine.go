package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Defaults and bounds of a Machine.
const (
	// DefaultMaxBytes is the default of Config.MaxBytes, in bytes.
	DefaultMaxBytes = 32 << 20
	// DefaultMaxHops is the default of Config.MaxHops.
	DefaultMaxHops = 3
	// DefaultClaimShards is the default of Config.ClaimShards.
	DefaultClaimShards = 64
	// MaxClockSkew is the largest supported difference between the clocks of two
	// instances.
	MaxClockSkew = time.Minute
	// MaxWaitersPerKey is the largest number of attempts that wait for one key.
	MaxWaitersPerKey = 64
	// MaxUnroutedAttempts bounds the number of attempts that wait for claims. It
	// also bounds, separately, the number that wait for a successor's reply.
	MaxUnroutedAttempts = 4096
	// maxHandoverChain is the largest number of successive handovers that are
	// followed to find the authority over a key.
	maxHandoverChain = 16
)

// Config holds the settings of a Machine. MaxKeyTTL and ClaimShards must be equal
// on all instances of a deployment.
type Config struct {
	// Self is the home that this instance runs as.
	Self Home
	// MaxKeyTTL is the longest time from the issue or claim of a key to its
	// expiry.
	MaxKeyTTL time.Duration
	// ClaimTTL is the time from the claim of a caller-chosen key to its expiry.
	ClaimTTL time.Duration
	// MaxBytes bounds the memory for keys and their outcomes, in bytes; 0 means
	// DefaultMaxBytes.
	MaxBytes int64
	// MaxHops is the largest number of instances that forward one attempt; 0
	// means DefaultMaxHops.
	MaxHops int
	// ClaimShards is the number of table rows that hold claims; 0 means
	// DefaultClaimShards.
	ClaimShards uint32
}

// Machine is the state machine of one instance. It is not safe for concurrent
// use.
type Machine struct {
	cfg Config
	// now is the latest time of a step; it never decreases.
	now   time.Time
	store *store
	// runs holds the records in the states queued and started, by run.
	runs map[RunID]*record
	// lastRun is the last run id that was assigned.
	lastRun RunID
	// attempts holds, for each attempt that waits for a key, the record of the
	// key.
	attempts map[AttemptID]*record
	// forwards holds the attempts that were forwarded to another instance.
	forwards      map[AttemptID]forwardedAttempt
	pendingClaims pendingClaims
	// authorities holds the authority over each home whose keys this instance
	// may run. It contains Self, except that it is empty while a handover is in
	// progress and after it completed.
	authorities map[Home]*authority
	peers       peers
	// handover is set while a handover is in progress and after it completed.
	handover *handover
	// actions holds the actions of the current step.
	actions []Action
}

// forwardedAttempt is an attempt that was forwarded to another instance.
type forwardedAttempt struct {
	Arrive
	to Home
}

// authority is the right to run the keys of one home.
type authority struct {
	// floor never decreases; see Authority.Floor.
	floor time.Time
	// until is the time at which the last key of the home has expired; it is
	// zero for Self.
	until time.Time
}

// New returns the machine of an instance that has just started. No key may have
// been issued or claimed by cfg.Self before.
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
		cfg:           cfg,
		store:         newStore(cfg.MaxBytes),
		runs:          map[RunID]*record{},
		attempts:      map[AttemptID]*record{},
		forwards:      map[AttemptID]forwardedAttempt{},
		pendingClaims: newPendingClaims(cfg.ClaimShards),
		authorities:   map[Home]*authority{cfg.Self: {}},
		peers:         newPeers(),
	}
}

// Step handles one event and returns the actions to carry out, in order. If now
// is before the time of an earlier step, Step uses the earlier step's time.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if now.After(m.now) {
		m.now = now
	}
	m.store.expire(m.now)
	m.actions = nil
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
		m.beginHandover(e.To)
	case TransferReply:
		m.transferReply(e)
	case TransferReceived:
		m.adopt(e.Transfer)
	case RunResults:
		m.runResults(e)
	case RunResultsAck:
		m.runResultsAck(e)
	case AuthorityMoved:
		m.peers.handedOver(e.From, e.To, m.now.Add(m.retention()))
	case HomeTerminated:
		m.terminated(e.Home)
	case Tick:
		m.tick()
	}
	return m.actions
}

// HandoverComplete reports whether the process may exit after a StartHandover.
// It is true if no run and no attempt is left here, and if the successor has
// either accepted the transfer and acknowledged all results of runs, or
// terminated.
func (m *Machine) HandoverComplete() bool {
	state := m.handover
	if state == nil || len(state.pending) > 0 || m.store.live > 0 || len(m.forwards) > 0 {
		return false
	}
	return m.peers.hasTerminated(state.to, m.cfg.Self) || state.accepted && len(state.unacked) == 0
}

// Stats describes the memory use of a Machine.
type Stats struct {
	// Records is the number of keys in memory. Live is the number of those that
	// may still be running.
	Records, Live int
	// Bytes is the size of the records, at most about Config.MaxBytes.
	Bytes int64
	// Floor is the latest expiry of a key of Self that was dropped before it
	// expired. It is zero if there was none.
	Floor time.Time
}

// Stats returns the current memory use.
func (m *Machine) Stats() Stats {
	s := Stats{Records: len(m.store.records), Live: m.store.live, Bytes: m.store.bytes}
	if a := m.authorities[m.cfg.Self]; a != nil {
		s.Floor = a.floor
	}
	return s
}

// retention returns how long facts about a home are kept, which is until the
// home's last key has expired.
func (m *Machine) retention() time.Duration { return m.cfg.MaxKeyTTL + MaxClockSkew }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) respond(a AttemptID, r Result) { m.emit(Respond{Attempt: a, Result: r}) }

// arrive responds to an attempt from memory, or runs, forwards, claims or rejects
// it.
func (m *Machine) arrive(a Arrive) {
	if err := CheckKey(a.Key); err != nil {
		m.emit(Reject{Attempt: a.Attempt, Err: err})
		return
	}
	if a.Hops > m.cfg.MaxHops {
		m.respond(a.Attempt, retryableUnknown(outcome.KindPeerLost, "the attempt was forwarded too often without reaching the instance that has the authority over the key"))
		return
	}
	if m.handleKnownKey(a) {
		return
	}
	if k, err := ParseKey(a.Key); err == nil {
		m.route(a, k.Home, k.Expiry)
		return
	}
	if m.handover != nil {
		m.routeToSuccessor(a)
		return
	}
	m.claimKey(a)
}

// handleKnownKey handles an attempt of a key that is in memory, and reports
// whether it is. It ignores an idle key that this instance may not run.
func (m *Machine) handleKnownKey(a Arrive) bool {
	r := m.store.get(a.Key)
	if r == nil || r.state == idle && m.authorities[r.home] == nil {
		return false
	}
	if r.fingerprint != a.Fingerprint {
		m.emit(Reject{Attempt: a.Attempt, Err: foreignKeyError()})
		return true
	}
	if len(r.waiting) >= MaxWaitersPerKey {
		m.respond(a.Attempt, retryableUnknown(outcome.KindOverloaded, "too many attempts wait for the result of the key"))
		return true
	}
	switch r.state {
	case settled:
		res := r.result
		res.Replayed = true
		m.respond(a.Attempt, res)
	case idle:
		m.addWaiter(r, a.Attempt)
		m.queueRun(r)
	default:
		m.addWaiter(r, a.Attempt)
		m.emit(Join{Attempt: a.Attempt, Key: a.Key})
	}
	return true
}

// route runs an attempt here or forwards it to the instance that holds the
// authority over the home's keys.
func (m *Machine) route(a Arrive, home Home, expiry time.Time) {
	if m.handleKnownKey(a) {
		return
	}
	if m.authorities[home] != nil {
		m.admit(a, home, expiry)
		return
	}
	to, ok := m.peers.currentAuthority(home, m.cfg.Self)
	switch {
	case ok && m.handover != nil && to == m.handover.to:
		m.routeToSuccessor(a)
	case ok && to != m.cfg.Self:
		m.forward(a, to)
	default:
		m.respond(a.Attempt, permanentUnknown(outcome.KindHomeGone,
			fmt.Sprintf("the key's home %s has terminated; whether the request ran is unknown", home)))
	}
}

// admit runs a key that is not in memory. It refuses to run a key that may have
// been dropped from memory, because that key may have run before.
func (m *Machine) admit(a Arrive, home Home, expiry time.Time) {
	switch {
	case !expiry.After(m.now):
		m.respond(a.Attempt, permanentUnknown(outcome.KindHomeGone, "the key has expired and its outcome was dropped"))
		return
	case !expiry.After(m.authorities[home].floor):
		m.respond(a.Attempt, permanentUnknown(outcome.KindHomeGone, "the outcome of the key may have been dropped to free memory"))
		return
	case expiry.After(m.now.Add(m.retention())):
		m.respond(a.Attempt, permanentUnknown(outcome.KindHomeGone, "the key expires later than any key of this deployment"))
		return
	}
	r := &record{key: a.Key, home: home, expiry: expiry, fingerprint: a.Fingerprint, state: idle}
	if !m.store.shrink(r.cost(), m.raiseFloor) {
		m.respond(a.Attempt, retryableUnknown(outcome.KindOverloaded, "the memory for keys is full of requests in progress"))
		return
	}
	if !expiry.After(m.authorities[home].floor) {
		// Making room dropped a key that expires later, which raised the floor.
		m.respond(a.Attempt, permanentUnknown(outcome.KindHomeGone, "the memory for keys is full of keys that expire later"))
		return
	}
	m.store.add(r)
	m.addWaiter(r, a.Attempt)
	m.queueRun(r)
}

// raiseFloor raises the floor of a dropped record's authority to the record's
// expiry, so that the key never runs again.
func (m *Machine) raiseFloor(r *record) {
	a := m.authorities[r.home]
	if a == nil && m.handover != nil {
		a = m.handover.savedAuthorities[r.home]
	}
	if a != nil && r.expiry.After(a.floor) {
		a.floor = r.expiry
	}
}

// addWaiter makes an attempt wait for the result of a key.
func (m *Machine) addWaiter(r *record, a AttemptID) {
	r.waiting = append(r.waiting, a)
	m.attempts[a] = r
}

// queueRun queues a run of an idle key for its first waiting attempt.
func (m *Machine) queueRun(r *record) {
	m.lastRun++
	r.run = m.lastRun
	m.runs[r.run] = r
	m.store.setState(r, queued)
	m.emit(Run{Run: r.run, Attempt: r.waiting[0], Key: r.key})
}

// start allows a run to start if an attempt still waits for it.
func (m *Machine) start(run RunID) {
	r := m.runs[run]
	if r == nil || len(r.waiting) == 0 {
		m.emit(DenyStart{Run: run})
		return
	}
	m.store.setState(r, started)
	m.emit(AllowStart{Run: run})
}

// finish ends a run. A key that was not run goes back to idle if no attempt
// waits, since nothing was reported and a resend may run it.
func (m *Machine) finish(e Finish) {
	r := m.runs[e.Run]
	if r == nil {
		return
	}
	delete(m.runs, e.Run)
	if e.Result.Outcome == outcome.NotRun && len(r.waiting) == 0 {
		m.returnToIdle(r)
		return
	}
	m.settle(r, e.Result)
}

// returnToIdle changes the state of a key that was not run back to idle. This is
// allowed because no outcome was reported.
func (m *Machine) returnToIdle(r *record) {
	r.run = 0
	m.store.setState(r, idle)
	if m.authorities[r.home] == nil {
		m.sendRunResult(r)
	}
}

// settle makes a result the final result of a key and sends it to all waiting
// attempts.
func (m *Machine) settle(r *record, res Result) {
	if len(res.Body) > MaxStoredBody {
		res.Body, res.BodyDropped = nil, true
	}
	if res.Outcome == outcome.NotRun {
		res.Err = withNewKeyRemedy(res.Err)
	}
	r.run, r.result = 0, res
	m.store.setState(r, settled)
	for _, a := range r.waiting {
		delete(m.attempts, a)
		m.respond(a, res)
	}
	r.waiting = nil
	if m.authorities[r.home] == nil {
		m.sendRunResult(r)
	}
	m.store.shrink(0, m.raiseFloor)
}

// cancel ends an attempt. If it was the last one that waited for a queued run,
// the run is cancelled: after a deadline the key is settled as not run, and after
// a disconnect the key returns to idle. A started run continues.
func (m *Machine) cancel(e Cancel) {
	respondIfDeadline := func(res Result) {
		if e.Reason == DeadlinePassed {
			m.respond(e.Attempt, res)
		}
	}
	unfinished := retryableUnknown(outcome.KindDeadline, "the deadline passed before the request ended")
	r := m.attempts[e.Attempt]
	if r == nil {
		if m.removeWaiting(e.Attempt) {
			respondIfDeadline(unfinished)
		}
		return
	}
	delete(m.attempts, e.Attempt)
	r.waiting = slices.DeleteFunc(r.waiting, func(a AttemptID) bool { return a == e.Attempt })
	if len(r.waiting) > 0 || r.state == runningAtPredecessor {
		respondIfDeadline(unfinished)
		return
	}
	run := r.run
	m.emit(CancelQueuedRun{Run: run})
	if r.state == started {
		respondIfDeadline(unfinished)
		return
	}
	delete(m.runs, run)
	if e.Reason == DeadlinePassed {
		m.settle(r, queuedPastDeadline())
		respondIfDeadline(queuedPastDeadline())
		return
	}
	m.returnToIdle(r)
}

// removeWaiting removes an attempt that waits for a claim, for another instance
// or for a successor, and reports whether it was there.
func (m *Machine) removeWaiting(a AttemptID) bool {
	if _, ok := m.forwards[a]; ok {
		delete(m.forwards, a)
		return true
	}
	if m.pendingClaims.removeAttempt(a) {
		return true
	}
	return m.handover != nil && m.handover.removeAttempt(a)
}

// forward sends an attempt to another instance.
func (m *Machine) forward(a Arrive, to Home) {
	m.forwards[a.Attempt] = forwardedAttempt{Arrive: a, to: to}
	m.emit(Forward{Attempt: a.Attempt, Key: a.Key, To: to})
}

// forwardResult handles the result of a forwarded attempt. It routes the attempt
// again only if nothing was sent and the authority is known to have moved.
func (m *Machine) forwardResult(e ForwardResult) {
	f, ok := m.forwards[e.Attempt]
	if !ok {
		return
	}
	delete(m.forwards, e.Attempt)
	to, alive := m.peers.currentAuthority(f.to, m.cfg.Self)
	switch {
	case e.Replied:
		m.respond(e.Attempt, e.Result)
	case e.NotSent && (!alive || to != f.to) && f.Hops < m.cfg.MaxHops:
		// The authority has moved or terminated in the meantime. Each try counts
		// as a hop.
		f.Hops++
		m.arrive(f.Arrive)
	default:
		m.respond(e.Attempt, retryableUnknown(outcome.KindPeerLost, "the instance that has the authority over the key could not be reached"))
	}
}

// tick drops expired facts and authorities and retransmits messages.
func (m *Machine) tick() {
	m.peers.expire(m.now)
	for h, a := range m.authorities {
		if h != m.cfg.Self && !a.until.After(m.now) {
			delete(m.authorities, h)
		}
	}
	m.retransmit()
}
