package shift

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
)

// history holds what callers may still go by.
type history struct {
	// zones and regions hold the peaks of the share of each zone, and of each
	// region as a whole: a caller who moves inside a region stays on its link.
	zones, regions *window
	// regionOf is the region of each zone, count the number of regions.
	regionOf []int
	count    int
}

func newHistory(in *placement.Input, ttl time.Duration, slot int64, shares placement.Matrix) *history {
	h := &history{count: len(in.Regions), regionOf: make([]int, len(in.Zones))}
	for z := range in.Zones {
		h.regionOf[z] = in.Zones[z].Region
	}
	h.zones = newWindow(ttl, slot, shares)
	h.regions = newWindow(ttl, slot, h.byRegion(shares))
	return h
}

// byRegion sums shares by the region of their zone.
func (h *history) byRegion(shares placement.Matrix) placement.Matrix {
	m := placement.NewMatrix(shares.Edges, h.count)
	for e := range shares.Edges {
		for z, r := range h.regionOf {
			m.Row(e)[r] += shares.Row(e)[z]
		}
	}
	return m
}

// restart holds the shares in force, and peaks from before for another TTL.
func (h *history) restart(shares, peak placement.Matrix) {
	h.zones.restart(shares, peak)
	h.regions.restart(h.byRegion(shares), h.byRegion(peak))
}

// advance forgets what was longer ago than the TTL.
func (h *history) advance(slot int64, shares placement.Matrix) {
	h.zones.advance(slot, shares)
	h.regions.advance(slot, h.byRegion(shares))
}

// raise notes shares in force now.
func (h *history) raise(shares placement.Matrix) {
	h.zones.raise(shares)
	h.regions.raise(h.byRegion(shares))
}

// windowParts is how many parts of the look-up TTL a window tells apart.
const windowParts = 8

// window holds the largest share that each cell had while callers may still go
// by it: for the look-up TTL and at most a part of it longer.
type window struct {
	// parts holds the largest shares of each part of the time, the newest last.
	parts []placement.Matrix
	// peak holds the largest over all parts.
	peak placement.Matrix
	// length is the steps of a part; begin is the first step of the newest.
	length, begin int64
}

func newWindow(ttl time.Duration, slot int64, shares placement.Matrix) *window {
	steps := (int64(ttl) + int64(StepInterval) - 1) / int64(StepInterval)
	return &window{
		parts:  []placement.Matrix{shares.Clone()},
		peak:   shares.Clone(),
		length: max((steps+windowParts-1)/windowParts, 1),
		begin:  slot,
	}
}

// restart holds the shares in force, and peaks from before for another TTL.
func (w *window) restart(shares, peak placement.Matrix) {
	w.parts = []placement.Matrix{shares.Clone()}
	w.peak = shares.Clone()
	w.raise(peak)
}

// advance forgets what was longer ago than the TTL. shares are those in force.
func (w *window) advance(slot int64, shares placement.Matrix) {
	turns := (slot - w.begin) / w.length
	if turns <= 0 {
		return
	}
	w.begin += turns * w.length
	for range min(turns, windowParts+1) {
		w.parts = append(w.parts, shares.Clone())
	}
	if drop := len(w.parts) - windowParts - 1; drop > 0 {
		w.parts = slices.Delete(w.parts, 0, drop)
	}
	copy(w.peak.Values, shares.Values)
	for _, p := range w.parts {
		for i, v := range p.Values {
			w.peak.Values[i] = max(w.peak.Values[i], v)
		}
	}
}

// raise notes shares in force now.
func (w *window) raise(shares placement.Matrix) {
	newest := w.parts[len(w.parts)-1]
	for i, v := range shares.Values {
		newest.Values[i] = max(newest.Values[i], v)
		w.peak.Values[i] = max(w.peak.Values[i], v)
	}
}
