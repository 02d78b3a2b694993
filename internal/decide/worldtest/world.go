package worldtest

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Machine is what the machines that keep a table row have in common.
type Machine interface {
	Tick(now time.Time)
	Leave(now time.Time)
	Row(now time.Time, row platform.Row) error
	ReadFailed(now time.Time)
	Written(now time.Time, id string, reply platform.TxnReply) error
	WriteFailed(now time.Time, id string)
}

// Node is one incarnation with its machine, and what the test keeps of it.
type Node[M Machine, S any] struct {
	membership.Instance
	M       M
	State   S
	Alive   bool
	Paused  bool
	Leaving bool
	// Beliefs are the states that this node holds of others.
	Beliefs map[membership.Identity]membership.State
}

// World is several nodes, a table with one row of interest, and a network.
type World[M Machine, S any] struct {
	Now   time.Time
	Table *Table
	Net   Network
	// Nodes holds all incarnations, the dead too, in the order of their start.
	Nodes []*Node[M, S]
	// LoseReply loses the reply to the next write.
	LoseReply bool
	// RowName is the row that the machines keep.
	RowName string
	// New makes a node's machine and state, SetView gives it its beliefs, and
	// Obey does what it asks for.
	New     func(n *Node[M, S])
	SetView func(n *Node[M, S], view []membership.Instance)
	Obey    func(n *Node[M, S])
	// Pass is called when time has passed, Ticking before a node's tick.
	Pass    func()
	Ticking func(n *Node[M, S])
}

// Start starts a new incarnation of id, which knows only itself.
func (w *World[M, S]) Start(id string) *Node[M, S] {
	n := &Node[M, S]{Alive: true, Beliefs: map[membership.Identity]membership.State{}}
	n.Instance = membership.Instance{Identity: membership.Identity{ID: id, Incarnation: 1}, Zone: "z1", Peer: id}
	if before := w.Named(id); before != nil {
		n.Incarnation = before.Incarnation + 1
	}
	w.New(n)
	w.Nodes = append(w.Nodes, n)
	w.Believe(n, n, membership.Live)
	return n
}

// Up reports whether a node runs.
func (w *World[M, S]) Up(n *Node[M, S]) bool { return n.Alive && !n.Paused }

// Find returns an incarnation, or nil.
func (w *World[M, S]) Find(id membership.Identity) *Node[M, S] {
	i := slices.IndexFunc(w.Nodes, func(n *Node[M, S]) bool { return n.Identity == id })
	if i < 0 {
		return nil
	}
	return w.Nodes[i]
}

// Named returns the latest incarnation of id, or nil.
func (w *World[M, S]) Named(id string) *Node[M, S] {
	for _, n := range slices.Backward(w.Nodes) {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// Believe changes what n holds of another; a death is final.
func (w *World[M, S]) Believe(n, about *Node[M, S], s membership.State) {
	if n.Beliefs[about.Identity] == membership.Gone {
		return
	}
	n.Beliefs[about.Identity] = s
	var view []membership.Instance
	for _, o := range w.Nodes {
		if s, ok := n.Beliefs[o.Identity]; ok {
			in := o.Instance
			in.State = s
			view = append(view, in)
		}
	}
	slices.SortFunc(view, func(a, b membership.Instance) int { return a.Compare(b.Identity) })
	w.SetView(n, view)
	w.Obey(n)
}

// Truth gives n the right beliefs.
func (w *World[M, S]) Truth(n *Node[M, S]) {
	for _, o := range w.Nodes {
		s := membership.Live
		switch {
		case !o.Alive:
			s = membership.Gone
		case o.Leaving:
			s = membership.Leaving
		}
		if old, ok := n.Beliefs[o.Identity]; !ok || old != s {
			w.Believe(n, o, s)
		}
	}
}

// Leave begins a node's planned stop.
func (w *World[M, S]) Leave(n *Node[M, S]) {
	n.Leaving = true
	n.M.Leave(w.Now)
	w.Obey(n)
}

// Probe shows the truth: refused when the incarnation is dead, else nothing.
func (w *World[M, S]) Probe(n *Node[M, S], p membership.Probe) {
	if o := w.Find(p.Target); o != nil && !o.Alive {
		w.Reply(n, func() { w.Believe(n, o, membership.Gone) })
	}
}

// Read reads the row as it was a number of versions ago.
func (w *World[M, S]) Read(n *Node[M, S], ago int) {
	row, failed := w.Table.ReadStale(w.RowName, ago), w.Table.Down
	w.Reply(n, func() {
		if failed {
			n.M.ReadFailed(w.Now)
		} else if err := n.M.Row(w.Now, row); err != nil {
			panic(err)
		}
	})
}

// Write applies a transaction.
func (w *World[M, S]) Write(n *Node[M, S], txn platform.Txn) {
	var reply platform.TxnReply
	if !w.Table.Down {
		reply = w.Table.Apply(txn)
	}
	lost := w.Table.Down || w.LoseReply
	w.LoseReply = false
	w.Reply(n, func() {
		if lost {
			n.M.WriteFailed(w.Now, txn.ID)
		} else if err := n.M.Written(w.Now, txn.ID, reply); err != nil {
			panic(err)
		}
	})
}

// Send puts a machine's read and write on their way.
func (w *World[M, S]) Send(n *Node[M, S], read bool, write *platform.Txn) {
	if read {
		w.Net.Send(func() { w.Read(n, 0) })
	}
	if write != nil {
		w.Net.Send(func() { w.Write(n, *write) })
	}
}

// Reply hands something to n; a paused process takes it once it goes on.
func (w *World[M, S]) Reply(n *Node[M, S], take func()) {
	w.Net.Send(func() {
		switch {
		case w.Up(n):
			take()
			w.Obey(n)
		case n.Alive:
			w.Reply(n, take)
		}
	})
}

// Wait lets time pass and nothing else.
func (w *World[M, S]) Wait(d time.Duration) {
	w.Now = w.Now.Add(d)
	w.Pass()
}

// Tick lets n notice the time.
func (w *World[M, S]) Tick(n *Node[M, S]) {
	w.Ticking(n)
	n.M.Tick(w.Now)
	w.Obey(n)
}

// Run lets time pass in steps; what is sent in a step arrives in it, but for
// what paused nodes have to take. With truth all learn all at once.
func (w *World[M, S]) Run(d, step time.Duration, truth bool) {
	const rounds = 10
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.Wait(step)
		for range rounds {
			for range w.Net.Len() {
				w.Net.Deliver(0)
			}
		}
		for _, n := range w.Nodes {
			if w.Up(n) && truth {
				w.Truth(n)
			}
			if w.Up(n) {
				w.Tick(n)
			}
		}
	}
}

// Command does what the scripts of both packages share and reports whether cmd
// was one of these:
//
//	start|kill|pause|resume|leave NODE...
//	know                        every node learns the truth
//	suspect NODE OTHER          NODE suspects OTHER
//	table up|down|lose-reply    the table's faults
//	run SECONDS                 time passes, messages arrive
func (w *World[M, S]) Command(cmd string, args []string) bool {
	switch cmd {
	case "start":
		for _, id := range args {
			w.Start(id)
		}
	case "kill", "pause", "resume", "leave":
		for _, id := range args {
			w.control(cmd, w.Named(id))
		}
	case "know":
		for _, n := range w.Nodes {
			if w.Up(n) {
				w.Truth(n)
			}
		}
	case "suspect":
		w.Believe(w.Named(args[0]), w.Named(args[1]), membership.Suspect)
	case "table":
		w.Table.Down, w.LoseReply = args[0] == "down", args[0] == "lose-reply"
	case "run":
		w.Run(Seconds(args[0]), 100*time.Millisecond, false)
	default:
		return false
	}
	return true
}

func (w *World[M, S]) control(cmd string, n *Node[M, S]) {
	switch cmd {
	case "kill":
		n.Alive = false
	case "pause", "resume":
		n.Paused = cmd == "pause"
	case "leave":
		w.Leave(n)
	}
}

// Seconds reads a number of seconds.
func Seconds(s string) time.Duration {
	d, err := time.ParseDuration(s + "s")
	if err != nil {
		panic(err)
	}
	return d
}

// Faults makes one random step: time, a start, kill, pause or planned stop,
// trouble with the table, a belief, or the arrival of messages.
func (w *World[M, S]) Faults(t *rapid.T) {
	n, o := w.Any(t), w.Any(t)
	switch rapid.IntRange(0, 13).Draw(t, "fault") {
	case 0:
		w.Wait(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
	case 1:
		w.startAny(n)
	case 2:
		n.Alive = false
	case 3:
		n.Paused = !n.Paused
	case 4:
		if w.Up(n) {
			w.Leave(n)
		}
	case 5:
		w.Table.Down = !w.Table.Down
	case 6:
		w.LoseReply = true
	case 7, 8:
		w.believeAny(t, n, o)
	case 9:
		if w.Up(n) {
			w.Read(n, rapid.IntRange(0, 3).Draw(t, "stale"))
		}
	case 10:
		w.Run(time.Second, 500*time.Millisecond, rapid.Bool().Draw(t, "truth"))
	default:
		if w.Up(n) {
			w.Tick(n)
		}
		for range rapid.IntRange(0, 6).Draw(t, "deliveries") {
			w.deliverAny(t)
		}
	}
}

// Any draws a node.
func (w *World[M, S]) Any(t *rapid.T) *Node[M, S] {
	return w.Nodes[rapid.IntRange(0, len(w.Nodes)-1).Draw(t, "node")]
}

// maxNodes bounds the random tests.
const maxNodes = 12

func (w *World[M, S]) startAny(n *Node[M, S]) {
	if !n.Alive && w.Named(n.ID) == n {
		w.Start(n.ID)
	} else if len(w.Nodes) < maxNodes {
		w.Start(fmt.Sprintf("n%d", len(w.Nodes)))
	}
}

// believeAny gives n any belief of o but a false death.
func (w *World[M, S]) believeAny(t *rapid.T, n, o *Node[M, S]) {
	if !w.Up(n) || n == o {
		return
	}
	s := membership.State(rapid.IntRange(0, 2).Draw(t, "belief"))
	if !o.Alive && rapid.Bool().Draw(t, "evidence") {
		s = membership.Gone
	}
	w.Believe(n, o, s)
}

// deliverAny delivers any message, now and then one that arrives again later.
func (w *World[M, S]) deliverAny(t *rapid.T) {
	if w.Net.Len() == 0 {
		return
	}
	i := rapid.IntRange(0, w.Net.Len()-1).Draw(t, "message")
	if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		w.Net.Repeat(i)
		return
	}
	w.Net.Deliver(i)
}

// Heal ends all faults.
func (w *World[M, S]) Heal() {
	w.Table.Down, w.LoseReply = false, false
	for _, n := range w.Nodes {
		n.Paused = false
	}
}
