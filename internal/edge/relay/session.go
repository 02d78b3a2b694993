package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
)

// peerSession is a session with another instance. It counts the requests in flight.
type peerSession struct {
	session *yamux.Session
	// lastRead is the time at which bytes were received last, in Unix nanoseconds.
	lastRead atomic.Int64
	// ctx is cancelled when the session is to be closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// inFlight counts the requests in flight.
	inFlight int
	// closing is set when the session accepts no more requests.
	closing bool
	// drained is closed when closing is set and no requests are in flight.
	drained chan struct{}
}

// newPeerSession returns a peerSession without a yamux session.
func newPeerSession() *peerSession {
	s := &peerSession{drained: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// tryAcquire counts the start of a request. It returns false if the session is
// closing.
func (s *peerSession) tryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.inFlight++
	return true
}

// release counts the end of a request.
func (s *peerSession) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.signalDrained()
}

// signalDrained closes drained if the session is closing and no requests are in
// flight. The caller must hold s.mu.
func (s *peerSession) signalDrained() {
	if s.closing && s.inFlight == 0 {
		close(s.drained)
	}
}

// drain cancels the requests in flight and waits until all have returned. No
// request may be left when yamux closes the session: between the two steps of its
// Close, a read from a stream runs in a busy loop.
func (s *peerSession) drain() {
	s.cancel()
	s.mu.Lock()
	if !s.closing {
		s.closing = true
		s.signalDrained()
	}
	s.mu.Unlock()
	<-s.drained
}

// close cancels the requests in flight, then closes the session in the background.
func (s *peerSession) close() {
	s.cancel()
	go func() {
		s.drain()
		_ = s.session.Close()
	}()
}

// drainingConn is the connection of a session. After an error
// it drains the session before yamux receives the error and closes the session.
type drainingConn struct {
	net.Conn
	peerSession *peerSession
}

// Read implements net.Conn.
func (c drainingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.peerSession.drain()
	}
	return n, err
}

// Write implements net.Conn.
func (c drainingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.peerSession.drain()
	}
	return n, err
}

// recordingConn records when the bytes of a session are received.
type recordingConn struct {
	net.Conn
	lastRead *atomic.Int64
}

// Read implements net.Conn.
func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Dialer opens connections to other instances.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dial opens a session to an address within timeout.
func dial(ctx context.Context, d Dialer, address string, timeout time.Duration) (*peerSession, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "connect to the instance at %s", address)
	}
	s := newPeerSession()
	frames := newFrameConn(recordingConn{Conn: nc, lastRead: &s.lastRead})
	s.session, err = yamux.Client(drainingConn{Conn: frames, peerSession: s}, sessionConfig(requestWriteTimeout))
	if err != nil {
		_ = nc.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// roundTrip sends a request on a new stream and returns the reply, which is due after
// wait. It ends when the session has been silent for silenceTimeout while the reply is
// due, when none of the reply has arrived for transferTimeout, or when ctx or the context
// of the session is cancelled.
func (s *peerSession) roundTrip(ctx context.Context, request *relaypb.Ask, wait time.Duration) (*relaypb.Reply, error) {
	stream, err := s.session.OpenStream()
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer stream.Close()
	due := time.Now().Add(wait)
	_ = stream.SetDeadline(due.Add(silenceTimeout))
	expire := func() { _ = stream.SetDeadline(time.Now()) }
	defer context.AfterFunc(ctx, expire)()
	defer context.AfterFunc(s.ctx, expire)()
	var w io.Writer = stream
	if request.Handover != nil {
		// The body may take longer than a reply may be due.
		w = chunkWriter{stream}
	}
	if _, err := protodelim.MarshalTo(w, request); err != nil {
		return nil, errors.Trace(err)
	}
	progress := &progressReader{ctx: ctx, session: s, stream: stream, last: due.Add(transferTimeout)}
	return readReply(bufio.NewReaderSize(progress, bufferBytes))
}

// readReply reads a reply, and the announcement before it if there is one.
func readReply(r *bufio.Reader) (*relaypb.Reply, error) {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	for {
		reply := &relaypb.Reply{}
		if err := options.UnmarshalFrom(r, reply); err != nil {
			return nil, errors.Trace(err)
		}
		if reply.Announced == 0 {
			return reply, nil
		}
	}
}

// progressReader reads from a stream. Where the deadline of the stream has passed, it goes
// on while the session receives bytes, also if they belong to other streams: a reply that
// is slow to arrive tells nothing about its sender.
type progressReader struct {
	ctx     context.Context
	session *peerSession
	stream  *yamux.Stream
	// last is the time after which the reader does not go on. It moves with each part of the
	// reply.
	last time.Time
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	for {
		n, err := r.stream.Read(p)
		if n > 0 {
			r.last = time.Now().Add(transferTimeout)
			return n, err
		}
		if !errors.Is(err, yamux.ErrTimeout) || !r.extend() {
			return n, err
		}
	}
}

// extend moves the deadline of the stream to silenceTimeout after the session received
// bytes. It returns false if that has passed, or if the request has ended.
func (r *progressReader) extend() bool {
	now := time.Now()
	deadline := time.Unix(0, r.session.lastRead.Load()).Add(silenceTimeout)
	if !now.Before(deadline) || !now.Before(r.last) {
		return false
	}
	_ = r.stream.SetReadDeadline(deadline)
	// A context that ended before the deadline was set has set an earlier one.
	return r.ctx.Err() == nil && r.session.ctx.Err() == nil
}
