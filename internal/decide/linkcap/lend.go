package linkcap

import (
	"maps"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// RightsRequested takes a partner's request for rights and sends it up to half of what
// is spare here.
func (m *Machine) RightsRequested(now time.Time, from membership.Identity, to string, want Rights) {
	if m.own == nil || !slices.Contains(m.own.Partners, from) {
		return
	}
	spare := m.spare(to, now)
	half := Rights{(spare.InFlight + 1) / 2, (spare.Rate + 1) / 2}
	m.send(now, from, to, want.positive().min(half))
}

// send moves up to amount of the spare rights to a partner. Own rights that are
// lent already cannot back another loan; what was borrowed from the partner can
// always go back.
func (m *Machine) send(now time.Time, id membership.Identity, to string, amount Rights) {
	l, ok := m.loans[id]
	if !ok {
		l = newLoan()
		m.loans[id] = l
	}
	if l.closed {
		return
	}
	backed := m.own.rights(to).sub(m.giving[to]).sub(m.lent(to)).positive()
	borrowed := Rights{}.sub(l.out(to)).positive()
	amount = amount.min(backed.add(borrowed)).min(m.spare(to, now)).positive()
	if amount.isZero() {
		return
	}
	l.sent[to] = l.sent[to].add(amount)
	l.resendAt = now.Add(m.cfg.ResendAfter)
	m.ready.Transfers = append(m.ready.Transfers, Transfer{To: id, Link: to, Total: l.sent[to]})
}

// TransferReceived takes the total that a partner has sent on a link and reports
// whether it counts. One that does not must not be acknowledged: it comes
// again.
func (m *Machine) TransferReceived(now time.Time, from membership.Identity, to string, total Rights) bool {
	if m.own == nil || !slices.Contains(m.own.Partners, from) || m.states[from] == membership.Gone {
		return false
	}
	l, ok := m.loans[from]
	if !ok {
		l = newLoan()
		m.loans[from] = l
	}
	if l.closed {
		return false
	}
	l.received[to] = l.received[to].max(total)
	m.advance(now)
	return true
}

// TransferAcked takes a partner's acknowledgement of a Transfer.
func (m *Machine) TransferAcked(t Transfer) {
	if l, ok := m.loans[t.To]; ok {
		l.acked[t.Link] = l.acked[t.Link].max(t.Total)
	}
}

// resend repeats transfers without an answer.
func (m *Machine) resend(now time.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(m.loans), membership.Identity.Compare) {
		l := m.loans[id]
		if l.closed || now.Before(l.resendAt) {
			continue
		}
		for _, to := range slices.Sorted(maps.Keys(l.sent)) {
			if l.sent[to] != l.acked[to] {
				l.resendAt = now.Add(m.cfg.ResendAfter)
				m.ready.Transfers = append(m.ready.Transfers, Transfer{To: id, Link: to, Total: l.sent[to]})
			}
		}
	}
}

// want asks a partner for rights on links that refused requests.
func (m *Machine) want(now time.Time) {
	partners := m.partners()
	if len(partners) == 0 || m.leaving {
		return
	}
	for _, to := range m.links() {
		l := m.limiter(to)
		if l.refused == 0 || now.Before(m.wantAt[to]) {
			continue
		}
		m.wantAt[to] = now.Add(m.cfg.RightsRequestInterval)
		m.turn++
		ask := Rights{InFlight: l.refused, Rate: l.refused}
		m.ready.RightsRequests = append(m.ready.RightsRequests, RightsRequest{To: partners[m.turn%len(partners)], Link: to, Rights: ask})
		l.refused = 0
	}
}
