// Package restcheck states what a backend server may get from an instance that it has asked
// for rest, or that it has told that it leaves, according to the users' rules, for everything
// that checks it: tests and the soak.
package restcheck

import (
	"strconv"
	"time"
)

const (
	// Allowed is the largest number of requests from the instance in the counted part of a
	// rest, which begins settleTime after the response that asked for it.
	Allowed    = 2
	settleTime = 500 * time.Millisecond
)

// Arrival is a request of one instance at one incarnation of a backend server.
type Arrival struct {
	At time.Time
	// Rest is the rest that its response asked for, 0 if none, and Answered when the
	// response was sent.
	Rest     time.Duration
	Answered time.Time
}

// Rest returns the duration that a Retry-After of seconds asks for, 0 if it is not one.
func Rest(retryAfter string) time.Duration {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Worst returns the largest number of requests in the counted part of a rest.
func Worst(arrivals []Arrival) int {
	worst := 0
	for _, asked := range arrivals {
		if asked.Rest == 0 {
			continue
		}
		from, to, count := asked.Answered.Add(settleTime), asked.Answered.Add(asked.Rest), 0
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(to) {
				count++
			}
		}
		worst = max(worst, count)
	}
	return worst
}
