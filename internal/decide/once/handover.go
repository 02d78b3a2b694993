package once

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// handover is the state of a handover, which is part of a planned shutdown.
type handover struct {
	// to is the successor.
	to       Home
	transfer Transfer
	// savedAuthorities holds the authorities to restore if the successor
	// refuses; nil after it has accepted.
	savedAuthorities map[Home]*authority
	// accepted is set when the successor has replied that it accepted the
	// transfer. Until the reply, this instance must not use the authority
	// either: the successor may have accepted and its reply may be lost.
	accepted bool
	// pending holds the attempts that wait for the reply of the successor; it is
	// empty after the reply.
	pending []Arrive
	// unacked holds the results of runs that the successor has not
	// acknowledged, by key.
	unacked map[string]Record
}

// removeAttempt removes a pending attempt and reports whether it was there.
func (h *handover) removeAttempt(a AttemptID) bool {
	n := len(h.pending)
	h.pending = slices.DeleteFunc(h.pending, func(w Arrive) bool { return w.Attempt == a })
	return len(h.pending) < n
}

// beginHandover gives up all authority and sends it to the successor.
func (m *Machine) beginHandover(to Home) {
	if m.handover != nil || to == m.cfg.Self {
		return
	}
	t := Transfer{From: m.cfg.Self, To: to, Records: m.snapshot()}
	until := m.now.Add(m.retention())
	for _, h := range slices.SortedFunc(maps.Keys(m.authorities), Home.compare) {
		floor := m.authorities[h].floor
		if m.now.After(floor) {
			floor = m.now
		}
		t.Authorities = append(t.Authorities, Authority{Home: h, Floor: floor})
		m.peers.moved[h] = handedOver{to: to, until: until}
	}
	m.handover = &handover{to: to, transfer: t, savedAuthorities: m.authorities, unacked: map[string]Record{}}
	m.authorities = map[Home]*authority{}
	m.handover.pending = m.pendingClaims.takeAllAttempts()
	m.emit(SendTransfer{Transfer: t})
}

// snapshot returns the records of the keys that this instance may run, sorted by
// key.
func (m *Machine) snapshot() []Record {
	var all []Record
	for _, key := range slices.Sorted(maps.Keys(m.store.records)) {
		if r := m.store.records[key]; m.authorities[r.home] != nil {
			all = append(all, r.export())
		}
	}
	return all
}

// export returns the record in the form that a transfer has.
func (r *record) export() Record {
	out := Record{Key: r.key, Home: r.home, Expiry: r.expiry, Fingerprint: r.fingerprint, State: RecordRunning}
	switch r.state {
	case idle:
		out.State = RecordIdle
	case settled:
		out.State, out.Result = RecordSettled, r.result
	}
	return out
}

// routeToSuccessor forwards an attempt to the successor, or keeps it pending
// until the successor has accepted the transfer.
func (m *Machine) routeToSuccessor(a Arrive) {
	state := m.handover
	switch {
	case m.peers.hasTerminated(state.to, m.cfg.Self):
		m.respond(a.Attempt, permanentUnknown(outcome.KindHomeGone, "the key's home has shut down and its successor has terminated; whether the request ran is unknown"))
	case state.accepted:
		m.forward(a, state.to)
	case len(state.pending) >= MaxUnroutedAttempts:
		m.respond(a.Attempt, retryableUnknown(outcome.KindOverloaded, "too many attempts wait for the handover of the key's home"))
	default:
		state.pending = append(state.pending, a)
	}
}

// transferReply ends the wait for the successor and routes the pending attempts.
func (m *Machine) transferReply(e TransferReply) {
	state := m.handover
	if state == nil || state.accepted || e.From != state.to {
		return
	}
	pending := state.pending
	state.pending = nil
	if !e.Accepted {
		m.abortHandover()
		for _, a := range pending {
			m.arrive(a)
		}
		return
	}
	state.accepted = true
	m.dropTransferredRecords()
	for _, a := range state.transfer.Authorities {
		m.emit(AnnounceMove{From: a.Home, To: state.to})
	}
	for _, a := range pending {
		m.routeToSuccessor(a)
	}
	m.retransmit()
}

// abortHandover restores the authority after the successor refused it. This is
// safe because a refusal is final: the successor refuses every further copy of
// the transfer.
func (m *Machine) abortHandover() {
	m.authorities = m.handover.savedAuthorities
	for h := range m.authorities {
		delete(m.peers.moved, h)
	}
	m.handover = nil
}

// dropTransferredRecords drops the records that are not live, because the
// successor responds for their keys.
func (m *Machine) dropTransferredRecords() {
	for _, r := range m.store.records {
		if !r.live() {
			m.store.remove(r)
		}
	}
	m.handover.transfer.Records = nil
	m.handover.savedAuthorities = nil
}

// sendRunResult sends the result of a run to the successor, if there is one, and
// stores it for retransmission. If the successor has not accepted the transfer
// yet, it only stores the result.
func (m *Machine) sendRunResult(r *record) {
	if m.handover == nil {
		return
	}
	result := r.export()
	m.handover.unacked[r.key] = result
	if m.handover.accepted {
		m.emit(SendRunResults{To: m.handover.to, Records: []Record{result}})
	}
}

// retransmit sends the messages again that the successor has not acknowledged.
func (m *Machine) retransmit() {
	state := m.handover
	if state == nil {
		return
	}
	if !state.accepted {
		m.emit(SendTransfer{Transfer: state.transfer})
		return
	}
	if len(state.unacked) == 0 {
		return
	}
	results := slices.SortedFunc(maps.Values(state.unacked), func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	m.emit(SendRunResults{To: state.to, Records: results})
}

// runResultsAck removes the acknowledged results.
func (m *Machine) runResultsAck(e RunResultsAck) {
	if m.handover == nil || e.From != m.handover.to {
		return
	}
	for _, key := range e.Keys {
		delete(m.handover.unacked, key)
	}
}

// adopt accepts or refuses a transfer. An instance that is shutting down itself
// refuses. Each further copy of a transfer gets the same reply.
func (m *Machine) adopt(t Transfer) {
	if t.To != m.cfg.Self {
		return
	}
	if accepted, known := m.peers.transferReplies[t.From]; known {
		m.emit(SendTransferReply{To: t.From, Accepted: accepted})
		return
	}
	accepted := m.handover == nil
	m.peers.transferReplies[t.From] = accepted
	if accepted {
		m.acceptTransfer(t)
	}
	m.emit(SendTransferReply{To: t.From, Accepted: accepted})
}

// acceptTransfer takes over the authorities and the records of a transfer.
func (m *Machine) acceptTransfer(t Transfer) {
	for _, a := range t.Authorities {
		m.authorities[a.Home] = &authority{floor: a.Floor, until: later(m.now, a.Floor).Add(m.retention())}
		m.peers.handedOver(a.Home, m.cfg.Self, m.now.Add(m.retention()))
	}
	for _, rec := range t.Records {
		if m.store.get(rec.Key) == nil {
			m.store.add(importRecord(rec, t.From))
		}
	}
	if m.peers.hasTerminated(t.From, m.cfg.Self) {
		m.settleOrphanedRuns(t.From)
	}
	m.store.shrink(0, m.raiseFloor)
}

// importRecord returns the record that the successor stores for a transferred
// one.
func importRecord(rec Record, predecessor Home) *record {
	r := &record{key: rec.Key, home: rec.Home, expiry: rec.Expiry, fingerprint: rec.Fingerprint}
	switch rec.State {
	case RecordSettled:
		r.state, r.result = settled, rec.Result
	case RecordRunning:
		r.state, r.predecessor = runningAtPredecessor, predecessor
	}
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runResults applies the results of runs from the predecessor. It ignores
// results that arrive before the transfer itself was accepted; the predecessor
// retransmits them.
func (m *Machine) runResults(e RunResults) {
	if !m.peers.transferReplies[e.From] {
		return
	}
	var keys []string
	for _, rec := range e.Records {
		keys = append(keys, rec.Key)
		if r := m.store.get(rec.Key); r != nil && r.state == runningAtPredecessor && r.predecessor == e.From {
			m.applyRunResult(r, rec)
		}
	}
	m.emit(SendRunResultsAck{To: e.From, Keys: keys})
}

// applyRunResult settles a key with the result of the run at the predecessor. If
// the predecessor did not run the key, it may run here or at the successor.
func (m *Machine) applyRunResult(r *record, result Record) {
	r.predecessor = Home{}
	switch {
	case result.State == RecordSettled:
		m.settle(r, result.Result)
	case m.authorities[r.home] == nil:
		m.redirectWaiting(r)
	case len(r.waiting) > 0:
		m.store.setState(r, idle)
		m.queueRun(r)
	default:
		m.returnToIdle(r)
	}
}

// redirectWaiting handles the waiting attempts of a key that the predecessor did
// not run, if this instance has no authority over the key any more. It routes
// them to the successor, which may run the key. Without a successor the
// authority has expired, and the outcome is unknown.
func (m *Machine) redirectWaiting(r *record) {
	waiting := r.waiting
	r.waiting = nil
	m.returnToIdle(r)
	for _, a := range waiting {
		delete(m.attempts, a)
		if m.handover == nil {
			m.respond(a, permanentUnknown(outcome.KindHomeGone, "the key has expired"))
			continue
		}
		m.routeToSuccessor(Arrive{Attempt: a, Key: r.key, Fingerprint: r.fingerprint})
	}
}

// terminated records that a home has terminated, settles the runs that were in
// progress there, and ends the wait for it if it is the successor.
func (m *Machine) terminated(h Home) {
	if h == m.cfg.Self {
		return
	}
	m.peers.terminated[h] = m.now.Add(m.retention())
	m.settleOrphanedRuns(h)
	if state := m.handover; state != nil && state.to == h {
		pending := state.pending
		state.pending = nil
		for _, a := range pending {
			m.routeToSuccessor(a)
		}
	}
}

// settleOrphanedRuns settles the keys whose runs were still in progress at a
// predecessor when it terminated. Their outcome is unknown.
func (m *Machine) settleOrphanedRuns(predecessor Home) {
	for _, key := range slices.Sorted(maps.Keys(m.store.records)) {
		// Settling one key may drop others to free memory.
		if r := m.store.get(key); r != nil && r.state == runningAtPredecessor && r.predecessor == predecessor {
			m.settle(r, permanentUnknown(outcome.KindHomeGone, "the instance that ran the request terminated before it reported the result"))
		}
	}
}
