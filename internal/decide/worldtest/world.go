package worldtest

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Machine is the part of the interface that all state machines that keep a table
// row share.
type Machine interface {
	Tick(now time.Time)
	Leave(now time.Time)
	Row(now time.Time, row platform.Row) error
	ReadFailed(now time.Time)
	WriteReplied(now time.Time, id string, reply platform.TxnReply) error
	WriteFailed(now time.Time, id string)
}

// Node is one incarnation of an instance with its machine and the state that the
// test keeps for it.
type Node[M Machine, S any] struct {
	membership.Instance
	// M is the node's machine.
	M M
	// State is the test's own state for the node.
	State   S
	Alive   bool
	Paused  bool
	Leaving bool
	// PeerStates are the membership states in this node's view, its own
	// included.
	PeerStates map[membership.Identity]membership.State
}

// World simulates several nodes, a table with the one row that their machines
// keep, and a network.
type World[M Machine, S any] struct {
	// Now is the simulated time.
	Now   time.Time
	Table *Table
	Net   Network
	// Nodes holds all incarnations in the order of their start, including those
	// that are no longer alive.
	Nodes []*Node[M, S]
	// LoseReply makes the reply to the next write get lost.
	LoseReply bool
	// RowName is the name of the row that the machines keep.
	RowName string
	// New creates the machine and the state of a new node.
	New func(n *Node[M, S])
	// SetView passes a new membership view to a node's machine.
	SetView func(n *Node[M, S], view []membership.Instance)
	// Execute performs the actions that a node's machine requests.
	Execute func(n *Node[M, S])
	// TimePassed is called after Now has advanced.
	TimePassed func()
	// BeforeTick is called before a node's machine ticks.
	BeforeTick func(n *Node[M, S])
}

// Start starts a new incarnation of id whose view holds only itself.
func (w *World[M, S]) Start(id string) *Node[M, S] {
	n := &Node[M, S]{Alive: true, PeerStates: map[membership.Identity]membership.State{}}
	n.Instance = membership.Instance{Identity: membership.Identity{ID: id, Incarnation: 1}, Zone: "z1", Peer: id}
	if before := w.Latest(id); before != nil {
		n.Incarnation = before.Incarnation + 1
	}
	w.New(n)
	w.Nodes = append(w.Nodes, n)
	w.SetPeerState(n, n, membership.Live)
	return n
}

// Running reports whether a node is alive and not paused.
func (w *World[M, S]) Running(n *Node[M, S]) bool { return n.Alive && !n.Paused }

// Find returns the incarnation with the given identity, or nil.
func (w *World[M, S]) Find(id membership.Identity) *Node[M, S] {
	i := slices.IndexFunc(w.Nodes, func(n *Node[M, S]) bool { return n.Identity == id })
	if i < 0 {
		return nil
	}
	return w.Nodes[i]
}

// Latest returns the latest incarnation of id, or nil.
func (w *World[M, S]) Latest(id string) *Node[M, S] {
	for _, n := range slices.Backward(w.Nodes) {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// SetPeerState sets the state of another node in n's view. Gone is final: a later
// change is ignored.
func (w *World[M, S]) SetPeerState(n, about *Node[M, S], s membership.State) {
	if n.PeerStates[about.Identity] == membership.Gone {
		return
	}
	n.PeerStates[about.Identity] = s
	var view []membership.Instance
	for _, o := range w.Nodes {
		if s, ok := n.PeerStates[o.Identity]; ok {
			in := o.Instance
			in.State = s
			view = append(view, in)
		}
	}
	slices.SortFunc(view, func(a, b membership.Instance) int { return a.Compare(b.Identity) })
	w.SetView(n, view)
	w.Execute(n)
}

// SyncPeerStates updates n's view to the actual states of all nodes.
func (w *World[M, S]) SyncPeerStates(n *Node[M, S]) {
	for _, o := range w.Nodes {
		s := membership.Live
		switch {
		case !o.Alive:
			s = membership.Gone
		case o.Leaving:
			s = membership.Leaving
		}
		if old, ok := n.PeerStates[o.Identity]; !ok || old != s {
			w.SetPeerState(n, o, s)
		}
	}
}

// Leave starts a node's planned shutdown.
func (w *World[M, S]) Leave(n *Node[M, S]) {
	n.Leaving = true
	n.M.Leave(w.Now)
	w.Execute(n)
}

// Probe simulates a dial to the incarnation that p asks about. If it is dead,
// the connection is refused and n's view marks it as gone; otherwise the view
// does not change.
func (w *World[M, S]) Probe(n *Node[M, S], p membership.Probe) {
	if o := w.Find(p.Target); o != nil && !o.Alive {
		w.SendTo(n, func() { w.SetPeerState(n, o, membership.Gone) })
	}
}

// Read sends n the row as it was the given number of versions ago, or a failure
// while the table is down.
func (w *World[M, S]) Read(n *Node[M, S], ago int) {
	row, failed := w.Table.ReadStale(w.RowName, ago), w.Table.Down
	w.SendTo(n, func() {
		if failed {
			n.M.ReadFailed(w.Now)
		} else if err := n.M.Row(w.Now, row); err != nil {
			panic(err)
		}
	})
}

// Write applies a transaction and sends n the reply. The reply is lost when
// LoseReply is set; while the table is down nothing is applied.
func (w *World[M, S]) Write(n *Node[M, S], txn platform.Txn) {
	var reply platform.TxnReply
	if !w.Table.Down {
		reply = w.Table.Apply(txn)
	}
	lost := w.Table.Down || w.LoseReply
	w.LoseReply = false
	w.SendTo(n, func() {
		if lost {
			n.M.WriteFailed(w.Now, txn.ID)
		} else if err := n.M.WriteReplied(w.Now, txn.ID, reply); err != nil {
			panic(err)
		}
	})
}

// Send sends the read and the write that n's machine requests.
func (w *World[M, S]) Send(n *Node[M, S], read bool, write *platform.Txn) {
	if read {
		w.Net.Send(func() { w.Read(n, 0) })
	}
	if write != nil {
		w.Net.Send(func() { w.Write(n, *write) })
	}
}

// SendTo sends a message that n processes with handle. A paused node processes it
// after it resumes; a dead node never does.
func (w *World[M, S]) SendTo(n *Node[M, S], handle func()) {
	w.Net.Send(func() {
		switch {
		case w.Running(n):
			handle()
			w.Execute(n)
		case n.Alive:
			w.SendTo(n, handle)
		}
	})
}

// Wait advances the time without delivering messages or ticking machines.
func (w *World[M, S]) Wait(d time.Duration) {
	w.Now = w.Now.Add(d)
	w.TimePassed()
}

// Tick passes the current time to n's machine.
func (w *World[M, S]) Tick(n *Node[M, S]) {
	w.BeforeTick(n)
	n.M.Tick(w.Now)
	w.Execute(n)
}

// Run advances the time by d in steps, delivers the messages of each step within
// it, and ticks the machines. Messages to paused nodes stay in transit. With
// syncStates, every running node learns the actual states of all nodes in each
// step.
func (w *World[M, S]) Run(d, step time.Duration, syncStates bool) {
	const rounds = 10
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.Wait(step)
		for range rounds {
			for range w.Net.Len() {
				w.Net.Deliver(0)
			}
		}
		for _, n := range w.Nodes {
			if w.Running(n) && syncStates {
				w.SyncPeerStates(n)
			}
			if w.Running(n) {
				w.Tick(n)
			}
		}
	}
}

// Command executes the script commands that all test packages share, and reports
// whether cmd is one of these:
//
//	start|kill|pause|resume|leave NODE...
//	know                        every running node learns the actual states
//	suspect NODE OTHER          NODE's view marks OTHER as suspect
//	table up|down|lose-reply    the fault of the table, if any
//	run SECONDS                 time passes and messages are delivered
func (w *World[M, S]) Command(cmd string, args []string) bool {
	switch cmd {
	case "start":
		for _, id := range args {
			w.Start(id)
		}
	case "kill", "pause", "resume", "leave":
		for _, id := range args {
			w.control(cmd, w.Latest(id))
		}
	case "know":
		for _, n := range w.Nodes {
			if w.Running(n) {
				w.SyncPeerStates(n)
			}
		}
	case "suspect":
		w.SetPeerState(w.Latest(args[0]), w.Latest(args[1]), membership.Suspect)
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

// Seconds parses a decimal number of seconds. It panics if s is not a number.
func Seconds(s string) time.Duration {
	d, err := time.ParseDuration(s + "s")
	if err != nil {
		panic(err)
	}
	return d
}

// RandomStep performs one random step: advancing the time, starting, killing,
// pausing or stopping a node, a table fault, a change of a view, or the delivery
// of messages.
func (w *World[M, S]) RandomStep(t *rapid.T) {
	n, o := w.AnyNode(t), w.AnyNode(t)
	switch rapid.IntRange(0, 13).Draw(t, "fault") {
	case 0:
		w.Wait(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
	case 1:
		w.startNode(n)
	case 2:
		n.Alive = false
	case 3:
		n.Paused = !n.Paused
	case 4:
		if w.Running(n) {
			w.Leave(n)
		}
	case 5:
		w.Table.Down = !w.Table.Down
	case 6:
		w.LoseReply = true
	case 7, 8:
		w.setRandomPeerState(t, n, o)
	case 9:
		if w.Running(n) {
			w.Read(n, rapid.IntRange(0, 3).Draw(t, "stale"))
		}
	case 10:
		w.Run(time.Second, 500*time.Millisecond, rapid.Bool().Draw(t, "sync states"))
	default:
		if w.Running(n) {
			w.Tick(n)
		}
		for range rapid.IntRange(0, 6).Draw(t, "deliveries") {
			w.deliverRandom(t)
		}
	}
}

// AnyNode draws a random node.
func (w *World[M, S]) AnyNode(t *rapid.T) *Node[M, S] {
	return w.Nodes[rapid.IntRange(0, len(w.Nodes)-1).Draw(t, "node")]
}

// maxNodes bounds the number of incarnations in random tests.
const maxNodes = 12

// startNode starts a new incarnation of n if n is dead and the latest of its ID,
// or else a new instance while there are fewer than maxNodes nodes.
func (w *World[M, S]) startNode(n *Node[M, S]) {
	if !n.Alive && w.Latest(n.ID) == n {
		w.Start(n.ID)
	} else if len(w.Nodes) < maxNodes {
		w.Start(fmt.Sprintf("n%d", len(w.Nodes)))
	}
}

// setRandomPeerState sets a random state of o in n's view. It sets Gone only if o
// is dead.
func (w *World[M, S]) setRandomPeerState(t *rapid.T, n, o *Node[M, S]) {
	if !w.Running(n) || n == o {
		return
	}
	s := membership.State(rapid.IntRange(0, 2).Draw(t, "state"))
	if !o.Alive && rapid.Bool().Draw(t, "evidence") {
		s = membership.Gone
	}
	w.SetPeerState(n, o, s)
}

// deliverRandom delivers a random message. About one in ten stays in transit, so
// that it is delivered again later.
func (w *World[M, S]) deliverRandom(t *rapid.T) {
	if w.Net.Len() == 0 {
		return
	}
	i := rapid.IntRange(0, w.Net.Len()-1).Draw(t, "message")
	if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		w.Net.DeliverDuplicate(i)
		return
	}
	w.Net.Deliver(i)
}

// ClearFaults ends the faults of the table and resumes all paused nodes.
func (w *World[M, S]) ClearFaults() {
	w.Table.Down, w.LoseReply = false, false
	for _, n := range w.Nodes {
		n.Paused = false
	}
}
