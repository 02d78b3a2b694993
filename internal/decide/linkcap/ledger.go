package linkcap

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// decode reads a row's value. One whose holders or links are out of order or
// stand twice, or whose rights are above its caps, was not written by this
// package.
func decode(value []byte) (*Ledger, error) {
	l := &Ledger{}
	if err := json.Unmarshal(value, l); err != nil {
		return nil, errors.Trace(err)
	}
	sorted := slices.IsSortedFunc(l.Holders, func(a, b Holder) int { return strict(a.Compare(b.Identity)) }) && ordered(l.Caps)
	for _, h := range l.Holders {
		sorted = sorted && ordered(h.Links)
	}
	if !sorted {
		return nil, errors.NotValidf("ledger out of order")
	}
	for _, h := range l.Holders {
		for _, r := range h.Links {
			if c := l.cap(r.To); r.InFlight < 0 || r.Rate < 0 || r.InFlight > c.InFlight || r.Rate > c.Rate {
				return nil, errors.NotValidf("rights of %s to %s", h.Identity, r.To)
			}
		}
	}
	for _, c := range l.Caps {
		if t := l.total(c.To); t.InFlight > c.InFlight || t.Rate > c.Rate {
			return nil, errors.NotValidf("ledger with more rights than its cap to %s", c.To)
		}
	}
	return l, nil
}

func ordered(links []LinkRights) bool {
	return slices.IsSortedFunc(links, func(a, b LinkRights) int { return strict(cmp.Compare(a.To, b.To)) })
}

// strict makes equal neighbours count as out of order.
func strict(c int) int {
	if c == 0 {
		return -1
	}
	return c
}

// clone returns a copy that shares nothing with l.
func (l *Ledger) clone() *Ledger {
	out := &Ledger{Caps: slices.Clone(l.Caps), Holders: slices.Clone(l.Holders)}
	for i := range out.Holders {
		out.Holders[i].Links = slices.Clone(out.Holders[i].Links)
		out.Holders[i].Partners = slices.Clone(out.Holders[i].Partners)
	}
	return out
}

// equal reports whether two ledgers say the same.
func (l *Ledger) equal(o *Ledger) bool {
	return slices.Equal(l.Caps, o.Caps) && slices.EqualFunc(l.Holders, o.Holders, func(a, b Holder) bool {
		return a.Identity == b.Identity && a.Peer == b.Peer && slices.Equal(a.Links, b.Links) && slices.Equal(a.Partners, b.Partners)
	})
}

// holder returns the entry of id, or nil.
func (l *Ledger) holder(id membership.Identity) *Holder {
	i, ok := slices.BinarySearchFunc(l.Holders, id, func(h Holder, d membership.Identity) int { return h.Compare(d) })
	if !ok {
		return nil
	}
	return &l.Holders[i]
}

// join adds an entry without rights.
func (l *Ledger) join(id membership.Identity, peer string) {
	i, ok := slices.BinarySearchFunc(l.Holders, id, func(h Holder, d membership.Identity) int { return h.Compare(d) })
	if !ok {
		l.Holders = slices.Insert(l.Holders, i, Holder{Identity: id, Peer: peer})
	}
}

// remove deletes the entry of id and its partnerships.
func (l *Ledger) remove(id membership.Identity) {
	for _, p := range slices.Clone(l.holder(id).Partners) {
		l.unpair(id, p)
	}
	l.Holders = slices.DeleteFunc(l.Holders, func(h Holder) bool { return h.Identity == id })
}

// pair makes two holders partners.
func (l *Ledger) pair(a, b membership.Identity) {
	for _, e := range [][2]membership.Identity{{a, b}, {b, a}} {
		if h := l.holder(e[0]); h != nil && !slices.Contains(h.Partners, e[1]) {
			h.Partners = append(h.Partners, e[1])
			slices.SortFunc(h.Partners, membership.Identity.Compare)
		}
	}
}

// unpair ends a partnership.
func (l *Ledger) unpair(a, b membership.Identity) {
	for _, e := range [][2]membership.Identity{{a, b}, {b, a}} {
		if h := l.holder(e[0]); h != nil {
			h.Partners = slices.DeleteFunc(h.Partners, func(p membership.Identity) bool { return p == e[1] })
		}
	}
}

// total returns the sum of all holders' rights on a link.
func (l *Ledger) total(to string) Rights {
	var sum Rights
	for _, h := range l.Holders {
		sum = sum.add(h.rights(to))
	}
	return sum
}

// cap returns the granted cap of a link.
func (l *Ledger) cap(to string) Rights { return find(l.Caps, to) }

func (l *Ledger) setCap(to string, r Rights) { l.Caps = set(l.Caps, to, r) }

// rights returns the holder's rights on a link.
func (h *Holder) rights(to string) Rights { return find(h.Links, to) }

func (h *Holder) setRights(to string, r Rights) { h.Links = set(h.Links, to, r) }

func find(links []LinkRights, to string) Rights {
	i, ok := slices.BinarySearchFunc(links, to, func(l LinkRights, n string) int { return cmp.Compare(l.To, n) })
	if !ok {
		return Rights{}
	}
	return links[i].Rights
}

func set(links []LinkRights, to string, r Rights) []LinkRights {
	i, ok := slices.BinarySearchFunc(links, to, func(l LinkRights, n string) int { return cmp.Compare(l.To, n) })
	if ok {
		links[i].Rights = r
		return links
	}
	return slices.Insert(links, i, LinkRights{To: to, Rights: r})
}
