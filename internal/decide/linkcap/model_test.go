package linkcap

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/worldtest"
)

const (
	testRegion         = "pos"
	testMaxRequestTime = 10 * time.Second
)

// node is one simulated incarnation of an instance.
type node = worldtest.Node[*Machine, struct{}]

// world simulates the machines of one region and the requests on its links.
type world struct {
	worldtest.World[*Machine, struct{}]
	caps map[string]Rights
	// maxHolders is Config.MaxHolders; 0 selects the default.
	maxHolders int
	// dropTransfers drops transfers between partners and their acknowledgments.
	dropTransfers bool
	requests      []*request
}

// request is a request in progress. It runs until it ends even when its
// instance dies. It is kept after its end, with ends set to zero, while it
// still counts towards the rate.
type request struct {
	to            string
	by            *node
	started, ends time.Time
}

func newWorld(caps map[string]Rights) *world {
	w := &world{caps: caps}
	w.Now, w.Table, w.RowName = time.Unix(0, 0), worldtest.NewTable(), RowPrefix+testRegion
	w.New = func(n *node) {
		n.M = New(Config{Self: n.Identity, Peer: n.Peer, Region: testRegion, PollInterval: 2 * time.Second, MaxHolders: w.maxHolders}, w.Now)
		n.M.SetCaps(w.Now, w.caps, testMaxRequestTime)
	}
	w.SetView = func(n *node, view []membership.Instance) { n.M.SetMembers(w.Now, view) }
	w.Execute, w.TimePassed, w.BeforeTick = w.execute, w.endRequests, w.stopIfDone
	return w
}

// stopIfDone ends a leaving node that has no rights and no requests left.
func (w *world) stopIfDone(n *node) {
	if n.M.LeaveComplete() && w.inUse(n, "sfo").isZero() && w.inUse(n, "bgi").isZero() {
		n.Alive = false
	}
}

// execute performs the actions that the machine requests.
func (w *world) execute(n *node) {
	r := n.M.Ready()
	if r.RightsLost {
		panic(fmt.Sprintf("%s lost its rights although it is alive", n.Identity))
	}
	for _, t := range r.Transfers {
		w.sendToPartner(t.To, func(o *node) {
			if o.M.TransferReceived(w.Now, n.Identity, t.Link, t.Total) {
				w.sendToPartner(n.Identity, func(n *node) { n.M.TransferAcked(t) })
			}
		})
	}
	for _, req := range r.RightsRequests {
		if o := w.Find(req.To); o != nil {
			w.SendTo(o, func() { o.M.RightsRequested(w.Now, n.Identity, req.Link, req.Rights) })
		}
	}
	for _, p := range r.Probes {
		w.Probe(n, p)
	}
	w.Send(n, r.Read, r.Write)
}

// sendToPartner sends a message to an incarnation. A paused one processes it
// later.
func (w *world) sendToPartner(id membership.Identity, handle func(*node)) {
	if o := w.Find(id); o != nil && !w.dropTransfers {
		w.SendTo(o, func() { handle(o) })
	}
}

// startRequest starts a request of duration d on n if its rights allow.
func (w *world) startRequest(n *node, to string, d time.Duration) bool {
	if !w.Running(n) || !n.M.TryAcquire(to, w.Now) {
		return false
	}
	w.requests = append(w.requests, &request{to: to, by: n, started: w.Now, ends: w.Now.Add(d)})
	return true
}

// endRequests ends the requests that have reached their end time.
func (w *world) endRequests() {
	for _, r := range w.requests {
		if !r.ends.IsZero() && !w.Now.Before(r.ends) {
			r.ends = time.Time{}
			if r.by.Alive {
				r.by.M.Release(r.to)
			}
		}
	}
	w.requests = slices.DeleteFunc(w.requests, func(r *request) bool {
		return r.ends.IsZero() && w.Now.Sub(r.started) >= RateWindow
	})
}

// inUse returns the rights that n's requests use on a link.
func (w *world) inUse(n *node, to string) Rights {
	var sum Rights
	for _, r := range w.requests {
		if r.by != n || r.to != to {
			continue
		}
		if !r.ends.IsZero() {
			sum.InFlight++
		}
		if w.Now.Sub(r.started) < RateWindow {
			sum.Rate++
		}
	}
	return sum
}

// checkCaps checks that the rights of all nodes never add up to more than a
// cap. A live node counts with the larger of its usable rights and the rights
// that its requests use, a dead one with the rights that its requests still
// use.
func (w *world) checkCaps(t require.TestingT) {
	for to, capacity := range w.caps {
		var sum Rights
		for _, n := range w.Nodes {
			inUse := w.inUse(n, to)
			if n.Alive {
				inUse = inUse.max(n.M.Usable(to))
			}
			sum = sum.add(inUse)
		}
		require.LessOrEqual(t, sum.InFlight, capacity.InFlight, "requests in flight to %s at %s are above the cap", to, w.Now)
		require.LessOrEqual(t, sum.Rate, capacity.Rate, "request rate to %s at %s is above the cap", to, w.Now)
	}
}

// clearFaultsAndCheck ends all faults and checks that the usable rights add up
// to the cap again.
func (w *world) clearFaultsAndCheck(t require.TestingT) {
	w.ClearFaults()
	w.dropTransfers = false
	w.Start("last")
	for range 60 {
		w.Run(time.Second, 500*time.Millisecond, true)
		w.checkCaps(t)
	}
	for to, capacity := range w.caps {
		var sum Rights
		for _, n := range w.Nodes {
			if n.Alive {
				sum = sum.add(n.M.Usable(to))
			}
		}
		require.Equal(t, capacity, sum, "sum of the usable rights to %s", to)
	}
}

// randomStep performs one random step.
func (w *world) randomStep(t *rapid.T) {
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		w.dropTransfers = !w.dropTransfers
	case 1, 2:
		n, to := w.AnyNode(t), rapid.SampledFrom([]string{"bgi", "sfo"}).Draw(t, "link")
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			w.startRequest(n, to, time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds"))*time.Second)
		}
	default:
		w.RandomStep(t)
	}
}

// TestRightsNeverExceedCap checks under random faults that rights never add up
// to more than a cap, and that they add up to exactly the cap after the faults.
func TestRightsNeverExceedCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Rights {
			return Rights{int64(rapid.IntRange(0, 20).Draw(t, name)), int64(rapid.IntRange(0, 20).Draw(t, name))}
		}
		w := newWorld(map[string]Rights{"bgi": draw("bgi"), "sfo": draw("sfo")})
		for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			w.Start(fmt.Sprintf("n%d", i))
		}
		if rapid.Bool().Draw(t, "settled") {
			w.Run(5*time.Second, 500*time.Millisecond, true)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.randomStep(t)
			w.checkCaps(t)
		}
		if rapid.IntRange(0, 3).Draw(t, "heal") == 0 {
			w.clearFaultsAndCheck(t)
		}
	})
}

// TestLowerCapAppliesAtOnce checks that a lower cap limits every holder as soon
// as it is configured, before the ledger is rewritten.
func TestLowerCapAppliesAtOnce(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {100, 100}})
	for _, id := range []string{"a", "b", "c"} {
		w.Start(id)
	}
	w.Run(10*time.Second, 500*time.Millisecond, true)
	for _, lower := range []Rights{{50, 70}, {10, 10}, {200, 150}} {
		w.caps = map[string]Rights{"sfo": lower}
		for _, n := range w.Nodes {
			n.M.SetCaps(w.Now, w.caps, testMaxRequestTime)
		}
		w.checkCaps(t)
		w.Run(20*time.Second, 500*time.Millisecond, true)
		w.checkCaps(t)
		var sum Rights
		for _, n := range w.Nodes {
			sum = sum.add(n.M.Usable("sfo"))
		}
		require.Equal(t, lower, sum)
	}
}

// TestMaxHolders checks that the number of holders is bounded, and that an
// instance left out gets rights only after a holder is gone.
func TestMaxHolders(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {30, 30}})
	w.maxHolders = 3
	for i := range 5 {
		w.Start(fmt.Sprintf("n%d", i))
	}
	holders := func() (n int, sum Rights) {
		for _, o := range w.Nodes {
			if u := o.M.Usable("sfo"); o.Alive && !u.isZero() {
				n, sum = n+1, sum.add(u)
			}
		}
		return n, sum
	}
	w.Run(10*time.Second, 500*time.Millisecond, true)
	n, sum := holders()
	require.Equal(t, 3, n)
	require.Equal(t, Rights{30, 30}, sum)
	w.Nodes[0].Alive = false
	w.Run(30*time.Second, 500*time.Millisecond, true)
	n, sum = holders()
	require.Equal(t, 3, n)
	require.Equal(t, Rights{30, 30}, sum)
}

func BenchmarkTryAcquire(b *testing.B) {
	w := newWorld(map[string]Rights{"sfo": {1000, 1000}})
	n := w.Start("a")
	w.Run(5*time.Second, 500*time.Millisecond, true)
	now := w.Now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if !n.M.TryAcquire("sfo", now) {
			b.Fatal("request rejected although the rights allow it")
		}
		n.M.Release("sfo")
	}
}
