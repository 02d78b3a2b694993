// Package relay implements the protocol with which the entry instances of a region
// read the store's tables from their reader, the instance that reads the store. It
// also carries the placements of objects. The package only transfers data and makes
// no decisions.
package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// dialTimeout bounds the connect to another instance for a read, which soon turns to
	// another source then.
	dialTimeout = 500 * time.Millisecond
	// silenceTimeout is how long an instance may send nothing while a reply of it is due.
	// It does not bound the time that a reply takes to arrive.
	silenceTimeout = 600 * time.Millisecond
	// maxWait bounds the wait for changes of one request.
	maxWait = 10 * time.Second
	// rowsWait is the time in which an instance begins to reply with a whole table.
	rowsWait = 1400 * time.Millisecond
	// transferTimeout bounds the time in which nothing of a reply arrives while the session
	// receives others, so that an instance that never sends it counts as failed.
	transferTimeout = 10 * time.Second
	// minAnnouncedBytes is the size from which a reply is announced. Smaller ones arrive
	// about as soon as their announcement.
	minAnnouncedBytes = 16 << 10
	// requestWriteTimeout bounds the write of a request.
	requestWriteTimeout = time.Second
	// chunkBytes is the largest part of a reply that is written at a time, so that other
	// replies on the session do not wait for the whole of it.
	chunkBytes = 16 << 10
	// bufferBytes is the size of the buffer that reads a reply.
	bufferBytes = 4 << 10
	// maxMessageBytes is the largest size of one message. A response to a caller may have
	// 16 MiB besides its headers.
	maxMessageBytes = 17 << 20
)

// sessionConfig returns the yamux configuration of one end of a session. writeTimeout
// bounds a write, which waits for those before it.
func sessionConfig(writeTimeout time.Duration) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.LogOutput = discard{}
	c.ConnectionWriteTimeout = writeTimeout
	// With a timeout, yamux closes the whole session when the peer is slow to accept
	// a stream, also while other requests wait on the session.
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = transferTimeout
	return c
}

// discard drops the log lines of yamux, because the calls return its errors.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Server replies to the requests of the other instances of the region.
type Server struct {
	replica  *feeds.Replica
	assigner Assigner
	client   *Client
	// onContact is called with the name of the sender of each request.
	onContact func(instance string)
	// taker takes requests that other instances hand over; nil if this instance takes none.
	taker Taker
	// lender lends credits of client accounts; nil if this instance lends none.
	lender Lender
}

// NewServer returns a server of the tables in r, which c has read or read from the store,
// and of the placements of a. It calls onContact, which must be safe for concurrent use,
// with the name of the sender of each request. t takes the requests that are handed over; it
// may be nil. Findings are shared if c shares them.
func NewServer(r *feeds.Replica, c *Client, a Assigner, t Taker, onContact func(instance string)) *Server {
	return &Server{replica: r, client: c, assigner: a, taker: t, onContact: onContact}
}

// Serve accepts sessions until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			return errors.Annotate(err, "accept a session of another instance")
		}
		session, err := yamux.Server(nc, sessionConfig(transferTimeout))
		if err != nil {
			_ = nc.Close()
			continue
		}
		go s.session(ctx, session)
	}
}

func (s *Server) session(ctx context.Context, session *yamux.Session) {
	defer session.Close()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.handleStream(ctx, stream)
	}
}

// handleStream serves the one request of a stream. It ignores errors of the stream,
// because the sender detects them too.
func (s *Server) handleStream(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(maxWait + transferTimeout))
	request := &relaypb.Ask{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(bufio.NewReaderSize(stream, 256), request); err != nil {
		return
	}
	received := time.Now()
	s.onContact(request.Instance)
	s.takeFindings(request)
	reply := &relaypb.Reply{}
	switch {
	case request.Handover != nil:
		reply.Handover = s.take(ctx, stream, request)
	case request.Quota != nil:
		reply.Quota = s.lend(request.Quota)
	case request.Place != nil:
		s.places(request.Place, reply)
	case request.Check:
		reply.Status = status(s.replica.AwaitCurrent(ctx, requestedWait(request)))
	default:
		s.rows(ctx, request, reply)
		reply.ReadAfterMs = s.replica.StoreReadAt(request.Table).Sub(received).Milliseconds()
	}
	_ = send(stream, reply)
}

// requestedWait returns how long a request may wait.
func requestedWait(request *relaypb.Ask) time.Duration {
	return min(maxWait, time.Duration(request.WaitMs)*time.Millisecond)
}

// send writes a reply in chunks, after an announcement if it is large.
func send(w deadlineWriter, reply *relaypb.Reply) error {
	if size := proto.Size(reply); size >= minAnnouncedBytes {
		if _, err := protodelim.MarshalTo(w, &relaypb.Reply{Announced: uint64(size)}); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := protodelim.MarshalTo(chunkWriter{w}, reply)
	return errors.Trace(err)
}

// deadlineWriter is a writer whose writes have a deadline.
type deadlineWriter interface {
	io.Writer
	SetWriteDeadline(t time.Time) error
}

// chunkWriter writes at most chunkBytes at a time, each within transferTimeout.
type chunkWriter struct{ w deadlineWriter }

// Write implements io.Writer.
func (c chunkWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.w.SetWriteDeadline(time.Now().Add(transferTimeout)); err != nil {
			return written, errors.Trace(err)
		}
		n, err := c.w.Write(p[written:min(len(p), written+chunkBytes)])
		written += n
		if err != nil {
			return written, errors.Trace(err)
		}
	}
	return written, nil
}

// rows fills reply with the rows that were requested.
func (s *Server) rows(ctx context.Context, request *relaypb.Ask, reply *relaypb.Reply) {
	var rows []platform.Row
	var position platform.Position
	var err error
	if request.Full {
		rows, position, err = s.replica.Rows(ctx, request.Table)
	} else {
		after, wait := platform.Position{Era: request.AfterEra, Version: request.After}, requestedWait(request)
		if s.newFindings(request) != nil {
			wait = 0
		}
		rows, position, err = s.replica.Changes(ctx, request.Table, after, wait)
	}
	reply.Findings = s.newFindings(request)
	reply.Era, reply.Version, reply.Status = position.Era, position.Version, status(err)
	for _, row := range rows {
		message, err := s.client.packer.encode(row)
		if err != nil {
			reply.Rows, reply.Status = nil, relaypb.Status_UNAVAILABLE
			return
		}
		reply.Rows = append(reply.Rows, message)
	}
}

// status converts an error of the replica to a status.
func status(err error) relaypb.Status {
	switch {
	case err == nil:
		return relaypb.Status_OK
	case errors.Is(err, platform.ErrCompacted):
		return relaypb.Status_COMPACTED
	case errors.Is(err, feeds.ErrStoreLost):
		return relaypb.Status_STORE_LOST
	}
	return relaypb.Status_UNAVAILABLE
}

// statusError converts a status to the error of the replica that it stands for.
func statusError(s relaypb.Status) error {
	switch s {
	case relaypb.Status_OK:
		return nil
	case relaypb.Status_COMPACTED:
		return platform.ErrCompacted
	case relaypb.Status_STORE_LOST:
		return feeds.ErrStoreLost
	}
	return feeds.ErrNotReading
}
