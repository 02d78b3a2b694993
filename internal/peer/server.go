package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

const (
	// callReadTimeout is the maximum time to receive a call's message and body.
	callReadTimeout = 10 * time.Second
	// maxStreams is the maximum number of calls in progress on one session.
	maxStreams = 4096
	// maxCallBodyBytes is the maximum size of the body of one call.
	maxCallBodyBytes = 16 << 20
)

// Handler serves calls. The context is cancelled when the sender cancels the
// call or its session is lost. The server closes the returned body, if not nil,
// once it has been sent or sending it has failed.
type Handler interface {
	ServeCall(ctx context.Context, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser)
}

// Server accepts sessions from other instances and serves the calls on them.
type Server struct {
	handler  Handler
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
	wg       sync.WaitGroup
	// inProgress is the number of calls in progress.
	inProgress int
	// idle is replaced when inProgress rises from 0 and closed when it is 0
	// again.
	idle chan struct{}
}

// NewServer returns a server that passes calls to handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, sessions: map[*yamux.Session]struct{}{}}
}

// Serve accepts sessions until the listener or the server is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return errors.Trace(err)
		}
		ses, err := yamux.Server(conn, sessionConfig())
		if err != nil {
			conn.Close()
			continue
		}
		if !s.addSession(ses) {
			ses.Close()
			return nil
		}
		go s.serveSession(ses)
	}
}

func (s *Server) addSession(ses *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[ses] = struct{}{}
	return true
}

func (s *Server) serveSession(ses *yamux.Session) {
	defer func() {
		ses.Close()
		s.mu.Lock()
		delete(s.sessions, ses)
		s.mu.Unlock()
	}()
	streams := make(chan struct{}, maxStreams)
	for {
		stream, err := ses.AcceptStream()
		if err != nil {
			return
		}
		streams <- struct{}{}
		if !s.beginCall() {
			stream.Close()
			return
		}
		go func() {
			defer func() { <-streams; s.endCall() }()
			s.serveStream(stream)
		}()
	}
}

// beginCall counts a call as in progress. It reports false if the server is
// closed.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	if s.inProgress++; s.inProgress == 1 {
		s.idle = make(chan struct{})
	}
	return true
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress--; s.inProgress == 0 {
		close(s.idle)
	}
	s.wg.Done()
}

// Drain waits until no call is in progress and all replies have been sent. It
// returns the error of ctx if that ends first. New calls are still served in the
// meantime: Drain relies on the senders to stop sending them.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	idle, busy := s.idle, s.inProgress > 0
	s.mu.Unlock()
	if !busy {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// serveStream reads one call with its whole body and sends the reply. The sender
// sends nothing after the body, so when a further read returns, the call has
// been cancelled.
func (s *Server) serveStream(stream *yamux.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(callReadTimeout))
	r := bufio.NewReaderSize(stream, streamBufferBytes)
	call := &peerpb.Call{}
	if err := readMessage(r, call); err != nil {
		return
	}
	body, err := io.ReadAll(io.LimitReader(&bodyReader{r: r}, maxCallBodyBytes+1))
	if err != nil || len(body) > maxCallBodyBytes {
		return
	}
	stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		r.ReadByte()
		cancel()
		// Without this, writing a reply that is no longer read would block
		// until the stream times out.
		stream.SetWriteDeadline(time.Unix(1, 0))
	}()
	reply, out := s.handler.ServeCall(ctx, call, bytes.NewReader(body))
	if out != nil {
		defer out.Close()
	}
	w := bufio.NewWriterSize(stream, streamBufferBytes)
	if err := writeMessage(w, reply); err != nil {
		return
	}
	var outReader io.Reader
	if out != nil {
		outReader = out
	}
	// If reading the body fails, its end frame is missing, which the sender
	// sees as a truncated body.
	_ = writeBody(w, outReader)
	w.Flush()
}

// Close closes every session and waits for the calls in progress to end.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for ses := range s.sessions {
		ses.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
