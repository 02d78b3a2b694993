package emulator

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/rest"
	"github.com/banyandeal/banyandeal/internal/restcheck"
)

// restLength is the rest that backend servers ask for.
const restLength = 3 * time.Second

// restPolicy is a Policy that keeps rests and leavings of backend servers.
type restPolicy interface {
	Rests() *rest.Table
}

// toldInstance is what one instance got from, and sent to, a backend server.
type toldInstance struct {
	arrivals []restcheck.Arrival
	// leaving is when it was first told that the backend server leaves.
	leaving time.Time
	// afterLeaving counts its requests that arrived later than leavingGrace after that.
	afterLeaving int
}

// leavingGrace is the time after which an instance that was told must have stopped.
const leavingGrace = 2500 * time.Millisecond

// sayRest returns what the response to a request says, and notes it for the instance.
func (sim *simulation) sayRest(b *backend, i *instance, arrived time.Time, outcome runOutcome) rest.Statement {
	said := rest.Statement{Leaving: b.leaving && outcome != runAborted}
	if outcome == runRejected {
		said.Rest = b.rest
	}
	told := b.told[i]
	if told == nil {
		told = &toldInstance{}
		b.told[i] = told
	}
	told.arrivals = append(told.arrivals, restcheck.Arrival{At: arrived, Rest: said.Rest, Answered: sim.clock()})
	switch {
	case said.Leaving && told.leaving.IsZero():
		told.leaving = sim.clock()
	case !told.leaving.IsZero() && arrived.After(told.leaving.Add(leavingGrace)):
		told.afterLeaving++
	}
	return said
}

// observeRest lets the policy of an instance learn what a response says.
func (sim *simulation) observeRest(x *exchange, b *backend, said rest.Statement) {
	if p, ok := x.policy.(restPolicy); ok {
		p.Rests().Observe(limit.Backend{ID: b.ID, Born: b.Born}, said, sim.clock())
		p.Rests().Expire(sim.clock())
	}
}

// worstRest returns the largest number of requests of one instance in a rest, and of those
// after a leaving.
func (sim *simulation) worstRest() (inRest, afterLeaving int) {
	for _, b := range sim.backends {
		for _, told := range b.told {
			inRest = max(inRest, restcheck.Worst(told.arrivals))
			afterLeaving = max(afterLeaving, told.afterLeaving)
		}
	}
	return inRest, afterLeaving
}
