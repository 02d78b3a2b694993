package attempt

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// checker checks over a new connection whether the backend server responds.
// Concurrent checks share one request.
type checker struct{ group singleflight.Group }

// watchdog monitors a connection while a response is awaited. If no byte passes
// for the progress timeout and a check over a new connection succeeds, the
// connection has stalled: the watchdog cancels the context of the attempt with
// errStalled. It also closes the idle connections, because whatever lost the
// state of one connection has likely lost the state of others. If the check fails
// as well, the backend server may just be slow, and the attempt continues until
// its deadline.
type watchdog struct {
	client *Client
	conn   *conn
	cancel context.CancelCauseFunc

	// mu guards the fields below.
	mu sync.Mutex
	// timer calls checkProgress.
	timer *time.Timer
	// armed is set while a response or a part of it is awaited.
	armed bool
	// generation counts how often the watchdog was armed.
	generation uint64
	// armedAt is the time at which the watchdog was last armed. Inactivity before
	// this time does not count.
	armedAt time.Time
	// cancelCheck cancels the check in progress. It is nil if there is none.
	cancelCheck context.CancelFunc
}

// watchdog returns an armed watchdog for the connection. cancel cancels the
// context of the attempt.
func (c *Client) watchdog(conn *conn, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{client: c, conn: conn, cancel: cancel, armed: true, generation: 1, armedAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.cfg.ProgressTimeout, w.checkProgress)
	return w
}

// arm starts the progress timeout.
func (w *watchdog) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.armedAt = true, time.Now()
	w.generation++
	w.timer.Reset(w.client.cfg.ProgressTimeout)
}

// disarm stops the progress timeout and cancels a check in progress.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
	if w.cancelCheck != nil {
		w.cancelCheck()
	}
}

// checkProgress cancels the attempt if its connection has stalled. It runs when
// the progress timeout has passed.
func (w *watchdog) checkProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || w.active() {
		return
	}
	generation := w.generation
	responds := w.check()
	if !w.armed || w.generation != generation || w.active() {
		return
	}
	if !responds {
		w.timer.Reset(w.client.cfg.ProgressTimeout)
		return
	}
	w.cancel(errStalled)
	w.client.pool.closeIdle()
}

// check reports whether the backend server responds over a new connection. It
// releases w.mu during the check.
func (w *watchdog) check() bool {
	ctx, cancelCheck := context.WithCancel(context.Background())
	defer cancelCheck()
	w.cancelCheck = cancelCheck
	w.mu.Unlock()
	responds := w.client.check(ctx)
	w.mu.Lock()
	w.cancelCheck = nil
	return responds
}

// active reports whether there was activity within the progress timeout. If so,
// it sets the timer to the remaining part of the timeout. w.mu must be held.
func (w *watchdog) active() bool {
	inactivity := min(w.conn.inactivity(), time.Since(w.armedAt))
	remaining := w.client.cfg.ProgressTimeout - inactivity
	if remaining <= 0 {
		return false
	}
	w.timer.Reset(remaining)
	return true
}

// check reports whether the backend server responds over a new connection. It
// shares the result with concurrent checks, and returns false if ctx ends first.
func (c *Client) check(ctx context.Context) bool {
	result := c.checks.group.DoChan("", func() (any, error) { return c.probe(), nil })
	select {
	case r := <-result:
		return r.Val.(bool)
	case <-ctx.Done():
		return false
	}
}

// probe requests the check path over a new connection. Any response is a success.
func (c *Client) probe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.CheckTimeout)
	defer cancel()
	conn, err := c.pool.dial(ctx)
	if err != nil {
		return false
	}
	defer conn.closeAndCount()
	u := &url.URL{Scheme: "http", Host: c.cfg.Address, Path: c.cfg.CheckPath}
	req := &http.Request{Method: http.MethodGet, URL: u, Header: http.Header{}, Body: http.NoBody}
	resp, err := conn.client.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// body reads the body of a response. Close returns the connection to the pool.
type body struct {
	client   *Client
	conn     *conn
	resp     *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	// complete is set if the body was read to its end.
	complete bool
	closed   bool
}

// Read implements io.Reader. If the body is truncated, the error is an
// *outcome.Error.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	b.watchdog.arm()
	n, err := b.resp.Body.Read(p)
	b.watchdog.disarm()
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.complete = true
		return n, io.EOF
	}
	return n, failedReply(b.ctx, true, truncatedError(err)).Err
}

// truncatedError returns the error for a response that ended early.
func truncatedError(err error) *outcome.Error {
	return outcome.UnknownError(outcome.KindTruncatedResponse, "the response was truncated: %v", err)
}

// Close returns the connection to the pool, or closes it if the body was not read
// to its end.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.complete {
		_ = b.resp.Body.Close()
		b.client.pool.put(b.conn)
	} else {
		b.client.pool.drop(b.conn)
		_ = b.resp.Body.Close()
	}
	b.cancel(nil)
	return nil
}

// drain reads the body to its end, if it is at most maxDrainBytes long, and closes
// it.
func (b *body) drain() {
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDrainBytes))
	_ = b.Close()
}
