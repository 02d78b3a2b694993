package once

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAtMostOnce lets random events happen in any order to three instances and
// their successors, and checks after each that no key has run twice and that
// nothing told as not run was or is run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chosen := rapid.Bool().Draw(t, "caller-chosen keys")
		cfg := Config{MaxKeyTTL: time.Minute, ClaimTTL: 24 * time.Hour, ClaimShards: 2}
		if chosen {
			cfg.MaxKeyTTL = 24 * time.Hour
		}
		if rapid.Bool().Draw(t, "little memory") {
			cfg.MaxBytes = 3 * (recordOverhead + MaxKeyLen)
		}
		w := newWorld(cfg)
		for _, id := range []string{"a", "b", "c"} {
			n := w.addNode(id, 1)
			n.skew = time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second
		}
		var keys []string
		newKey := func() {
			name := fmt.Sprintf("k%d", len(keys))
			if chosen && len(keys)%2 == 0 {
				w.names[name] = name
				keys = append(keys, name)
				return
			}
			n := rapid.SampledFrom(w.nodes).Draw(t, "home")
			keys = append(keys, w.issue(name, n, 30*time.Second))
		}
		newKey()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			w.randomStep(t, keys, newKey)
			if w.fault != "" {
				t.Fatalf("%s\n%s", w.fault, w.log.String())
			}
		}
		w.settleDown()
		if w.fault != "" {
			t.Fatalf("%s\n%s", w.fault, w.log.String())
		}
	})
}

// settleDown lets everything end that can: the network works, each run ends,
// and all know which instances have ended. Each attempt must be answered then.
func (w *world) settleDown() {
	w.printf("settling down")
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			if !o.alive {
				w.step(n, HomeTerminated{Home: o.home})
			}
		}
	}
	for range 8 {
		for len(w.msgs) > 0 {
			w.take(0).do()
		}
		for _, n := range w.nodes {
			for _, id := range slices.Sorted(maps.Keys(n.runs)) {
				w.step(n, Start{Run: id})
				if r := n.runs[id]; r != nil && r.started {
					w.finish(n, id, "done")
				} else if r != nil {
					w.finish(n, id, "refused")
				}
			}
			w.step(n, Tick{})
		}
	}
	for id, c := range w.calls {
		if c.at.alive && !c.ended {
			w.fault = fmt.Sprintf("attempt %d was never answered", id)
		}
	}
}

// randomStep lets one of the things happen that can happen now.
func (w *world) randomStep(t *rapid.T, keys []string, newKey func()) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "node")
	other := rapid.SampledFrom(w.nodes).Draw(t, "other")
	switch rapid.IntRange(0, 19).Draw(t, "event") {
	case 0:
		newKey()
	case 1, 2, 3, 4:
		fp := Fingerprint(0)
		if rapid.IntRange(0, 9).Draw(t, "changed") == 0 {
			fp = 1
		}
		w.send(n, request{key: rapid.SampledFrom(keys).Draw(t, "key"), fp: fp})
	case 5, 6, 7, 8, 9, 10:
		if len(w.msgs) > 0 {
			w.take(rapid.IntRange(0, len(w.msgs)-1).Draw(t, "message")).do()
		}
	case 11:
		if len(w.msgs) > 0 {
			w.take(rapid.IntRange(0, len(w.msgs)-1).Draw(t, "message")).lose()
		}
	case 12, 13, 14:
		w.randomRun(t, n)
	case 15:
		if id := AttemptID(rapid.IntRange(0, int(w.lastID)).Draw(t, "attempt")); id > 0 && !w.calls[id].ended {
			reason := rapid.SampledFrom([]CancelReason{CallerDisconnected, DeadlineExceeded}).Draw(t, "reason")
			w.printf("attempt %d is cancelled (%d)", id, reason)
			w.step(w.calls[id].at, Cancel{Attempt: id, Reason: reason})
			if reason == CallerDisconnected {
				w.breakOff(w.calls[id])
			}
		}
	case 16:
		if n.alive && rapid.Bool().Draw(t, "kill") {
			w.printf("%s is killed", n.name)
			w.kill(n, rapid.Bool().Draw(t, "ran"))
			w.addNode(n.home.ID, n.home.Incarnation+1).skew = n.skew
		}
	case 17:
		// The evidence may be wrong; that costs answers, never a second run.
		w.printf("%s takes %s for gone", n.name, other.name)
		w.step(n, HomeTerminated{Home: other.home})
	case 18:
		w.printf("%s hands over to %s", n.name, other.name)
		w.step(n, StartHandover{To: other.home})
	case 19:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		w.step(n, Tick{})
	}
}

func (w *world) randomRun(t *rapid.T, n *node) {
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
		w.step(n, Start{Run: id})
		return
	}
	how := "refused"
	if n.runs[id].started {
		how = rapid.SampledFrom([]string{"done", "lost", "unsent", "refused"}).Draw(t, "end")
	}
	w.printf("%s: run %d ends %s", n.name, id, how)
	w.finish(n, id, how)
}
