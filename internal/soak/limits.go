package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/limitcheck"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/wait"
)

const (
	// limitInterval is the mean time between two namings of request limits, and
	// minLimitTime and maxLimitTime bound how long one lasts.
	limitInterval = 1500 * time.Millisecond
	minLimitTime  = 5 * time.Second
	maxLimitTime  = 10 * time.Second
	// toldDelay is the time after an instance has passed on a response with a limit from
	// which on its requests count.
	toldDelay = 500 * time.Millisecond
)

// limitValues are the limits that backend servers name, in requests a second.
var limitValues = []float64{0, 0.5, 1, 3.5, 10}

// sleepRandomly sleeps for a random time with the given mean. It returns false if ctx ends
// before.
func sleepRandomly(ctx context.Context, rng *rand.Rand, mean time.Duration) bool {
	wait.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(mean)))
	return ctx.Err() == nil
}

// nameLimits lets backend servers name request limits until ctx is done: one, a few, or those
// of a whole zone. Some change their limits meanwhile.
func (e *environment) nameLimits(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(limitValues))))
	var named []*backendServer
	for sleepRandomly(ctx, rng, limitInterval) {
		n, length, value := e.anyBackend(rng), minLimitTime+randomDuration(rng, maxLimitTime-minLimitTime), limitValues[rng.IntN(len(limitValues))]
		wholeZone := rng.IntN(3) == 0
		for _, other := range e.backendsOf(n.Zone) {
			if other != n && !wholeZone {
				continue
			}
			other.SetLimits(strconv.FormatFloat(value, 'f', -1, 64))
			time.AfterFunc(length, func() { other.SetLimits() })
			named = append(named, other)
		}
	}
	for _, n := range named {
		n.SetLimits()
	}
}

// backendsOf returns the backend servers of a zone.
func (e *environment) backendsOf(zone string) []*backendServer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.backends), func(n *backendServer) bool { return n.Zone != zone })
}

// limitViolations returns the request limits that were violated, summed over the instances
// that had passed on the limit and were not interrupted since.
func limitViolations(e *environment, records []record) []string {
	byID := map[string]record{}
	for _, r := range records {
		byID[r.id] = r
	}
	var violations []string
	for _, n := range append(slices.Clone(e.backends), e.retired...) {
		for _, p := range n.LimitPeriods() {
			worst := limitcheck.Most(e.countedArrivals(n, p, byID), limitcheck.Window)
			if allowed := limitcheck.Allowed(p.PerSecond); worst > allowed {
				violations = append(violations, fmt.Sprintf(
					"%s named a limit of %v a second and got %d requests in %s from instances that it had told, %d are allowed",
					n.Name, p.PerSecond, worst, limitcheck.Window, allowed))
			}
		}
	}
	return violations
}

// countedArrivals returns when the requests arrived that count for a limit.
func (e *environment) countedArrivals(n *backendServer, p registered.LimitPeriod, byID map[string]record) []time.Time {
	told := map[string]time.Time{}
	for _, a := range n.Arrivals() {
		r := byID[a.ID]
		passedOn := r.sent.Add(r.latency)
		if !r.statesLimit || a.At.Before(p.From) || a.At.After(p.To) {
			continue
		}
		if first, ok := told[r.instance]; !ok || passedOn.Before(first) || e.interrupted(r.instance, first, passedOn) {
			told[r.instance] = passedOn
		}
	}
	var times []time.Time
	for _, a := range n.Arrivals() {
		since, ok := told[byID[a.ID].instance]
		if !ok || a.At.Before(p.From.Add(limitcheck.Contact)) || a.At.After(p.To) || a.At.Before(since.Add(toldDelay)) {
			continue
		}
		if !e.interrupted(byID[a.ID].instance, p.From, a.At) {
			times = append(times, a.At)
		}
	}
	return times
}

// interrupted reports whether the instance with the given address was stopped, started,
// paused or continued between two times.
func (e *environment) interrupted(address string, from, to time.Time) bool {
	for _, i := range e.instances {
		if i.address(callerPort) != address {
			continue
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		return slices.ContainsFunc(i.interruptions, func(at time.Time) bool { return at.After(from) && at.Before(to) })
	}
	return false
}
