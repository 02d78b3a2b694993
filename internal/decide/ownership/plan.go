package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// Bounds of imbalance, as shares of the mean load in slots.
const (
	// boundShare is how far above the mean a receiver may be filled.
	boundShare = 1.25
	// toleranceShare is the difference between the most and the least loaded
	// that is left alone.
	toleranceShare = 0.25
)

// item is one backend server to place.
type item struct {
	name  string
	slots int
	// owner is the present owner; placed is false when it has none that may
	// keep it.
	owner  membership.Identity
	placed bool
}

// plan returns the wanted owner of every item by name. Items keep a present
// owner unless the imbalance is out of bounds; the others go to the receiver
// that wins their rendezvous and has room. The same arguments give the same
// plan everywhere. Without receivers nothing moves and items without an owner
// are left out.
func plan(items []item, receivers []membership.Identity) map[string]membership.Identity {
	want := make(map[string]membership.Identity, len(items))
	for _, it := range items {
		if it.placed {
			want[it.name] = it.owner
		}
	}
	if len(receivers) == 0 {
		return want
	}
	p := &placing{items: items, receivers: receivers, want: want, load: map[membership.Identity]int{}}
	p.measure()
	p.placeOrphans()
	p.balance()
	return want
}

// placing is the working state of one plan.
type placing struct {
	items     []item
	receivers []membership.Identity
	want      map[string]membership.Identity
	// load is the slots per receiver.
	load map[membership.Identity]int
	// mean is the slots per receiver when all were equal; largest is the
	// largest item.
	mean    float64
	largest int
}

func (p *placing) measure() {
	for _, r := range p.receivers {
		p.load[r] = 0
	}
	total := 0
	for _, it := range p.items {
		p.largest = max(p.largest, it.slots)
		if _, ok := p.load[it.owner]; it.placed && !ok {
			// Held by an instance that receives nothing, such as a suspect.
			continue
		}
		total += it.slots
		if it.placed {
			p.load[it.owner] += it.slots
		}
	}
	p.mean = float64(total) / float64(len(p.receivers))
}

func (p *placing) placeOrphans() {
	var orphans []item
	for _, it := range p.items {
		if !it.placed {
			orphans = append(orphans, it)
		}
	}
	slices.SortFunc(orphans, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.name, b.name))
	})
	bound := int(p.mean*boundShare) + p.largest
	for _, it := range orphans {
		to := p.winner(it, bound)
		p.want[it.name] = to
		p.load[to] += it.slots
	}
}

// winner returns the receiver that wins the item's rendezvous among those with
// room, or the least loaded one when none has.
func (p *placing) winner(it item, bound int) membership.Identity {
	var best membership.Identity
	bestScore, found := 0.0, false
	for _, r := range p.receivers {
		if p.load[r]+it.slots > bound {
			continue
		}
		if s := hrw.Score(it.name, r.String(), 1); !found || s > bestScore {
			best, bestScore, found = r, s, true
		}
	}
	if !found {
		best, _ = p.extremes()
	}
	return best
}

// extremes returns the least and the most loaded receiver.
func (p *placing) extremes() (least, most membership.Identity) {
	least, most = p.receivers[0], p.receivers[0]
	for _, r := range p.receivers[1:] {
		if p.load[r] < p.load[least] {
			least = r
		}
		if p.load[r] > p.load[most] {
			most = r
		}
	}
	return least, most
}

// balance moves items from the most to the least loaded receiver until the
// difference is tolerable. Every move narrows it, so it ends.
func (p *placing) balance() {
	tolerance := max(p.largest, int(p.mean*toleranceShare))
	for {
		least, most := p.extremes()
		if p.load[most]-p.load[least] <= tolerance {
			return
		}
		it, ok := p.bestMove(most, least)
		if !ok {
			return
		}
		p.want[it.name] = least
		p.load[most] -= it.slots
		p.load[least] += it.slots
	}
}

// bestMove returns the item of from that scores highest at to.
func (p *placing) bestMove(from, to membership.Identity) (best item, ok bool) {
	bestScore := 0.0
	for _, it := range p.items {
		if p.want[it.name] != from || it.slots <= 0 {
			continue
		}
		if s := hrw.Score(it.name, to.String(), 1); !ok || s > bestScore {
			best, bestScore, ok = it, s, true
		}
	}
	return best, ok
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
