// Package peer implements the RPC transport between entry instances. A client
// keeps one yamux session per remote address and opens one stream per call, on
// which protobuf messages are exchanged. The package reports whether a failed
// call may have reached its receiver; it makes no retry or routing decisions.
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

// Timeouts and intervals of a session.
const (
	dialTimeout        = time.Second
	keepAliveInterval  = time.Second
	writeTimeout       = time.Second
	streamCloseTimeout = 5 * time.Second
	// redialInterval is the time after a failed dial during which further calls
	// to the same address fail without dialling.
	redialInterval = 200 * time.Millisecond
)

// SentState reports whether a failed call may have reached its receiver.
type SentState int

const (
	// NotSent means that no byte of the call was sent.
	NotSent SentState = iota
	// MaybeSent means that the receiver may have handled the call.
	MaybeSent
)

// CallError is the error of a failed call.
type CallError struct {
	Address string
	Sent    SentState
	// Refused is set if this call dialled the address and the connection was
	// refused. No process listens there, which is evidence that the instance
	// known at the address has ended.
	Refused bool
	Err     error
}

// Error implements error.
func (e *CallError) Error() string {
	return "call to instance at " + e.Address + " failed: " + e.Err.Error() + "; check that the instance runs and that its zone can be reached"
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client makes calls to other instances. It keeps one session for each address
// that it has called and is safe for concurrent use.
type Client struct {
	// Dial opens connections. It must not be changed after the first call.
	Dial dialFunc

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// session is the session to one address. Its lock is held while dialling, so
// that concurrent callers share one dial.
type session struct {
	mu      sync.Mutex
	ses     *yamux.Session
	dialErr error
	retryAt time.Time
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client without sessions. It dials from localIP, so that
// the remote instance sees the address by which it knows this instance. If
// localIP is nil or unspecified, the system chooses the local address.
func NewClient(localIP net.IP) *Client {
	d := &net.Dialer{}
	if localIP != nil && !localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return &Client{Dial: d.DialContext, sessions: map[string]*session{}}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.StreamOpenTimeout = 0
	c.AcceptBacklog = 1024
	c.LogOutput = io.Discard
	return c
}

// Call sends the call with its body and returns the reply and its body. The
// caller must close the reply's body. Closing it before its end, or cancelling
// ctx, cancels the call at the receiver. Errors are of type *CallError.
func (c *Client) Call(ctx context.Context, addr string, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser, error) {
	stream, cerr := c.openStream(addr)
	if cerr != nil {
		return nil, nil, cerr
	}
	stop := context.AfterFunc(ctx, func() { stream.Close(); stream.SetDeadline(time.Unix(1, 0)) })
	reply, r, err := roundTrip(stream, call, body)
	if ctx.Err() != nil {
		// A reply that was read nevertheless may answer the cancellation itself.
		err = ctx.Err()
	}
	if err != nil {
		stop()
		stream.Close()
		return nil, nil, &CallError{Address: addr, Sent: MaybeSent, Err: err}
	}
	return reply, &replyBody{bodyReader{r: r}, stream, stop}, nil
}

func roundTrip(stream *yamux.Stream, call *peerpb.Call, body io.Reader) (*peerpb.Reply, *bufio.Reader, error) {
	w := bufio.NewWriterSize(stream, streamBufferBytes)
	if err := writeMessage(w, call); err != nil {
		return nil, nil, err
	}
	if err := writeBody(w, body); err != nil {
		return nil, nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	r := bufio.NewReaderSize(stream, streamBufferBytes)
	reply := &peerpb.Reply{}
	if err := readMessage(r, reply); err != nil {
		return nil, nil, err
	}
	return reply, r, nil
}

// replyBody is the body of a reply. Closing it closes the stream, which ends the
// call.
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

func (c *Client) openStream(addr string) (*yamux.Stream, *CallError) {
	s, err := c.session(addr)
	if err != nil {
		return nil, &CallError{Address: addr, Sent: NotSent, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ses == nil || s.ses.IsClosed() {
		if refused, err := s.dial(addr, c.Dial); err != nil {
			return nil, &CallError{Address: addr, Sent: NotSent, Refused: refused, Err: err}
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

// dial opens the session. refused is set only if this call dialled: an error
// remembered from an earlier dial says nothing about a process that has started
// since then.
func (s *session) dial(addr string, dial dialFunc) (refused bool, err error) {
	now := time.Now()
	if s.dialErr != nil && now.Before(s.retryAt) {
		return false, s.dialErr
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		s.dialErr, s.retryAt = errors.Trace(err), now.Add(redialInterval)
		return errors.Is(err, syscall.ECONNREFUSED), s.dialErr
	}
	ses, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return false, errors.Trace(err)
	}
	s.ses, s.dialErr = ses, nil
	return false, nil
}

// CloseSession closes the session to addr, if there is one. A later call to addr
// dials again.
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

// Close closes every session. Later calls fail.
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
