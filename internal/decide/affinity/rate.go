package affinity

import (
	"math"
	"time"
)

const (
	// rateMemory is the time over which requests are counted.
	rateMemory = 4 * time.Second
	// maxRates bounds the objects whose rate is known.
	maxRates = 20000
	// forgottenRate is the rate a second below which an object is forgotten.
	forgottenRate = 0.02
)

// rate is an exponentially decaying count of events.
type rate struct {
	perSecond float64
	counted   time.Time
}

// at returns the rate a second at now.
func (r rate) at(now time.Time) float64 {
	if r.counted.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.counted).Seconds()/rateMemory.Seconds())
}

// count returns the rate with one more event.
func (r rate) count(now time.Time) rate {
	return rate{perSecond: r.at(now) + 1/rateMemory.Seconds(), counted: now}
}
