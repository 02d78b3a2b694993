package backend

import (
	"slices"
	"sync"
	"time"
)

// maxLoadHistory bounds the changes of load that are kept.
const maxLoadHistory = 4096

// Load is the answer of GET /load.
type Load struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
}

// loadHistory keeps the load over time, for endpoints that lag.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

func (h *loadHistory) update(change func(*Load)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l Load
	if n := len(h.samples); n > 0 {
		l = h.samples[n-1].load
	}
	change(&l)
	h.samples = append(h.samples, loadSample{at: time.Now(), load: l})
	if len(h.samples) > maxLoadHistory {
		h.samples = slices.Delete(h.samples, 0, maxLoadHistory/2)
	}
}

// at returns the load as it was lag ago, or the oldest one kept.
func (h *loadHistory) at(lag time.Duration) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	when := time.Now().Add(-lag)
	for _, s := range slices.Backward(h.samples) {
		if !s.at.After(when) {
			return s.load
		}
	}
	return h.samples[0].load
}
