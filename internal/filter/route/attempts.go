package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/retry"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// RetryBudgets holds the retry budget of each service. It is safe for concurrent
// use.
type RetryBudgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

// budget is the retry budget of one service.
type budget struct {
	// mu guards tokens and every retry machine that takes tokens from it.
	mu     sync.Mutex
	tokens *retry.Budget
	config retry.BudgetConfig
}

// NewRetryBudgets returns a RetryBudgets in which every budget starts full.
func NewRetryBudgets() *RetryBudgets { return &RetryBudgets{byService: map[string]*budget{}} }

// get returns the budget of the service. A change of config replaces the budget
// by a full one.
func (b *RetryBudgets) get(service string, config retry.BudgetConfig) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	sb := b.byService[service]
	if sb == nil || sb.config != config {
		sb = &budget{tokens: retry.NewBudget(config, time.Now()), config: config}
		b.byService[service] = sb
	}
	return sb
}

// retryLoop is the state of one request's retries: it performs the actions of the
// request's retry machine.
type retryLoop struct {
	search  *search
	budget  *budget
	machine *retry.Request
	// completed receives the outcome of every attempt. It has a buffer for all of
	// them, so that no attempt blocks after the request has ended.
	completed chan completedAttempt
	// cancels holds the function that cancels each attempt's context, by the
	// number of the attempt.
	cancels map[int]context.CancelFunc
	// responses holds the responses received, by the number of the attempt.
	responses map[int]*filter.Response
	// running is the number of attempts that have not ended.
	running int
	// timer fires when the retry machine is to get its next Tick.
	timer *time.Timer
}

// completedAttempt is the response or the error of one attempt.
type completedAttempt struct {
	attempt int
	resp    *filter.Response
	err     error
}

// retryLoop serves the request with the retries and hedges that the policy allows.
func (f Filter) retryLoop(ctx context.Context, s *search) (*filter.Response, error) {
	svc := s.request.Service
	maxAttempts := max(svc.Retry.MaxAttempts, 1)
	budgetConfig, hedgeAfter := f.Policy.retryPolicy(svc)
	l := &retryLoop{
		search: s, budget: f.RetryBudgets.get(svc.Name, budgetConfig), completed: make(chan completedAttempt, maxAttempts),
		cancels: map[int]context.CancelFunc{}, responses: map[int]*filter.Response{}, timer: time.NewTimer(time.Hour),
	}
	l.machine = retry.New(retry.Config{
		Idempotent: s.request.Idempotent, MaxAttempts: maxAttempts, Deadline: s.request.Deadline, MinAttemptTime: minAttemptTime,
		HedgeAfter: hedgeAfter, MinHedgeHeadroom: minHedgeHeadroom,
	}, l.budget.tokens)
	defer l.timer.Stop()
	return l.run(ctx)
}

// run drives the retry machine until the request ends.
func (l *retryLoop) run(ctx context.Context) (*filter.Response, error) {
	actions := l.step(retry.Begin{})
	for {
		resp, err, done := l.execute(ctx, actions)
		if done {
			return resp, err
		}
		select {
		case res := <-l.completed:
			actions = l.step(l.attemptEnded(res))
		case <-l.timer.C:
			actions = l.step(retry.Tick{Headroom: l.headroom()})
		case <-ctx.Done():
			actions = l.step(retry.Cancel{Expired: ctx.Err() == context.DeadlineExceeded})
		}
	}
}

// step passes an event to the retry machine and returns the actions to perform.
func (l *retryLoop) step(ev retry.Event) []retry.Action {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.machine.Step(time.Now(), ev)
}

// execute performs the actions of the retry machine. If one of them ends the
// request, done is true and resp or err is its result.
func (l *retryLoop) execute(ctx context.Context, actions []retry.Action) (resp *filter.Response, err error, done bool) {
	for _, act := range actions {
		switch act := act.(type) {
		case retry.Send:
			l.send(ctx, act)
		case retry.Wait:
			l.timer.Reset(time.Until(act.Until))
		case retry.CancelAttempt:
			l.cancels[act.Attempt]()
		case retry.Deliver:
			resp, done = l.takeResponse(act.Attempt), true
		case retry.Fail:
			err, done = act.Err, true
		}
	}
	if done {
		l.cancelRemaining()
	}
	return resp, err, done
}

// send starts an attempt in a new goroutine.
func (l *retryLoop) send(ctx context.Context, act retry.Send) {
	if act.Hedge {
		l.search.Metrics.Count("route.hedge")
	} else if act.Attempt > 1 {
		l.search.Metrics.Count("route.retry")
	}
	ctx, cancel := context.WithCancel(ctx)
	l.cancels[act.Attempt] = cancel
	l.running++
	go func() {
		resp, err := l.search.attempt(ctx)
		l.completed <- completedAttempt{act.Attempt, resp, err}
	}()
}

// attemptEnded returns the event for an attempt that has ended.
func (l *retryLoop) attemptEnded(res completedAttempt) retry.AttemptEnded {
	l.running--
	if res.err == nil {
		l.responses[res.attempt] = res.resp
		return retry.AttemptEnded{Attempt: res.attempt, Result: retry.Answered}
	}
	e := outcome.AsError(res.err)
	return retry.AttemptEnded{Attempt: res.attempt, Result: attemptResult(res.err), Err: e, RetryAfter: retryDelay(e), Random: rand.Float64()}
}

// retryDelay returns the RetryAfter for the retry machine: the time during which
// no retry can succeed, or 0 if it is not known. The time in an error applies to
// all destinations only if none of them had capacity. The result is then longer
// than the maximum backoff, so that the caller gets the error immediately,
// however short the time in it is. The time that one backend server gives when
// it sheds load applies to that backend server alone and is ignored.
func retryDelay(e *outcome.Error) time.Duration {
	if e.RetryAfter > 0 && (e.Kind == outcome.KindNoCapacity || e.Kind == outcome.KindLinkFull) {
		return max(e.RetryAfter, 2*retry.DefaultMaxBackoff)
	}
	return 0
}

// headroom returns the share of free slots, from 0 to 1, among the slots of the
// backend servers that this instance owns.
func (l *retryLoop) headroom() float64 {
	free, slots := l.search.Slots.Free(l.search.request.Service.Name)
	if slots == 0 {
		return 0
	}
	return float64(free) / float64(slots)
}

// takeResponse removes the attempt's response from the driver and returns it. The
// attempt's context is cancelled when the response's stream is closed.
func (l *retryLoop) takeResponse(attempt int) *filter.Response {
	resp, cancel := l.responses[attempt], l.cancels[attempt]
	delete(l.responses, attempt)
	delete(l.cancels, attempt)
	if resp.Stream == nil {
		cancel()
		return resp
	}
	resp.Stream = &hookedStream{ReadCloser: resp.Stream, finish: cancel}
	return resp
}

// cancelRemaining cancels the other attempts and closes the responses that they
// have received or still receive.
func (l *retryLoop) cancelRemaining() {
	for _, cancel := range l.cancels {
		cancel()
	}
	for _, resp := range l.responses {
		resp.Close()
	}
	if l.running == 0 {
		return
	}
	go func(n int) {
		for range n {
			if res := <-l.completed; res.err == nil {
				res.resp.Close()
			}
		}
	}(l.running)
}
