package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection that can go silent: from then on nothing it carries
// arrives at either end, and neither end sees it close.
type conn struct {
	net.Conn
	owner *listener

	silent atomic.Bool
	// closed is closed by Close; it ends the reads of a silent connection.
	closed    chan struct{}
	closeOnce sync.Once
}

// Read implements net.Conn. A silent connection delivers nothing until it is
// closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn. A silent connection accepts and drops the bytes.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a silent connection does not
// learn of it until the listener's closeOpen.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.silent.Load() {
		return nil
	}
	c.owner.forget(c)
	return c.Conn.Close()
}

// listener keeps the connections it has accepted.
type listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newListener(ln net.Listener) *listener {
	return &listener{Listener: ln, open: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// silence makes every open connection silent for good and returns how many.
func (l *listener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
	return len(l.open)
}

// closeOpen closes every accepted connection, silent ones too.
func (l *listener) closeOpen() {
	l.mu.Lock()
	open := l.open
	l.open = map[*conn]struct{}{}
	l.mu.Unlock()
	for c := range open {
		c.closeOnce.Do(func() { close(c.closed) })
		_ = c.Conn.Close()
	}
}
