package attempt

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxHeaderBytes is the largest header of a response, in bytes.
const maxHeaderBytes = 64 << 10

// errPoolFull is returned by pool.get if all connections are in use.
const errPoolFull = errors.ConstError("all connections are in use")

// errWritesClosed is returned by a write to a connection after closeAndCount.
const errWritesClosed = errors.ConstError("write to a connection that the client has closed")

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	*trackedConn
	client *http.ClientConn
	// reused is set if the connection has carried a request before.
	reused bool
	// idleSince is the time at which the connection was put into the pool.
	idleSince time.Time
}

// trackedConn records the activity on a connection and counts the bytes written.
type trackedConn struct {
	net.Conn
	// opened is the time at which the connection was opened.
	opened time.Time
	// lastActivity is the time of the last successful read or write, in
	// nanoseconds since opened.
	lastActivity atomic.Int64
	// mu guards the fields below. It is held during a write.
	mu sync.Mutex
	// writesClosed is set by closeAndCount.
	writesClosed bool
	// sent is the number of bytes written.
	sent int64
}

func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.recordActivity()
	}
	return n, err
}

func (t *trackedConn) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writesClosed {
		return 0, errWritesClosed
	}
	n, err := t.Conn.Write(b)
	t.sent += int64(n)
	if n > 0 {
		t.recordActivity()
	}
	return n, err
}

func (t *trackedConn) recordActivity() { t.lastActivity.Store(int64(time.Since(t.opened))) }

// inactivity returns the time since the last successful read or write.
func (t *trackedConn) inactivity() time.Duration {
	return time.Since(t.opened) - time.Duration(t.lastActivity.Load())
}

// written returns the number of bytes written so far.
func (t *trackedConn) written() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

// closeAndCount closes the connection and returns the number of bytes written to
// it. The number is final, because later writes fail.
func (t *trackedConn) closeAndCount() int64 {
	_ = t.Conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writesClosed = true
	return t.sent
}

// pool holds the connections to one backend server.
type pool struct {
	cfg Config
	// max is the largest number of open connections for attempts.
	max       int
	transport *http.Transport

	mu sync.Mutex
	// open is the number of connections that are idle or in use. It is at most
	// max.
	open   int
	closed bool
	// idle holds the idle connections in the order of idleSince.
	idle []*conn
	// expiryTimer calls closeExpired. It is nil if no call is scheduled.
	expiryTimer *time.Timer
}

// trackedConnKey is the context key of the trackedConn that DialContext sets up.
type trackedConnKey struct{}

func newPool(cfg Config) *pool {
	p := &pool{cfg: cfg, max: cfg.MaxConns}
	if p.max > 1 {
		p.max--
	}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
			defer cancel()
			c, err := cfg.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t := ctx.Value(trackedConnKey{}).(*trackedConn)
			t.Conn, t.opened = c, time.Now()
			return t, nil
		},
	}
	return p
}

// get returns the most recently used idle connection, or a new connection if that
// one has been idle for longer than maxIdle. It returns errPoolFull if all
// connections are in use.
func (p *pool) get(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	c, err := p.reserve(maxIdle)
	if c != nil || err != nil {
		return c, err
	}
	c, err = p.dial(ctx)
	if err != nil {
		p.release()
	}
	return c, err
}

// reserve returns an idle connection, or nil if the caller may open a new one. In
// the second case the new connection is already counted in open, and the oldest
// idle connection may have been closed in its favour.
func (p *pool) reserve(maxIdle time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		if time.Since(last.idleSince) > maxIdle {
			break
		}
		p.idle = p.idle[:len(p.idle)-1]
		if last.client.Err() == nil {
			last.reused = true
			return last, nil
		}
		p.open--
	}
	if p.open >= p.max && len(p.idle) > 0 {
		p.idle[0].closeAndCount()
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open >= p.max {
		return nil, errPoolFull
	}
	p.open++
	return nil, nil
}

// release removes a connection from the count in open.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// dial opens a connection. It does not count the connection in open.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	t := &trackedConn{}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, t), "http", p.cfg.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to backend server %s", p.cfg.Address)
	}
	return &conn{trackedConn: t, client: client}, nil
}

// put returns a connection to the pool after its response was read in full. It
// closes the connection if the connection or the pool is closed.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.client.Err() != nil {
		p.open--
		c.closeAndCount()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(p.cfg.IdleTimeout, p.closeExpired)
	}
}

// drop closes a connection that is in use.
func (p *pool) drop(c *conn) {
	c.closeAndCount()
	p.release()
}

// closeExpired closes the connections that have been idle for the idle timeout,
// and schedules the next call.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiryTimer = nil
	for len(p.idle) > 0 {
		remaining := p.cfg.IdleTimeout - time.Since(p.idle[0].idleSince)
		if remaining > 0 {
			p.expiryTimer = time.AfterFunc(remaining, p.closeExpired)
			return
		}
		p.closeOldest()
	}
}

// closeOldest closes the connection that has been idle for the longest time. p.mu
// must be held.
func (p *pool) closeOldest() {
	p.idle[0].closeAndCount()
	p.idle = p.idle[1:]
	p.open--
}

// closeIdle closes every idle connection.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.closeOldest()
	}
}

// close closes the idle connections. Connections in use are closed when they are
// put back.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
