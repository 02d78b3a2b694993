package linkcap

import (
	"maps"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// RightsRequested processes a partner's request for rights. It sends at most
// half of the spare rights, rounded up.
func (m *Machine) RightsRequested(now time.Time, from membership.Identity, to string, requested Rights) {
	if m.ownEntry == nil || !slices.Contains(m.ownEntry.Partners, from) {
		return
	}
	spare := m.spare(to, now)
	half := Rights{(spare.InFlight + 1) / 2, (spare.Rate + 1) / 2}
	m.sendTransfer(now, from, to, requested.positive().min(half))
}

// sendTransfer sends up to amount of the spare rights to a partner. Own rights
// that are lent already cannot be lent again. Rights borrowed from the partner
// can always be returned.
func (m *Machine) sendTransfer(now time.Time, id membership.Identity, to string, amount Rights) {
	l, ok := m.loans[id]
	if !ok {
		l = newLoan()
		m.loans[id] = l
	}
	if l.closed {
		return
	}
	unlent := m.ownEntry.rights(to).sub(m.relinquishing[to]).sub(m.lent(to)).positive()
	borrowed := Rights{}.sub(l.outstanding(to)).positive()
	amount = amount.min(unlent.add(borrowed)).min(m.spare(to, now)).positive()
	if amount.isZero() {
		return
	}
	l.sent[to] = l.sent[to].add(amount)
	l.resendAt = now.Add(m.cfg.ResendAfter)
	m.ready.Transfers = append(m.ready.Transfers, Transfer{To: id, Link: to, Total: l.sent[to]})
}

// TransferReceived processes the total that a partner has sent on a link, and
// reports whether it was accepted. One that was not accepted must not be
// acknowledged, so that the partner sends it again.
func (m *Machine) TransferReceived(now time.Time, from membership.Identity, to string, total Rights) bool {
	if m.ownEntry == nil || !slices.Contains(m.ownEntry.Partners, from) || m.states[from] == membership.Gone {
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

// TransferAcked records a partner's acknowledgment of a Transfer.
func (m *Machine) TransferAcked(t Transfer) {
	if l, ok := m.loans[t.To]; ok {
		l.acked[t.Link] = l.acked[t.Link].max(t.Total)
	}
}

// resendTransfers repeats transfers that were not acknowledged in time.
func (m *Machine) resendTransfers(now time.Time) {
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

// requestRights asks a partner for rights on links where requests were
// rejected.
func (m *Machine) requestRights(now time.Time) {
	partners := m.partners()
	if len(partners) == 0 || m.leaving {
		return
	}
	for _, to := range m.links() {
		l := m.limiter(to)
		if l.rejected == 0 || now.Before(m.nextRequestAt[to]) {
			continue
		}
		m.nextRequestAt[to] = now.Add(m.cfg.RightsRequestInterval)
		m.partnerTurn++
		missing := Rights{InFlight: l.rejected, Rate: l.rejected}
		m.ready.RightsRequests = append(m.ready.RightsRequests, RightsRequest{To: partners[m.partnerTurn%len(partners)], Link: to, Rights: missing})
		l.rejected = 0
	}
}
