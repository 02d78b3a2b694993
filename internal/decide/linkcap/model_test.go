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
	testRegion = "pos"
	testHold   = 10 * time.Second
)

// node is one incarnation.
type node = worldtest.Node[*Machine, struct{}]

// world is several machines of one region and the requests under way on its
// links.
type world struct {
	worldtest.World[*Machine, struct{}]
	caps map[string]Rights
	// maxHolders is 0 for the default.
	maxHolders int
	// loseTransfers loses transfers between partners and their answers.
	loseTransfers bool
	requests      []*request
}

// request is under way until it ends, also when its instance dies.
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
		n.M.SetCaps(w.Now, w.caps, testHold)
	}
	w.SetView = func(n *node, view []membership.Instance) { n.M.SetMembers(w.Now, view) }
	w.Obey, w.Pass, w.Ticking = w.obey, w.end, w.stop
	return w
}

// stop ends a leaving node that has nothing left.
func (w *world) stop(n *node) {
	if n.M.LeaveComplete() && w.taken(n, "sfo").isZero() && w.taken(n, "bgi").isZero() {
		n.Alive = false
	}
}

// obey does what the machine asks for.
func (w *world) obey(n *node) {
	r := n.M.Ready()
	if r.RightsLost {
		panic(fmt.Sprintf("%s lost its rights though it lives", n.Identity))
	}
	for _, t := range r.Transfers {
		w.toPartner(t.To, func(o *node) {
			if o.M.TransferReceived(w.Now, n.Identity, t.Link, t.Total) {
				w.toPartner(n.Identity, func(n *node) { n.M.TransferAcked(t) })
			}
		})
	}
	for _, want := range r.RightsRequests {
		if o := w.Find(want.To); o != nil {
			w.Reply(o, func() { o.M.RightsRequested(w.Now, n.Identity, want.Link, want.Rights) })
		}
	}
	for _, p := range r.Probes {
		w.Probe(n, p)
	}
	w.Send(n, r.Read, r.Write)
}

// toPartner delivers a message to an incarnation; a paused one takes it later.
func (w *world) toPartner(id membership.Identity, take func(*node)) {
	if o := w.Find(id); o != nil && !w.loseTransfers {
		w.Reply(o, func() { take(o) })
	}
}

func (w *world) begin(n *node, to string, d time.Duration) bool {
	if !w.Up(n) || !n.M.TryAcquire(to, w.Now) {
		return false
	}
	w.requests = append(w.requests, &request{to: to, by: n, started: w.Now, ends: w.Now.Add(d)})
	return true
}

// end ends the requests whose time has come.
func (w *world) end() {
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

// taken returns what is under way on a link by n.
func (w *world) taken(n *node, to string) Rights {
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

// check holds that the usable rights, and what runs under rights of the dead,
// never add up to more than a cap.
func (w *world) check(t require.TestingT) {
	for to, capacity := range w.caps {
		var sum Rights
		for _, n := range w.Nodes {
			taken := w.taken(n, to)
			if n.Alive {
				taken = taken.max(n.M.Usable(to))
			}
			sum = sum.add(taken)
		}
		require.LessOrEqual(t, sum.InFlight, capacity.InFlight, "in flight to %s at %s", to, w.Now)
		require.LessOrEqual(t, sum.Rate, capacity.Rate, "rate to %s at %s", to, w.Now)
	}
}

// heal ends all faults and holds that the rights add up to the cap again.
func (w *world) heal(t require.TestingT) {
	w.Heal()
	w.loseTransfers = false
	w.Start("last")
	for range 60 {
		w.Run(time.Second, 500*time.Millisecond, true)
		w.check(t)
	}
	for to, capacity := range w.caps {
		var sum Rights
		for _, n := range w.Nodes {
			if n.Alive {
				sum = sum.add(n.M.Usable(to))
			}
		}
		require.Equal(t, capacity, sum, "rights to %s", to)
	}
}

// fault makes one random step.
func (w *world) fault(t *rapid.T) {
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		w.loseTransfers = !w.loseTransfers
	case 1, 2:
		n, to := w.Any(t), rapid.SampledFrom([]string{"bgi", "sfo"}).Draw(t, "link")
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			w.begin(n, to, time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds"))*time.Second)
		}
	default:
		w.Faults(t)
	}
}

// TestCapHolds holds over random faults that rights never add up to more than a
// cap, and that they add up to it again after the faults.
func TestCapHolds(t *testing.T) {
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
			w.fault(t)
			w.check(t)
		}
		if rapid.IntRange(0, 3).Draw(t, "heal") == 0 {
			w.heal(t)
		}
	})
}

// TestLowerCap holds that a lower cap binds every holder at once.
func TestLowerCap(t *testing.T) {
	w := newWorld(map[string]Rights{"sfo": {100, 100}})
	for _, id := range []string{"a", "b", "c"} {
		w.Start(id)
	}
	w.Run(10*time.Second, 500*time.Millisecond, true)
	for _, lower := range []Rights{{50, 70}, {10, 10}, {200, 150}} {
		w.caps = map[string]Rights{"sfo": lower}
		for _, n := range w.Nodes {
			n.M.SetCaps(w.Now, w.caps, testHold)
		}
		w.check(t)
		w.Run(20*time.Second, 500*time.Millisecond, true)
		w.check(t)
		var sum Rights
		for _, n := range w.Nodes {
			sum = sum.add(n.M.Usable("sfo"))
		}
		require.Equal(t, lower, sum)
	}
}

// TestMaxHolders holds that the row is bounded and that those left out have no
// rights until a holder is gone.
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
			b.Fatal("refused")
		}
		n.M.Release("sfo")
	}
}
