package retry

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Config holds the retry and hedging parameters of one request.
type Config struct {
	// Idempotent allows retries after a backend server may have run the request,
	// and hedges.
	Idempotent bool
	// MaxAttempts is the maximum number of attempts, including the first one and
	// hedges. It is at least 1.
	MaxAttempts int
	// Deadline is the time by which the request must be finished.
	Deadline time.Time
	// MinAttemptTime is the minimum time that an attempt needs. No attempt starts
	// when less time is left before Deadline.
	MinAttemptTime time.Duration
	// HedgeAfter is the time after which a hedge of an idempotent request is sent
	// if there is no response. 0 disables hedging.
	HedgeAfter time.Duration
	// MinHedgeHeadroom is the minimum share of free slots, in [0,1], at which a
	// hedge is sent.
	MinHedgeHeadroom float64
	// Backoff and MaxBackoff are the base and ceiling that Backoff is called
	// with. 0 stands for DefaultBackoff and DefaultMaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// Event is an input of a Request. Its types are Begin, AttemptEnded,
// ResponseStarted, Tick and Cancel.
type Event interface{ event() }

// Begin starts the first attempt. It must be the first event and occur only
// once.
type Begin struct{}

// AttemptEnded reports that an attempt has ended.
type AttemptEnded struct {
	// Attempt is the number of the attempt, as in Send.
	Attempt int
	Result  Result
	// Err is the error of the attempt, and may be nil. It is ignored if Result is
	// Answered.
	Err *outcome.Error
	// RetryAfter is the time until another attempt can succeed, or 0 if unknown.
	// If it exceeds Config.MaxBackoff, the request fails at once.
	RetryAfter time.Duration
	// Random is a random number in [0,1) for the backoff.
	Random float64
}

// ResponseStarted reports that the first byte of an attempt's response was passed
// on to the caller. No further attempt is sent after it.
type ResponseStarted struct{ Attempt int }

// Tick reports the current time. Headroom is the share of free slots, in [0,1],
// among those that could run a hedge.
type Tick struct{ Headroom float64 }

// Cancel reports that nobody waits for the response any more. Expired is true
// if the reason is that the deadline has passed.
type Cancel struct{ Expired bool }

func (c Cancel) result() Result {
	if c.Expired {
		return Expired
	}
	return Stopped
}

func (Begin) event()           {}
func (AttemptEnded) event()    {}
func (ResponseStarted) event() {}
func (Tick) event()            {}
func (Cancel) event()          {}

// Action is an output of a Request that its driver must carry out. Its types
// are Send, Wait, CancelAttempt, Deliver and Fail.
type Action interface{ action() }

// Send asks the driver to send an attempt, if possible to a backend server that
// no other attempt of the request has used. Attempts are numbered from 1. Hedge
// is true if another attempt is in flight already.
type Send struct {
	Attempt int
	Hedge   bool
}

// Wait asks the driver for a Tick at the time Until.
type Wait struct{ Until time.Time }

// CancelAttempt asks the driver to cancel an attempt whose response is not needed.
type CancelAttempt struct{ Attempt int }

// Deliver ends the request with the response to an attempt.
type Deliver struct{ Attempt int }

// Fail ends the request with an error.
type Fail struct{ Err *outcome.Error }

func (Send) action()          {}
func (Wait) action()          {}
func (CancelAttempt) action() {}
func (Deliver) action()       {}
func (Fail) action()          {}

// Request is the state machine that decides on the attempts of one request. It
// is not safe for concurrent use.
type Request struct {
	cfg    Config
	budget *Budget
	// sent is the number of attempts sent, at most cfg.MaxAttempts.
	sent int
	// inFlight holds the attempts in flight, in the order of sending. It has at
	// most one element unless the request is idempotent.
	inFlight []int
	// mayHaveRun is true if a backend server may have run an attempt that has
	// ended. A request that is not idempotent is not retried after that.
	mayHaveRun bool
	// lostAttempts is the number of attempts that ended Lost. At
	// maxLostAttempts the request is not retried any more, as it may itself crash
	// the backend servers.
	lostAttempts int
	// delivering is the attempt whose response is being passed on to the caller,
	// or 0.
	delivering int
	// nextAttemptAt is when the next retry is due; zero if none is scheduled.
	nextAttemptAt time.Time
	// hedgeAt is when a hedge is due; zero if none is scheduled.
	hedgeAt time.Time
	// lastFailure is the failed attempt that the error of the request is derived
	// from.
	lastFailure AttemptEnded
	// done is true once a Deliver or Fail was returned.
	done bool
	// actions collects the actions of the current Step.
	actions []Action
}

// New returns a Request with no attempt sent. Attempts after the first one take
// their tokens from budget.
func New(cfg Config, budget *Budget) *Request {
	if cfg.Backoff == 0 {
		cfg.Backoff = DefaultBackoff
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	return &Request{cfg: cfg, budget: budget}
}

// Step handles one event and returns the actions to carry out, in order. After
// a Deliver or Fail, the only actions are those that cancel the remaining
// attempts, and later calls return nil.
func (r *Request) Step(now time.Time, ev Event) []Action {
	r.actions = nil
	if r.done {
		return nil
	}
	switch e := ev.(type) {
	case Begin:
		r.begin(now)
	case AttemptEnded:
		r.attemptEnded(now, e)
	case ResponseStarted:
		r.selectResponse(e.Attempt)
	case Tick:
		r.tick(now, e.Headroom)
	case Cancel:
		r.fail(AttemptEnded{Result: e.result()})
	}
	return r.actions
}

func (r *Request) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Request) begin(now time.Time) {
	r.budget.Deposit(now)
	if !r.fitsDeadline(now) {
		r.lastFailure = AttemptEnded{Result: Stopped, Err: outcome.NotRunError(outcome.KindDeadline, 0, "too little time is left before the deadline for an attempt")}
		r.fail(r.lastFailure)
		return
	}
	r.send(now)
}

// fitsDeadline reports whether an attempt that starts at begin can end before
// the deadline.
func (r *Request) fitsDeadline(begin time.Time) bool {
	return begin.Add(r.cfg.MinAttemptTime).Before(r.cfg.Deadline)
}

func (r *Request) send(now time.Time) {
	r.nextAttemptAt = time.Time{}
	r.sent++
	r.emit(Send{Attempt: r.sent, Hedge: len(r.inFlight) > 0})
	r.inFlight = append(r.inFlight, r.sent)
	r.hedgeAt = time.Time{}
	if r.cfg.Idempotent && r.cfg.HedgeAfter > 0 && r.sent == 1 {
		r.hedgeAt = now.Add(r.cfg.HedgeAfter)
		r.emit(Wait{Until: r.hedgeAt})
	}
}

func (r *Request) attemptEnded(now time.Time, e AttemptEnded) {
	if !r.removeInFlight(e.Attempt) {
		return
	}
	if e.Result == Answered {
		r.selectResponse(e.Attempt)
		r.finish(Deliver{Attempt: e.Attempt})
		return
	}
	r.mayHaveRun = r.mayHaveRun || e.Result.MayHaveRun()
	if e.Result == Lost {
		r.lostAttempts++
	}
	r.lastFailure = e
	if e.Attempt == r.delivering || e.Result == Stopped {
		r.fail(e)
		return
	}
	if len(r.inFlight) > 0 {
		// The other attempt may still get a response.
		return
	}
	r.scheduleRetry(now, e)
}

// removeInFlight removes an attempt from those in flight. It returns false if the
// attempt was not in flight.
func (r *Request) removeInFlight(attempt int) bool {
	for i, a := range r.inFlight {
		if a == attempt {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return true
		}
	}
	return false
}

// maxLostAttempts is the number of lost attempts after which a request is not
// retried, as it may have crashed the backend servers that ran it.
const maxLostAttempts = 2

// scheduleRetry sends the next attempt at once, schedules it, or fails the
// request. A request that cannot be retried fails immediately, so that its
// caller need not wait until the deadline.
func (r *Request) scheduleRetry(now time.Time, e AttemptEnded) {
	wait := max(Backoff(r.sent, r.cfg.Backoff, r.cfg.MaxBackoff, e.Random), e.RetryAfter)
	if e.RetryAfter > r.cfg.MaxBackoff || !r.retryAllowed(e.Result) || r.lostAttempts >= maxLostAttempts || r.sent >= r.cfg.MaxAttempts || !r.fitsDeadline(now.Add(wait)) || !r.budget.Take(now) {
		r.fail(e)
		return
	}
	if wait <= 0 {
		r.send(now)
		return
	}
	r.nextAttemptAt = now.Add(wait)
	r.emit(Wait{Until: r.nextAttemptAt})
}

// retryAllowed reports whether another attempt may follow one with this result.
func (r *Request) retryAllowed(result Result) bool {
	return rules[result].retryable && (r.cfg.Idempotent || !r.mayHaveRun)
}

func (r *Request) tick(now time.Time, headroom float64) {
	if !r.nextAttemptAt.IsZero() && !now.Before(r.nextAttemptAt) {
		if !r.fitsDeadline(now) {
			r.fail(r.lastFailure)
			return
		}
		r.send(now)
		return
	}
	if r.hedgeAt.IsZero() || now.Before(r.hedgeAt) || len(r.inFlight) != 1 || r.delivering != 0 {
		return
	}
	r.hedgeAt = time.Time{}
	if headroom >= r.cfg.MinHedgeHeadroom && r.sent < r.cfg.MaxAttempts && r.fitsDeadline(now) && r.budget.Take(now) {
		r.send(now)
	}
}

// selectResponse selects the attempt whose response the caller gets and cancels
// the others.
func (r *Request) selectResponse(attempt int) {
	if r.delivering != 0 {
		return
	}
	r.delivering = attempt
	for _, a := range r.inFlight {
		if a != attempt {
			r.emit(CancelAttempt{Attempt: a})
		}
	}
}

// fail ends the request with an error that covers all of its attempts, and
// cancels those still in flight.
func (r *Request) fail(e AttemptEnded) {
	r.finish(Fail{Err: r.finalError(e)})
	for _, a := range r.inFlight {
		r.emit(CancelAttempt{Attempt: a})
	}
}

func (r *Request) finish(a Action) {
	r.done = true
	r.emit(a)
}

// finalError returns the error of the request. Its outcome is outcome.NotRun only
// if no backend server may have run an attempt that has ended, and no attempt is
// in flight.
func (r *Request) finalError(e AttemptEnded) *outcome.Error {
	notRun := !r.mayHaveRun && len(r.inFlight) == 0
	switch {
	case e.Err != nil && (e.Err.Outcome == outcome.NotRun) == notRun:
		return e.Err
	case notRun:
		return outcome.NotRunError(rules[e.Result].kind, e.RetryAfter, "the last of %d attempts ended with the result %s", r.sent, e.Result)
	}
	if e.Err != nil && e.Err.Kind == outcome.KindQuarantined {
		// Keep the quarantine error and its remedy: the caller must not be told to
		// send the request again.
		final := *e.Err
		final.Outcome = outcome.Unknown
		return &final
	}
	err := outcome.UnknownError(rules[e.Result].kind, "the last of %d attempts ended with the result %s", r.sent, e.Result)
	if r.cfg.Idempotent {
		err.Remedy = "send the request again; the operation is idempotent"
	}
	return err
}
