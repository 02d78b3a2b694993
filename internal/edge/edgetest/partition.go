package edgetest

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Partition is what keeps an instance from the backend servers while callers, the store and
// other instances reach it.
type Partition int

const (
	// Connected means that nothing does.
	Connected Partition = iota
	// Silent means that neither open nor new connections carry anything.
	Silent
	// Reset means that open and new connections are reset.
	Reset
	// RefusesNew means that new connections are reset and open ones live on.
	RefusesNew
	// SilentOnceOpen is like Silent, but new connections open.
	SilentOnceOpen
	// ResetOnceOpen is like Reset, but new connections open before they are reset.
	ResetOnceOpen
)

// backendDialer opens the connections of one instance to backend servers. It implements
// egress.Dialer.
type backendDialer struct {
	mu sync.Mutex
	// partition applies to connections whose backend server affects returns true for.
	partition Partition
	affects   func(address string) bool
	open      map[*backendConn]bool
}

// Partition separates the instance from the backend servers at all addresses.
func (i *Instance) Partition(p Partition) {
	i.PartitionFrom(p, func(string) bool { return true })
}

// PartitionFrom separates the instance from the backend servers at some addresses.
func (i *Instance) PartitionFrom(p Partition, affects func(address string) bool) {
	d := i.dialer
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partition, d.affects = p, affects
	for c := range d.open {
		if !affects(c.address) {
			continue
		}
		switch p {
		case Silent, SilentOnceOpen:
			c.silence()
		case Reset, ResetOnceOpen:
			_ = c.Conn.Close()
		}
	}
}

// DialContext implements egress.Dialer.
func (d *backendDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	partition := d.of(address)
	switch partition {
	case Silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case Reset, RefusesNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNRESET}
	}
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &backendConn{Conn: nc, address: address, dialer: d, silent: make(chan struct{}), closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == nil {
		d.open = map[*backendConn]bool{}
	}
	d.open[c] = true
	switch partition {
	case SilentOnceOpen:
		c.silence()
	case ResetOnceOpen:
		_ = c.Conn.Close()
	}
	return c, nil
}

func (d *backendDialer) of(address string) Partition {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.affects == nil || !d.affects(address) {
		return Connected
	}
	return d.partition
}

// backendConn is a connection to a backend server that may carry nothing any more.
type backendConn struct {
	net.Conn
	address    string
	dialer     *backendDialer
	silenceOne sync.Once
	closeOne   sync.Once
	// silent is closed once the connection carries nothing, closed once it is closed.
	silent, closed chan struct{}
}

func (c *backendConn) silence() { c.silenceOne.Do(func() { close(c.silent) }) }

// Read implements net.Conn.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (c *backendConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	c.closeOne.Do(func() {
		close(c.closed)
		c.dialer.mu.Lock()
		delete(c.dialer.open, c)
		c.dialer.mu.Unlock()
	})
	return c.Conn.Close()
}
