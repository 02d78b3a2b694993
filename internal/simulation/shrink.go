package simulation

import "slices"

const (
	// maxShrinkRuns bounds the days that are played to make one smaller.
	maxShrinkRuns = 60
	// shortest is the length in seconds below which a trouble is not made shorter.
	shortest = 0.5
)

// Shrink returns a smaller day for which fails returns true: without the entries that are not
// needed, and with shorter ones. fails is true for d.
func Shrink(d Day, fails func(Day) bool) Day {
	s := &shrinking{day: d, fails: fails, left: maxShrinkRuns}
	for s.removeEntries() {
	}
	for s.shortenEntries() {
	}
	return s.day
}

// shrinking is a day on its way to a smaller one.
type shrinking struct {
	day   Day
	fails func(Day) bool
	// left is how many days may still be played.
	left int
}

// try makes a change to a copy of the day, and keeps it if the copy fails too.
func (s *shrinking) try(change func(d *Day)) bool {
	if s.left == 0 {
		return false
	}
	s.left--
	smaller := s.day
	smaller.Plan, smaller.Faults = slices.Clone(s.day.Plan), slices.Clone(s.day.Faults)
	change(&smaller)
	if !s.fails(smaller) {
		return false
	}
	s.day = smaller
	return true
}

// entries returns the lists of the entries of a day.
func (d *Day) entries() []*[]Entry { return []*[]Entry{&d.Plan, &d.Faults} }

// removeEntries tries the day without each of its entries, and reports whether one was removed.
func (s *shrinking) removeEntries() bool {
	removed := false
	for list := range s.day.entries() {
		for n := len(*s.day.entries()[list]) - 1; n >= 0; n-- {
			removed = s.try(func(d *Day) {
				l := d.entries()[list]
				*l = slices.Delete(*l, n, n+1)
			}) || removed
		}
	}
	return removed
}

// shortenEntries tries the day with half of the length of each entry, and reports whether one was
// made shorter.
func (s *shrinking) shortenEntries() bool {
	shortened := false
	for list := range s.day.entries() {
		for n, entry := range *s.day.entries()[list] {
			if entry.ForS/2 < shortest {
				continue
			}
			shortened = s.try(func(d *Day) { (*d.entries()[list])[n].ForS /= 2 }) || shortened
		}
	}
	return shortened
}
