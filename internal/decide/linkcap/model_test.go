package linkcap

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

const (
	testRegion = "pos"
	testHold   = 10 * time.Second
)

// world is several machines of one region, a table, a network and the requests
// under way on its links.
type world struct {
	now       time.Time
	table     *decidetest.Table
	net       decidetest.Network
	nodes     []*node
	caps      map[string]Rights
	loseReply bool
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

type node struct {
	membership.Instance
	m       *Machine
	alive   bool
	paused  bool
	beliefs map[membership.Identity]membership.State
}

func newWorld(caps map[string]Rights) *world {
	return &world{now: time.Unix(0, 0), table: decidetest.NewTable(), caps: caps}
}

func (w *world) start(id string) *node {
	inc := uint64(1)
	for _, n := range w.nodes {
		if n.ID == id {
			inc = n.Incarnation + 1
		}
	}
	n := &node{
		Instance: membership.Instance{Identity: membership.Identity{ID: id, Incarnation: inc}, Peer: id},
		alive:    true, beliefs: map[membership.Identity]membership.State{},
	}
	n.m = New(Config{Self: n.Identity, Peer: id, Region: testRegion, Poll: 2 * time.Second, MaxHolders: w.maxHolders}, w.now)
	n.m.SetCaps(w.now, w.caps, testHold)
	w.nodes = append(w.nodes, n)
	w.believe(n, n, membership.Live)
	return n
}

func (w *world) up(n *node) bool { return n.alive && !n.paused }

func (w *world) believe(n, about *node, s membership.State) {
	if n.beliefs[about.Identity] == membership.Gone {
		return
	}
	n.beliefs[about.Identity] = s
	var members []membership.Instance
	for _, o := range w.nodes {
		if s, ok := n.beliefs[o.Identity]; ok {
			in := o.Instance
			in.State = s
			members = append(members, in)
		}
	}
	n.m.SetMembers(w.now, members)
	w.obey(n)
}

// truth gives n the right beliefs.
func (w *world) truth(n *node) {
	for _, o := range w.nodes {
		s := membership.Live
		switch {
		case !o.alive:
			s = membership.Gone
		case o.m.leaving:
			s = membership.Leaving
		}
		if old, ok := n.beliefs[o.Identity]; !ok || old != s {
			w.believe(n, o, s)
		}
	}
}

func (w *world) find(id membership.Identity) *node {
	for _, n := range w.nodes {
		if n.Identity == id {
			return n
		}
	}
	return nil
}

// obey does what the machine asks for.
func (w *world) obey(n *node) {
	r := n.m.Ready()
	if r.Lost {
		panic(fmt.Sprintf("%s lost its rights though it lives", n.Identity))
	}
	for _, t := range r.Transfers {
		w.toPartner(t.To, func(o *node) {
			if o.m.Transferred(w.now, n.Identity, t.Link, t.Total) {
				w.toPartner(n.Identity, func(n *node) { n.m.Acked(t) })
			}
		})
	}
	for _, want := range r.Wants {
		if o := w.find(want.To); o != nil {
			w.reply(o, func() { o.m.Wanted(w.now, n.Identity, want.Link, want.Rights) })
		}
	}
	for _, p := range r.Probes {
		if o := w.find(p.About); o != nil && !o.alive {
			w.reply(n, func() { w.believe(n, o, membership.Gone) })
		}
	}
	if r.Read {
		w.net.Send(func() { w.read(n, 0) })
	}
	if r.Write != nil {
		w.net.Send(func() { w.write(n, *r.Write) })
	}
}

// toPartner delivers a message to an incarnation; a paused one takes it later.
func (w *world) toPartner(id membership.Identity, take func(*node)) {
	if o := w.find(id); o != nil && !w.loseTransfers {
		w.reply(o, func() { take(o) })
	}
}

func (w *world) read(n *node, ago int) {
	row, failed := w.table.ReadStale(RowPrefix+testRegion, ago), w.table.Down
	w.reply(n, func() {
		if failed {
			n.m.ReadFailed(w.now)
		} else if err := n.m.Row(w.now, row); err != nil {
			panic(err)
		}
	})
}

func (w *world) write(n *node, txn platform.Txn) {
	var reply platform.TxnReply
	if !w.table.Down {
		reply = w.table.Apply(txn)
	}
	lost := w.table.Down || w.loseReply
	w.loseReply = false
	w.reply(n, func() {
		if lost {
			n.m.WriteFailed(w.now, txn.ID)
		} else if err := n.m.Written(w.now, txn.ID, reply); err != nil {
			panic(err)
		}
	})
}

// reply hands something to n; a paused process takes it once it goes on.
func (w *world) reply(n *node, take func()) {
	w.net.Send(func() {
		switch {
		case w.up(n):
			take()
			w.obey(n)
		case n.alive:
			w.reply(n, take)
		}
	})
}

func (w *world) begin(n *node, to string, d time.Duration) bool {
	if !w.up(n) || !n.m.TryAcquire(to, w.now) {
		return false
	}
	w.requests = append(w.requests, &request{to: to, by: n, started: w.now, ends: w.now.Add(d)})
	return true
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.requests {
		if !r.ends.IsZero() && !w.now.Before(r.ends) {
			r.ends = time.Time{}
			if r.by.alive {
				r.by.m.Release(r.to)
			}
		}
	}
	w.requests = slices.DeleteFunc(w.requests, func(r *request) bool {
		return r.ends.IsZero() && w.now.Sub(r.started) >= RateWindow
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
		if w.now.Sub(r.started) < RateWindow {
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
		for _, n := range w.nodes {
			taken := w.taken(n, to)
			if n.alive {
				taken = taken.max(n.m.Usable(to))
			}
			sum = sum.add(taken)
		}
		require.LessOrEqual(t, sum.InFlight, capacity.InFlight, "in flight to %s at %s", to, w.now)
		require.LessOrEqual(t, sum.Rate, capacity.Rate, "rate to %s at %s", to, w.now)
	}
}

// run lets time pass in steps; what is sent in a step arrives in it.
func (w *world) run(d, step time.Duration, truth bool) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(step)
		for range 10 {
			for range w.net.Len() {
				w.net.Deliver(0)
			}
		}
		for _, n := range w.nodes {
			if !w.up(n) {
				continue
			}
			if truth {
				w.truth(n)
			}
			n.m.Tick(w.now)
			w.obey(n)
			if n.m.Released() && w.taken(n, "sfo").isZero() && w.taken(n, "bgi").isZero() {
				n.alive = false
			}
		}
	}
}

// heal ends all faults and holds that the rights add up to the cap again.
func (w *world) heal(t require.TestingT) {
	w.table.Down, w.loseTransfers, w.loseReply = false, false, false
	for _, n := range w.nodes {
		n.paused = false
	}
	w.start("last")
	for range 60 {
		w.run(time.Second, 500*time.Millisecond, true)
		w.check(t)
	}
	for to, capacity := range w.caps {
		var sum Rights
		for _, n := range w.nodes {
			if n.alive {
				sum = sum.add(n.m.Usable(to))
			}
		}
		require.Equal(t, capacity, sum, "rights to %s", to)
	}
}

// fault makes one random step.
func (w *world) fault(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	o := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
	to := rapid.SampledFrom([]string{"bgi", "sfo"}).Draw(t, "link")
	switch rapid.IntRange(0, 16).Draw(t, "step") {
	case 0:
		w.pass(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	case 1:
		if !n.alive && w.named(n.ID) == n {
			w.start(n.ID)
		} else if len(w.nodes) < 10 {
			w.start(fmt.Sprintf("n%d", len(w.nodes)))
		}
	case 2:
		n.alive = false
	case 3:
		n.paused = !n.paused
	case 4:
		if w.up(n) {
			n.m.Leave(w.now)
			w.obey(n)
		}
	case 5:
		w.table.Down = !w.table.Down
	case 6:
		w.loseTransfers = !w.loseTransfers
	case 7, 8:
		w.randomBelief(t, n, o)
	case 9:
		w.loseReply = true
	case 10, 11:
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			w.begin(n, to, time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds"))*time.Second)
		}
	case 12:
		if w.up(n) {
			w.read(n, rapid.IntRange(0, 3).Draw(t, "stale"))
		}
	case 13:
		w.run(time.Second, 500*time.Millisecond, rapid.Bool().Draw(t, "truth"))
	default:
		if w.up(n) {
			n.m.Tick(w.now)
			w.obey(n)
		}
		for range rapid.IntRange(0, 6).Draw(t, "deliveries") {
			w.deliver(t)
		}
	}
}

// randomBelief gives n any belief of o but a false death.
func (w *world) randomBelief(t *rapid.T, n, o *node) {
	if !w.up(n) || n == o {
		return
	}
	s := membership.State(rapid.IntRange(0, 2).Draw(t, "belief"))
	if !o.alive && rapid.Bool().Draw(t, "evidence") {
		s = membership.Gone
	}
	w.believe(n, o, s)
}

func (w *world) deliver(t *rapid.T) {
	if w.net.Len() == 0 {
		return
	}
	i := rapid.IntRange(0, w.net.Len()-1).Draw(t, "message")
	if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		w.net.Repeat(i)
		return
	}
	w.net.Deliver(i)
}

// named returns the latest incarnation of a node.
func (w *world) named(id string) *node {
	for i := len(w.nodes) - 1; i >= 0; i-- {
		if w.nodes[i].ID == id {
			return w.nodes[i]
		}
	}
	panic("no node " + id)
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
			w.start(fmt.Sprintf("n%d", i))
		}
		if rapid.Bool().Draw(t, "settled") {
			w.run(5*time.Second, 500*time.Millisecond, true)
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
		w.start(id)
	}
	w.run(10*time.Second, 500*time.Millisecond, true)
	for _, lower := range []Rights{{50, 70}, {10, 10}, {200, 150}} {
		w.caps = map[string]Rights{"sfo": lower}
		for _, n := range w.nodes {
			n.m.SetCaps(w.now, w.caps, testHold)
		}
		w.check(t)
		w.run(20*time.Second, 500*time.Millisecond, true)
		w.check(t)
		var sum Rights
		for _, n := range w.nodes {
			sum = sum.add(n.m.Usable("sfo"))
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
		w.start(fmt.Sprintf("n%d", i))
	}
	holders := func() (n int, sum Rights) {
		for _, o := range w.nodes {
			if u := o.m.Usable("sfo"); o.alive && !u.isZero() {
				n, sum = n+1, sum.add(u)
			}
		}
		return n, sum
	}
	w.run(10*time.Second, 500*time.Millisecond, true)
	n, sum := holders()
	require.Equal(t, 3, n)
	require.Equal(t, Rights{30, 30}, sum)
	w.nodes[0].alive = false
	w.run(30*time.Second, 500*time.Millisecond, true)
	n, sum = holders()
	require.Equal(t, 3, n)
	require.Equal(t, Rights{30, 30}, sum)
}

func BenchmarkTryAcquire(b *testing.B) {
	w := newWorld(map[string]Rights{"sfo": {1000, 1000}})
	n := w.start("a")
	w.run(5*time.Second, 500*time.Millisecond, true)
	now := w.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if !n.m.TryAcquire("sfo", now) {
			b.Fatal("refused")
		}
		n.m.Release("sfo")
	}
}
