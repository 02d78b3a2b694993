package feeds

import (
	"context"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/wait"
)

// outageRetryInterval is the longest time for which a feed that cannot read the store makes
// no call to it during an outage.
const outageRetryInterval = 3 * time.Second

// outage is an outage of the store, as the feed that detects outages finds it. While it
// lasts, other feeds whose calls have failed make none. It is safe for concurrent use.
type outage struct {
	mu sync.Mutex
	// over is closed when the outage ends; nil if there is none.
	over chan struct{}
}

// begin records that the store cannot be read.
func (o *outage) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over == nil {
		o.over = make(chan struct{})
	}
}

// end records that the store, or a reader of it, can be read.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over != nil {
		close(o.over)
		o.over = nil
	}
}

// current returns a channel that is closed when the current outage ends, or nil if there is
// none.
func (o *outage) current() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.over
}

// sourceCheckInterval is the time between two looks for another source during a backoff.
const sourceCheckInterval = 100 * time.Millisecond

// awaitRetry waits for the backoff after a failed call to the store, or until another instance is
// to be read from. The backoff protects the store only.
func (f *Feed) awaitRetry(ctx context.Context, backoff time.Duration) {
	end := time.Now().Add(backoff)
	for left := backoff; left > 0 && ctx.Err() == nil && f.selector.choose().fromStore(); left = time.Until(end) {
		wait.Sleep(ctx, min(left, sourceCheckInterval))
	}
}

// awaitSource returns the source for the next call. A feed that cannot read the store does
// not call it again before the outage ends or outageRetryInterval is over, only readers.
func (f *Feed) awaitSource(ctx context.Context) selection {
	retryCtx, cancel := context.WithDeadline(ctx, f.lastStoreCall.Add(outageRetryInterval))
	defer cancel()
	for {
		sel, over := f.selector.choose(), f.selector.outage.current()
		if !sel.fromStore() {
			return sel
		}
		if f.detectsOutage || f.lostAt.IsZero() || over == nil || retryCtx.Err() != nil {
			f.lastStoreCall = time.Now()
			return sel
		}
		select {
		case <-over:
		case <-sel.ctx.Done():
		case <-retryCtx.Done():
		}
	}
}
