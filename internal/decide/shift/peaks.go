package shift

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
)

// peakHistory holds the largest shares that callers may still use. Callers use
// a lookup answer for up to the lookup TTL.
type peakHistory struct {
	// zones and regions hold the peaks of the share of each zone, and of each
	// region as a whole. The peak of a region is kept apart because a caller
	// that moves within the region stays on its link.
	zones, regions *peakWindow
	// regionOf is the index of each zone's region.
	regionOf []int
	// regionCount is the number of regions.
	regionCount int
}

// newPeakHistory returns a history whose peaks are the given shares. step is
// the number of the current step.
func newPeakHistory(in *placement.Input, ttl time.Duration, step int64, shares placement.Matrix) *peakHistory {
	h := &peakHistory{regionCount: len(in.Regions), regionOf: make([]int, len(in.Zones))}
	for z := range in.Zones {
		h.regionOf[z] = in.Zones[z].Region
	}
	h.zones = newPeakWindow(ttl, step, shares)
	h.regions = newPeakWindow(ttl, step, h.sumByRegion(shares))
	return h
}

// sumByRegion sums shares by the region of their zone. It leaves out the
// overflow.
func (h *peakHistory) sumByRegion(shares placement.Matrix) placement.Matrix {
	m := placement.NewMatrix(shares.Edges, h.regionCount)
	for e := range shares.Edges {
		for z, r := range h.regionOf {
			m.Row(e)[r] += shares.Row(e)[z]
		}
	}
	return m
}

// restart drops all earlier peaks and records the shares in force and the given
// peaks, which count for another TTL.
func (h *peakHistory) restart(shares, peak placement.Matrix) {
	h.zones.restart(shares, peak)
	h.regions.restart(h.sumByRegion(shares), h.sumByRegion(peak))
}

// advance drops the shares that were in force longer ago than the TTL. shares
// are those in force.
func (h *peakHistory) advance(step int64, shares placement.Matrix) {
	h.zones.advance(step, shares)
	h.regions.advance(step, h.sumByRegion(shares))
}

// record records shares that are in force now.
func (h *peakHistory) record(shares placement.Matrix) {
	h.zones.record(shares)
	h.regions.record(h.sumByRegion(shares))
}

// windowParts is the number of parts into which a window divides the lookup
// TTL.
const windowParts = 8

// peakWindow holds the largest share that each cell had while callers may still
// use it, which is for the lookup TTL and at most one part of it longer.
type peakWindow struct {
	// parts holds the largest shares of each part, the newest last.
	parts []placement.Matrix
	// peak holds the largest shares over all parts.
	peak placement.Matrix
	// stepsPerPart is the length of a part in steps. newestStart is the number
	// of the first step of the newest part.
	stepsPerPart, newestStart int64
}

// newPeakWindow returns a window whose peaks are the given shares. step is the
// number of the current step.
func newPeakWindow(ttl time.Duration, step int64, shares placement.Matrix) *peakWindow {
	steps := (int64(ttl) + int64(StepInterval) - 1) / int64(StepInterval)
	return &peakWindow{
		parts:        []placement.Matrix{shares.Clone()},
		peak:         shares.Clone(),
		stepsPerPart: max((steps+windowParts-1)/windowParts, 1),
		newestStart:  step,
	}
}

// restart drops all earlier peaks and records the shares in force and the given
// peaks, which count for another TTL.
func (w *peakWindow) restart(shares, peak placement.Matrix) {
	w.parts = []placement.Matrix{shares.Clone()}
	w.peak = shares.Clone()
	w.record(peak)
}

// advance drops the shares that were in force longer ago than the TTL. shares
// are those in force.
func (w *peakWindow) advance(step int64, shares placement.Matrix) {
	newParts := (step - w.newestStart) / w.stepsPerPart
	if newParts <= 0 {
		return
	}
	w.newestStart += newParts * w.stepsPerPart
	for range min(newParts, windowParts+1) {
		w.parts = append(w.parts, shares.Clone())
	}
	if expired := len(w.parts) - windowParts - 1; expired > 0 {
		w.parts = slices.Delete(w.parts, 0, expired)
	}
	copy(w.peak.Values, shares.Values)
	for _, p := range w.parts {
		for i, v := range p.Values {
			w.peak.Values[i] = max(w.peak.Values[i], v)
		}
	}
}

// record records shares that are in force now.
func (w *peakWindow) record(shares placement.Matrix) {
	newest := w.parts[len(w.parts)-1]
	for i, v := range shares.Values {
		newest.Values[i] = max(newest.Values[i], v)
		w.peak.Values[i] = max(w.peak.Values[i], v)
	}
}
