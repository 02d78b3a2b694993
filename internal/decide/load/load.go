// Package load estimates how busy a zone, instance or backend server is from
// reports that lag, stop or mislead.
package load

import "time"

// Milli is a number of slots in thousandths.
type Milli int64

// Slot is one slot.
const Slot Milli = 1000

// Report is what the reported thing said of itself.
type Report struct {
	// Busy is the number of slots in use.
	Busy Milli
	// Slots is the number of slots there are.
	Slots int
	// At is when the report was true, by the clock of the reader. The zero
	// time means that there is no report.
	At time.Time
}

// Policy says how far a report is believed.
type Policy struct {
	// Fresh is the age up to which a report is taken as it is.
	Fresh time.Duration
	// Stale is the age from which a report says nothing; Stale > Fresh.
	Stale time.Duration
	// Share is the configured share of slots in use, in thousandths. The
	// estimate moves towards it as a report ages.
	Share int64
	// RefusalHold is how long a refusal counts as full, whatever reports say.
	RefusalHold time.Duration
}

// Evidence is what the reader has seen itself.
type Evidence struct {
	// Sent is the number of requests sent since the report that have not
	// ended.
	Sent int
	// Refused is when a request was last refused for lack of room.
	Refused time.Time
}

// Busy estimates the slots in use of slots. It lies in [0, slots].
func (p Policy) Busy(now time.Time, slots int, r Report, ev Evidence) Milli {
	full := Milli(slots) * Slot
	if !ev.Refused.IsZero() && now.Sub(ev.Refused) < p.RefusalHold {
		return full
	}
	configured := full * Milli(p.Share) / 1000
	busy := configured + (reported(r, full)-configured)*p.trust(now, r)/1000
	return min(max(busy+Milli(ev.Sent)*Slot, 0), full)
}

// Blind reports whether there is no report that says anything.
func (p Policy) Blind(now time.Time, r Report) bool { return p.trust(now, r) == 0 }

// reported scales the report to the slots known now and bounds it.
func reported(r Report, full Milli) Milli {
	if r.Slots <= 0 {
		return full
	}
	busy := min(max(r.Busy, 0), Milli(r.Slots)*Slot)
	return busy * full / (Milli(r.Slots) * Slot)
}

// trust returns how far the report counts, in thousandths. A report from the
// future is as far off as one from the past.
func (p Policy) trust(now time.Time, r Report) Milli {
	if r.At.IsZero() {
		return 0
	}
	age := now.Sub(r.At).Abs()
	switch {
	case age <= p.Fresh:
		return 1000
	case age >= p.Stale:
		return 0
	}
	return Milli((p.Stale - age) * 1000 / (p.Stale - p.Fresh))
}
