package once

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAtMostOnce guards against a second run of a key and against a run of a key
// that was reported as not run. It applies random events, including lost
// messages, crashes and handovers, to three instances and their later
// incarnations, and checks after each event.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chosen := rapid.Bool().Draw(t, "caller-chosen keys")
		cfg := Config{MaxKeyTTL: time.Minute, ClaimTTL: 24 * time.Hour, ClaimShards: 2}
		if chosen {
			cfg.MaxKeyTTL = 24 * time.Hour
		}
		if rapid.Bool().Draw(t, "small memory") {
			cfg.MaxBytes = 3 * (recordOverhead + MaxKeyLen)
		}
		sim := newSimulation(cfg)
		for _, id := range []string{"a", "b", "c"} {
			n := sim.addInstance(id, 1)
			n.skew = time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second
		}
		var keys []string
		newKey := func() {
			name := fmt.Sprintf("k%d", len(keys))
			if chosen && len(keys)%2 == 0 {
				sim.names[name] = name
				keys = append(keys, name)
				return
			}
			n := rapid.SampledFrom(sim.instances).Draw(t, "home")
			keys = append(keys, sim.issueKey(name, n, 30*time.Second))
		}
		newKey()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			sim.randomEvent(t, keys, newKey)
			if sim.violation != "" {
				t.Fatalf("%s\n%s", sim.violation, sim.log.String())
			}
		}
		sim.finishAll()
		if sim.violation != "" {
			t.Fatalf("%s\n%s", sim.violation, sim.log.String())
		}
	})
}

// finishAll delivers all messages, finishes all runs and reports all terminated
// instances. It then checks that each attempt has got a response.
func (sim *simulation) finishAll() {
	sim.printf("finishing all")
	for _, n := range sim.instances {
		for _, o := range sim.instances {
			if !o.alive {
				sim.step(n, HomeTerminated{Home: o.home})
			}
		}
	}
	for range 8 {
		for len(sim.msgs) > 0 {
			sim.takeMessage(0).receive()
		}
		for _, n := range sim.instances {
			for _, id := range slices.Sorted(maps.Keys(n.runs)) {
				sim.step(n, Start{Run: id})
				if r := n.runs[id]; r != nil && r.started {
					sim.finish(n, id, "done")
				} else if r != nil {
					sim.finish(n, id, "refused")
				}
			}
			sim.step(n, Tick{})
		}
	}
	for id, c := range sim.attempts {
		if c.at.alive && !c.ended {
			sim.violation = fmt.Sprintf("attempt %d got no response", id)
		}
	}
}

// randomEvent applies one random event.
func (sim *simulation) randomEvent(t *rapid.T, keys []string, newKey func()) {
	n := rapid.SampledFrom(sim.instances).Draw(t, "node")
	other := rapid.SampledFrom(sim.instances).Draw(t, "other")
	switch rapid.IntRange(0, 19).Draw(t, "event") {
	case 0:
		newKey()
	case 1, 2, 3, 4:
		fp := Fingerprint(0)
		if rapid.IntRange(0, 9).Draw(t, "changed") == 0 {
			fp = 1
		}
		sim.send(n, request{key: rapid.SampledFrom(keys).Draw(t, "key"), fp: fp})
	case 5, 6, 7, 8, 9, 10:
		if len(sim.msgs) > 0 {
			sim.takeMessage(rapid.IntRange(0, len(sim.msgs)-1).Draw(t, "message")).receive()
		}
	case 11:
		if len(sim.msgs) > 0 {
			sim.takeMessage(rapid.IntRange(0, len(sim.msgs)-1).Draw(t, "message")).lose()
		}
	case 12, 13, 14:
		sim.randomRunEvent(t, n)
	case 15:
		if id := AttemptID(rapid.IntRange(0, int(sim.lastID)).Draw(t, "attempt")); id > 0 && !sim.attempts[id].ended {
			reason := rapid.SampledFrom([]CancelReason{CallerDisconnected, DeadlinePassed}).Draw(t, "reason")
			sim.printf("attempt %d is cancelled (%d)", id, reason)
			sim.step(sim.attempts[id].at, Cancel{Attempt: id, Reason: reason})
			if reason == CallerDisconnected {
				sim.breakConnection(sim.attempts[id])
			}
		}
	case 16:
		if n.alive && rapid.Bool().Draw(t, "kill") {
			sim.printf("%s is killed", n.name)
			sim.kill(n, rapid.Bool().Draw(t, "ran"))
			sim.addInstance(n.home.ID, n.home.Incarnation+1).skew = n.skew
		}
	case 17:
		// The evidence may be wrong. Then callers may get an unknown outcome, but
		// no key runs twice.
		sim.printf("%s assumes that %s has terminated", n.name, other.name)
		sim.step(n, HomeTerminated{Home: other.home})
	case 18:
		sim.printf("%s hands over to %s", n.name, other.name)
		sim.step(n, StartHandover{To: other.home})
	case 19:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		sim.step(n, Tick{})
	}
}

func (sim *simulation) randomRunEvent(t *rapid.T, n *instance) {
	var ids []RunID
	for id := range n.runs {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "run")
	if !n.runs[id].started && rapid.Bool().Draw(t, "start") {
		sim.step(n, Start{Run: id})
		return
	}
	how := "refused"
	if n.runs[id].started {
		how = rapid.SampledFrom([]string{"done", "lost", "unsent", "refused"}).Draw(t, "end")
	}
	sim.printf("%s: run %d ends %s", n.name, id, how)
	sim.finish(n, id, how)
}
