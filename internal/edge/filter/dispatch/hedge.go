package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/quarantine"
)

// errOvertaken ends an attempt because another one of the same request has been answered.
const errOvertaken = errors.ConstError("another attempt of the request has been answered")

// sendHedged makes an attempt, and a second one beside it if the first lasts longer than it
// should. It returns the end of the one that is answered first, and otherwise that of the last.
func (f *Filter) sendHedged(ctx context.Context, ex *gateway.Exchange, state *admission.RequestState, first affinity.Choice, permit *quarantine.Permit) attemptEnd {
	delay, ok := f.decider.hedgeDelay(state, first)
	if !ok || permit.Isolated() {
		end := f.send(ctx, ex, state, first, permit)
		ex.Outcome.Attempts = append(ex.Outcome.Attempts, end.record)
		return end
	}
	ctx, overtake := context.WithCancelCause(ctx)
	defer overtake(nil)
	ends := make(chan attemptEnd, 2)
	inFlight := 1
	begin := func(c affinity.Choice) { ends <- f.send(ctx, ex, state, c, permit) }
	go begin(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var result attemptEnd
	for inFlight > 0 {
		select {
		case <-timer.C:
			if second, ok := f.hedge(ex, state, first); ok {
				inFlight++
				go begin(second)
			}
		case end := <-ends:
			inFlight--
			ex.Outcome.Attempts = append(ex.Outcome.Attempts, end.record)
			timer.Stop()
			switch {
			case result.final():
			case end.final():
				overtake(errOvertaken)
				result = end
			case end.response != nil || result.response == nil:
				result = end
			}
		}
	}
	return result
}

// hedge returns the backend server for a second attempt beside the first. A request that has
// become a suspect meanwhile has none: the silence may be its doing.
func (f *Filter) hedge(ex *gateway.Exchange, state *admission.RequestState, first affinity.Choice) (affinity.Choice, bool) {
	if verdict, _ := f.guard.Evidence(ex.Fingerprint); verdict != decide.Clear {
		return affinity.Choice{}, false
	}
	return f.decider.hedge(ex, state, first)
}
