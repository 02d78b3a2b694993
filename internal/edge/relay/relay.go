// Package relay lets the entry instances of a region read the store's tables
// from the one that reads the store. It moves rows and decides nothing.
package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	dialTimeout = 500 * time.Millisecond
	// replyMargin is how long after the wait that was asked for a reply may
	// take; a reader that stays silent for longer has failed.
	replyMargin = 600 * time.Millisecond
	// maxWait bounds the wait of one Ask.
	maxWait     = 10 * time.Second
	askTimeout  = 2 * time.Second
	bufferBytes = 4 << 10
	// maxReplyBytes bounds one reply.
	maxReplyBytes = 16 << 20
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.LogOutput = discard{}
	c.ConnectionWriteTimeout = time.Second
	// yamux would close the session under the asks that wait on it.
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = time.Second
	return c
}

// discard drops yamux's own lines; failures are reported by the calls.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Server answers the instances that follow this one.
type Server struct {
	replica  *feeds.Replica
	assigner Assigner
	// heard is told the name of each instance that asks.
	heard func(instance string)
}

// NewServer returns a server of the replica and of the places of objects.
func NewServer(r *feeds.Replica, a Assigner, heard func(instance string)) *Server {
	return &Server{replica: r, assigner: a, heard: heard}
}

// Serve takes sessions until the listener closes.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			return errors.Annotate(err, "accept a session of another instance")
		}
		session, err := yamux.Server(nc, sessionConfig())
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
		go s.answer(ctx, stream)
	}
}

// answer serves one Ask. A stream that fails is the asker's to notice.
func (s *Server) answer(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(maxWait + askTimeout))
	ask := &relaypb.Ask{}
	if err := protodelim.UnmarshalFrom(bufio.NewReaderSize(stream, 256), ask); err != nil {
		return
	}
	s.heard(ask.Instance)
	reply := &relaypb.Reply{}
	if ask.Place != nil {
		s.places(ask.Place, reply)
	} else {
		s.rows(ctx, ask, reply)
	}
	_, _ = protodelim.MarshalTo(stream, reply)
}

// rows answers an ask for rows.
func (s *Server) rows(ctx context.Context, ask *relaypb.Ask, reply *relaypb.Reply) {
	var rows []platform.Row
	var err error
	if ask.Full {
		rows, reply.Version, err = s.replica.Rows(ctx, ask.Table)
	} else {
		wait := min(maxWait, time.Duration(ask.WaitMs)*time.Millisecond)
		rows, reply.Version, err = s.replica.Changes(ctx, ask.Table, ask.After, wait)
	}
	switch {
	case errors.Is(err, platform.ErrCompacted):
		reply.Status = relaypb.Status_COMPACTED
	case err != nil:
		reply.Status = relaypb.Status_UNAVAILABLE
	}
	for _, row := range rows {
		reply.Rows = append(reply.Rows, &relaypb.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
}

// Client reads tables from other instances, a session for each. It is safe for
// concurrent use.
type Client struct {
	self  string
	mu    sync.Mutex
	links map[string]*link
}

// link is a session with the asks that wait on it.
type link struct {
	session *yamux.Session
	// ctx ends when the link is to be closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	asks    int
	closing bool
	// idle is closed when the link is closing and has no asks left.
	idle chan struct{}
}

func newLink() *link {
	l := &link{idle: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// enter counts an ask; it fails when the link is closing.
func (l *link) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.asks++
	return true
}

// leave counts the end of an ask.
func (l *link) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks--
	l.checkIdle()
}

func (l *link) checkIdle() {
	if l.closing && l.asks == 0 {
		close(l.idle)
	}
}

// quiet ends the asks and waits until they have left. yamux keeps a reader busy
// between the two steps of its own Close, so none may be left by then.
func (l *link) quiet() {
	l.cancel()
	l.mu.Lock()
	if !l.closing {
		l.closing = true
		l.checkIdle()
	}
	l.mu.Unlock()
	<-l.idle
}

// close ends the asks and then the session.
func (l *link) close() {
	l.cancel()
	go func() {
		l.quiet()
		_ = l.session.Close()
	}()
}

// quietConn lets the asks of a link end before yamux sees that its connection
// has failed.
type quietConn struct {
	net.Conn
	link *link
}

// Read implements net.Conn.
func (c quietConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.link.quiet()
	}
	return n, err
}

// Write implements net.Conn.
func (c quietConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.link.quiet()
	}
	return n, err
}

// NewClient returns a client without sessions.
func NewClient(self string) *Client {
	return &Client{self: self, links: map[string]*link{}}
}

// Source returns the tables as the instance at address reads them.
func (c *Client) Source(address string) feeds.Source { return &remote{client: c, address: address} }

// CloseExcept closes the sessions to all addresses but one.
func (c *Client) CloseExcept(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, l := range c.links {
		if a != address {
			l.close()
			delete(c.links, a)
		}
	}
}

// acquire returns the link to an address for one ask, which ends with a call of
// leave.
func (c *Client) acquire(ctx context.Context, address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil && l.enter() {
		return l, nil
	}
	l, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.links[address] = l
	l.enter()
	return l, nil
}

func dial(ctx context.Context, address string) (*link, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "reach the reader at %s", address)
	}
	l := newLink()
	l.session, err = yamux.Client(quietConn{Conn: nc, link: l}, sessionConfig())
	if err != nil {
		_ = nc.Close()
		return nil, errors.Trace(err)
	}
	return l, nil
}

// drop closes a link that has failed.
func (c *Client) drop(address string, failed *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == failed {
		failed.close()
		delete(c.links, address)
	}
}

type remote struct {
	client  *Client
	address string
}

// Rows implements feeds.Source.
func (r *remote) Rows(ctx context.Context, table string) ([]platform.Row, uint64, error) {
	return r.ask(ctx, &relaypb.Ask{Table: table, Full: true}, askTimeout)
}

// Changes implements feeds.Source. It may return before wait has passed.
func (r *remote) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.Row, uint64, error) {
	wait = min(wait, maxWait)
	return r.ask(ctx, &relaypb.Ask{Table: table, After: after, WaitMs: uint32(wait.Milliseconds())}, wait+replyMargin)
}

func (r *remote) ask(ctx context.Context, ask *relaypb.Ask, timeout time.Duration) ([]platform.Row, uint64, error) {
	ask.Instance = r.client.self
	l, err := r.client.acquire(ctx, r.address)
	if err != nil {
		return nil, 0, err
	}
	reply, err := l.exchange(ctx, ask, timeout)
	l.leave()
	if err != nil {
		if ctx.Err() == nil {
			r.client.drop(r.address, l)
		}
		return nil, 0, errors.Annotatef(err, "ask the reader at %s", r.address)
	}
	switch reply.Status {
	case relaypb.Status_COMPACTED:
		return nil, 0, platform.ErrCompacted
	case relaypb.Status_UNAVAILABLE:
		return nil, 0, feeds.ErrNotReading
	}
	rows := make([]platform.Row, 0, len(reply.Rows))
	for _, row := range reply.Rows {
		rows = append(rows, platform.Row{Table: ask.Table, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return rows, reply.Version, nil
}

func (l *link) exchange(ctx context.Context, ask *relaypb.Ask, timeout time.Duration) (*relaypb.Reply, error) {
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(timeout))
	expire := func() { _ = stream.SetDeadline(time.Now()) }
	defer context.AfterFunc(ctx, expire)()
	defer context.AfterFunc(l.ctx, expire)()
	if _, err := protodelim.MarshalTo(stream, ask); err != nil {
		return nil, errors.Trace(err)
	}
	reply := &relaypb.Reply{}
	options := protodelim.UnmarshalOptions{MaxSize: maxReplyBytes}
	err = options.UnmarshalFrom(bufio.NewReaderSize(stream, bufferBytes), reply)
	return reply, errors.Trace(err)
}
