// Package keys drives the once.Machine of one instance. It turns requests into
// events and performs the actions of the machine. All attempts of one key get
// the result of the same run.
package keys

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Transport sends messages to other instances and claims to the table service.
// A call that takes a context blocks until it has a reply or the context ends.
type Transport interface {
	// Forward sends the request to the home and returns its response. replied is
	// true if the home has replied, with a response or an error. sent is false if
	// no byte of the request left this instance. The error is an *outcome.Error.
	Forward(ctx context.Context, to once.Home, r *filter.Request) (a *filter.Response, replied, sent bool, err error)
	// Claim merges a batch of claims into its row.
	Claim(ctx context.Context, batch once.ClaimBatch) once.ClaimResult
	// Transfer sends the transfer to the successor, which is t.To. accepted
	// reports whether the successor has taken over the authority.
	Transfer(ctx context.Context, t once.Transfer) (accepted bool, err error)
	// ReportRunResults sends the results of runs that were in progress during a
	// handover from the home from to its successor to. It returns the keys whose
	// results the successor has recorded.
	ReportRunResults(ctx context.Context, to, from once.Home, records []once.Record) (keys []string, err error)
	// AuthorityMoved announces to all instances that the authority of the home
	// from was handed over to the home to.
	AuthorityMoved(from, to once.Home)
}

const (
	// sendTimeout is the timeout of a handover message.
	sendTimeout = 2 * time.Second
	// claimTimeout is the timeout for writing a batch of claims.
	claimTimeout = 2 * time.Second
)

// Keeper drives the once.Machine of one instance. It is safe for concurrent use.
type Keeper struct {
	transport Transport
	self      once.Home

	// mu guards the fields below.
	mu          sync.Mutex
	machine     *once.Machine
	lastAttempt once.AttemptID
	// attempts holds the attempts that wait for a reply.
	attempts map[once.AttemptID]*attempt
}

// attempt is an attempt of a request that waits for its reply.
type attempt struct {
	ctx  context.Context
	r    *filter.Request
	next filter.Handler
	// done receives the only reply. Its capacity is 1, so sending never blocks.
	done chan reply
}

// reply is the response to an attempt or the error of the attempt.
type reply struct {
	response *filter.Response
	err      error
}

// NewKeeper returns the Keeper of an instance that has just started.
func NewKeeper(cfg once.Config, t Transport) *Keeper {
	return &Keeper{
		transport: t, self: cfg.Self, machine: once.New(cfg),
		attempts: map[once.AttemptID]*attempt{},
	}
}

// Issue returns a new key whose home is the given one and that expires after ttl.
func Issue(home once.Home, now time.Time, ttl time.Duration) (string, error) {
	k, err := once.NewKey(home, now.Add(ttl), rand.Uint64())
	if err != nil {
		return "", err
	}
	return k.String(), nil
}

// Do forwards the request to the instance that has the authority over its key, or
// runs it with next if this instance has the authority and the request may run.
// It returns the response. hops is the number of instances that have forwarded
// the request so far. The error is an *outcome.Error.
func (k *Keeper) Do(ctx context.Context, r *filter.Request, hops int, next filter.Handler) (*filter.Response, error) {
	if err := once.CheckKey(r.Key); err != nil {
		return nil, err
	}
	a := &attempt{ctx: ctx, r: r, next: next, done: make(chan reply, 1)}
	id := k.arrive(a, hops)
	select {
	case rep := <-a.done:
		return rep.response, rep.err
	case <-ctx.Done():
	}
	reason := once.CallerDisconnected
	if context.Cause(ctx) == context.DeadlineExceeded {
		reason = once.DeadlinePassed
	}
	k.step(once.Cancel{Attempt: id, Reason: reason})
	k.mu.Lock()
	delete(k.attempts, id)
	k.mu.Unlock()
	select {
	case rep := <-a.done:
		return rep.response, rep.err
	default:
		return nil, outcome.UnknownError(outcome.KindCancelled, "the caller disconnected before the request ended; the request may have run")
	}
}

// arrive registers the attempt and reports it to the machine.
func (k *Keeper) arrive(a *attempt, hops int) once.AttemptID {
	f := once.FingerprintOf(a.r.Method, "/"+a.r.Service.Name+a.r.Path, a.r.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastAttempt++
	id := k.lastAttempt
	k.attempts[id] = a
	k.stepLocked(once.Arrive{Attempt: id, Key: a.r.Key, Fingerprint: f, Hops: hops})
	return id
}

// Step passes the machine an event that does not come from a request, such as a
// once.Tick.
func (k *Keeper) Step(ev once.Event) { k.step(ev) }

// TransferReceived passes the machine a transfer from a predecessor and reports
// whether the machine accepted it.
func (k *Keeper) TransferReceived(t once.Transfer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, act := range k.stepLocked(once.TransferReceived{Transfer: t}) {
		if r, ok := act.(once.SendTransferReply); ok {
			return r.Accepted
		}
	}
	return false
}

// RecordRunResults records the results of runs that were in progress at the
// predecessor when it handed over. It returns the keys whose results are now
// recorded.
func (k *Keeper) RecordRunResults(from once.Home, records []once.Record) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var keys []string
	for _, act := range k.stepLocked(once.RunResults{From: from, Records: records}) {
		if r, ok := act.(once.SendRunResultsAck); ok {
			keys = append(keys, r.Keys...)
		}
	}
	return keys
}

// HandoverComplete reports whether the process may exit after a once.StartHandover.
func (k *Keeper) HandoverComplete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.HandoverComplete()
}

// Stats returns the statistics of the machine.
func (k *Keeper) Stats() once.Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Stats()
}

func (k *Keeper) step(ev once.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(ev)
}

// stepLocked passes the machine an event and performs the resulting actions,
// none of which blocks. It also returns the actions, for a caller that needs the
// reply in one of them. k.mu must be held.
func (k *Keeper) stepLocked(ev once.Event) []once.Action {
	actions := k.machine.Step(time.Now(), ev)
	for _, act := range actions {
		k.perform(act)
	}
	return actions
}

// perform performs an action without blocking. k.mu must be held.
func (k *Keeper) perform(act once.Action) {
	switch act := act.(type) {
	case once.Run:
		k.startRun(act)
	case once.Respond:
		k.respond(act.Attempt, replyOf(act.Result))
	case once.Reject:
		k.respond(act.Attempt, reply{err: act.Err})
	case once.Forward:
		if a := k.attempts[act.Attempt]; a != nil {
			go k.forward(act, a)
		}
	case once.ClaimBatch:
		go k.claim(act)
	case once.SendTransfer:
		go k.transfer(act.Transfer)
	case once.SendRunResults:
		go k.reportRunResults(act)
	case once.AnnounceMove:
		go k.transport.AuthorityMoved(act.From, act.To)
	case once.CancelQueuedRun:
		// There is nothing to cancel, because requests are not queued, neither
		// here nor at the owner of a backend server. A request is sent or
		// rejected at once, and it asks for permission before each retry.
	}
}

// respond ends the attempt with the reply, unless the attempt has already ended.
// k.mu must be held.
func (k *Keeper) respond(id once.AttemptID, rep reply) {
	if a := k.attempts[id]; a != nil {
		a.done <- rep
		delete(k.attempts, id)
	}
}

// startRun starts the run in a new goroutine. k.mu must be held.
func (k *Keeper) startRun(act once.Run) {
	a := k.attempts[act.Attempt]
	if a == nil {
		// The attempt ended before its run could start, so nothing was sent.
		go k.finish(act.Run, once.Result{Outcome: outcome.NotRun, Err: outcome.NotRunError(outcome.KindCancelled, 0, "the caller disconnected before the request was run")})
		return
	}
	go k.run(act.Run, act.Attempt, a)
}

// run runs the request of a key until the deadline of the request. It continues
// when the attempt that started it ends, so that a resend gets the response.
func (k *Keeper) run(id once.RunID, attemptID once.AttemptID, a *attempt) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(a.ctx), a.r.Deadline)
	ctx = filter.WithAttemptPermit(ctx, func() bool { return k.allowStart(id) })
	response, err := a.next.Serve(ctx, a.r)
	if err == nil && response.Stream != nil {
		k.respondWithStream(attemptID, a, response, cancel)
		k.finish(id, once.Result{Outcome: outcome.Done, Status: response.Status, Header: response.Header, BodyDropped: true})
		return
	}
	cancel()
	k.finish(id, resultOf(response, err))
}

// respondWithStream passes a streamed response to the attempt that started the
// run, if that attempt still waits. No other attempt can get the response,
// because it is not stored. The run is therefore cancelled when the context of
// the attempt ends or when the stream is closed.
func (k *Keeper) respondWithStream(id once.AttemptID, a *attempt, response *filter.Response, cancel context.CancelFunc) {
	stop := context.AfterFunc(a.ctx, cancel)
	response.Stream = &cancelOnClose{response.Stream, func() { stop(); cancel() }}
	k.respondOrClose(id, response)
}

// respondOrClose ends the attempt with the response, and closes the response if
// the attempt has already ended.
func (k *Keeper) respondOrClose(id once.AttemptID, response *filter.Response) {
	k.mu.Lock()
	waiting := k.attempts[id] != nil
	k.respond(id, reply{response: response})
	k.mu.Unlock()
	if !waiting {
		response.Close()
	}
}

// allowStart reports whether the run may send its request to a backend server.
func (k *Keeper) allowStart(id once.RunID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, act := range k.stepLocked(once.Start{Run: id}) {
		if p, ok := act.(once.AllowStart); ok && p.Run == id {
			return true
		}
	}
	return false
}

// finish reports the result of a run to the machine.
func (k *Keeper) finish(id once.RunID, res once.Result) { k.step(once.Finish{Run: id, Result: res}) }

// forward sends the attempt to another instance and reports the result to the
// machine. A streamed response is passed directly to the attempt.
func (k *Keeper) forward(act once.Forward, a *attempt) {
	response, replied, sent, err := k.transport.Forward(a.ctx, act.To, a.r)
	if err == nil && response.Stream != nil {
		k.respondOrClose(act.Attempt, response)
		k.step(once.ForwardResult{Attempt: act.Attempt, Replied: true, Result: once.Result{
			Outcome: outcome.Done, Status: response.Status, Header: response.Header, BodyDropped: true,
		}})
		return
	}
	k.step(once.ForwardResult{Attempt: act.Attempt, Replied: replied, NotSent: !sent, Result: resultOf(response, err)})
}

// claim writes a batch of claims and reports the result to the machine.
func (k *Keeper) claim(batch once.ClaimBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	k.step(k.transport.Claim(ctx, batch))
}

// transfer sends a transfer and reports the reply to the machine. An error is
// not reported; the machine sends the transfer again.
func (k *Keeper) transfer(t once.Transfer) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if accepted, err := k.transport.Transfer(ctx, t); err == nil {
		k.step(once.TransferReply{From: t.To, Accepted: accepted})
	}
}

// reportRunResults sends run results and reports the acknowledged keys to the
// machine. An error is not reported; the machine sends the results again.
func (k *Keeper) reportRunResults(act once.SendRunResults) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if keys, err := k.transport.ReportRunResults(ctx, act.To, k.self, act.Records); err == nil {
		k.step(once.RunResultsAck{From: act.To, Keys: keys})
	}
}
