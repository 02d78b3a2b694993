// Package limitcheck states what a backend server with a request limit may get according to
// the users' rules, for everything that checks it: tests, the soak and the emulator.
package limitcheck

import (
	"slices"
	"time"
)

const (
	// Contact is the time after a limit was named from which on it must be kept.
	Contact = 4 * time.Second
	// Window is the length of the spans in which requests are counted.
	Window = 4 * time.Second
	// factor and slack bound the requests in a Window: factor times what the limit allows,
	// and slack.
	factor = 1.5
	slack  = 5
)

// Allowed returns the largest number of requests in a Window under a limit in requests per
// second.
func Allowed(perSecond float64) int { return int(factor*perSecond*Window.Seconds()) + slack }

// Most returns the largest number of the times within any span of the given length.
func Most(times []time.Time, length time.Duration) int {
	sorted := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for n, at := range sorted {
		for at.Sub(sorted[first]) > length {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}
