package simnet

import (
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// memoryPair is a connection with its two ends.
type memoryPair struct {
	net              *Memory
	dialer, listener *Host
	// from is the node that opened it, to the other one.
	from, to, address string
	// number counts the connections between the same nodes.
	number int
	// separation is added to all latencies.
	separation       time.Duration
	dialed, accepted *memoryConn
}

// latency returns how long bytes take from one end to the other.
func (p *memoryPair) latency(from, to string) time.Duration {
	return p.net.latency(from, to) + p.separation
}

// compare orders connections.
func (p *memoryPair) compare(o *memoryPair) int {
	return cmp.Or(cmp.Compare(p.from, o.from), cmp.Compare(p.to, o.to), cmp.Compare(p.address, o.address), cmp.Compare(p.number, o.number))
}

func (p *memoryPair) forget() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	delete(p.net.open, p)
}

// reset ends both ends with an error at once.
func (p *memoryPair) reset() {
	p.forget()
	for _, s := range []*stream{p.dialed.in, p.dialed.out} {
		s.fail(syscall.ECONNRESET)
	}
}

// piece is what one write sent. at is when it arrives; zero until that is known.
type piece struct {
	bytes []byte
	at    time.Time
}

// stream is one direction of a connection.
type stream struct {
	pair     *memoryPair
	from, to string

	mu     sync.Mutex
	pieces []*piece
	// last is when the newest piece arrives: pieces keep their order.
	last time.Time
	// ended is set when the sender has closed. endsAt is when that arrives.
	ended  bool
	endsAt time.Time
	// err is the error of a connection that was reset.
	err error
	// readClosed is set when the receiver has closed.
	readClosed    bool
	readDeadline  time.Time
	writeDeadline time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStream(p *memoryPair, from, to string) *stream {
	return &stream{pair: p, from: from, to: to, changed: make(chan struct{})}
}

// update changes a stream and wakes those that wait.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) fail(err error) { s.update(func() { s.err, s.pieces = err, nil }) }

// write queues bytes.
func (s *stream) write(p []byte) (int, error) {
	l := s.pair.net.linkOf(s.from)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return 0, s.err
	case s.ended:
		return 0, net.ErrClosed
	case s.readClosed:
		return 0, syscall.EPIPE
	case !s.writeDeadline.IsZero() && !time.Now().Before(s.writeDeadline):
		return 0, os.ErrDeadlineExceeded
	}
	sent := &piece{bytes: append([]byte(nil), p...)}
	s.pieces = append(s.pieces, sent)
	if l != nil {
		l.add(s, sent)
		return len(p), nil
	}
	s.schedule(sent, time.Now())
	return len(p), nil
}

// schedule sets when a piece arrives that leaves its node at the given time. The caller must hold
// s.mu.
func (s *stream) schedule(sent *piece, left time.Time) {
	if at := left.Add(s.pair.latency(s.from, s.to)); at.After(s.last) {
		s.last = at
	}
	sent.at = s.last
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns what has arrived, or waits for it.
func (s *stream) read(p []byte) (int, error) {
	for {
		held, healed := s.pair.net.holds(s.pair)
		n, wait, changed, err := s.take(p, held)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-healed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// idleWait is how long a read waits for a change before it looks again.
const idleWait = time.Hour

// take returns what has arrived. If nothing has, it returns the time until that may change, and
// a channel that is closed at the next change.
func (s *stream) take(p []byte, held bool) (int, time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := time.Now(), idleWait
	switch {
	case s.readClosed:
		return 0, 0, nil, net.ErrClosed
	case s.err != nil:
		return 0, 0, nil, s.err
	case !s.readDeadline.IsZero() && !now.Before(s.readDeadline):
		return 0, 0, nil, os.ErrDeadlineExceeded
	case !s.readDeadline.IsZero():
		wait = s.readDeadline.Sub(now)
	}
	if held {
		return 0, wait, s.changed, nil
	}
	if len(s.pieces) > 0 {
		first := s.pieces[0]
		if first.at.IsZero() {
			return 0, wait, s.changed, nil
		}
		if now.Before(first.at) {
			return 0, min(wait, first.at.Sub(now)), s.changed, nil
		}
		n := copy(p, first.bytes)
		first.bytes = first.bytes[n:]
		if len(first.bytes) == 0 {
			s.pieces = s.pieces[1:]
		}
		return n, 0, nil, nil
	}
	if s.ended {
		if now.Before(s.endsAt) {
			return 0, min(wait, s.endsAt.Sub(now)), s.changed, nil
		}
		return 0, 0, nil, io.EOF
	}
	return 0, wait, s.changed, nil
}

// memoryConn is one end of a connection.
type memoryConn struct {
	pair      *memoryPair
	in, out   *stream
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *memoryConn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.closeOnce.Do(func() {
		c.out.update(func() {
			c.out.ended = true
			c.out.endsAt = time.Now().Add(c.pair.latency(c.out.from, c.out.to))
		})
		c.in.update(func() { c.in.readClosed = true })
		if c.bothClosed() {
			c.pair.forget()
		}
	})
	return nil
}

// bothClosed reports whether both ends are closed.
func (c *memoryConn) bothClosed() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.ended
}

// SetLinger makes Close reset the connection if seconds is 0, as that of a TCP connection.
func (c *memoryConn) SetLinger(seconds int) error {
	if seconds == 0 {
		c.pair.reset()
	}
	return nil
}

// IsOpenAndIdle reports whether the connection is open and has no unread bytes.
func (c *memoryConn) IsOpenAndIdle() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	arrived := len(c.in.pieces) > 0 && !c.in.pieces[0].at.IsZero() && !time.Now().Before(c.in.pieces[0].at)
	ended := c.in.ended && !time.Now().Before(c.in.endsAt)
	return !c.in.readClosed && c.in.err == nil && !arrived && !ended
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return c.addr(c == c.pair.accepted) }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.addr(c == c.pair.dialed) }

func (c *memoryConn) addr(listening bool) net.Addr {
	if listening {
		return memoryAddr(c.pair.address)
	}
	return memoryAddr(c.pair.from + ":0")
}

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}
