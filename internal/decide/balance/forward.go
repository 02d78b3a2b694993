package balance

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
)

// Peer is a possible target for a forwarded request: another instance in the
// same zone, or another zone as a whole.
type Peer struct {
	Name string
	// Slots is the number of slots of the peer according to the configuration and
	// the ownership of its backend servers.
	Slots       int
	Report      load.Report
	Observation load.Observation
	// Unavailable is true if the peer is draining or lost, or if the link to it
	// has no capacity left.
	Unavailable bool
}

// ChoosePeer selects the peer to forward a request to that found no free slot on
// this instance. It first draws a neighbour, an instance in the same zone, with a
// probability proportional to its estimated free slots, so that instances with
// the same reports choose different neighbours. If no neighbour has a free slot,
// it selects the first of zones, in the given order, that is estimated to have
// one. ok is false if there is none; the caller then reports the request as not
// run.
func ChoosePeer(now time.Time, p load.Policy, neighbours, zones []Peer, random uint64) (name string, ok bool) {
	var total load.MilliSlots
	for i := range neighbours {
		total += neighbours[i].freeSlots(now, p)
	}
	if total > 0 {
		at := load.MilliSlots(scaleRandom(random, uint64(total)))
		for i := range neighbours {
			f := neighbours[i].freeSlots(now, p)
			if at < f {
				return neighbours[i].Name, true
			}
			at -= f
		}
	}
	for i := range zones {
		if zones[i].freeSlots(now, p) > 0 {
			return zones[i].Name, true
		}
	}
	return "", false
}

// freeSlots estimates the free slots of a peer. An estimate below one slot
// counts as 0.
func (p *Peer) freeSlots(now time.Time, policy load.Policy) load.MilliSlots {
	if p.Unavailable {
		return 0
	}
	f := load.MilliSlots(p.Slots)*load.Slot - policy.Busy(now, p.Slots, p.Report, p.Observation)
	if f < load.Slot {
		return 0
	}
	return f
}

// ChooseByWeight draws a zone with a probability proportional to its configured
// weight and ignores the load. It is the baseline that ChoosePeer is compared
// with. ok is false if all weights are 0.
func ChooseByWeight(names []string, weights []int64, random uint64) (name string, ok bool) {
	var total int64
	for _, w := range weights {
		total += w
	}
	if total <= 0 {
		return "", false
	}
	at := int64(scaleRandom(random, uint64(total)))
	for i, w := range weights {
		if at < w {
			return names[i], true
		}
		at -= w
	}
	return "", false
}
