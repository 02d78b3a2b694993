package backend

import (
	"context"
	"slices"
	"sync"

	"github.com/juju/errors"
)

// errShed is returned by acquire when the queue is full.
const errShed = errors.ConstError("the queue is full")

// gate hands out slots in the order of arrival.
type gate struct {
	slots, queue int
	// changed is called, with the lock held, after each change.
	changed func(busy, queued int)

	mu sync.Mutex
	// busy is at most slots; waiting is empty unless busy == slots.
	busy    int
	waiting []chan struct{}
}

// acquire takes a slot, or waits for one in the queue. After an error no slot
// is held and none will be.
func (g *gate) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	g.mu.Lock()
	if g.busy < g.slots {
		g.busy++
		g.notify()
		g.mu.Unlock()
		return nil
	}
	if len(g.waiting) >= g.queue {
		g.mu.Unlock()
		return errShed
	}
	granted := make(chan struct{})
	g.waiting = append(g.waiting, granted)
	g.notify()
	g.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	if ctx.Err() == nil {
		return nil
	}
	g.abandon(granted)
	return ctx.Err()
}

// abandon leaves the queue, or gives back a slot granted meanwhile.
func (g *gate) abandon(granted chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, granted); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.notify()
		return
	}
	g.pass()
}

// release gives a slot back.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pass()
}

// pass hands a slot to the first waiter, or frees it.
func (g *gate) pass() {
	if len(g.waiting) == 0 {
		g.busy--
	} else {
		close(g.waiting[0])
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
	g.notify()
}

func (g *gate) notify() { g.changed(g.busy, len(g.waiting)) }
