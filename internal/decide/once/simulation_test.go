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

// simulation connects several machines to a network and a table service that
// delay, reorder and lose messages, and to backend servers. It checks the
// reported outcomes against the requests that were run.
type simulation struct {
	now       time.Time
	cfg       Config
	instances []*instance
	// names holds the names of keys by their texts.
	names map[string]string
	// msgs holds the messages on the network.
	msgs []*message
	// rows holds the rows of the table by shard.
	rows     map[uint32]*row
	attempts map[AttemptID]*simulatedAttempt
	// lastID is the last attempt id that was assigned.
	lastID AttemptID
	// runCount counts the runs of each request on backend servers.
	runCount map[request]int
	// reportedNotRun holds the requests whose caller got the outcome NotRun.
	reportedNotRun map[request]bool
	// violation describes a violated guarantee; empty if there is none.
	violation string
	log       strings.Builder
}

type request struct {
	key string
	fp  Fingerprint
}

// simulatedAttempt is an attempt at one instance.
type simulatedAttempt struct {
	req  request
	at   *instance
	hops int
	// forwardedAs is the attempt's id at the instance that forwarded it; 0 if
	// the attempt comes from a caller.
	forwardedAs AttemptID
	// from is the instance that forwarded the attempt; nil if the attempt
	// comes from a caller.
	from  *instance
	ended bool
}

// instance is an instance with its driver.
type instance struct {
	name  string
	home  Home
	m     *Machine
	alive bool
	// skew is the difference of the instance's clock from simulation.now.
	skew time.Duration
	runs map[RunID]*driverRun
}

// driverRun is a run as the driver knows it.
type driverRun struct {
	req     request
	started bool
}

// row is a row of the table.
type row struct {
	version int
	value   ClaimRow
}

// message is a message on the network.
type message struct {
	kind string
	from *instance
	// to is the receiver; nil for the table.
	to   *instance
	text string
	// receive is called if the message arrives.
	receive func()
	// lose is called if the message is lost.
	lose func()
}

func newSimulation(cfg Config) *simulation {
	return &simulation{
		now: epoch, cfg: cfg, names: map[string]string{}, rows: map[uint32]*row{},
		attempts: map[AttemptID]*simulatedAttempt{}, runCount: map[request]int{}, reportedNotRun: map[request]bool{},
	}
}

func (sim *simulation) printf(format string, args ...any) {
	fmt.Fprintf(&sim.log, format+"\n", args...)
}

func (sim *simulation) addInstance(id string, incarnation uint64) *instance {
	n := &instance{name: id, alive: true, runs: map[RunID]*driverRun{}}
	if incarnation > 1 {
		n.name = fmt.Sprintf("%s.%d", id, incarnation)
	}
	n.home = Home{Zone: "z", ID: id, Incarnation: incarnation}
	cfg := sim.cfg
	cfg.Self = n.home
	n.m = New(cfg)
	sim.instances = append(sim.instances, n)
	return n
}

func (sim *simulation) instance(name string) *instance {
	for _, n := range sim.instances {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (sim *simulation) instanceOfHome(h Home) *instance {
	for _, n := range sim.instances {
		if n.home == h {
			return n
		}
	}
	return nil
}

func (sim *simulation) issueKey(name string, n *instance, ttl time.Duration) string {
	k, err := NewKey(n.home, sim.now.Add(n.skew+ttl), uint64(len(sim.names)))
	if err != nil {
		panic(err)
	}
	sim.names[k.String()] = name
	return k.String()
}

func (sim *simulation) step(n *instance, ev Event) {
	if !n.alive {
		return
	}
	for _, a := range n.m.Step(sim.now.Add(n.skew), ev) {
		sim.perform(n, a)
	}
}

// send makes an attempt from a caller arrive at an instance.
func (sim *simulation) send(n *instance, req request) AttemptID {
	return sim.arrive(n, &simulatedAttempt{req: req, at: n})
}

func (sim *simulation) arrive(n *instance, c *simulatedAttempt) AttemptID {
	sim.lastID++
	id := sim.lastID
	sim.attempts[id] = c
	sim.step(n, Arrive{Attempt: id, Key: c.req.key, Fingerprint: c.req.fp, Hops: c.hops})
	return id
}

func (sim *simulation) perform(n *instance, a Action) {
	switch a := a.(type) {
	case Run:
		n.runs[a.Run] = &driverRun{req: sim.attempts[a.Attempt].req}
		sim.printf("%s: run %d of %s", n.name, a.Run, sim.names[a.Key])
	case Join:
		sim.printf("%s: attempt %d joins %s", n.name, a.Attempt, sim.names[a.Key])
	case AllowStart:
		n.runs[a.Run].started = true
		sim.printf("%s: run %d may start", n.name, a.Run)
	case DenyStart:
		sim.printf("%s: run %d may not start", n.name, a.Run)
		if r := n.runs[a.Run]; r != nil && !r.started {
			delete(n.runs, a.Run)
		}
	case CancelQueuedRun:
		sim.printf("%s: run %d is to be cancelled if queued", n.name, a.Run)
	case Respond:
		sim.handleResponse(n, a.Attempt, a.Result)
	case Reject:
		sim.handleResponse(n, a.Attempt, errorResult(a.Err))
	case Forward:
		sim.forward(n, a)
	case ClaimBatch:
		sim.claim(n, a)
	case SendTransfer:
		sim.sendMessage(n, a.Transfer.To, "transfer", fmt.Sprintf("%d records", len(a.Transfer.Records)), TransferReceived(a))
	case SendTransferReply:
		sim.sendMessage(n, a.To, "transfer-reply", fmt.Sprintf("accepted=%t", a.Accepted), TransferReply{From: n.home, Accepted: a.Accepted})
	case SendRunResults:
		sim.sendMessage(n, a.To, "settle", fmt.Sprintf("%d records", len(a.Records)), RunResults{From: n.home, Records: a.Records})
	case SendRunResultsAck:
		sim.sendMessage(n, a.To, "settle-reply", fmt.Sprintf("%d keys", len(a.Keys)), RunResultsAck{From: n.home, Keys: a.Keys})
	case AnnounceMove:
		for _, o := range sim.instances {
			if o != n && o.home != a.To {
				sim.sendMessage(n, o.home, "announce", sim.instanceOfHome(a.From).name+" moved to "+sim.instanceOfHome(a.To).name, AuthorityMoved(a))
			}
		}
	}
}

// sendMessage sends a message to one instance over the network.
func (sim *simulation) sendMessage(n *instance, to Home, kind, text string, ev Event) {
	dest := sim.instanceOfHome(to)
	sim.msgs = append(sim.msgs, &message{kind: kind, from: n, to: dest, text: text, receive: func() { sim.step(dest, ev) }, lose: func() {}})
}

func (sim *simulation) forward(n *instance, a Forward) {
	c, dest := sim.attempts[a.Attempt], sim.instanceOfHome(a.To)
	fail := func(notSent bool) {
		sim.step(n, ForwardResult{Attempt: a.Attempt, NotSent: notSent})
	}
	sim.msgs = append(sim.msgs, &message{
		kind: "forward", from: n, to: dest, text: fmt.Sprintf("attempt %d of %s", a.Attempt, sim.names[a.Key]),
		receive: func() {
			if !dest.alive {
				fail(true)
				return
			}
			sim.arrive(dest, &simulatedAttempt{req: c.req, at: dest, hops: c.hops + 1, forwardedAs: a.Attempt, from: n})
		},
		lose: func() { fail(false) },
	})
}

// handleResponse sends the result of an attempt to the instance that forwarded
// it. If the attempt came from a caller, it checks the result.
func (sim *simulation) handleResponse(n *instance, id AttemptID, res Result) {
	c := sim.attempts[id]
	if c.ended {
		sim.violation = fmt.Sprintf("attempt %d got two responses", id)
	}
	c.ended = true
	if c.from != nil {
		sim.msgs = append(sim.msgs, &message{
			kind: "reply", from: n, to: c.from, text: fmt.Sprintf("attempt %d %s", c.forwardedAs, res.Outcome),
			receive: func() { sim.step(c.from, ForwardResult{Attempt: c.forwardedAs, Replied: true, Result: res}) },
			lose:    func() { sim.step(c.from, ForwardResult{Attempt: c.forwardedAs}) },
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
	sim.printf("%s: attempt %d gets %s", n.name, id, text)
	switch res.Outcome {
	case outcome.Done:
		if sim.runCount[c.req] != 1 || string(res.Body) != responseBody(c.req) && !res.BodyDropped {
			sim.violation = fmt.Sprintf("attempt %d got Done, but its request did not run exactly once or the body is that of another request", id)
		}
	case outcome.NotRun:
		sim.reportedNotRun[c.req] = true
		if sim.runCount[c.req] > 0 {
			sim.violation = fmt.Sprintf("attempt %d got NotRun after its request had run", id)
		}
	}
}

func responseBody(r request) string { return fmt.Sprintf("response to %d", r.fp) }

// runOnBackend runs a request on a backend server and checks that it may run.
func (sim *simulation) runOnBackend(r request) {
	sim.runCount[r]++
	total := 0
	for fp := range Fingerprint(2) {
		total += sim.runCount[request{key: r.key, fp: fp}]
	}
	if total > 1 {
		sim.violation = fmt.Sprintf("%s ran twice", sim.names[r.key])
	}
	if sim.reportedNotRun[r] {
		sim.violation = fmt.Sprintf("%s ran after it was reported as not run", sim.names[r.key])
	}
}

// finish ends a run. how is "done", "lost" (the request ran and the response was
// lost), "unsent" (the request did not run, but the driver does not know) or
// "refused".
func (sim *simulation) finish(n *instance, id RunID, how string) {
	r := n.runs[id]
	delete(n.runs, id)
	res := Result{Outcome: outcome.Unknown, Err: outcome.UnknownError(outcome.KindBackendLost, "lost")}
	switch how {
	case "done":
		sim.runOnBackend(r.req)
		res = Result{Outcome: outcome.Done, Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(responseBody(r.req))}
	case "lost":
		sim.runOnBackend(r.req)
	case "refused":
		res = errorResult(outcome.NotRunError(outcome.KindNoCapacity, time.Second, "refused"))
	}
	sim.step(n, Finish{Run: id, Result: res})
}

// kill terminates an instance. executed says whether the requests that it had
// sent to backend servers were run.
func (sim *simulation) kill(n *instance, executed bool) {
	n.alive = false
	for _, r := range n.runs {
		if r.started && executed {
			sim.runOnBackend(r.req)
		}
	}
	clear(n.runs)
	for _, id := range slices.Sorted(maps.Keys(sim.attempts)) {
		if c := sim.attempts[id]; c.at == n && !c.ended {
			sim.breakConnection(c)
		}
	}
}

// breakConnection ends an attempt without a response. The instance that forwarded
// it, if any, sees its connection break.
func (sim *simulation) breakConnection(c *simulatedAttempt) {
	c.ended = true
	if c.from != nil {
		sim.msgs = append(sim.msgs, &message{
			kind: "broken", from: c.at, to: c.from, text: fmt.Sprintf("attempt %d", c.forwardedAs),
			receive: func() { sim.step(c.from, ForwardResult{Attempt: c.forwardedAs}) },
			lose:    func() { sim.step(c.from, ForwardResult{Attempt: c.forwardedAs}) },
		})
	}
}

// claim writes a batch of claims to the table with a read, a merge and a
// compare-and-swap.
func (sim *simulation) claim(n *instance, b ClaimBatch) {
	fail := func() { sim.step(n, ClaimResult{Shard: b.Shard, Failed: true}) }
	if sim.rows[b.Shard] == nil {
		sim.rows[b.Shard] = &row{}
	}
	r := sim.rows[b.Shard]
	text := fmt.Sprintf("%d claims", len(b.Claims))
	sim.msgs = append(sim.msgs, &message{kind: "table-read", from: n, text: text, lose: fail, receive: func() {
		next, effective, write := r.value.Merge(b.Claims, sim.now)
		if !write {
			sim.claimReply(n, b, effective, fail)
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
		sim.msgs = append(sim.msgs, &message{kind: "table-write", from: n, text: text,
			receive: func() {
				if commit() {
					sim.claimReply(n, b, effective, func() { sim.claim(n, b) })
				} else {
					sim.claim(n, b)
				}
			},
			// A write whose reply was lost may still take effect later.
			lose: func() {
				sim.msgs = append(sim.msgs, &message{kind: "table-late", from: n, text: text, receive: func() { commit() }, lose: func() {}})
				sim.claim(n, b)
			},
		})
	}})
}

func (sim *simulation) claimReply(n *instance, b ClaimBatch, effective []Claim, onLoss func()) {
	sim.msgs = append(sim.msgs, &message{
		kind: "table-reply", from: n, to: n, text: fmt.Sprintf("%d effective claims", len(effective)),
		receive: func() { sim.step(n, ClaimResult{Shard: b.Shard, Claims: effective}) }, lose: onLoss,
	})
}

// takeMessage removes a message from the network and returns it.
func (sim *simulation) takeMessage(i int) *message {
	m := sim.msgs[i]
	sim.msgs = slices.Delete(sim.msgs, i, i+1)
	to := "table"
	if m.to != nil {
		to = m.to.name
	}
	sim.printf("%s -> %s: %s %s", m.from.name, to, m.kind, m.text)
	return m
}
