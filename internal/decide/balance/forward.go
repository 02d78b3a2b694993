package balance

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
)

// Peer is a zone neighbour, or another zone as a whole, that a request could be
// passed to.
type Peer struct {
	Name string
	// Slots is the number of slots there by configuration and ownership.
	Slots    int
	Report   load.Report
	Observed load.Observation
	// Unavailable is set if it drains, is lost, or its link has no room.
	Unavailable bool
}

// ChoosePeer chooses where to pass a request that found no free slot here: a
// neighbour in the zone, drawn by estimated free slots so that instances with
// the same reports part; else the first of the other zones, which stand in the
// caller's order, that is estimated to have a free slot. ok is false if none
// has: the request is to be answered as not run.
func ChoosePeer(now time.Time, p load.Policy, neighbours, zones []Peer, draw uint64) (name string, ok bool) {
	var total load.MilliSlots
	for i := range neighbours {
		total += neighbours[i].free(now, p)
	}
	if total > 0 {
		at := load.MilliSlots(scale(draw, uint64(total)))
		for i := range neighbours {
			f := neighbours[i].free(now, p)
			if at < f {
				return neighbours[i].Name, true
			}
			at -= f
		}
	}
	for i := range zones {
		if zones[i].free(now, p) > 0 {
			return zones[i].Name, true
		}
	}
	return "", false
}

// free estimates the free slots of a peer; less than one counts as none.
func (p *Peer) free(now time.Time, policy load.Policy) load.MilliSlots {
	if p.Unavailable {
		return 0
	}
	f := load.MilliSlots(p.Slots)*load.Slot - policy.Busy(now, p.Slots, p.Report, p.Observed)
	if f < load.Slot {
		return 0
	}
	return f
}

// ChooseByWeight is the baseline for Forward: it draws a zone by configured
// weight, whatever is known of its load. ok is false if all weights are 0.
func ChooseByWeight(names []string, weights []int64, draw uint64) (name string, ok bool) {
	var total int64
	for _, w := range weights {
		total += w
	}
	if total <= 0 {
		return "", false
	}
	at := int64(scale(draw, uint64(total)))
	for i, w := range weights {
		if at < w {
			return names[i], true
		}
		at -= w
	}
	return "", false
}
