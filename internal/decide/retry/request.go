package retry

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Config holds what is known of a request before its first attempt.
type Config struct {
	Idempotent bool
	// MaxAttempts includes the first attempt and hedges; at least 1.
	MaxAttempts int
	Deadline    time.Time
	// MinAttemptTime is the least time that an attempt needs; none begins with less
	// left.
	MinAttemptTime time.Duration
	// HedgeAfter is the time without an answer after which an idempotent
	// request gets a second attempt; 0 is never.
	HedgeAfter time.Duration
	// MinHedgeHeadroom is the least free share of the slots for a hedge.
	MinHedgeHeadroom float64
	// Backoff and MaxBackoff are for the function Backoff.
	Backoff, MaxBackoff time.Duration
}

// Event is what a Request reacts to.
type Event interface{ event() }

// Begin starts the first attempt. It comes first, and once.
type Begin struct{}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt int
	Result  Result
	// Err is the error of an end other than Answered; it may be nil.
	Err *outcome.Error
	// RetryAfter is when another attempt has a chance at all, if known; above
	// Config.MaxBackoff the request is given up at once. Random is in [0,1).
	RetryAfter time.Duration
	Random     float64
}

// ResponseStarted tells that the first byte of an attempt's answer is passed on to
// the caller; nothing is sent again from here.
type ResponseStarted struct{ Attempt int }

// Tick lets time pass. Headroom is the free share of the slots that could take
// a hedge.
type Tick struct{ Headroom float64 }

// Cancel tells that nobody waits for the answer; Expired is set when that is
// since the deadline has passed.
type Cancel struct{ Expired bool }

func (c Cancel) end() Result {
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

// Action is what the driver of a Request has to do.
type Action interface{ action() }

// Send asks for an attempt, if possible on a backend server that no other
// attempt of the request has used. Hedge is set when one is in flight already.
type Send struct {
	Attempt int
	Hedge   bool
}

// Wait asks for a Tick at the time.
type Wait struct{ Until time.Time }

// CancelAttempt asks to cancel an attempt whose answer is not needed.
type CancelAttempt struct{ Attempt int }

// Deliver ends the request with the answer of an attempt.
type Deliver struct{ Attempt int }

// Fail ends the request with an error.
type Fail struct{ Err *outcome.Error }

func (Send) action()          {}
func (Wait) action()          {}
func (CancelAttempt) action() {}
func (Deliver) action()       {}
func (Fail) action()          {}

// Request decides on the attempts of one request. It is not safe for
// concurrent use.
type Request struct {
	cfg    Config
	budget *Budget
	// sent counts the attempts that were sent, at most cfg.MaxAttempts.
	sent int
	// flying holds the attempts in flight, in order; at most one unless the
	// request is idempotent.
	flying []int
	// reached is set once a backend server may have run an attempt that has
	// ended. A request that is not idempotent is not sent again then.
	reached bool
	// lost counts the attempts that ended Lost; after maxLost there is no
	// further one, since the request itself may bring backend servers down.
	lost int
	// delivering is the attempt whose answer is being passed on, or 0.
	delivering int
	// due is when the next attempt is to be sent; zero when none is planned.
	due time.Time
	// hedgeDue is when a hedge may be sent; zero when none may.
	hedgeDue time.Time
	// last is the end that a failure is told by.
	last AttemptEnded
	done bool
	out  []Action
}

// New returns the state of a request that nothing was sent of.
func New(cfg Config, budget *Budget) *Request {
	if cfg.Backoff == 0 {
		cfg.Backoff = DefaultBackoff
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	return &Request{cfg: cfg, budget: budget}
}

// Step handles one event and returns what is to be done, in order. After a
// Deliver or Fail there is nothing more.
func (r *Request) Step(now time.Time, ev Event) []Action {
	r.out = nil
	if r.done {
		return nil
	}
	switch e := ev.(type) {
	case Begin:
		r.begin(now)
	case AttemptEnded:
		r.ended(now, e)
	case ResponseStarted:
		r.deliver(e.Attempt)
	case Tick:
		r.tick(now, e.Headroom)
	case Cancel:
		r.fail(AttemptEnded{Result: e.end()})
	}
	return r.out
}

func (r *Request) emit(a Action) { r.out = append(r.out, a) }

func (r *Request) begin(now time.Time) {
	r.budget.Deposit(now)
	if !r.timeFor(now) {
		r.last = AttemptEnded{Result: Stopped, Err: outcome.NotRunError(outcome.KindDeadline, 0, "the deadline leaves no time for an attempt")}
		r.fail(r.last)
		return
	}
	r.send(now)
}

// timeFor reports whether an attempt that begins at the time can end before
// the deadline.
func (r *Request) timeFor(begin time.Time) bool {
	return begin.Add(r.cfg.MinAttemptTime).Before(r.cfg.Deadline)
}

func (r *Request) send(now time.Time) {
	r.due = time.Time{}
	r.sent++
	r.emit(Send{Attempt: r.sent, Hedge: len(r.flying) > 0})
	r.flying = append(r.flying, r.sent)
	r.hedgeDue = time.Time{}
	if r.cfg.Idempotent && r.cfg.HedgeAfter > 0 && r.sent == 1 {
		r.hedgeDue = now.Add(r.cfg.HedgeAfter)
		r.emit(Wait{Until: r.hedgeDue})
	}
}

func (r *Request) ended(now time.Time, e AttemptEnded) {
	if !r.land(e.Attempt) {
		return
	}
	if e.Result == Answered {
		r.deliver(e.Attempt)
		r.finish(Deliver{Attempt: e.Attempt})
		return
	}
	r.reached = r.reached || e.Result.MayHaveRun()
	if e.Result == Lost {
		r.lost++
	}
	r.last = e
	if e.Attempt == r.delivering || e.Result == Stopped {
		r.fail(e)
		return
	}
	if len(r.flying) > 0 {
		// The other attempt may still answer.
		return
	}
	r.plan(now, e)
}

// land takes an attempt out of flight and reports whether it was in flight.
func (r *Request) land(attempt int) bool {
	for i, a := range r.flying {
		if a == attempt {
			r.flying = append(r.flying[:i], r.flying[i+1:]...)
			return true
		}
	}
	return false
}

// maxLost is how many backend servers one request may take along.
const maxLost = 2

// plan sends the next attempt, sets its time, or gives up. Giving up is
// immediate: the caller is never held until its deadline.
func (r *Request) plan(now time.Time, e AttemptEnded) {
	wait := max(Backoff(r.sent, r.cfg.Backoff, r.cfg.MaxBackoff, e.Random), e.RetryAfter)
	if e.RetryAfter > r.cfg.MaxBackoff || !r.mayFollow(e.Result) || r.lost >= maxLost || r.sent >= r.cfg.MaxAttempts || !r.timeFor(now.Add(wait)) || !r.budget.Take(now) {
		r.fail(e)
		return
	}
	if wait <= 0 {
		r.send(now)
		return
	}
	r.due = now.Add(wait)
	r.emit(Wait{Until: r.due})
}

// mayFollow reports whether the rules let another attempt follow the end.
func (r *Request) mayFollow(end Result) bool {
	return rules[end].again && (r.cfg.Idempotent || !r.reached)
}

func (r *Request) tick(now time.Time, headroom float64) {
	if !r.due.IsZero() && !now.Before(r.due) {
		if !r.timeFor(now) {
			r.fail(r.last)
			return
		}
		r.send(now)
		return
	}
	if r.hedgeDue.IsZero() || now.Before(r.hedgeDue) || len(r.flying) != 1 || r.delivering != 0 {
		return
	}
	r.hedgeDue = time.Time{}
	if headroom >= r.cfg.MinHedgeHeadroom && r.sent < r.cfg.MaxAttempts && r.timeFor(now) && r.budget.Take(now) {
		r.send(now)
	}
}

// deliver settles which answer the caller gets.
func (r *Request) deliver(attempt int) {
	if r.delivering != 0 {
		return
	}
	r.delivering = attempt
	for _, a := range r.flying {
		if a != attempt {
			r.emit(CancelAttempt{Attempt: a})
		}
	}
}

// fail ends the request with what the whole of its attempts comes to.
func (r *Request) fail(e AttemptEnded) {
	r.finish(Fail{Err: r.failure(e)})
	for _, a := range r.flying {
		r.emit(CancelAttempt{Attempt: a})
	}
}

func (r *Request) finish(a Action) {
	r.done = true
	r.emit(a)
}

// failure is the error of the request: not run only when no attempt that has
// ended may have reached a backend server, and none is in flight.
func (r *Request) failure(e AttemptEnded) *outcome.Error {
	notRun := !r.reached && len(r.flying) == 0
	switch {
	case e.Err != nil && (e.Err.Outcome == outcome.NotRun) == notRun:
		return e.Err
	case notRun:
		return outcome.NotRunError(rules[e.Result].kind, e.RetryAfter, "the last of %d attempts ended %s", r.sent, e.Result)
	}
	if e.Err != nil && e.Err.Kind == outcome.KindQuarantined {
		// Sending it again is what must not happen.
		final := *e.Err
		final.Outcome = outcome.Unknown
		return &final
	}
	err := outcome.UnknownError(rules[e.Result].kind, "the last of %d attempts ended %s", r.sent, e.Result)
	if r.cfg.Idempotent {
		err.Remedy = "send it again; the operation is idempotent"
	}
	return err
}
