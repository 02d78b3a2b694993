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

// checker asks over a new connection whether the backend server still
// answers; checks at the same time are one.
type checker struct{ group singleflight.Group }

// watch looks after a connection while an answer is awaited. A connection
// without a byte for the progress timeout, while a new one works, is given up
// as silent: the attempt's context is cancelled with errSilent, and the idle
// connections are closed, since what lost track of one has likely lost others.
// A backend server that answers no new connection either is left to the
// attempt's deadline.
type watch struct {
	client *Client
	conn   *conn
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// armed is set while an answer or a part of it is awaited; turn counts how
	// often that began.
	armed bool
	turn  uint64
	// since is when the turn began: what was quiet before does not count.
	since time.Time
	// quit ends a check in progress; nil when there is none.
	quit context.CancelFunc
}

// watch returns an armed watch.
func (c *Client) watch(conn *conn, cancel context.CancelCauseFunc) *watch {
	w := &watch{client: c, conn: conn, cancel: cancel, armed: true, turn: 1, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.cfg.ProgressTimeout, w.expired)
	return w
}

func (w *watch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.since = true, time.Now()
	w.turn++
	w.timer.Reset(w.client.cfg.ProgressTimeout)
}

func (w *watch) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
	if w.quit != nil {
		w.quit()
	}
}

// expired runs when the progress timeout has passed.
func (w *watch) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || w.moved() {
		return
	}
	turn := w.turn
	works := w.check()
	if !w.armed || w.turn != turn || w.moved() {
		return
	}
	if !works {
		w.timer.Reset(w.client.cfg.ProgressTimeout)
		return
	}
	w.cancel(errSilent)
	w.client.pool.retireIdle()
}

// check asks over a new connection, with the lock released.
func (w *watch) check() bool {
	ctx, quit := context.WithCancel(context.Background())
	defer quit()
	w.quit = quit
	w.mu.Unlock()
	works := w.client.check(ctx)
	w.mu.Lock()
	w.quit = nil
	return works
}

// moved reports whether bytes have moved within the progress timeout, and sets
// the timer to the time that is left of it then.
func (w *watch) moved() bool {
	quiet := min(w.conn.quiet(), time.Since(w.since))
	left := w.client.cfg.ProgressTimeout - quiet
	if left <= 0 {
		return false
	}
	w.timer.Reset(left)
	return true
}

// check reports whether the backend server answers over a new connection.
func (c *Client) check(quit context.Context) bool {
	result := c.checks.group.DoChan("", func() (any, error) { return c.probe(), nil })
	select {
	case r := <-result:
		return r.Val.(bool)
	case <-quit.Done():
		return false
	}
}

// probe opens a connection and asks for the check path; any answer will do.
func (c *Client) probe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.CheckTimeout)
	defer cancel()
	conn, err := c.pool.dial(ctx)
	if err != nil {
		return false
	}
	defer conn.seal()
	u := &url.URL{Scheme: "http", Host: c.cfg.Address, Path: c.cfg.CheckPath}
	req := &http.Request{Method: http.MethodGet, URL: u, Header: http.Header{}, Body: http.NoBody}
	resp, err := conn.client.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// body reads the body of an answer and gives the connection back at its end.
type body struct {
	client *Client
	conn   *conn
	resp   *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *watch
	// whole is set once the end of the body was read.
	whole  bool
	closed bool
}

// Read implements io.Reader; a cut body ends with an *outcome.Error.
func (b *body) Read(p []byte) (int, error) {
	if b.whole {
		return 0, io.EOF
	}
	b.watch.arm()
	n, err := b.resp.Body.Read(p)
	b.watch.disarm()
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.whole = true
		return n, io.EOF
	}
	return n, failed(b.ctx, true, cutError(err)).Err
}

// cutError is the error of an answer that broke off.
func cutError(err error) *outcome.Error {
	return outcome.UnknownError(outcome.KindTruncatedResponse, "the answer broke off: %v", err)
}

// Close gives the connection back, or closes it when the body was not read to
// its end.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.whole {
		_ = b.resp.Body.Close()
		b.client.pool.put(b.conn)
	} else {
		b.client.pool.drop(b.conn)
		_ = b.resp.Body.Close()
	}
	b.cancel(nil)
	return nil
}

// drain reads a short body to its end and closes it.
func (b *body) drain() {
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDrain))
	_ = b.Close()
}
