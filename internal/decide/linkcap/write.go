package linkcap

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// write computes the next ledger and proposes it if it differs from the current
// one.
func (m *Machine) write(now time.Time) {
	if !m.row.CanWrite() || (!m.dirty && now.Before(m.recomputeAt)) {
		return
	}
	m.dirty, m.recomputeAt = false, now.Add(recomputeInterval)
	next := m.ledger.clone()
	m.settleDeadPartners(next)
	if m.leaving {
		m.returnLoans(now)
	}
	relinquishing := m.relinquishSurplus(now, next)
	m.maintainLedger(now, next, len(relinquishing) > 0)
	if !m.updateDueSince.IsZero() {
		m.recomputeAt = now.Add(m.cfg.RankDelay)
	}
	if next.equal(m.ledger) {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		// Ledger holds only strings and integers.
		panic(err)
	}
	m.relinquishing = relinquishing
	m.row.Propose(value)
}

// settleDeadPartners moves what this instance borrowed from dead partners into
// its own rights and ends these partnerships.
func (m *Machine) settleDeadPartners(next *Ledger) {
	own := next.holder(m.cfg.Self)
	if own == nil {
		return
	}
	for _, id := range slices.Clone(own.Partners) {
		if _, isDead := m.deadSince[id]; !isDead {
			continue
		}
		if l, dead := m.loans[id], next.holder(id); l != nil && dead != nil {
			for _, to := range m.links() {
				borrowed := Rights{}.sub(l.outstanding(to)).positive()
				own.setRights(to, own.rights(to).add(borrowed))
				dead.setRights(to, dead.rights(to).sub(borrowed))
			}
		}
		next.unpair(m.cfg.Self, id)
	}
}

// relinquishSurplus removes spare rights from this instance's entry and returns
// them by target region. It removes what exceeds the fair share and is needed
// elsewhere, or all spare rights when this instance leaves. The removed rights
// are not usable here until the write is resolved. They become free in the next
// ledger, and the same write grants them to others.
func (m *Machine) relinquishSurplus(now time.Time, next *Ledger) map[string]Rights {
	relinquishing := map[string]Rights{}
	own := next.holder(m.cfg.Self)
	if own == nil {
		return relinquishing
	}
	for _, to := range m.links() {
		keep := m.fairShare(to, next)
		needed := m.deficit(to, next, keep)
		if m.leaving {
			keep = Rights{}
			needed = own.rights(to)
		}
		// Rights that are lent to partners cannot be given up.
		unlent := m.ledgerRights(to).sub(m.lent(to)).positive()
		surplus := own.rights(to).sub(keep).positive().min(needed).min(unlent).min(m.spare(to, now))
		if surplus.isZero() {
			continue
		}
		relinquishing[to] = surplus
		own.setRights(to, own.rights(to).sub(surplus))
	}
	return relinquishing
}

// ledgerRights returns this instance's rights in the current ledger.
func (m *Machine) ledgerRights(to string) Rights {
	if m.ownEntry == nil {
		return Rights{}
	}
	return m.ownEntry.rights(to)
}

// returnLoans sends borrowed rights back to the partners during the planned
// shutdown.
func (m *Machine) returnLoans(now time.Time) {
	if m.ownEntry == nil {
		return
	}
	for _, id := range m.partners() {
		for _, to := range m.links() {
			if l, ok := m.loans[id]; ok {
				m.sendTransfer(now, id, to, Rights{}.sub(l.outstanding(to)).positive())
			}
		}
	}
}

// fairShare returns an equal share of a link's configured cap.
func (m *Machine) fairShare(to string, next *Ledger) Rights {
	n := int64(max(1, len(m.liveHolders(next))))
	return Rights{m.caps[to].InFlight / n, m.caps[to].Rate / n}
}

// deficit returns the rights that holders should give up on a link. This is
// what the other holders lack to their fair shares beyond the free rights, plus
// what the ledger grants above the configured cap.
func (m *Machine) deficit(to string, next *Ledger, fair Rights) Rights {
	var sum Rights
	for _, id := range m.liveHolders(next) {
		if id != m.cfg.Self {
			sum = sum.add(fair.sub(next.holder(id).rights(to)).positive())
		}
	}
	total := next.total(to)
	free := m.caps[to].sub(total).positive()
	above := total.sub(m.caps[to]).positive()
	return sum.sub(free).positive().add(above)
}

// liveHolders returns the live holders that are not leaving, in the order of
// the ledger.
func (m *Machine) liveHolders(next *Ledger) []membership.Identity {
	var out []membership.Identity
	for _, h := range next.Holders {
		self := h.Identity == m.cfg.Self
		if (self && !m.leaving) || (!self && m.states[h.Identity] == membership.Live && m.inView(h.Identity)) {
			out = append(out, h.Identity)
		}
	}
	return out
}

// inView reports whether the membership view has the incarnation.
func (m *Machine) inView(id membership.Identity) bool {
	_, ok := m.states[id]
	return ok
}

// maintainLedger makes the changes that any instance may make: it adds live
// instances, removes dead holders and grants free rights. Lower-ranked
// instances wait longer, so that normally one write does this for all. An
// instance that writes for another reason does not wait.
func (m *Machine) maintainLedger(now time.Time, next *Ledger, proposing bool) {
	before := next.clone()
	m.addLiveInstances(next)
	m.removeDead(now, next)
	m.grant(next)
	switch {
	case before.equal(next):
		m.updateDueSince = time.Time{}
	case m.updateDueSince.IsZero():
		m.updateDueSince = now
	}
	if !proposing && !m.updateDueSince.IsZero() && now.Sub(m.updateDueSince) < m.rankedDelay() {
		*next = *before
	}
}

// rankedDelay returns how long this instance waits before it makes the changes
// of maintainLedger.
func (m *Machine) rankedDelay() time.Duration {
	var names []string
	for _, in := range m.members {
		if in.State == membership.Live {
			names = append(names, in.Identity.String())
		}
	}
	rank := slices.Index(hrw.Rank("grant/"+m.cfg.Region, names), m.cfg.Self.String())
	if rank < 0 || rank > maxRank {
		rank = maxRank
	}
	return time.Duration(rank) * m.cfg.RankDelay
}

// addLiveInstances adds entries for live instances while there is room, and
// finds partners for holders that have too few.
func (m *Machine) addLiveInstances(next *Ledger) {
	room := m.cfg.MaxHolders
	for _, h := range next.Holders {
		// A holder without evidence of its death counts, even if it is missing
		// from the membership view.
		if _, isDead := m.deadSince[h.Identity]; !isDead {
			room--
		}
	}
	for _, in := range m.members {
		eligible := in.State == membership.Live && !(in.Identity == m.cfg.Self && m.leaving)
		if eligible && room > 0 && next.holder(in.Identity) == nil {
			next.addHolder(in.Identity, in.Peer)
			room--
		}
	}
	liveHolders := m.liveHolders(next)
	for _, id := range liveHolders {
		m.findPartners(next, id, liveHolders)
	}
}

// findPartners pairs a holder with others until it has minPartners or no other
// has room for a partner.
func (m *Machine) findPartners(next *Ledger, id membership.Identity, holders []membership.Identity) {
	if len(next.holder(id).Partners) >= minPartners {
		return
	}
	byName := map[string]membership.Identity{}
	var names []string
	for _, t := range holders {
		if t != id {
			byName[t.String()] = t
			names = append(names, t.String())
		}
	}
	for _, name := range hrw.Rank(id.String(), names) {
		if len(next.holder(id).Partners) >= minPartners {
			return
		}
		if len(next.holder(byName[name]).Partners) < maxPartners {
			next.pair(id, byName[name])
		}
	}
}

// removeDead removes dead holders whose requests can no longer be running and
// with whom all live partners have settled.
func (m *Machine) removeDead(now time.Time, next *Ledger) {
	ended := func(id membership.Identity) bool {
		since, isDead := m.deadSince[id]
		return isDead && now.Sub(since) >= m.maxRequestTime
	}
	for _, h := range m.ledger.Holders {
		d := next.holder(h.Identity)
		if d == nil || !ended(d.Identity) {
			continue
		}
		if !slices.ContainsFunc(d.Partners, func(p membership.Identity) bool { return !ended(p) }) {
			next.removeHolder(d.Identity)
		}
	}
}

// grant sets the ledger's caps to the configured ones, or to the sum of the
// rights where that is larger. It then distributes the free rights: first up to
// each holder's fair share, then evenly.
func (m *Machine) grant(next *Ledger) {
	liveHolders := m.liveHolders(next)
	for _, to := range m.links() {
		total := next.total(to)
		next.setCap(to, m.caps[to].max(total))
		free := m.caps[to].sub(total).positive()
		if len(liveHolders) == 0 || free.isZero() {
			continue
		}
		fairShare := m.fairShare(to, next)
		for _, id := range liveHolders {
			h := next.holder(id)
			d := fairShare.sub(h.rights(to)).positive().min(free)
			h.setRights(to, h.rights(to).add(d))
			free = free.sub(d)
		}
		for i, id := range liveHolders {
			left := int64(len(liveHolders) - i)
			d := Rights{(free.InFlight + left - 1) / left, (free.Rate + left - 1) / left}
			h := next.holder(id)
			h.setRights(to, h.rights(to).add(d))
			free = free.sub(d)
		}
	}
}
