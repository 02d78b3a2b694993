package faultproxy

import (
	"sync"
	"time"
)

// bytesPerMbit converts Mbit to bytes.
const bytesPerMbit = 125_000

// limiter bounds the rate of bytes. The zero value has no bound.
type limiter struct {
	mu sync.Mutex
	// rate is in bytes per second; 0 means no bound.
	rate float64
	// free is when the bytes so far have passed.
	free time.Time
}

// set changes the bound to a rate in Mbit/s; 0 removes it.
func (l *limiter) set(mbps float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = mbps * bytesPerMbit
}

// wait returns when n bytes have passed, after those of earlier calls.
func (l *limiter) wait(n int) {
	l.mu.Lock()
	if l.rate == 0 {
		l.mu.Unlock()
		return
	}
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}
