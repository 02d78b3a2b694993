package affinity

import (
	"math"
	"time"
)

const (
	// rateDecay is the time constant with which counted requests decay.
	rateDecay = 4 * time.Second
	// maxTrackedObjects is the number of objects from which on those with low
	// rates are removed.
	maxTrackedObjects = 20000
	// minTrackedRate is the rate per second below which an object's rate may
	// be removed.
	minTrackedRate = 0.02
)

// rate is an exponentially decaying rate of events.
type rate struct {
	// perSecond is the rate at updatedAt.
	perSecond float64
	// updatedAt is the time of the newest event.
	updatedAt time.Time
}

// at returns the rate per second at now.
func (r rate) at(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateDecay.Seconds())
}

// add returns the rate with one more event at now.
func (r rate) add(now time.Time) rate {
	return rate{perSecond: r.at(now) + 1/rateDecay.Seconds(), updatedAt: now}
}
