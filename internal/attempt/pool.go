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

// maxHeader is the largest header of an answer, in bytes.
const maxHeader = 64 << 10

// errNoRoom is returned by pool.get when all connections are in use.
const errNoRoom = errors.ConstError("all connections are in use")

// errSealed is returned by a write to a connection that was given up.
const errSealed = errors.ConstError("the connection has been given up")

// conn is one connection to a backend server, for one request at a time.
type conn struct {
	*tracked
	client *http.ClientConn
	// reused is set when the connection has carried a request before.
	reused bool
	// idleSince is when the connection was put into the pool.
	idleSince time.Time
}

// tracked counts what passes over a connection.
type tracked struct {
	net.Conn
	// opened is when the connection was opened.
	opened time.Time
	// last is when bytes moved last, in nanoseconds since opened.
	last atomic.Int64
	// mu guards the fields below; it is held during a write.
	mu     sync.Mutex
	sealed bool
	sent   int64
}

func (t *tracked) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.moved()
	}
	return n, err
}

func (t *tracked) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return 0, errSealed
	}
	n, err := t.Conn.Write(b)
	t.sent += int64(n)
	if n > 0 {
		t.moved()
	}
	return n, err
}

func (t *tracked) moved() { t.last.Store(int64(time.Since(t.opened))) }

// quiet returns how long no byte has moved.
func (t *tracked) quiet() time.Duration {
	return time.Since(t.opened) - time.Duration(t.last.Load())
}

// written returns the bytes written so far.
func (t *tracked) written() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

// seal closes the connection and returns the bytes written to it; none can be
// written afterwards.
func (t *tracked) seal() int64 {
	_ = t.Conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	return t.sent
}

// pool holds the connections to one backend server.
type pool struct {
	cfg       Config
	max       int
	transport *http.Transport

	mu sync.Mutex
	// open counts idle connections and those in use, at most max.
	open   int
	closed bool
	// idle is ordered by idleSince, the latest last.
	idle  []*conn
	sweep *time.Timer
}

// connKey carries the place where a dialled connection is left.
type connKey struct{}

func newPool(cfg Config) *pool {
	p := &pool{cfg: cfg, max: cfg.MaxConns}
	if p.max > 1 {
		p.max--
	}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
			defer cancel()
			c, err := cfg.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t := ctx.Value(connKey{}).(*tracked)
			t.Conn, t.opened = c, time.Now()
			return t, nil
		},
	}
	return p
}

// get returns the connection that was used last, unless that is longer ago
// than maxIdle, or a new one.
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

// reserve takes an idle connection, or makes room to open one.
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
		p.idle[0].seal()
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open >= p.max {
		return nil, errNoRoom
	}
	p.open++
	return nil, nil
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	t := &tracked{}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, connKey{}, t), "http", p.cfg.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to backend server %s", p.cfg.Address)
	}
	return &conn{tracked: t, client: client}, nil
}

// put gives a connection back whose answer was read in full.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.client.Err() != nil {
		p.open--
		c.seal()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(p.cfg.IdleAge, p.expire)
	}
}

// drop closes a connection that is in use.
func (p *pool) drop(c *conn) {
	c.seal()
	p.release()
}

// expire closes the connections that have been idle for too long.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	for len(p.idle) > 0 {
		left := p.cfg.IdleAge - time.Since(p.idle[0].idleSince)
		if left > 0 {
			p.sweep = time.AfterFunc(left, p.expire)
			return
		}
		p.closeOldest()
	}
}

func (p *pool) closeOldest() {
	p.idle[0].seal()
	p.idle = p.idle[1:]
	p.open--
}

// retireIdle closes every idle connection.
func (p *pool) retireIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.closeOldest()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.retireIdle()
}
