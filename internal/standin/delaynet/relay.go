// Package delaynet relays TCP connections with a delay, as distance would
// bring. It neither drops nor reorders bytes and does not bound their rate.
package delaynet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/heldport"
)

const (
	// chunkSize is the most bytes that are delayed as one.
	chunkSize = 32 << 10
	// maxChunks bounds the chunks under way in one direction.
	maxChunks = 256
	// handshake is how many one-way delays pass before a client may send.
	handshake   = 2
	dialTimeout = time.Second
)

// Relay passes the connections to one address on to another. Its methods may
// be called from any goroutine.
type Relay struct {
	target string
	delay  func(from netip.Addr) time.Duration

	mu sync.Mutex
	// addr is the bound address after the first Open.
	addr string
	// ln is nil while the relay refuses connections.
	ln net.Listener
	// held keeps the port from the first Open to Close.
	held heldport.Kept
	open map[net.Conn]struct{}
}

// New returns a relay from addr to target that is not yet open. delay returns
// the one-way delay of a connection by the address that it comes from.
func New(addr, target string, delay func(from netip.Addr) time.Duration) *Relay {
	return &Relay{addr: addr, target: target, delay: delay, open: map[net.Conn]struct{}{}}
}

// Addr returns the address; after the first Open it is the bound one.
func (r *Relay) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// Open starts to take connections; it does nothing when already open.
func (r *Relay) Open() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		return nil
	}
	ln, err := r.held.Listen(r.addr)
	if err != nil {
		return errors.Trace(err)
	}
	r.ln, r.addr = ln, ln.Addr().String()
	go r.accept(ln)
	return nil
}

// Refuse closes the listener and every connection; new ones are refused until
// the next Open.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		_ = r.ln.Close()
		r.ln = nil
	}
	for c := range r.open {
		_ = c.Close()
	}
}

// Close is Refuse for good: it gives the port free.
func (r *Relay) Close() {
	r.Refuse()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held.Release()
}

func (r *Relay) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// pass relays one connection until one of its ends closes.
func (r *Relay) pass(c net.Conn) {
	defer c.Close()
	t, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	defer t.Close()
	if !r.track(c, t) {
		return
	}
	defer r.forget(c, t)
	d := r.delay(fromOf(c))
	var wg sync.WaitGroup
	wg.Go(func() { carry(t, c, d, time.Now().Add((handshake+1)*d)) })
	wg.Go(func() { carry(c, t, d, time.Time{}) })
	wg.Wait()
}

func fromOf(c net.Conn) netip.Addr {
	a, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	return a.Addr()
}

// track notes the connections; false means that the relay refuses by now.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.open[c] = struct{}{}
	}
	return r.ln != nil
}

func (r *Relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.open, c)
	}
}

// chunk is bytes that are due at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// carry passes bytes from src to dst, each d after it came but none before
// earliest. The end of src arrives with the same delay.
func carry(dst, src net.Conn, d time.Duration, earliest time.Time) {
	chunks := make(chan chunk, maxChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkSize)
			n, err := src.Read(buf)
			due := time.Now().Add(d)
			if due.Before(earliest) {
				due = earliest
			}
			chunks <- chunk{buf[:n], due}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := dst.Write(c.data); err != nil && !failed {
			failed = true
			_ = src.Close()
		}
	}
	closeWrite(dst)
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
