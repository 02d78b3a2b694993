package once

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// world composes several machines with a network that delays, reorders and
// loses messages, a table whose transactions do so too, and backend servers.
// It checks what was told against what was run.
type world struct {
	now    time.Time
	cfg    Config
	nodes  []*node
	names  map[string]string // of keys, by text
	msgs   []*message
	rows   map[uint32]*row
	calls  map[AttemptID]*call
	lastID AttemptID
	// runs counts the runs of each request, notRun holds those told not run.
	runs   map[request]int
	notRun map[request]bool
	fault  string
	log    strings.Builder
}

type request struct {
	key string
	fp  Fingerprint
}

// call is an attempt as one instance sees it.
type call struct {
	req    request
	at     *node
	hops   int
	origin AttemptID // of the forwarding instance; 0 for a caller's attempt
	from   *node
	ended  bool
}

type node struct {
	name  string
	home  Home
	m     *Machine
	alive bool
	skew  time.Duration
	runs  map[RunID]*driven
}

type driven struct {
	req     request
	started bool
}

type row struct {
	version int
	value   ClaimRow
}

type message struct {
	kind string
	from *node
	to   *node // nil for the table
	text string
	do   func()
	lose func()
}

func newWorld(cfg Config) *world {
	return &world{
		now: epoch, cfg: cfg, names: map[string]string{}, rows: map[uint32]*row{},
		calls: map[AttemptID]*call{}, runs: map[request]int{}, notRun: map[request]bool{},
	}
}

func (w *world) printf(format string, args ...any) { fmt.Fprintf(&w.log, format+"\n", args...) }

func (w *world) addNode(id string, incarnation uint64) *node {
	n := &node{name: id, alive: true, runs: map[RunID]*driven{}}
	if incarnation > 1 {
		n.name = fmt.Sprintf("%s.%d", id, incarnation)
	}
	n.home = Home{Zone: "z", ID: id, Incarnation: incarnation}
	cfg := w.cfg
	cfg.Self = n.home
	n.m = New(cfg)
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) nodeOf(h Home) *node {
	for _, n := range w.nodes {
		if n.home == h {
			return n
		}
	}
	return nil
}

func (w *world) issue(name string, n *node, ttl time.Duration) string {
	k, err := NewKey(n.home, w.now.Add(n.skew+ttl), uint64(len(w.names)))
	if err != nil {
		panic(err)
	}
	w.names[k.String()] = name
	return k.String()
}

func (w *world) step(n *node, ev Event) {
	if !n.alive {
		return
	}
	for _, a := range n.m.Step(w.now.Add(n.skew), ev) {
		w.act(n, a)
	}
}

// send lets a caller's attempt arrive at an instance.
func (w *world) send(n *node, req request) AttemptID {
	return w.arrive(n, &call{req: req, at: n})
}

func (w *world) arrive(n *node, c *call) AttemptID {
	w.lastID++
	id := w.lastID
	w.calls[id] = c
	w.step(n, Arrive{Attempt: id, Key: c.req.key, Fingerprint: c.req.fp, Hops: c.hops})
	return id
}

func (w *world) act(n *node, a Action) {
	switch a := a.(type) {
	case Run:
		n.runs[a.Run] = &driven{req: w.calls[a.Attempt].req}
		w.printf("%s: run %d of %s", n.name, a.Run, w.names[a.Key])
	case Join:
		w.printf("%s: attempt %d joins %s", n.name, a.Attempt, w.names[a.Key])
	case AllowStart:
		n.runs[a.Run].started = true
		w.printf("%s: run %d proceeds", n.name, a.Run)
	case DenyStart:
		w.printf("%s: run %d halts", n.name, a.Run)
		if r := n.runs[a.Run]; r != nil && !r.started {
			delete(n.runs, a.Run)
		}
	case CancelQueuedRun:
		w.printf("%s: run %d is abandoned", n.name, a.Run)
	case Respond:
		w.answered(n, a.Attempt, a.Result)
	case Reject:
		w.answered(n, a.Attempt, failed(a.Err))
	case Forward:
		w.forwarded(n, a)
	case ClaimBatch:
		w.claim(n, a)
	case SendTransfer:
		w.post(n, a.Transfer.To, "transfer", fmt.Sprintf("%d records", len(a.Transfer.Records)), TransferReceived(a))
	case SendTransferReply:
		w.post(n, a.To, "transfer-reply", fmt.Sprintf("accepted=%t", a.Accepted), TransferReply{From: n.home, Accepted: a.Accepted})
	case SendRunResults:
		w.post(n, a.To, "settle", fmt.Sprintf("%d records", len(a.Records)), RunResults{From: n.home, Records: a.Records})
	case SendRunResultsAck:
		w.post(n, a.To, "settle-reply", fmt.Sprintf("%d keys", len(a.Keys)), RunResultsAck{From: n.home, Keys: a.Keys})
	case AnnounceMove:
		for _, o := range w.nodes {
			if o != n && o.home != a.To {
				w.post(n, o.home, "announce", w.nodeOf(a.From).name+" moved to "+w.nodeOf(a.To).name, AuthorityMoved(a))
			}
		}
	}
}

// post puts a message for one instance on the network.
func (w *world) post(n *node, to Home, kind, text string, ev Event) {
	dest := w.nodeOf(to)
	w.msgs = append(w.msgs, &message{kind: kind, from: n, to: dest, text: text, do: func() { w.step(dest, ev) }, lose: func() {}})
}

func (w *world) forwarded(n *node, a Forward) {
	c, dest := w.calls[a.Attempt], w.nodeOf(a.To)
	fail := func(notSent bool) {
		w.step(n, ForwardResult{Attempt: a.Attempt, NotSent: notSent})
	}
	w.msgs = append(w.msgs, &message{
		kind: "forward", from: n, to: dest, text: fmt.Sprintf("attempt %d of %s", a.Attempt, w.names[a.Key]),
		do: func() {
			if !dest.alive {
				fail(true)
				return
			}
			w.arrive(dest, &call{req: c.req, at: dest, hops: c.hops + 1, origin: a.Attempt, from: n})
		},
		lose: func() { fail(false) },
	})
}

// answered takes an attempt's end to the instance that forwarded it, or checks
// what its caller is told.
func (w *world) answered(n *node, id AttemptID, res Result) {
	c := w.calls[id]
	if c.ended {
		w.fault = fmt.Sprintf("attempt %d was answered twice", id)
	}
	c.ended = true
	if c.from != nil {
		w.msgs = append(w.msgs, &message{
			kind: "reply", from: n, to: c.from, text: fmt.Sprintf("attempt %d %s", c.origin, res.Outcome),
			do:   func() { w.step(c.from, ForwardResult{Attempt: c.origin, Replied: true, Result: res}) },
			lose: func() { w.step(c.from, ForwardResult{Attempt: c.origin}) },
		})
		return
	}
	text := res.Outcome.String()
	if res.Err != nil {
		text += " " + string(res.Err.Kind)
	}
	if res.Replayed {
		text += " replayed"
	}
	w.printf("%s: attempt %d is told %s", n.name, id, text)
	switch res.Outcome {
	case outcome.Done:
		if w.runs[c.req] != 1 || string(res.Body) != body(c.req) && !res.BodyDropped {
			w.fault = fmt.Sprintf("attempt %d got the answer of another request", id)
		}
	case outcome.NotRun:
		w.notRun[c.req] = true
		if w.runs[c.req] > 0 {
			w.fault = fmt.Sprintf("attempt %d was told not run after a run", id)
		}
	}
}

func body(r request) string { return fmt.Sprintf("answer to %d", r.fp) }

// effect is a backend server running a request.
func (w *world) effect(r request) {
	w.runs[r]++
	total := 0
	for fp := range Fingerprint(2) {
		total += w.runs[request{key: r.key, fp: fp}]
	}
	if total > 1 {
		w.fault = fmt.Sprintf("%s ran twice", w.names[r.key])
	}
	if w.notRun[r] {
		w.fault = fmt.Sprintf("%s ran after it was told not run", w.names[r.key])
	}
}

// finish ends a run: "done", "lost" (run, no answer), "unsent" (not run, and
// the driver can't tell) or "refused".
func (w *world) finish(n *node, id RunID, how string) {
	r := n.runs[id]
	delete(n.runs, id)
	res := Result{Outcome: outcome.Unknown, Err: outcome.UnknownError(outcome.KindBackendLost, "lost")}
	switch how {
	case "done":
		w.effect(r.req)
		res = Result{Outcome: outcome.Done, Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(body(r.req))}
	case "lost":
		w.effect(r.req)
	case "refused":
		res = failed(outcome.NotRunError(outcome.KindNoCapacity, time.Second, "refused"))
	}
	w.step(n, Finish{Run: id, Result: res})
}

// kill ends an instance; ran says whether the requests that it had sent to
// backend servers were run.
func (w *world) kill(n *node, ran bool) {
	n.alive = false
	for _, r := range n.runs {
		if r.started && ran {
			w.effect(r.req)
		}
	}
	clear(n.runs)
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		if c := w.calls[id]; c.at == n && !c.ended {
			w.breakOff(c)
		}
	}
}

// breakOff ends a call without an answer: the instance that forwarded it sees
// its connection break.
func (w *world) breakOff(c *call) {
	c.ended = true
	if c.from != nil {
		w.msgs = append(w.msgs, &message{
			kind: "broken", from: c.at, to: c.from, text: fmt.Sprintf("attempt %d", c.origin),
			do:   func() { w.step(c.from, ForwardResult{Attempt: c.origin}) },
			lose: func() { w.step(c.from, ForwardResult{Attempt: c.origin}) },
		})
	}
}

// claim drives a batch through the table: read, merge, compare-and-set.
func (w *world) claim(n *node, b ClaimBatch) {
	giveUp := func() { w.step(n, ClaimResult{Shard: b.Shard, Failed: true}) }
	if w.rows[b.Shard] == nil {
		w.rows[b.Shard] = &row{}
	}
	r := w.rows[b.Shard]
	text := fmt.Sprintf("%d claims", len(b.Claims))
	w.msgs = append(w.msgs, &message{kind: "table-read", from: n, text: text, lose: giveUp, do: func() {
		next, stand, write := r.value.Merge(b.Claims, w.now)
		if !write {
			w.claimReply(n, b, stand, giveUp)
			return
		}
		expect := r.version
		commit := func() bool {
			if r.version != expect {
				return false
			}
			r.version, r.value = r.version+1, next
			return true
		}
		w.msgs = append(w.msgs, &message{kind: "table-write", from: n, text: text,
			do: func() {
				if commit() {
					w.claimReply(n, b, stand, func() { w.claim(n, b) })
				} else {
					w.claim(n, b)
				}
			},
			// A lost write may take effect at any later time.
			lose: func() {
				w.msgs = append(w.msgs, &message{kind: "table-late", from: n, text: text, do: func() { commit() }, lose: func() {}})
				w.claim(n, b)
			},
		})
	}})
}

func (w *world) claimReply(n *node, b ClaimBatch, stand []Claim, lost func()) {
	w.msgs = append(w.msgs, &message{
		kind: "table-reply", from: n, to: n, text: fmt.Sprintf("%d claims stand", len(stand)),
		do: func() { w.step(n, ClaimResult{Shard: b.Shard, Claims: stand}) }, lose: lost,
	})
}

// take removes a message from the network.
func (w *world) take(i int) *message {
	m := w.msgs[i]
	w.msgs = slices.Delete(w.msgs, i, i+1)
	to := "table"
	if m.to != nil {
		to = m.to.name
	}
	w.printf("%s -> %s: %s %s", m.from.name, to, m.kind, m.text)
	return m
}
