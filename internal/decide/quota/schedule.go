package quota

import "time"

const (
	// scheduleSlots is the number of intervals of a schedule, and scheduleWindows the number of
	// windows that they span. A credit comes back within two windows.
	scheduleSlots   = 128
	scheduleWindows = 2.5
)

// schedule holds how many credits come back in each of the next intervals. One comes back at the end
// of its interval.
type schedule struct {
	interval time.Duration
	// counts is a ring; its element n % scheduleSlots belongs to the interval with the number n.
	counts [scheduleSlots]uint32
	// next is the number of the first interval that has not ended.
	next  int64
	epoch time.Time
}

// newSchedule returns an empty schedule that begins at a time.
func newSchedule(window time.Duration, now time.Time) schedule {
	return schedule{interval: time.Duration(scheduleWindows * float64(window) / scheduleSlots), epoch: now}
}

// number returns the number of the interval that a time is in.
func (s *schedule) number(t time.Time) int64 { return int64(t.Sub(s.epoch) / s.interval) }

// add adds credits that come back at a time. A time beyond the schedule counts as its end.
func (s *schedule) add(at time.Time, n int) {
	number := min(max(s.next, s.number(at)), s.next+scheduleSlots-1)
	s.counts[number%scheduleSlots] += uint32(n)
}

// cancel takes one credit out that was added with the given time. It returns false if it has come
// back.
func (s *schedule) cancel(at time.Time) bool {
	number := s.number(at)
	if number < s.next || number >= s.next+scheduleSlots || s.counts[number%scheduleSlots] == 0 {
		return false
	}
	s.counts[number%scheduleSlots]--
	return true
}

// advance returns the number of credits that have come back since the last call.
func (s *schedule) advance(now time.Time) int {
	current, back := s.number(now), 0
	for end := min(current, s.next+scheduleSlots); s.next < end; s.next++ {
		back += int(s.counts[s.next%scheduleSlots])
		s.counts[s.next%scheduleSlots] = 0
	}
	s.next = max(s.next, current)
	return back
}

// nextAfter returns when the first credit comes back at or after a time.
func (s *schedule) nextAfter(t time.Time) (time.Time, bool) {
	for number := max(s.next, s.number(t)); number < s.next+scheduleSlots; number++ {
		if s.counts[number%scheduleSlots] > 0 {
			return s.epoch.Add(time.Duration(number+1) * s.interval), true
		}
	}
	return time.Time{}, false
}
