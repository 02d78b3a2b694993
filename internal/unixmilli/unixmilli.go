// Package unixmilli converts times for messages that carry Unix milliseconds, in which
// 0 stands for the zero time.
package unixmilli

import "time"

// From returns t in Unix milliseconds, 0 for the zero time.
func From(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Time is the inverse of From.
func Time(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
