package emulator

import (
	"fmt"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
)

// call is a caller's request over all of its tries.
type call struct {
	kind   *Kind
	zone   string
	object string
	began  time.Duration
	tries  int
}

// call lets a caller of a zone ask for one of its region's objects.
func (w *world) call(k *Kind, zone string) {
	object := fmt.Sprintf("%s-%d", w.regionOf[zone], w.rng.IntN(k.Objects))
	if m, ok := w.moved[zone]; ok && w.rng.Float64() < m.share {
		zone = m.to
	}
	c := &call{kind: k, zone: zone, object: object, began: w.now}
	w.score.owe(c)
	w.try(c)
}

// try sends the request to an instance.
func (w *world) try(c *call) {
	c.tries++
	list := w.instances[c.zone]
	i := list[w.rng.IntN(len(list))]
	w.after(w.deployment.Caller/2, func() { w.serve(c, i) })
}

func (w *world) serve(c *call, i *instance) {
	now := w.clock()
	deadline := epoch.Add(c.began + c.kind.Deadline)
	r := admission.Request{
		ID: fmt.Sprint(w.seq), Object: c.object, Route: w.routes[c.kind.Name],
		Received: now, CallerDeadline: deadline, Deadline: now.Add(c.kind.Timeout),
	}
	if deadline.Before(r.Deadline) {
		r.Deadline = deadline
	}
	t := i.policy.Begin(i.estate, r, now)
	w.place(i, t)
	// Requests in flight end with the policy that they began with.
	w.attempt(&exchange{call: c, instance: i, zone: i.zone, policy: i.policy, ticket: t})
}

// exchange is a request at an instance.
type exchange struct {
	call     *call
	instance *instance
	zone     string
	policy   Policy
	ticket   *admission.RequestState
}

// place asks the first instance of the region for the place of an object. The
// time of the way is left out.
func (w *world) place(i *instance, t *admission.RequestState) {
	own, ok := i.policy.(placer)
	if !ok {
		return
	}
	ask, unplaced := own.PendingPlacement(t, w.clock())
	if !unplaced {
		return
	}
	region := w.regionOf[i.zone]
	first := w.instances[w.deployment.Regions[region][0]][0]
	assigner := first.policy.(placer)
	entries := assigner.Assign(first.estate, ask, own.PlacesVersion(), w.clock())
	own.MergePlacements(t, entries, w.clock())
}

// attempt makes the next attempt that the policy asks for.
func (w *world) attempt(x *exchange) {
	t := x.ticket
	choice, reason := x.policy.Next(t, x.instance.estate, w.clock())
	if reason != "" {
		w.turnAway(x.call, x.policy.RetryAfter(t, w.clock()))
		return
	}
	b := w.find(choice.Backend.ID)
	rtt := w.rtt(x.zone, b.Zone)
	sent := w.now
	end := time.Duration(t.Deadline.Sub(epoch))
	over := false
	finish := func(r affinity.Result, ran bool, then func()) {
		if over {
			return
		}
		over = true
		r.Took = w.now - sent
		x.policy.RecordEnd(t, choice, r, ran, w.clock())
		then()
	}
	// The time limit ends the attempt although the run goes on.
	w.at(max(w.now, end), func() {
		finish(affinity.Result{Outcome: affinity.Abandoned}, true, func() { w.score.fail(x.call) })
	})
	w.after(rtt/2, func() {
		b.take(w, &run{kind: x.call.kind, object: x.call.kind.Name + x.call.object, deadline: end, done: func(end runEnd) {
			load := &affinity.Load{Running: b.running, Waiting: len(b.queue), Slots: b.service.Slots}
			w.after(rtt/2, func() { w.arrived(x, end, load, finish) })
		}})
	})
}

// arrived takes in what a backend server has made of an attempt.
func (w *world) arrived(x *exchange, end runEnd, load *affinity.Load, finish func(affinity.Result, bool, func())) {
	result, ran, reached := affinity.Result{Load: load}, true, true
	switch end {
	case ranWell:
		finish(result, true, func() { w.after(w.deployment.Caller/2, func() { w.score.answer(x.call, w.now-x.call.began) }) })
		return
	case refused:
		result.Outcome, ran = affinity.Shed, false
	case broken:
		result = affinity.Result{Outcome: affinity.Unreachable}
		ran, reached = false, false
	}
	finish(result, ran, func() {
		if x.policy.CheckRetry(x.ticket, ran, reached, w.clock()) == "" {
			w.attempt(x)
			return
		}
		w.turnAway(x.call, x.policy.RetryAfter(x.ticket, w.clock()))
	})
}

// turnAway lets the caller come back, once.
func (w *world) turnAway(c *call, wait time.Duration) {
	if wait <= 0 {
		wait = plainWait
	}
	left := c.began + c.kind.Deadline - w.now
	wait = min(wait, time.Duration(honoured*float64(left)))
	if c.tries > callerRetries || left <= 0 {
		w.score.refuse(c)
		return
	}
	w.after(w.deployment.Caller+wait, func() { w.try(c) })
}
