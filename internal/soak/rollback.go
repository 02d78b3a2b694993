package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/banyandeal/banyandeal/internal/wait"
)

const (
	// rollbackInterval is the mean time between two returns of the store from an older
	// copy.
	rollbackInterval = 2 * time.Second
	// maxRollback is the largest number of versions that the store loses.
	maxRollback = 12
	// rewriteDelay is the longest time until the operator and the backend servers have
	// written again what was lost.
	rewriteDelay = time.Second
)

// rollBackStore lets the store come back from older copies until ctx is done. What the
// operator and the backend servers wrote is written again.
func (e *environment) rollBackStore(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, maxRollback))
	for ctx.Err() == nil {
		wait.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(rollbackInterval)))
		if ctx.Err() != nil {
			return
		}
		lost := e.store.Rollback(rng.Uint64N(maxRollback))
		time.Sleep(randomDuration(rng, rewriteDelay))
		e.store.WriteAgain(lost)
	}
}
