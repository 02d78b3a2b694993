package once

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// leaving is the state of a planned stop.
type leaving struct {
	to       Home
	transfer Transfer
	// saved is what held was, for a successor that refuses; nil once accepted.
	saved map[Home]*authority
	// accepted is set once the successor has all authority; until then nobody
	// but the successor may act on it, since its reply can be lost.
	accepted bool
	// parked holds attempts until the successor has replied; empty afterwards.
	parked []Arrive
	// unsent holds the ends of runs that the successor has not acknowledged.
	unsent map[string]Record
}

func (l *leaving) drop(a AttemptID) bool {
	n := len(l.parked)
	l.parked = slices.DeleteFunc(l.parked, func(w Arrive) bool { return w.Attempt == a })
	return len(l.parked) < n
}

func (m *Machine) handover(to Home) {
	if m.leaving != nil || to == m.cfg.Self {
		return
	}
	t := Transfer{From: m.cfg.Self, To: to, Records: m.snapshot()}
	until := m.now.Add(m.memory())
	for _, h := range slices.SortedFunc(maps.Keys(m.held), Home.compare) {
		floor := m.held[h].floor
		if m.now.After(floor) {
			floor = m.now
		}
		t.Authorities = append(t.Authorities, Authority{Home: h, Floor: floor})
		m.peers.moved[h] = move{to: to, until: until}
	}
	m.leaving = &leaving{to: to, transfer: t, saved: m.held, unsent: map[string]Record{}}
	m.held = map[Home]*authority{}
	m.leaving.parked = m.claims.takeAll()
	m.emit(SendTransfer{Transfer: t})
}

// snapshot returns the records of the keys that this instance may run, by key.
func (m *Machine) snapshot() []Record {
	var all []Record
	for _, key := range slices.Sorted(maps.Keys(m.store.records)) {
		if r := m.store.records[key]; m.held[r.home] != nil {
			all = append(all, r.export())
		}
	}
	return all
}

// export returns the record as it is handed over.
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

// passOn takes an attempt to the successor, once that has the authority.
func (m *Machine) passOn(a Arrive) {
	l := m.leaving
	switch {
	case m.peers.ended(l.to, m.cfg.Self):
		m.answer(a.Attempt, lost(outcome.KindHomeGone, "the key's home has stopped and its successor has ended"))
	case l.accepted:
		m.forward(a, l.to)
	case len(l.parked) >= MaxUnroutedAttempts:
		m.answer(a.Attempt, resumable(outcome.KindOverloaded, "too many attempts wait for the successor of the key's home"))
	default:
		l.parked = append(l.parked, a)
	}
}

func (m *Machine) transferReply(e TransferReply) {
	l := m.leaving
	if l == nil || l.accepted || e.From != l.to {
		return
	}
	parked := l.parked
	l.parked = nil
	if !e.Accepted {
		m.resume()
		for _, a := range parked {
			m.arrive(a)
		}
		return
	}
	l.accepted = true
	m.release()
	for _, a := range l.transfer.Authorities {
		m.emit(AnnounceMove{From: a.Home, To: l.to})
	}
	for _, a := range parked {
		m.passOn(a)
	}
	m.resend()
}

// resume takes the authority back from a successor that refused it. A refusal
// is final, so no copy of the transfer can be accepted later.
func (m *Machine) resume() {
	m.held = m.leaving.saved
	for h := range m.held {
		delete(m.peers.moved, h)
	}
	m.leaving = nil
}

// release drops the records that the successor answers for.
func (m *Machine) release() {
	for _, r := range m.store.records {
		if !r.live() {
			m.store.remove(r)
		}
	}
	m.leaving.transfer.Records = nil
	m.leaving.saved = nil
}

// sendEnd passes the end of a run on to the successor.
func (m *Machine) sendEnd(r *record) {
	if m.leaving == nil {
		return
	}
	end := r.export()
	m.leaving.unsent[r.key] = end
	if m.leaving.accepted {
		m.emit(SendRunResults{To: m.leaving.to, Records: []Record{end}})
	}
}

// resend repeats what the successor has not acknowledged.
func (m *Machine) resend() {
	l := m.leaving
	if l == nil {
		return
	}
	if !l.accepted {
		m.emit(SendTransfer{Transfer: l.transfer})
		return
	}
	if len(l.unsent) == 0 {
		return
	}
	ends := slices.SortedFunc(maps.Values(l.unsent), func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	m.emit(SendRunResults{To: l.to, Records: ends})
}

func (m *Machine) settleReply(e RunResultsAck) {
	if m.leaving == nil || e.From != m.leaving.to {
		return
	}
	for _, key := range e.Keys {
		delete(m.leaving.unsent, key)
	}
}

func (m *Machine) adopt(t Transfer) {
	if t.To != m.cfg.Self {
		return
	}
	if accepted, known := m.peers.replied[t.From]; known {
		m.emit(SendTransferReply{To: t.From, Accepted: accepted})
		return
	}
	accepted := m.leaving == nil
	m.peers.replied[t.From] = accepted
	if accepted {
		m.takeOver(t)
	}
	m.emit(SendTransferReply{To: t.From, Accepted: accepted})
}

func (m *Machine) takeOver(t Transfer) {
	for _, a := range t.Authorities {
		m.held[a.Home] = &authority{floor: a.Floor, until: later(m.now, a.Floor).Add(m.memory())}
		m.peers.move(a.Home, m.cfg.Self, m.now.Add(m.memory()))
	}
	for _, rec := range t.Records {
		if m.store.get(rec.Key) == nil {
			m.store.add(imported(rec, t.From))
		}
	}
	if m.peers.ended(t.From, m.cfg.Self) {
		m.giveUp(t.From)
	}
	m.store.shrink(0, m.forget)
}

// imported returns the record as the successor keeps it.
func imported(rec Record, giver Home) *record {
	r := &record{key: rec.Key, home: rec.Home, expiry: rec.Expiry, fingerprint: rec.Fingerprint}
	switch rec.State {
	case RecordSettled:
		r.state, r.result = settled, rec.Result
	case RecordRunning:
		r.state, r.giver = remote, giver
	}
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settleRemote takes the ends of runs from the giver. Before the transfer
// itself has come there is nothing to settle, and the giver sends them again.
func (m *Machine) settleRemote(e RunResults) {
	if !m.peers.replied[e.From] {
		return
	}
	var keys []string
	for _, rec := range e.Records {
		keys = append(keys, rec.Key)
		if r := m.store.get(rec.Key); r != nil && r.state == remote && r.giver == e.From {
			m.endRemote(r, rec)
		}
	}
	m.emit(SendRunResultsAck{To: e.From, Keys: keys})
}

func (m *Machine) endRemote(r *record, end Record) {
	r.giver = Home{}
	switch {
	case end.State == RecordSettled:
		m.settle(r, end.Result)
	case m.held[r.home] == nil:
		m.returnWaiting(r)
	case len(r.waiting) > 0:
		m.store.setState(r, idle)
		m.queue(r)
	default:
		m.rest(r)
	}
}

// returnWaiting passes the attempts of a key that was withdrawn on to the
// successor, which may run it, or ends them when the authority has run out.
func (m *Machine) returnWaiting(r *record) {
	waiting := r.waiting
	r.waiting = nil
	m.rest(r)
	for _, a := range waiting {
		delete(m.attempts, a)
		if m.leaving == nil {
			m.answer(a, lost(outcome.KindHomeGone, "the key has expired"))
			continue
		}
		m.passOn(Arrive{Attempt: a, Key: r.key, Fingerprint: r.fingerprint})
	}
}

func (m *Machine) gone(h Home) {
	if h == m.cfg.Self {
		return
	}
	m.peers.gone[h] = m.now.Add(m.memory())
	m.giveUp(h)
	if l := m.leaving; l != nil && l.to == h {
		parked := l.parked
		l.parked = nil
		for _, a := range parked {
			m.passOn(a)
		}
	}
}

// giveUp ends the keys that a giver still ran when it ended.
func (m *Machine) giveUp(giver Home) {
	for _, key := range slices.Sorted(maps.Keys(m.store.records)) {
		// Settling one key can drop others for want of memory.
		if r := m.store.get(key); r != nil && r.state == remote && r.giver == giver {
			m.settle(r, lost(outcome.KindHomeGone, "the instance that ran the request has ended"))
		}
	}
}
