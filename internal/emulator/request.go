package emulator

import (
	"fmt"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
)

// request is one request of a caller, including the caller's retries.
type request struct {
	kind *RequestKind
	// zone is the availability zone whose instances receive the request.
	zone   string
	object string
	// started is the simulated time of the first send.
	started time.Duration
	// sends counts how often the caller has sent the request.
	sends int
}

// request creates and sends a request of the zone for a random object of the
// zone's region.
func (sim *simulation) request(k *RequestKind, zone string) {
	object := fmt.Sprintf("%s-%d", sim.regionOf[zone], sim.rng.IntN(k.Objects))
	if m, ok := sim.callerShifts[zone]; ok && sim.rng.Float64() < m.share {
		zone = m.to
	}
	c := &request{kind: k, zone: zone, object: object, started: sim.now}
	sim.score.recordRequest(c)
	sim.send(c)
}

// send sends the request to a random instance of its zone.
func (sim *simulation) send(c *request) {
	c.sends++
	list := sim.instances[c.zone]
	i := list[sim.rng.IntN(len(list))]
	sim.after(sim.deployment.CallerRTT/2, func() { sim.handle(c, i) })
}

// handle starts the handling of a request at an instance.
func (sim *simulation) handle(c *request, i *instance) {
	now := sim.clock()
	deadline := epoch.Add(c.started + c.kind.Deadline)
	r := admission.Request{
		ID: fmt.Sprint(sim.seq), Object: c.object, Route: sim.routes[c.kind.Name],
		Received: now, CallerDeadline: deadline, Deadline: now.Add(c.kind.Timeout),
	}
	if deadline.Before(r.Deadline) {
		r.Deadline = deadline
	}
	state := i.policy.Begin(i.snapshot, r, now)
	sim.resolvePlacement(i, state)
	// A request in flight keeps its policy when the instance restarts.
	sim.attempt(&exchange{request: c, instance: i, zone: i.zone, policy: i.policy, requestState: state})
}

// exchange is the handling of a request by an instance.
type exchange struct {
	request  *request
	instance *instance
	// zone is the availability zone of the instance.
	zone string
	// policy is the policy that the instance had when it received the request.
	policy Policy
	// requestState is the policy's state of the request.
	requestState *admission.RequestState
}

// resolvePlacement asks the leader, which is the first instance of the region,
// for the placement of the object if the policy needs it. The network delay of
// this lookup is not modelled.
func (sim *simulation) resolvePlacement(i *instance, state *admission.RequestState) {
	requester, ok := i.policy.(placementPolicy)
	if !ok {
		return
	}
	request, pending := requester.PendingPlacement(state, sim.clock())
	if !pending {
		return
	}
	region := sim.regionOf[i.zone]
	first := sim.instances[sim.deployment.Regions[region][0]][0]
	leader := first.policy.(placementPolicy)
	entries := leader.Assign(first.snapshot, request, requester.PlacesVersion(), sim.clock())
	requester.MergePlacements(state, entries, sim.clock())
}

// attempt makes the next attempt that the policy chooses, or rejects the
// request if the policy chooses none.
func (sim *simulation) attempt(x *exchange) {
	state := x.requestState
	choice, reason := x.policy.Next(state, x.instance.snapshot, sim.clock())
	if reason != "" {
		sim.reject(x.request, x.policy.RetryAfter(state, sim.clock()))
		return
	}
	b := sim.find(choice.Backend.ID)
	rtt := sim.rtt(x.zone, b.Zone)
	sent := sim.now
	end := time.Duration(state.Deadline.Sub(epoch))
	finished := false
	finish := func(r affinity.Result, ran bool, then func()) {
		if finished {
			return
		}
		finished = true
		r.Took = sim.now - sent
		x.policy.RecordEnd(state, choice, r, ran, sim.clock())
		then()
	}
	// The request deadline ends the attempt, although the run continues at the
	// backend server.
	sim.at(max(sim.now, end), func() {
		finish(affinity.Result{Outcome: affinity.Abandoned}, true, func() { sim.score.recordFailed(x.request) })
	})
	sim.after(rtt/2, func() {
		arrived := sim.clock()
		b.accept(sim, &run{kind: x.request.kind, object: x.request.kind.Name + x.request.object, deadline: end, done: func(end runOutcome) {
			load := &affinity.Load{Running: b.running, Waiting: len(b.queue), Slots: b.service.Slots}
			stated, said := b.statedLimit(), sim.sayRest(b, x.instance, arrived, end)
			sim.after(rtt/2, func() {
				sim.observeRest(x, b, said)
				sim.handleResult(x, end, load, finish)
				if end == runCompleted || stated.Limited {
					sim.observeLimit(x, b, stated, sent)
				}
			})
		}})
	})
}

// handleResult handles the outcome of an attempt at the instance: it completes
// the request, retries it or rejects it.
func (sim *simulation) handleResult(x *exchange, outcome runOutcome, load *affinity.Load, finish func(affinity.Result, bool, func())) {
	result, ran, reached := affinity.Result{Load: load}, true, true
	switch outcome {
	case runCompleted:
		finish(result, true, func() {
			sim.after(sim.deployment.CallerRTT/2, func() { sim.score.recordServed(x.request, sim.now-x.request.started) })
		})
		return
	case runRejected:
		result.Outcome, ran = affinity.Shed, false
	case runAborted:
		result = affinity.Result{Outcome: affinity.Unreachable}
		ran, reached = false, false
	}
	finish(result, ran, func() {
		if x.policy.CheckRetry(x.requestState, ran, reached, sim.clock()) == "" {
			sim.attempt(x)
			return
		}
		sim.reject(x.request, x.policy.RetryAfter(x.requestState, sim.clock()))
	})
}

// reject returns a rejection to the caller. The caller retries the request
// after wait if it has a retry and time left; otherwise the request counts as
// rejected.
func (sim *simulation) reject(c *request, wait time.Duration) {
	if wait <= 0 {
		wait = defaultRetryWait
	}
	left := c.started + c.kind.Deadline - sim.now
	wait = min(wait, time.Duration(maxWaitShare*float64(left)))
	if c.sends > maxCallerRetries || left <= 0 {
		sim.score.recordRejected(c)
		return
	}
	sim.after(sim.deployment.CallerRTT+wait, func() { sim.send(c) })
}
