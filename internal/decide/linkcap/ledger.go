package linkcap

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// decode decodes a row's value. It rejects values that this package never
// writes: holders or links that are unsorted or duplicate, and rights that are
// negative or above the caps.
func decode(value []byte) (*Ledger, error) {
	l := &Ledger{}
	if err := json.Unmarshal(value, l); err != nil {
		return nil, errors.Trace(err)
	}
	sorted := slices.IsSortedFunc(l.Holders, func(a, b Holder) int { return strictOrder(a.Compare(b.Identity)) }) && linksInOrder(l.Caps)
	for _, h := range l.Holders {
		sorted = sorted && linksInOrder(h.Links)
	}
	if !sorted {
		return nil, errors.NotValidf("ledger with unsorted or duplicate entries")
	}
	for _, h := range l.Holders {
		for _, r := range h.Links {
			if c := l.cap(r.To); r.InFlight < 0 || r.Rate < 0 || r.InFlight > c.InFlight || r.Rate > c.Rate {
				return nil, errors.NotValidf("rights of holder %s on the link to %s", h.Identity, r.To)
			}
		}
	}
	for _, c := range l.Caps {
		if t := l.total(c.To); t.InFlight > c.InFlight || t.Rate > c.Rate {
			return nil, errors.NotValidf("ledger whose rights exceed its cap on the link to %s", c.To)
		}
	}
	return l, nil
}

// linksInOrder reports whether links is strictly sorted by target region.
func linksInOrder(links []LinkRights) bool {
	return slices.IsSortedFunc(links, func(a, b LinkRights) int { return strictOrder(cmp.Compare(a.To, b.To)) })
}

// strictOrder turns equality into descending order, so that slices.IsSortedFunc
// rejects duplicates.
func strictOrder(c int) int {
	if c == 0 {
		return -1
	}
	return c
}

// clone returns a deep copy of l.
func (l *Ledger) clone() *Ledger {
	out := &Ledger{Caps: slices.Clone(l.Caps), Holders: slices.Clone(l.Holders)}
	for i := range out.Holders {
		out.Holders[i].Links = slices.Clone(out.Holders[i].Links)
		out.Holders[i].Partners = slices.Clone(out.Holders[i].Partners)
	}
	return out
}

// equal reports whether two ledgers have the same content.
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

// addHolder adds an entry without rights unless there is one already.
func (l *Ledger) addHolder(id membership.Identity, peer string) {
	i, ok := slices.BinarySearchFunc(l.Holders, id, func(h Holder, d membership.Identity) int { return h.Compare(d) })
	if !ok {
		l.Holders = slices.Insert(l.Holders, i, Holder{Identity: id, Peer: peer})
	}
}

// removeHolder deletes the entry of id and its partnerships.
func (l *Ledger) removeHolder(id membership.Identity) {
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

// unpair ends the partnership of two holders.
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

// cap returns the ledger's cap of a link.
func (l *Ledger) cap(to string) Rights { return findRights(l.Caps, to) }

func (l *Ledger) setCap(to string, r Rights) { l.Caps = setLinkRights(l.Caps, to, r) }

// rights returns the holder's rights on a link.
func (h *Holder) rights(to string) Rights { return findRights(h.Links, to) }

func (h *Holder) setRights(to string, r Rights) { h.Links = setLinkRights(h.Links, to, r) }

func findRights(links []LinkRights, to string) Rights {
	i, ok := slices.BinarySearchFunc(links, to, func(l LinkRights, n string) int { return cmp.Compare(l.To, n) })
	if !ok {
		return Rights{}
	}
	return links[i].Rights
}

func setLinkRights(links []LinkRights, to string, r Rights) []LinkRights {
	i, ok := slices.BinarySearchFunc(links, to, func(l LinkRights, n string) int { return cmp.Compare(l.To, n) })
	if ok {
		links[i].Rights = r
		return links
	}
	return slices.Insert(links, i, LinkRights{To: to, Rights: r})
}
