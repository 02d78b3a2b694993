package emulator

import (
	"fmt"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// crashDowntime is how long a backend server is down after a request has crashed
	// it.
	crashDowntime = 2500 * time.Millisecond
	// noticeDelay is how long evidence against a request takes to reach the other
	// instances.
	noticeDelay = 150 * time.Millisecond
)

// crashingRequest is a request that crashes each backend server that runs it. Its
// callers repeat it at random instances. It does not count in the score.
type crashingRequest struct {
	fingerprint quarantine.Fingerprint
	kind        *RequestKind
	// silent is set if its crashes show only when the backend server is back.
	silent bool
	// sends holds when it reached backend servers, each of which it crashed.
	sends []time.Duration
}

// lateSends counts the sends that came later than a time after the third crash.
func (c *crashingRequest) lateSends(after time.Duration) int {
	late := 0
	for _, at := range c.sends {
		if len(c.sends) >= 3 && at > c.sends[2]+after {
			late++
		}
	}
	return late
}

// repeatCrashing lets callers repeat a crashing request, Factor times a second.
func (sim *simulation) repeatCrashing(t Disturbance) {
	c := &crashingRequest{fingerprint: quarantine.Fingerprint(len(sim.crashing) + 1), kind: &sim.deployment.Kinds[0], silent: t.Kind == RepeatCrashingSilently}
	sim.crashing = append(sim.crashing, c)
	interval := time.Duration(float64(time.Second) / t.Factor)
	for at := time.Duration(0); at < t.ActiveFor; at += interval {
		sim.after(at, func() { sim.handleCrashing(c, sim.randomInstance()) })
	}
}

// randomInstance returns a random instance of a random availability zone.
func (sim *simulation) randomInstance() *instance {
	list := sim.instances[sim.zones[sim.rng.IntN(len(sim.zones))]]
	return list[sim.rng.IntN(len(list))]
}

// handleCrashing handles one repeat of a crashing request at an instance.
func (sim *simulation) handleCrashing(c *crashingRequest, i *instance) {
	now := sim.clock()
	deadline := now.Add(c.kind.Timeout)
	state := i.policy.Begin(i.snapshot, admission.Request{
		ID: fmt.Sprint(sim.seq), Route: sim.routes[c.kind.Name], Received: now, Deadline: deadline, CallerDeadline: deadline,
	}, now)
	sim.attemptCrashing(c, i, state)
}

// attemptCrashing makes the next attempt of a crashing request, unless the instance has
// it in quarantine or the policy chooses no backend server.
func (sim *simulation) attemptCrashing(c *crashingRequest, i *instance, state *admission.RequestState) {
	verdict := i.verdict(c.fingerprint, sim.clock())
	if verdict == quarantine.Quarantined || verdict == quarantine.Suspect && i.unexplained[c.fingerprint] > 0 {
		return
	}
	if verdict == quarantine.Suspect {
		first := i.quarantine.Evidence(c.fingerprint).FirstSent
		state.Isolation = &admission.Isolation{
			Key:      c.fingerprint.String(),
			Avoid:    func(b *traffic.Backend) bool { return admission.StartedAfter(b, first) },
			Confined: i.quarantine.ConfinesSuspects(sim.clock()),
		}
	}
	choice, reason := i.policy.Next(state, i.snapshot, sim.clock())
	if reason != "" {
		return
	}
	sent := quarantine.SentRequest{Fingerprint: c.fingerprint, Isolated: verdict == quarantine.Suspect, Sent: sim.clock()}
	b, rtt := sim.find(choice.Backend.ID), sim.rtt(i.zone, choice.Backend.Zone)
	sim.after(rtt/2, func() {
		crashed := !b.terminated
		if crashed {
			c.sends = append(c.sends, sim.now)
			sim.crash([]*backend{b}, crashDowntime)
		}
		if c.silent {
			sim.awaitRestart(c, i, state, choice, sent)
			return
		}
		sim.after(rtt/2, func() { sim.endCrashing(c, i, state, choice, sent, crashed) })
	})
}

// awaitRestart ends an attempt that gets no response: at the timeout for the policy, and
// as a crash when the backend server is back, or when it has stopped its heartbeats. For
// requests that were no suspects, the latter shows only after the timeout.
func (sim *simulation) awaitRestart(c *crashingRequest, i *instance, state *admission.RequestState, choice affinity.Choice, sent quarantine.SentRequest) {
	i.unexplained[c.fingerprint]++
	sim.after(c.kind.Timeout, func() {
		i.policy.RecordEnd(state, choice, affinity.Result{Outcome: affinity.Abandoned}, true, sim.clock())
	})
	noticed := lapseDelay
	if !sent.Isolated {
		noticed = max(noticed, c.kind.Timeout)
	}
	sim.after(min(noticed, crashDowntime+propagationDelay), func() {
		i.unexplained[c.fingerprint]--
		sim.shareEvidence(i, quarantine.Crash{Incident: quarantine.IncidentOf("", choice.Backend.ID, 0), InFlight: []quarantine.SentRequest{sent}})
	})
}

// endCrashing records the end of an attempt of a crashing request, and sends the
// request again if it is idempotent. crashed is false if the backend server was down
// already.
func (sim *simulation) endCrashing(c *crashingRequest, i *instance, state *admission.RequestState, choice affinity.Choice, sent quarantine.SentRequest, crashed bool) {
	i.policy.RecordEnd(state, choice, affinity.Result{Outcome: affinity.Unreachable}, crashed, sim.clock())
	if crashed {
		sim.shareEvidence(i, quarantine.Crash{Incident: quarantine.IncidentOf("", choice.Backend.ID, 0), InFlight: []quarantine.SentRequest{sent}})
	}
	if i.policy.CheckRetry(state, crashed, crashed, sim.clock()) == "" {
		sim.attemptCrashing(c, i, state)
	}
}

// verdict returns the verdict of an instance, Clear if its policy has no quarantine.
func (i *instance) verdict(fp quarantine.Fingerprint, now time.Time) quarantine.Verdict {
	if i.quarantine == nil {
		return quarantine.Clear
	}
	return i.quarantine.Verdict(now, fp)
}

// shareEvidence passes a crash to the machine of an instance, and the resulting notices
// to all other instances.
func (sim *simulation) shareEvidence(from *instance, crash quarantine.Crash) {
	if from.quarantine == nil {
		return
	}
	var notices []quarantine.Notice
	for _, send := range from.quarantine.Step(sim.clock(), crash) {
		notices = append(notices, send.Notice)
	}
	sim.after(noticeDelay, func() {
		for _, z := range sim.zones {
			for _, i := range sim.instances[z] {
				if i != from {
					i.quarantine.Step(sim.clock(), quarantine.NoticesReceived{Notices: notices})
				}
			}
		}
	})
}

// newQuarantine returns the machine of an instance with the given policy, or nil if the
// policy has none.
func newQuarantine(p Policy) *quarantine.Machine {
	if _, ok := p.(*admission.Machine); !ok {
		return nil
	}
	return quarantine.New(quarantine.Config{SharedBackends: true})
}

// maxCrashingSends returns the largest number of backend servers that one crashing
// request has reached.
func (sim *simulation) maxCrashingSends() int {
	most := 0
	for _, c := range sim.crashing {
		most = max(most, len(c.sends))
	}
	return most
}
