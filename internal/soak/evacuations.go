package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/wait"
)

const (
	// minEvacuation and maxEvacuation bound how long a zone is evacuated.
	minEvacuation = time.Second
	maxEvacuation = 15 * time.Second
	// maxEvacuationDelay is how long requests may reach a zone after its evacuation was
	// acknowledged, and unstableDelay how much longer if the store was unstable in that time.
	// What happens to the store afterwards excuses nothing here, though the rules allow it.
	maxEvacuationDelay = 5 * time.Second
	unstableDelay      = 6 * time.Second
	// minReadLag and maxReadLag bound how far the whole reads of the store are behind, and how
	// old a copy is from which it comes back. readLagTime is how long reads are behind.
	minReadLag  = time.Second
	maxReadLag  = 10 * time.Second
	readLagTime = 8 * time.Second
	// historyDrops is how often the history is dropped meanwhile.
	historyDrops = 4
)

// evacuation is a time in which a zone was evacuated: from the acknowledgement until it was
// taken back, which is zero before.
type evacuation struct {
	zone     string
	from, to time.Time
}

// beginEvacuation evacuates a zone. It returns false if the zone is evacuated already.
func (e *environment) beginEvacuation(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(e.evacuations, func(v *evacuation) bool { return v.zone == zone && v.to.IsZero() }) {
		return false
	}
	e.store.Put("op", evacuationKey(zone), map[string]any{})
	e.evacuations = append(e.evacuations, &evacuation{zone: zone, from: time.Now()})
	return true
}

// endEvacuation takes the evacuation of a zone back.
func (e *environment) endEvacuation(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, v := range e.evacuations {
		if v.zone == zone && v.to.IsZero() {
			v.to = time.Now()
		}
	}
	e.store.Remove("op", evacuationKey(zone))
}

func evacuationKey(zone string) string { return "evacuate/" + zone }

func evacuate(ctx context.Context, e *environment, rng *rand.Rand) error {
	zone := zones[rng.IntN(len(zones))]
	length := minEvacuation + time.Duration(rng.Float64()*float64(maxEvacuation-minEvacuation))
	if !e.beginEvacuation(zone) {
		return nil
	}
	wait.Sleep(ctx, length)
	e.endEvacuation(zone)
	return nil
}

// lagWholeReads drops the history of the store several times while its whole reads are behind.
func lagWholeReads(ctx context.Context, e *environment, rng *rand.Rand) error {
	defer e.beginUnstable()()
	e.store.SetReadLag(randomLag(rng))
	defer e.store.SetReadLag(0)
	for range historyDrops {
		e.store.PutRaw("other", "row", nil)
		e.store.Compact()
		wait.Sleep(ctx, randomDuration(rng, readLagTime/historyDrops))
	}
	return nil
}

func randomLag(rng *rand.Rand) time.Duration {
	return minReadLag + time.Duration(rng.Float64()*float64(maxReadLag-minReadLag))
}

// rollBackOnce lets the store come back from an older copy, drops its history, so that it is
// read whole again, and writes again what was lost.
func rollBackOnce(_ context.Context, e *environment, rng *rand.Rand) error {
	defer e.beginUnstable()()
	lost := e.store.RollbackTo(time.Now().Add(-randomLag(rng)))
	time.Sleep(randomDuration(rng, rewriteDelay/2))
	e.store.PutRaw("other", "row", nil)
	e.store.Compact()
	time.Sleep(randomDuration(rng, rewriteDelay/2))
	e.store.WriteAgain(lost)
	return nil
}

// beginUnstable records that the store is unstable from now on, until the returned function is
// called.
func (e *environment) beginUnstable() (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &span{from: time.Now()}
	e.unstable = append(e.unstable, s)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.to = time.Now()
	}
}

// wasUnstable reports whether the store was unstable at any time between two.
func (e *environment) wasUnstable(from, to time.Time) bool {
	return slices.ContainsFunc(e.unstable, func(s *span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) })
}

// evacuationViolations returns the requests that reached a zone after its evacuation had to be
// in force, from instances in touch.
func evacuationViolations(e *environment, records []record) []string {
	if !e.plan.storeResponds {
		return nil
	}
	senders := map[string]string{}
	for _, r := range records {
		senders[r.id] = r.instance
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var violations []string
	for _, n := range append(slices.Clone(e.backends), e.retired...) {
		for _, a := range n.Arrivals() {
			v := e.evacuationInForce(n.Zone, a.At)
			if v == nil || e.interrupted(senders[a.ID], a.At.Add(-contact), a.At) {
				continue
			}
			violations = append(violations, fmt.Sprintf("%s from %s reached %s in %s %s after its evacuation",
				a.ID, senders[a.ID], n.Name, n.Zone, a.At.Sub(v.from)))
		}
	}
	return violations
}

// evacuationInForce returns the evacuation of a zone that had to be in force at a time, nil if
// there is none.
func (e *environment) evacuationInForce(zone string, at time.Time) *evacuation {
	for _, v := range e.evacuations {
		delay := maxEvacuationDelay
		if e.wasUnstable(v.from.Add(-contact), v.from.Add(maxEvacuationDelay)) {
			delay += unstableDelay
		}
		if v.zone == zone && at.After(v.from.Add(delay)) && (v.to.IsZero() || at.Before(v.to)) {
			return v
		}
	}
	return nil
}
