// Package load estimates how busy a zone, instance or backend server is from
// reports that lag, stop or mislead.
package load

import "time"

// MilliSlots is a number of slots in thousandths.
type MilliSlots int64

// Slot is one slot.
const Slot MilliSlots = 1000

// Report is what the reported thing said of itself.
type Report struct {
	// Busy is the number of slots in use.
	Busy MilliSlots
	// Slots is the number of slots there are.
	Slots int
	// At is when the report was true, by the clock of the reader. The zero
	// time means that there is no report.
	At time.Time
}

// Policy says how far a report is believed.
type Policy struct {
	// FreshAge is the age up to which a report is taken as it is.
	FreshAge time.Duration
	// StaleAge is the age from which a report says nothing; StaleAge > Fresh.
	StaleAge time.Duration
	// AssumedUtilisation is the configured share of slots in use, in thousandths. The
	// estimate moves towards it as a report ages.
	AssumedUtilisation int64
	// RefusalHold is how long a refusal counts as full, whatever reports say.
	RefusalHold time.Duration
}

// Observation is what the reader has seen itself.
type Observation struct {
	// SentSinceReport is the number of requests sent since the report that have not
	// ended.
	SentSinceReport int
	// LastRefusal is when a request was last refused for lack of room.
	LastRefusal time.Time
}

// Busy estimates the slots in use of slots. It lies in [0, slots].
func (p Policy) Busy(now time.Time, slots int, r Report, ev Observation) MilliSlots {
	full := MilliSlots(slots) * Slot
	if !ev.LastRefusal.IsZero() && now.Sub(ev.LastRefusal) < p.RefusalHold {
		return full
	}
	configured := full * MilliSlots(p.AssumedUtilisation) / 1000
	busy := configured + (reported(r, full)-configured)*p.trust(now, r)/1000
	return min(max(busy+MilliSlots(ev.SentSinceReport)*Slot, 0), full)
}

// Expired reports whether there is no report that says anything.
func (p Policy) Expired(now time.Time, r Report) bool { return p.trust(now, r) == 0 }

// reported scales the report to the slots known now and bounds it.
func reported(r Report, full MilliSlots) MilliSlots {
	if r.Slots <= 0 {
		return full
	}
	busy := min(max(r.Busy, 0), MilliSlots(r.Slots)*Slot)
	return busy * full / (MilliSlots(r.Slots) * Slot)
}

// trust returns how far the report counts, in thousandths. A report from the
// future is as far off as one from the past.
func (p Policy) trust(now time.Time, r Report) MilliSlots {
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
