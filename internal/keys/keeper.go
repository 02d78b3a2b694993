// Package keys drives the once.Machine of one instance: it turns requests into
// events, carries out the machine's actions, and joins attempts of one key to
// one answer.
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

// Transport carries what the machine sends to other instances and to the
// table. Calls block until they are answered or ctx ends.
type Transport interface {
	// Forward sends the request to the home. An error is an *outcome.Error;
	// sent is false if no byte of it left this instance.
	Forward(ctx context.Context, to once.Home, r *filter.Request) (a *filter.Response, replied, sent bool, err error)
	// Claim puts a batch into its row.
	Claim(ctx context.Context, batch once.ClaimBatch) once.ClaimResult
	// Transfer, Settle and Moved bring their message to its instance.
	Transfer(ctx context.Context, t once.Transfer) (accepted bool, err error)
	Settle(ctx context.Context, to, from once.Home, records []once.Record) (keys []string, err error)
	Moved(from, to once.Home)
}

const (
	// sendTimeout bounds one handover message.
	sendTimeout = 2 * time.Second
	// claimTimeout bounds the write of a batch of claims.
	claimTimeout = 2 * time.Second
)

// Keeper is the driver. It is safe for concurrent use.
type Keeper struct {
	transport Transport
	self      once.Home

	mu       sync.Mutex
	machine  *once.Machine
	last     once.AttemptID
	attempts map[once.AttemptID]*attempt
}

// attempt is a request that waits for its answer.
type attempt struct {
	ctx  context.Context
	r    *filter.Request
	next filter.Handler
	// done has room for the one answer.
	done chan reply
}

type reply struct {
	answer *filter.Response
	err    error
}

// NewKeeper returns the driver of an instance that has just started.
func NewKeeper(cfg once.Config, t Transport) *Keeper {
	return &Keeper{
		transport: t, self: cfg.Self, machine: once.New(cfg),
		attempts: map[once.AttemptID]*attempt{},
	}
}

// Issue returns a fresh key of the home.
func Issue(home once.Home, now time.Time, ttl time.Duration) (string, error) {
	k, err := once.NewKey(home, now.Add(ttl), rand.Uint64())
	if err != nil {
		return "", err
	}
	return k.String(), nil
}

// Do brings the request to the authority of its key, runs it there with next
// if it may run, and returns its one answer. hops counts the instances that it
// has passed.
func (k *Keeper) Do(ctx context.Context, r *filter.Request, hops int, next filter.Handler) (*filter.Response, error) {
	if err := once.CheckKey(r.Key); err != nil {
		return nil, err
	}
	a := &attempt{ctx: ctx, r: r, next: next, done: make(chan reply, 1)}
	id := k.arrive(a, hops)
	select {
	case rep := <-a.done:
		return rep.answer, rep.err
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
		return rep.answer, rep.err
	default:
		return nil, outcome.UnknownError(outcome.KindCancelled, "the caller went away before the request ended")
	}
}

func (k *Keeper) arrive(a *attempt, hops int) once.AttemptID {
	f := once.FingerprintOf(a.r.Method, "/"+a.r.Service.Name+a.r.Path, a.r.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last++
	id := k.last
	k.attempts[id] = a
	k.stepLocked(once.Arrive{Attempt: id, Key: a.r.Key, Fingerprint: f, Hops: hops})
	return id
}

// Step gives the machine an event from outside, such as a transfer.
func (k *Keeper) Step(ev once.Event) { k.step(ev) }

// Adopt takes a transfer in and reports whether it was accepted.
func (k *Keeper) Adopt(t once.Transfer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, act := range k.stepLocked(once.Adopt{Transfer: t}) {
		if r, ok := act.(once.SendTransferReply); ok {
			return r.Accepted
		}
	}
	return false
}

// Settled takes the ends of handed over runs in and returns the keys of those
// that are known now.
func (k *Keeper) Settled(from once.Home, records []once.Record) []string {
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

// Quiet reports whether a planned stop may end.
func (k *Keeper) Quiet() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Quiet()
}

// Stats returns the machine's figures.
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

// stepLocked steps the machine and carries out its actions, none of which
// blocks. It returns them for the caller that waits for one of them.
func (k *Keeper) stepLocked(ev once.Event) []once.Action {
	actions := k.machine.Step(time.Now(), ev)
	for _, act := range actions {
		k.carryOut(act)
	}
	return actions
}

func (k *Keeper) carryOut(act once.Action) {
	switch act := act.(type) {
	case once.Run:
		k.startRun(act)
	case once.Respond:
		k.end(act.Attempt, replyOf(act.Result))
	case once.Reject:
		k.end(act.Attempt, reply{err: act.Err})
	case once.Forward:
		if a := k.attempts[act.Attempt]; a != nil {
			go k.forward(act, a)
		}
	case once.ClaimBatch:
		go k.claim(act)
	case once.SendTransfer:
		go k.transfer(act.Transfer)
	case once.SendRunResults:
		go k.settle(act)
	case once.AnnounceMove:
		go k.transport.Moved(act.From, act.To)
	case once.CancelQueuedRun:
		// Nothing waits in a queue, here or at an owner: a request is sent at
		// once or turned away, and asks for leave before each further try.
	}
}

func (k *Keeper) end(id once.AttemptID, rep reply) {
	if a := k.attempts[id]; a != nil {
		a.done <- rep
		delete(k.attempts, id)
	}
}

func (k *Keeper) startRun(act once.Run) {
	a := k.attempts[act.Attempt]
	if a == nil {
		// The attempt ended in the same moment; nothing was tried.
		go k.finish(act.Run, once.Result{Outcome: outcome.NotRun, Err: outcome.NotRunError(outcome.KindCancelled, 0, "the caller went away")})
		return
	}
	go k.run(act.Run, act.Attempt, a)
}

// run executes a key's request. It outlives the attempt that brought it, so
// that a resend gets its answer.
func (k *Keeper) run(id once.RunID, attemptID once.AttemptID, a *attempt) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(a.ctx), a.r.Deadline)
	ctx = filter.WithAttemptPermit(ctx, func() bool { return k.permit(id) })
	answer, err := a.next.Serve(ctx, a.r)
	if err == nil && answer.Stream != nil {
		k.stream(attemptID, a, answer, cancel)
		k.finish(id, once.Result{Outcome: outcome.Done, Status: answer.Status, Header: answer.Header, BodyDropped: true})
		return
	}
	cancel()
	k.finish(id, resultOf(answer, err))
}

// stream gives a large answer to the attempt that waits for the run, if it
// still does; nobody else can have it, so it ends with the attempt's context.
func (k *Keeper) stream(id once.AttemptID, a *attempt, answer *filter.Response, cancel context.CancelFunc) {
	stop := context.AfterFunc(a.ctx, cancel)
	answer.Stream = &endStream{answer.Stream, func() { stop(); cancel() }}
	k.pass(id, answer)
}

// pass ends the attempt with the answer, and closes it if nobody waits.
func (k *Keeper) pass(id once.AttemptID, answer *filter.Response) {
	k.mu.Lock()
	waits := k.attempts[id] != nil
	k.end(id, reply{answer: answer})
	k.mu.Unlock()
	if !waits {
		answer.Close()
	}
}

func (k *Keeper) permit(id once.RunID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, act := range k.stepLocked(once.Start{Run: id}) {
		if p, ok := act.(once.AllowStart); ok && p.Run == id {
			return true
		}
	}
	return false
}

func (k *Keeper) finish(id once.RunID, res once.Result) { k.step(once.Finish{Run: id, Result: res}) }

func (k *Keeper) forward(act once.Forward, a *attempt) {
	answer, replied, sent, err := k.transport.Forward(a.ctx, act.To, a.r)
	if err == nil && answer.Stream != nil {
		k.pass(act.Attempt, answer)
		k.step(once.ForwardResult{Attempt: act.Attempt, Replied: true, Result: once.Result{
			Outcome: outcome.Done, Status: answer.Status, Header: answer.Header, BodyDropped: true,
		}})
		return
	}
	k.step(once.ForwardResult{Attempt: act.Attempt, Replied: replied, NotSent: !sent, Result: resultOf(answer, err)})
}

func (k *Keeper) claim(batch once.ClaimBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	k.step(k.transport.Claim(ctx, batch))
}

func (k *Keeper) transfer(t once.Transfer) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if accepted, err := k.transport.Transfer(ctx, t); err == nil {
		k.step(once.TransferReply{From: t.To, Accepted: accepted})
	}
}

func (k *Keeper) settle(act once.SendRunResults) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if keys, err := k.transport.Settle(ctx, act.To, k.self, act.Records); err == nil {
		k.step(once.RunResultsAck{From: act.To, Keys: keys})
	}
}
