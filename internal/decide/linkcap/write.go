package linkcap

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// write proposes the next ledger when it differs from the present one.
func (m *Machine) write(now time.Time) {
	if !m.row.CanWrite() || (!m.changed && now.Before(m.checkAt)) {
		return
	}
	m.changed, m.checkAt = false, now.Add(checkEvery)
	next := m.ledger.clone()
	m.settle(next)
	if m.leaving {
		m.returnLoans(now)
	}
	giving := m.giveSurplus(now, next)
	m.common(now, next, len(giving) > 0)
	if !m.freeSince.IsZero() {
		m.checkAt = now.Add(m.cfg.RankDelay)
	}
	if next.equal(m.ledger) {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		// Ledger holds only strings and integers.
		panic(err)
	}
	m.giving = giving
	m.row.Propose(value)
}

// settle moves what this instance got from dead partners into its own rights
// and ends the partnerships.
func (m *Machine) settle(next *Ledger) {
	own := next.holder(m.cfg.Self)
	if own == nil {
		return
	}
	for _, id := range slices.Clone(own.Partners) {
		if _, isDead := m.deadSince[id]; !isDead {
			continue
		}
		if l, d := m.loans[id], next.holder(id); l != nil && d != nil {
			for _, to := range m.links() {
				got := Rights{}.sub(l.out(to)).positive()
				own.setRights(to, own.rights(to).add(got))
				d.setRights(to, d.rights(to).sub(got))
			}
		}
		next.unpair(m.cfg.Self, id)
	}
}

// giveSurplus takes from this instance's entry what is above its fair share and
// spare, or all that is spare when it leaves, and returns what was taken. Until
// the write is settled it is not usable here. The rights taken become free, and
// are granted to others by the same write.
func (m *Machine) giveSurplus(now time.Time, next *Ledger) map[string]Rights {
	giving := map[string]Rights{}
	own := next.holder(m.cfg.Self)
	if own == nil {
		return giving
	}
	for _, to := range m.links() {
		keep := m.fair(to, next)
		poor := m.deficit(to, next, keep)
		if m.leaving {
			keep = Rights{}
			poor = own.rights(to)
		}
		// Only unlent rights of this instance's own can be written off.
		backed := m.ledgerRights(to).sub(m.lent(to)).positive()
		surplus := own.rights(to).sub(keep).positive().min(poor).min(backed).min(m.spare(to, now))
		if surplus.isZero() {
			continue
		}
		giving[to] = surplus
		own.setRights(to, own.rights(to).sub(surplus))
	}
	return giving
}

func (m *Machine) ledgerRights(to string) Rights {
	if m.own == nil {
		return Rights{}
	}
	return m.own.rights(to)
}

// returnLoans sends borrowed rights back before the planned stop ends.
func (m *Machine) returnLoans(now time.Time) {
	if m.own == nil {
		return
	}
	for _, id := range m.partners() {
		for _, to := range m.links() {
			if l, ok := m.loans[id]; ok {
				m.send(now, id, to, Rights{}.sub(l.out(to)).positive())
			}
		}
	}
}

// fair returns an equal share of a link.
func (m *Machine) fair(to string, next *Ledger) Rights {
	n := int64(max(1, len(m.takers(next))))
	return Rights{m.caps[to].InFlight / n, m.caps[to].Rate / n}
}

// deficit returns how much is missing to the others' fair shares beyond what is
// free, and what the ledger holds above the configured cap.
func (m *Machine) deficit(to string, next *Ledger, fair Rights) Rights {
	var sum Rights
	for _, id := range m.takers(next) {
		if id != m.cfg.Self {
			sum = sum.add(fair.sub(next.holder(id).rights(to)).positive())
		}
	}
	total := next.total(to)
	free := m.caps[to].sub(total).positive()
	above := total.sub(m.caps[to]).positive()
	return sum.sub(free).positive().add(above)
}

// takers returns the live holders in order.
func (m *Machine) takers(next *Ledger) []membership.Identity {
	var out []membership.Identity
	for _, h := range next.Holders {
		self := h.Identity == m.cfg.Self
		if (self && !m.leaving) || (!self && m.states[h.Identity] == membership.Live && m.known(h.Identity)) {
			out = append(out, h.Identity)
		}
	}
	return out
}

func (m *Machine) known(id membership.Identity) bool {
	_, ok := m.states[id]
	return ok
}

// common does what any instance may do: let live instances join, remove the
// dead, and grant what is free. Lower-ranked instances wait longer, so that one
// write does it for all; one that writes anyway does not wait.
func (m *Machine) common(now time.Time, next *Ledger, writing bool) {
	own := next.clone()
	m.joinLive(next)
	m.removeDead(now, next)
	m.grant(next)
	switch {
	case own.equal(next):
		m.freeSince = time.Time{}
	case m.freeSince.IsZero():
		m.freeSince = now
	}
	if !writing && !m.freeSince.IsZero() && now.Sub(m.freeSince) < m.claimDelay() {
		*next = *own
	}
}

func (m *Machine) claimDelay() time.Duration {
	var names []string
	for _, in := range m.members {
		if in.State == membership.Live {
			names = append(names, in.Identity.String())
		}
	}
	rank := slices.Index(hrw.Rank("grant/"+m.cfg.Region, names), m.cfg.Self.String())
	if rank < 0 || rank > maxClaimRank {
		rank = maxClaimRank
	}
	return time.Duration(rank) * m.cfg.RankDelay
}

// joinLive adds entries for live instances while there is room, and finds
// partners for holders that have too few.
func (m *Machine) joinLive(next *Ledger) {
	room := m.cfg.MaxHolders
	for _, h := range next.Holders {
		// One that is not known to be dead counts, known or not.
		if _, isDead := m.deadSince[h.Identity]; !isDead {
			room--
		}
	}
	for _, in := range m.members {
		may := in.State == membership.Live && !(in.Identity == m.cfg.Self && m.leaving)
		if may && room > 0 && next.holder(in.Identity) == nil {
			next.join(in.Identity, in.Peer)
			room--
		}
	}
	takers := m.takers(next)
	for _, id := range takers {
		m.findPartners(next, id, takers)
	}
}

func (m *Machine) findPartners(next *Ledger, id membership.Identity, takers []membership.Identity) {
	if len(next.holder(id).Partners) >= wantedPartners {
		return
	}
	byName := map[string]membership.Identity{}
	var names []string
	for _, t := range takers {
		if t != id {
			byName[t.String()] = t
			names = append(names, t.String())
		}
	}
	for _, name := range hrw.Rank(id.String(), names) {
		if len(next.holder(id).Partners) >= wantedPartners {
			return
		}
		if len(next.holder(byName[name]).Partners) < maxPartners {
			next.pair(id, byName[name])
		}
	}
}

// removeDead drops the dead whose work has ended and with whom all living
// partners have settled.
func (m *Machine) removeDead(now time.Time, next *Ledger) {
	ended := func(id membership.Identity) bool {
		since, isDead := m.deadSince[id]
		return isDead && now.Sub(since) >= m.hold
	}
	for _, h := range m.ledger.Holders {
		d := next.holder(h.Identity)
		if d == nil || !ended(d.Identity) {
			continue
		}
		if !slices.ContainsFunc(d.Partners, func(p membership.Identity) bool { return !ended(p) }) {
			next.remove(d.Identity)
		}
	}
}

// grant raises the caps to the configured ones and shares out what is free: up
// to the fair share first, then evenly.
func (m *Machine) grant(next *Ledger) {
	takers := m.takers(next)
	for _, to := range m.links() {
		total := next.total(to)
		next.setCap(to, m.caps[to].max(total))
		free := m.caps[to].sub(total).positive()
		if len(takers) == 0 || free.isZero() {
			continue
		}
		fair := m.fair(to, next)
		for _, id := range takers {
			h := next.holder(id)
			d := fair.sub(h.rights(to)).positive().min(free)
			h.setRights(to, h.rights(to).add(d))
			free = free.sub(d)
		}
		for i, id := range takers {
			left := int64(len(takers) - i)
			d := Rights{(free.InFlight + left - 1) / left, (free.Rate + left - 1) / left}
			h := next.holder(id)
			h.setRights(to, h.rights(to).add(d))
			free = free.sub(d)
		}
	}
}
