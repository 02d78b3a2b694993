// Package load estimates the load of a zone, instance or backend server from
// reports that can be late, missing or wrong.
package load

import "time"

// MilliSlots is a number of slots, in thousandths of a slot.
type MilliSlots int64

// Slot is one slot in MilliSlots.
const Slot MilliSlots = 1000

// Report is the load that a zone, instance or backend server reports of itself.
type Report struct {
	// Busy is the number of slots in use.
	Busy MilliSlots
	// Slots is the total number of slots.
	Slots int
	// At is the time that the report describes, by the reader's clock. It is zero
	// if there is no report.
	At time.Time
}

// Policy determines how a report is weighted by its age.
type Policy struct {
	// FreshAge is the age up to which a report has full weight.
	FreshAge time.Duration
	// StaleAge is the age from which a report is ignored. It is greater than
	// FreshAge.
	StaleAge time.Duration
	// AssumedUtilisation is the share of slots that is assumed to be in use
	// without a report, in thousandths. The estimate approaches it as a report
	// ages.
	AssumedUtilisation int64
	// RefusalHold is how long all slots are assumed to be in use after a refusal,
	// regardless of reports.
	RefusalHold time.Duration
}

// Observation is what the reader has observed itself.
type Observation struct {
	// SentSinceReport is the number of requests sent since the last report that have
	// not ended.
	SentSinceReport int
	// Refused is when a request was last refused for lack of a free slot; zero
	// if never.
	Refused time.Time
}

// Busy estimates how many of the given slots are in use. The result is in
// [0, slots].
func (p Policy) Busy(now time.Time, slots int, r Report, observed Observation) MilliSlots {
	full := MilliSlots(slots) * Slot
	if !observed.Refused.IsZero() && now.Sub(observed.Refused) < p.RefusalHold {
		return full
	}
	assumed := full * MilliSlots(p.AssumedUtilisation) / 1000
	busy := assumed + (scaleToSlots(r, full)-assumed)*p.reportWeight(now, r)/1000
	return min(max(busy+MilliSlots(observed.SentSinceReport)*Slot, 0), full)
}

// Expired reports whether the report is missing or so old that it is ignored.
func (p Policy) Expired(now time.Time, r Report) bool { return p.reportWeight(now, r) == 0 }

// scaleToSlots scales the busy slots of a report from the slots it states to the
// currently known ones. The result is in [0, full]; it is full if the report
// states no slots.
func scaleToSlots(r Report, full MilliSlots) MilliSlots {
	if r.Slots <= 0 {
		return full
	}
	busy := min(max(r.Busy, 0), MilliSlots(r.Slots)*Slot)
	return busy * full / (MilliSlots(r.Slots) * Slot)
}

// reportWeight returns the weight of the report, in thousandths. A report that is
// dated in the future is treated like one that is old by the same amount.
func (p Policy) reportWeight(now time.Time, r Report) MilliSlots {
	if r.At.IsZero() {
		return 0
	}
	age := now.Sub(r.At).Abs()
	switch {
	case age <= p.FreshAge:
		return 1000
	case age >= p.StaleAge:
		return 0
	}
	return MilliSlots((p.StaleAge - age) * 1000 / (p.StaleAge - p.FreshAge))
}
