package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// Limits of imbalance, relative to the mean load in slots per receiver.
const (
	// maxLoadFactor is the load, as a multiple of the mean, up to which a
	// receiver is assigned items without an owner. The size of the largest item
	// is allowed on top.
	maxLoadFactor = 1.25
	// imbalanceFactor is the tolerated difference between the most and the
	// least loaded receiver, as a fraction of the mean. A difference up to the
	// size of the largest item is always tolerated.
	imbalanceFactor = 0.25
)

// item is one backend server to place.
type item struct {
	name  string
	slots int
	// owner is the current owner. It is ignored when placed is not set.
	owner membership.Identity
	// placed is set when the current owner may keep the item.
	placed bool
}

// plan returns the desired owner of each item by name. An item keeps its
// current owner unless the imbalance exceeds the limits. Other items go to the
// receiver with the highest rendezvous hash among those with room. Equal
// arguments give the same plan on every instance. Without receivers nothing
// moves, and items without an owner are omitted.
func plan(items []item, receivers []membership.Identity) map[string]membership.Identity {
	desired := make(map[string]membership.Identity, len(items))
	for _, it := range items {
		if it.placed {
			desired[it.name] = it.owner
		}
	}
	if len(receivers) == 0 {
		return desired
	}
	p := &planner{items: items, receivers: receivers, desired: desired, load: map[membership.Identity]int{}}
	p.computeLoads()
	p.placeOrphans()
	p.balance()
	return desired
}

// planner is the working state of one call of plan.
type planner struct {
	items     []item
	receivers []membership.Identity
	desired   map[string]membership.Identity
	// load is the number of slots per receiver.
	load map[membership.Identity]int
	// mean is the number of slots per receiver if the load were equal.
	mean float64
	// largest is the number of slots of the largest item.
	largest int
}

// computeLoads computes load, mean and largest from the current owners.
func (p *planner) computeLoads() {
	for _, r := range p.receivers {
		p.load[r] = 0
	}
	total := 0
	for _, it := range p.items {
		p.largest = max(p.largest, it.slots)
		if _, ok := p.load[it.owner]; it.placed && !ok {
			// The owner is not a receiver, for example because it is suspect.
			continue
		}
		total += it.slots
		if it.placed {
			p.load[it.owner] += it.slots
		}
	}
	p.mean = float64(total) / float64(len(p.receivers))
}

// placeOrphans assigns the items without an owner, largest first.
func (p *planner) placeOrphans() {
	var orphans []item
	for _, it := range p.items {
		if !it.placed {
			orphans = append(orphans, it)
		}
	}
	slices.SortFunc(orphans, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.name, b.name))
	})
	maxLoad := int(p.mean*maxLoadFactor) + p.largest
	for _, it := range orphans {
		to := p.pickReceiver(it, maxLoad)
		p.desired[it.name] = to
		p.load[to] += it.slots
	}
}

// pickReceiver returns the receiver with the highest rendezvous hash for the
// item among those whose load with it would not exceed maxLoad. If there is
// none, it returns the least loaded receiver.
func (p *planner) pickReceiver(it item, maxLoad int) membership.Identity {
	var best membership.Identity
	bestScore, found := 0.0, false
	for _, r := range p.receivers {
		if p.load[r]+it.slots > maxLoad {
			continue
		}
		if s := hrw.Score(it.name, r.String(), 1); !found || s > bestScore {
			best, bestScore, found = r, s, true
		}
	}
	if !found {
		best, _ = p.leastAndMostLoaded()
	}
	return best
}

// leastAndMostLoaded returns the least and the most loaded receiver.
func (p *planner) leastAndMostLoaded() (least, most membership.Identity) {
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
// difference is tolerated. It terminates because every move reduces the
// difference.
func (p *planner) balance() {
	tolerance := max(p.largest, int(p.mean*imbalanceFactor))
	for {
		least, most := p.leastAndMostLoaded()
		if p.load[most]-p.load[least] <= tolerance {
			return
		}
		it, ok := p.bestMove(most, least)
		if !ok {
			return
		}
		p.desired[it.name] = least
		p.load[most] -= it.slots
		p.load[least] += it.slots
	}
}

// bestMove returns the item of receiver from whose rendezvous hash with
// receiver to is the highest.
func (p *planner) bestMove(from, to membership.Identity) (best item, ok bool) {
	bestScore := 0.0
	for _, it := range p.items {
		if p.desired[it.name] != from || it.slots <= 0 {
			continue
		}
		if s := hrw.Score(it.name, to.String(), 1); !ok || s > bestScore {
			best, bestScore, ok = it, s, true
		}
	}
	return best, ok
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
