package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/memory"
)

const (
	// maxPipelined bounds the requests of one connection that wait for their
	// responses to be written.
	maxPipelined = 8
	// stopIdleTimeout is how long a connection that has carried a request may
	// stay idle during a planned shutdown.
	stopIdleTimeout = 50 * time.Millisecond
	// stopFirstRequestTimeout is how long a connection may wait for its first
	// request during a planned shutdown.
	stopFirstRequestTimeout = time.Second
	// lingerTimeout is how long a connection stays open for a caller that still reads its last
	// response, at most.
	lingerTimeout = writeTimeout
	// maxLingering bounds the connections that linger. Further ones close at once.
	maxLingering = 256
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
	// requestLineAllowance is the number of bytes allowed in addition to
	// Limits.HeaderBytes, for the request line and the line ends.
	requestLineAllowance = 4 << 10
)

// exchange is a request whose response has not been written yet.
type exchange struct {
	// response receives the response; its capacity is 1.
	response chan *Response
	// memory holds the bodies of the request and the response.
	memory *memory.Account
	// head is set for a HEAD request, whose response has no body.
	head bool
	// closeAfter is set when the connection closes after the response. The connection's mu
	// guards it once the exchange is queued.
	closeAfter bool
}

// conn is a connection of a caller. One goroutine reads the requests, another
// writes the responses.
type conn struct {
	server *Server
	net    net.Conn
	// queue holds the exchanges in the order of their requests.
	queue chan *exchange
	// room holds an element if a response has been written; its capacity is 1.
	room chan struct{}

	// mu guards the fields below, and the read deadline while waiting is set.
	mu sync.Mutex
	// newest is the exchange that was queued last, nil before the first one.
	newest *exchange
	// unanswered counts the exchanges whose responses have not been taken off the queue,
	// unwritten those whose responses have not been written.
	unanswered, unwritten int
	// closing is set once the last exchange of the connection is determined. Requests that
	// arrive later are discarded unhandled.
	closing bool
	// waiting is set while the reader waits for a request to begin.
	waiting bool
	// lastWrite is when the last response was written, the zero time before the first one.
	lastWrite time.Time
	// ended is set once nothing more is written. The reader discards what still arrives, until
	// lingerUntil.
	ended       bool
	lingerUntil time.Time
	// lingers is set if the connection counts among those that linger.
	lingers bool
	// idleTimeout is how long the reader may wait while the connection is idle.
	idleTimeout time.Duration
	// idleSince is when the connection was opened, when its last response was written, or when
	// the shutdown began.
	idleSince time.Time
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{server: s, net: nc, queue: make(chan *exchange, maxPipelined), room: make(chan struct{}, 1), idleSince: time.Now()}
}

func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeResponses(cancel)
	}()
	open := c.readRequests(ctx)
	close(c.queue)
	if !open || !c.discard() {
		cancel()
	}
	<-writerDone
	cancel()
	_ = c.net.Close()
	if c.lingers {
		c.server.endLinger()
	}
}

// stop determines the last exchange of the connection, if any is unanswered. Else it is the
// next one, unless the connection stays idle.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 {
		c.newest.closeAfter = true
		c.closing = true
	}
	c.idleSince = time.Now()
	if c.waiting {
		c.setWait()
	}
}

// readRequests reads requests until the connection takes no more. It reports whether the caller
// has kept the connection open.
func (c *conn) readRequests(ctx context.Context) (open bool) {
	reader := newRequestReader(c.net)
	for {
		limits := c.server.limits()
		reader.bound(limits)
		available, open := c.awaitRequest(reader.br, limits.IdleTimeout)
		if !available {
			return open
		}
		account := c.server.budget.Account()
		// The limits may have changed while the connection was idle.
		r, last, rejection := reader.read(c.server.limits(), account)
		if rejection == nil && c.server.refuses(r.Received) {
			rejection = &Rejection{Status: http.StatusServiceUnavailable, Reason: ReasonStopping}
		}
		if !c.awaitRoom() {
			account.Close()
			return false
		}
		if rejection != nil {
			account.Close()
			c.enqueue(&exchange{response: readyResponse(c.server.errorHandler(*rejection)), closeAfter: true})
			return true
		}
		ex := &exchange{response: make(chan *Response, 1), memory: account, closeAfter: last, head: r.Method == http.MethodHead}
		if !c.enqueue(ex) {
			account.Close()
			return true
		}
		go func() { ex.response <- c.server.handler.Serve(ctx, r) }()
	}
}

// awaitRequest waits for the first byte of a request. If none is available, the connection
// takes no more requests, and open reports whether the caller has kept it open. A connection is
// idle only while all its responses are written.
func (c *conn) awaitRequest(br *bufio.Reader, idle time.Duration) (available, open bool) {
	for c.beginWait(idle) {
		_, err := br.Peek(1)
		c.endWait()
		switch {
		case err == nil:
			return true, true
		case !isTimeout(err):
			return false, false
		}
	}
	return false, true
}

// beginWait sets the read deadline for a wait for a request. It returns false if the connection
// takes no more: its last exchange is determined, or it has been idle for too long.
func (c *conn) beginWait(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimeout = idle
	c.setWait()
	c.waiting = !c.closing
	return c.waiting
}

// endWait ends the wait for a request.
func (c *conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
}

// setWait sets the read deadline to the end of the time that the connection may be idle, or to
// now if it takes no more requests. The caller must hold c.mu.
func (c *conn) setWait() {
	now := time.Now()
	idle := now.Sub(c.idleSince)
	if c.unwritten > 0 {
		idle = 0
	}
	left := max(0, c.maxIdle()-idle)
	c.closing = c.closing || left == 0
	if c.closing {
		left = 0
	}
	_ = c.net.SetReadDeadline(now.Add(left))
}

// maxIdle returns how long the connection may be idle. During a planned shutdown, one that has
// carried no request yet gets longer, because the caller has probably already sent the request
// it opened it for. The caller must hold c.mu.
func (c *conn) maxIdle() time.Duration {
	switch {
	case !c.server.isStopping():
		return c.idleTimeout
	case c.newest == nil:
		return max(0, min(stopFirstRequestTimeout, c.server.takeUntil.Sub(c.idleSince)))
	}
	return stopIdleTimeout
}

// awaitRoom waits until the connection carries few enough requests to take one more. It returns
// false if the caller closes the connection before.
func (c *conn) awaitRoom() (open bool) {
	for !c.hasRoom() {
		select {
		case <-c.room:
		case <-time.After(hangupInterval):
			if hasHungUp(c.net) {
				return false
			}
		}
	}
	return true
}

// hasRoom reports whether the connection may take one more request, or takes none any more.
func (c *conn) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.unwritten <= maxPipelined
}

// readyResponse returns a channel that holds resp.
func readyResponse(resp *Response) chan *Response {
	ch := make(chan *Response, 1)
	ch <- resp
	return ch
}

// enqueue appends an exchange to the queue. It returns false if the last exchange of the
// connection has already been determined. During a planned shutdown, ex becomes the last one.
func (c *conn) enqueue(ex *exchange) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.unanswered++
	c.unwritten++
	c.newest = ex
	ex.closeAfter = ex.closeAfter || c.server.isStopping()
	c.closing = ex.closeAfter
	c.mu.Unlock()
	c.queue <- ex
	return true
}

// takeResponse counts the response of an exchange as taken off the queue and reports whether it
// is the last one of the connection.
func (c *conn) takeResponse(ex *exchange, resp *Response) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	last = ex.closeAfter || resp.Abort
	c.closing = c.closing || last
	return last
}

// responseWritten counts the response of an exchange as written.
func (c *conn) responseWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten--
	c.idleSince = time.Now()
	c.lastWrite = c.idleSince
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// writeResponses writes the responses in the order of the requests. A response
// that ends the connection cancels the requests after it.
func (c *conn) writeResponses(cancel context.CancelFunc) {
	open := true
	for ex := range c.queue {
		resp := <-ex.response
		last := c.takeResponse(ex, resp)
		if open && !c.respond(ex, resp, last) {
			open = false
			cancel()
		}
		ex.memory.Close()
	}
	if open {
		c.endWriting(false)
	}
}

// respond writes the response of an exchange and reports whether the connection carries more.
func (c *conn) respond(ex *exchange, resp *Response, last bool) (open bool) {
	var err error
	if !resp.Abort {
		err = c.writeResponse(resp, ex.head, last)
	}
	c.responseWritten()
	if err != nil || last {
		c.endWriting(err != nil)
		return false
	}
	return true
}
