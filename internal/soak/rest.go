package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/restcheck"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/wait"
)

const (
	// restInterval is the mean time between two backend servers that begin to ask for rest,
	// and maxRestTime how long one does at the most.
	restInterval = 2 * time.Second
	maxRestTime  = 6 * time.Second
	// leavingInterval is the mean time between two backend servers that say that they leave,
	// and leavingTime how long one stays after that.
	leavingInterval = 3 * time.Second
	leavingTime     = 4 * time.Second
)

// restLengths are the rests that backend servers ask for, in seconds.
var restLengths = []float64{0, 0.7, 1, 2.5, 4}

// askForRest lets backend servers turn requests away and ask for rest until ctx is done.
func (e *environment) askForRest(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(restLengths))<<8))
	for sleepRandomly(ctx, rng, restInterval) {
		n := e.anyBackend(rng)
		n.SetRest(strconv.FormatFloat(restLengths[rng.IntN(len(restLengths))], 'f', -1, 64), 1+rng.IntN(4))
		time.AfterFunc(randomDuration(rng, maxRestTime), func() { n.SetRest("", 0) })
	}
}

// sayLeaving lets one backend server after the other say in its responses that it leaves,
// while its entry says that it is ready. Then it starts again.
func (e *environment) sayLeaving(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(restLengths))<<16))
	for sleepRandomly(ctx, rng, leavingInterval) {
		n := e.anyBackend(rng)
		n.SayLeaving()
		wait.Sleep(ctx, leavingTime)
		n.Crash()
	}
}

// restViolations returns the rests and leavings that were violated before the faults begin,
// which may keep responses from instances.
func restViolations(e *environment, records []record, faultsBegin time.Time) []string {
	byID := map[string]record{}
	for _, r := range records {
		byID[r.id] = r
	}
	var violations []string
	for _, n := range append(slices.Clone(e.backends), e.retired...) {
		for told, arrivals := range arrivalsByInstance(n, byID, faultsBegin) {
			if worst := restcheck.Worst(e.restArrivals(told.instance, arrivals)); worst > restcheck.Allowed {
				violations = append(violations, fmt.Sprintf("%s had asked %s for rest and got %d requests from it in that time, %d are allowed", n.Name, told.instance, worst, restcheck.Allowed))
			}
			if late := e.lateAfterLeaving(told.instance, arrivals, byID); late > 0 {
				violations = append(violations, fmt.Sprintf("%s got %d requests from %s later than %s after it had said that it leaves", n.Name, late, told.instance, maxDrainDelay))
			}
		}
	}
	return violations
}

// toldInstance is an instance, by its address, and an incarnation of a backend server.
type toldInstance struct {
	instance string
	born     int64
}

// arrivalsByInstance returns the requests that reached a backend server before a time, by
// instance and incarnation.
func arrivalsByInstance(n *backendServer, byID map[string]record, before time.Time) map[toldInstance][]*registered.Arrival {
	arrivals := map[toldInstance][]*registered.Arrival{}
	for _, a := range n.Arrivals() {
		if r, ok := byID[a.ID]; ok && a.At.Before(before) {
			told := toldInstance{r.instance, a.Born}
			arrivals[told] = append(arrivals[told], a)
		}
	}
	return arrivals
}

// restArrivals returns the arrivals from one instance as restcheck needs them. Rests that
// were asked for before the instance was last interrupted do not count.
func (e *environment) restArrivals(instance string, arrivals []*registered.Arrival) []restcheck.Arrival {
	var list []restcheck.Arrival
	for _, a := range arrivals {
		one := restcheck.Arrival{At: a.At, Rest: restcheck.Rest(a.RetryAfter), Answered: a.Answered}
		if e.interrupted(instance, a.Answered, a.Answered.Add(one.Rest)) {
			one.Rest = 0
		}
		list = append(list, one)
	}
	return list
}

// lateAfterLeaving counts the requests that callers sent later than maxDrainDelay after the
// instance had been told that the backend server leaves.
func (e *environment) lateAfterLeaving(instance string, arrivals []*registered.Arrival, byID map[string]record) int {
	var told time.Time
	late := 0
	for _, a := range arrivals {
		sent := byID[a.ID].sent
		switch {
		case told.IsZero() && a.Leaving:
			told = a.Answered
		case !told.IsZero() && sent.After(told.Add(maxDrainDelay+drainTolerance)) && !e.interrupted(instance, told, a.At):
			late++
		}
	}
	return late
}
