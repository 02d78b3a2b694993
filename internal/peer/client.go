// Package peer carries calls between entry instances: one yamux session per
// pair of instances, one stream per call, protobuf messages on it. The package
// moves messages and tells whether a call can have reached its receiver; it
// decides nothing.
package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// Times of a session.
const (
	dialTimeout  = time.Second
	pingPeriod   = time.Second
	writeTimeout = time.Second
	closeTimeout = 5 * time.Second
	// redialPause is the time after a failed dial during which calls to the
	// same address fail at once.
	redialPause = 200 * time.Millisecond
)

// SentState tells how far a failed call got.
type SentState int

const (
	// NotSent means that no byte of the call left this instance.
	NotSent SentState = iota
	// MaybeSent means that the receiver may have acted on the call.
	MaybeSent
)

// CallError is a failed call.
type CallError struct {
	Address string
	Sent    SentState
	// ConnectionRefused is set when the address refused a connection that this call
	// tried: no process listens there, which is evidence that the old one is
	// dead.
	ConnectionRefused bool
	Err     error
}

// Error implements error.
func (e *CallError) Error() string {
	return "call to instance at " + e.Address + " failed: " + e.Err.Error() + "; check that the instance runs and that its zone can be reached"
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client keeps a session to each address it has called.
type Client struct {
	// Dial opens connections. It is set before the first call.
	Dial dialFunc

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// session is the dialled session to one address. Its lock is held while
// dialling, so that callers share one dial.
type session struct {
	mu      sync.Mutex
	ses     *yamux.Session
	failed  error
	retryAt time.Time
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client without sessions. It dials from localIP, so that
// the other end sees the address that this instance is known by; where that is
// nil or unspecified, from the address that the system chooses.
func NewClient(localIP net.IP) *Client {
	d := &net.Dialer{}
	if localIP != nil && !localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return &Client{Dial: d.DialContext, sessions: map[string]*session{}}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = pingPeriod
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = closeTimeout
	c.StreamOpenTimeout = 0
	c.AcceptBacklog = 1024
	c.LogOutput = io.Discard
	return c
}

// Call sends the call with its body and returns the reply and its body. The
// reply's body must be closed; closing it early, or cancelling ctx, cancels
// the call at the receiver. Failures are of type *CallError.
func (c *Client) Call(ctx context.Context, addr string, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser, error) {
	stream, cerr := c.open(addr)
	if cerr != nil {
		return nil, nil, cerr
	}
	stop := context.AfterFunc(ctx, func() { stream.Close(); stream.SetDeadline(time.Unix(1, 0)) })
	reply, r, err := exchange(stream, call, body)
	if err != nil {
		stop()
		stream.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, nil, &CallError{Address: addr, Sent: MaybeSent, Err: err}
	}
	return reply, &replyBody{bodyReader{r: r}, stream, stop}, nil
}

func exchange(stream *yamux.Stream, call *peerpb.Call, body io.Reader) (*peerpb.Reply, *bufio.Reader, error) {
	w := bufio.NewWriterSize(stream, readBuffer)
	if err := writeMessage(w, call); err != nil {
		return nil, nil, err
	}
	if err := writeBody(w, body); err != nil {
		return nil, nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	r := bufio.NewReaderSize(stream, readBuffer)
	reply := &peerpb.Reply{}
	if err := readMessage(r, reply); err != nil {
		return nil, nil, err
	}
	return reply, r, nil
}

// replyBody closes the stream, which ends the call, once the body is closed.
type replyBody struct {
	bodyReader
	stream *yamux.Stream
	stop   func() bool
}

// Close implements io.Closer.
func (b *replyBody) Close() error {
	b.stop()
	return errors.Trace(b.stream.Close())
}

func (c *Client) open(addr string) (*yamux.Stream, *CallError) {
	s, err := c.session(addr)
	if err != nil {
		return nil, &CallError{Address: addr, Sent: NotSent, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ses == nil || s.ses.IsClosed() {
		if refused, err := s.dial(addr, c.Dial); err != nil {
			return nil, &CallError{Address: addr, Sent: NotSent, ConnectionRefused: refused, Err: err}
		}
	}
	stream, err := s.ses.OpenStream()
	if err != nil {
		s.ses.Close()
		s.ses = nil
		return nil, &CallError{Address: addr, Sent: NotSent, Err: errors.Trace(err)}
	}
	return stream, nil
}

func (c *Client) session(addr string) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the client is closed")
	}
	s, ok := c.sessions[addr]
	if !ok {
		s = &session{}
		c.sessions[addr] = s
	}
	return s, nil
}

// dial opens the session. refused is set only by a dial that was made now: the
// memory of an earlier one says nothing of a process that began since.
func (s *session) dial(addr string, dial dialFunc) (refused bool, err error) {
	now := time.Now()
	if s.failed != nil && now.Before(s.retryAt) {
		return false, s.failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		s.failed, s.retryAt = errors.Trace(err), now.Add(redialPause)
		return errors.Is(err, syscall.ECONNREFUSED), s.failed
	}
	ses, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return false, errors.Trace(err)
	}
	s.ses, s.failed = ses, nil
	return false, nil
}

// CloseSession closes the session to an address that is no longer used.
func (c *Client) CloseSession(addr string) {
	c.mu.Lock()
	s := c.sessions[addr]
	delete(c.sessions, addr)
	c.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ses != nil {
		s.ses.Close()
	}
}

// Close closes every session.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	addrs := make([]string, 0, len(c.sessions))
	for a := range c.sessions {
		addrs = append(addrs, a)
	}
	c.mu.Unlock()
	for _, a := range addrs {
		c.CloseSession(a)
	}
}
