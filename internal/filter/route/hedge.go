package route

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// hedgeHeadroom is the least share of own slots that must be free for a second
// attempt of a request that is still running.
const hedgeHeadroom = 0.5

// result is the end of the try with the given index.
type result struct {
	index  int
	answer *filter.Answer
	err    error
}

// hedged runs the first place and, if it has not ended after the given time
// and there is headroom, a second one beside it. The first answer wins and the
// other try is cancelled.
func (t *tries) hedged(ctx context.Context, after time.Duration) (*filter.Answer, error) {
	results := make(chan result, 2)
	var cancels []context.CancelFunc
	start := func(p place, release func()) {
		tctx, cancel := context.WithCancel(ctx)
		index := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			answer, err := t.try(tctx, p, release)
			results <- result{index, answer, err}
		}()
	}
	p, release, ok := t.next()
	if !ok {
		return nil, t.failure()
	}
	start(p, release)
	timer := time.NewTimer(after)
	defer timer.Stop()
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			if p, release, ok := t.hedge(); ok {
				start(p, release)
				running++
			}
		case res := <-results:
			running--
			if res.err == nil {
				dropOthers(results, cancels, res.index, running)
				return held(res.answer, cancels[res.index]), nil
			}
			cancels[res.index]()
			t.last = outcome.AsError(res.err)
		}
	}
	if !t.mayRetry(ctx) {
		return nil, t.last
	}
	return t.serve(ctx)
}

func (t *tries) hedge() (place, func(), bool) {
	free, slots := t.Slots.Free(t.r.Service.Name)
	if slots > 0 && float64(free) < hedgeHeadroom*float64(slots) || !t.Budget.Retry(t.r.Service.Name) {
		return place{}, nil, false
	}
	p, release, ok := t.next()
	if ok {
		t.Metrics.Count("route.hedge")
	}
	return p, release, ok
}

// dropOthers cancels the tries that lost and closes what they still bring.
func dropOthers(results chan result, cancels []context.CancelFunc, won, running int) {
	for i, cancel := range cancels {
		if i != won {
			cancel()
		}
	}
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if res := <-results; res.err == nil {
				res.answer.Close()
			}
		}
	}()
}

// held keeps the winner's context open until its answer is closed.
func held(a *filter.Answer, cancel context.CancelFunc) *filter.Answer {
	if a.Stream == nil {
		cancel()
		return a
	}
	a.Stream = &endStream{ReadCloser: a.Stream, end: cancel}
	return a
}
