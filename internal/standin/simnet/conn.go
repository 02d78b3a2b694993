package simnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// conn is one connection of a node. While it is held, its reads wait and its
// writes are kept.
type conn struct {
	net.Conn
	net *Network
	// owner is the node of this end, to that of the other end if it is known.
	owner, to string
	// silent is guarded by net.mu; it is never unset.
	silent bool

	// writeMu orders writes and flushes.
	writeMu sync.Mutex
	// kept holds what was written while held.
	kept []byte

	mu sync.Mutex
	// ready holds what was read from the socket and not delivered.
	ready    []byte
	deadline time.Time
	// moved is closed and replaced when the read deadline changes.
	moved     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newConn(n *Network, raw net.Conn, owner string) *conn {
	return &conn{Conn: raw, net: n, owner: owner, moved: make(chan struct{}), closed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if n := c.take(p); n > 0 {
		if err := c.await(); err != nil {
			c.giveBack(p[:n])
			return 0, err
		}
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if held, _ := c.net.held(c); !held {
		return n, err
	}
	if werr := c.await(); werr != nil {
		c.giveBack(p[:n])
		return 0, werr
	}
	return n, err
}

func (c *conn) take(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	return n
}

func (c *conn) giveBack(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = append(append([]byte(nil), p...), c.ready...)
}

// await returns when the connection is no longer held, is closed, or the read
// deadline has passed.
func (c *conn) await() error {
	for {
		held, changed := c.net.held(c)
		if !held {
			return nil
		}
		c.mu.Lock()
		deadline, moved := c.deadline, c.moved
		c.mu.Unlock()
		timer := time.NewTimer(time.Hour)
		if !deadline.IsZero() {
			timer.Reset(time.Until(deadline))
		}
		select {
		case <-changed:
		case <-moved:
		case <-c.closed:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
			if !deadline.IsZero() {
				return os.ErrDeadlineExceeded
			}
		}
		timer.Stop()
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	written := 0
	for {
		if held, _ := c.net.held(c); held || len(c.kept) > 0 {
			c.kept = append(c.kept, p[written:]...)
			return len(p), nil
		}
		l := c.net.linkOf(c.owner)
		if l == nil {
			n, err := c.Conn.Write(p[written:])
			return written + n, err
		}
		piece := p[written:min(len(p), written+pieceBytes)]
		if err := c.pass(l, len(piece)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// pass returns when a link has sent a piece, or the connection is closed.
func (c *conn) pass(l *link, bytes int) error {
	timer := time.NewTimer(time.Until(l.take(bytes, time.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// flush sends what was kept, and closes the socket of a closed connection.
func (c *conn) flush() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if len(c.kept) > 0 {
		// The other end may be gone by now.
		_, _ = c.Conn.Write(c.kept)
		c.kept = nil
	}
	select {
	case <-c.closed:
		c.net.forget(c)
		_ = c.Conn.Close()
	default:
	}
}

// Close implements net.Conn. The other end of a held connection learns of it
// when it is let go.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if held, _ := c.net.held(c); held {
		return nil
	}
	if !c.writeMu.TryLock() {
		// A write in progress must not hold up the close.
		c.net.forget(c)
		return c.Conn.Close()
	}
	c.writeMu.Unlock()
	c.flush()
	return nil
}

// abort closes the socket at once and drops what was kept.
func (c *conn) abort() {
	c.closeOnce.Do(func() { close(c.closed) })
	c.net.forget(c)
	_ = c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.moveDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.moveDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) moveDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.moved)
	c.moved = make(chan struct{})
}
