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

// Budgets holds the budget of retries of each service. It is safe for
// concurrent use.
type Budgets struct {
	mu  sync.Mutex
	all map[string]*budget
}

// budget is one service's; its lock guards every machine that draws on it.
type budget struct {
	mu     sync.Mutex
	tokens *retry.Budget
	cfg    retry.BudgetConfig
}

// NewBudgets returns full budgets.
func NewBudgets() *Budgets { return &Budgets{all: map[string]*budget{}} }

func (b *Budgets) of(service string, cfg retry.BudgetConfig) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.all[service]
	if one == nil || one.cfg != cfg {
		one = &budget{tokens: retry.NewBudget(cfg, time.Now()), cfg: cfg}
		b.all[service] = one
	}
	return one
}

// attempts is the driver of one request's retry machine.
type attempts struct {
	search  *search
	budget  *budget
	machine *retry.Request
	// results has room for every attempt.
	results chan result
	cancels map[int]context.CancelFunc
	answers map[int]*filter.Answer
	running int
	timer   *time.Timer
}

// result is the end of one attempt.
type result struct {
	attempt int
	answer  *filter.Answer
	err     error
}

// attempts sends the request as often as the rules allow and returns its end.
func (f Filter) attempts(ctx context.Context, s *search) (*filter.Answer, error) {
	svc := s.r.Service
	most := max(svc.Retry.MaxAttempts, 1)
	bounds, hedgeAfter := f.Policy.retries(svc)
	a := &attempts{
		search: s, budget: f.Budgets.of(svc.Name, bounds), results: make(chan result, most),
		cancels: map[int]context.CancelFunc{}, answers: map[int]*filter.Answer{}, timer: time.NewTimer(time.Hour),
	}
	a.machine = retry.New(retry.Config{
		Idempotent: s.r.Idempotent, MaxAttempts: most, Deadline: s.r.Deadline, MinAttemptTime: minAttemptTime,
		HedgeAfter: hedgeAfter, MinHedgeHeadroom: hedgeHeadroom,
	}, a.budget.tokens)
	defer a.timer.Stop()
	return a.run(ctx)
}

func (a *attempts) run(ctx context.Context) (*filter.Answer, error) {
	actions := a.step(retry.Begin{})
	for {
		answer, err, done := a.carryOut(ctx, actions)
		if done {
			return answer, err
		}
		select {
		case res := <-a.results:
			actions = a.step(a.ended(res))
		case <-a.timer.C:
			actions = a.step(retry.Tick{Headroom: a.headroom()})
		case <-ctx.Done():
			actions = a.step(retry.Cancel{Expired: ctx.Err() == context.DeadlineExceeded})
		}
	}
}

func (a *attempts) step(ev retry.Event) []retry.Action {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.machine.Step(time.Now(), ev)
}

// carryOut does what the machine asks for; done is set with the end of the
// request.
func (a *attempts) carryOut(ctx context.Context, actions []retry.Action) (answer *filter.Answer, err error, done bool) {
	for _, act := range actions {
		switch act := act.(type) {
		case retry.Send:
			a.send(ctx, act)
		case retry.Wait:
			a.timer.Reset(time.Until(act.Until))
		case retry.CancelAttempt:
			a.cancels[act.Attempt]()
		case retry.Deliver:
			answer, done = a.deliver(act.Attempt), true
		case retry.Fail:
			err, done = act.Err, true
		}
	}
	if done {
		a.release()
	}
	return answer, err, done
}

func (a *attempts) send(ctx context.Context, act retry.Send) {
	if act.Hedge {
		a.search.Metrics.Count("route.hedge")
	} else if act.Attempt > 1 {
		a.search.Metrics.Count("route.retry")
	}
	ctx, cancel := context.WithCancel(ctx)
	a.cancels[act.Attempt] = cancel
	a.running++
	go func() {
		answer, err := a.search.attempt(ctx)
		a.results <- result{act.Attempt, answer, err}
	}()
}

func (a *attempts) ended(res result) retry.AttemptEnded {
	a.running--
	if res.err == nil {
		a.answers[res.attempt] = res.answer
		return retry.AttemptEnded{Attempt: res.attempt, Result: retry.Answered}
	}
	e := outcome.AsError(res.err)
	return retry.AttemptEnded{Attempt: res.attempt, Result: endOf(res.err), Err: e, RetryAfter: hopeless(e), Random: rand.Float64()}
}

// hopeless returns how long no further attempt has a chance: only when no place
// had room does the time in the error concern all of them, and then the caller
// is answered at once, however short it is. A backend server that sheds speaks
// for itself alone, and gives none.
func hopeless(e *outcome.Error) time.Duration {
	if e.RetryAfter > 0 && (e.Kind == outcome.KindNoCapacity || e.Kind == outcome.KindLinkFull) {
		return max(e.RetryAfter, 2*retry.DefaultMaxBackoff)
	}
	return 0
}

// headroom is the free share of the own slots.
func (a *attempts) headroom() float64 {
	free, slots := a.search.Slots.Free(a.search.r.Service.Name)
	if slots == 0 {
		return 0
	}
	return float64(free) / float64(slots)
}

// deliver returns the answer; its context stays open until its stream is
// closed.
func (a *attempts) deliver(attempt int) *filter.Answer {
	answer, cancel := a.answers[attempt], a.cancels[attempt]
	delete(a.answers, attempt)
	delete(a.cancels, attempt)
	if answer.Stream == nil {
		cancel()
		return answer
	}
	answer.Stream = &endStream{ReadCloser: answer.Stream, end: cancel}
	return answer
}

// release ends the other attempts and closes what they still bring.
func (a *attempts) release() {
	for _, cancel := range a.cancels {
		cancel()
	}
	for _, answer := range a.answers {
		answer.Close()
	}
	if a.running == 0 {
		return
	}
	go func(n int) {
		for range n {
			if res := <-a.results; res.err == nil {
				res.answer.Close()
			}
		}
	}(a.running)
}
