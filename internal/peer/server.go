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
	// callReadTimeout bounds the time in which a call's message and body must
	// arrive.
	callReadTimeout = 10 * time.Second
	// maxStreams bounds the calls in progress on one session.
	maxStreams = 4096
	// maxCallBody bounds the body of one call, in bytes.
	maxCallBody = 16 << 20
)

// Handler serves one call. The context ends when the sender cancels the call
// or its session is lost. A returned body is closed after it was sent.
type Handler interface {
	ServeCall(ctx context.Context, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser)
}

// Server accepts sessions of other instances.
type Server struct {
	handler Handler
	mu      sync.Mutex
	conns   map[*yamux.Session]struct{}
	closed  bool
	wg      sync.WaitGroup
	// inProgress counts calls; idle is made anew when the first begins, and
	// closed when the last has ended.
	inProgress int
	idle       chan struct{}
}

// NewServer returns a server that passes calls to handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: map[*yamux.Session]struct{}{}}
}

// Serve accepts sessions until the listener is closed.
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
		if !s.add(ses) {
			ses.Close()
			return nil
		}
		go s.serveSession(ses)
	}
}

func (s *Server) add(ses *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[ses] = struct{}{}
	return true
}

func (s *Server) serveSession(ses *yamux.Session) {
	defer func() {
		ses.Close()
		s.mu.Lock()
		delete(s.conns, ses)
		s.mu.Unlock()
	}()
	streams := make(chan struct{}, maxStreams)
	for {
		stream, err := ses.AcceptStream()
		if err != nil {
			return
		}
		streams <- struct{}{}
		if !s.begin() {
			stream.Close()
			return
		}
		go func() {
			defer func() { <-streams; s.end() }()
			s.serveStream(stream)
		}()
	}
}

// begin counts a call in progress, unless the server is closed.
func (s *Server) begin() bool {
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

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress--; s.inProgress == 0 {
		close(s.idle)
	}
	s.wg.Done()
}

// Drain returns when no call is in progress, its reply sent, or when ctx ends
// and some are. New calls are still served: the senders end them.
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

// serveStream reads one call and its whole body, then answers it. After the
// body the sender sends nothing, so a read that ends means cancellation.
func (s *Server) serveStream(stream *yamux.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(callReadTimeout))
	r := bufio.NewReaderSize(stream, readBuffer)
	call := &peerpb.Call{}
	if err := readMessage(r, call); err != nil {
		return
	}
	body, err := io.ReadAll(io.LimitReader(&bodyReader{r: r}, maxCallBody+1))
	if err != nil || len(body) > maxCallBody {
		return
	}
	stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		r.ReadByte()
		cancel()
		// A reply that nobody reads would wait for its stream to time out.
		stream.SetWriteDeadline(time.Unix(1, 0))
	}()
	reply, out := s.handler.ServeCall(ctx, call, bytes.NewReader(body))
	if out != nil {
		defer out.Close()
	}
	w := bufio.NewWriterSize(stream, readBuffer)
	if err := writeMessage(w, reply); err != nil {
		return
	}
	var outReader io.Reader
	if out != nil {
		outReader = out
	}
	// Without its end frame a body that failed is seen as cut by the sender.
	_ = writeBody(w, outReader)
	w.Flush()
}

// Close ends every session and waits for calls in progress.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for ses := range s.conns {
		ses.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
