package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/platform"
)

// Client reads tables and placements from other instances. It has one session for
// each instance. It is safe for concurrent use.
type Client struct {
	// self is the name of this instance.
	self   string
	dialer Dialer
	packer *packer
	// findings holds what instances tell each other; nil if they don't.
	findings Findings
	// dials combines the concurrent dials of one address.
	dials singleflight.Group

	mu sync.Mutex
	// sessions maps peer addresses to sessions.
	sessions map[string]*peerSession
}

// NewClient returns a client for the instance named self. It opens a session at the
// first request to an address, over a connection that d opens.
func NewClient(self string, d Dialer) *Client {
	return &Client{self: self, dialer: d, packer: newPacker(), sessions: map[string]*peerSession{}}
}

// UnreachableError is returned when no connection to an instance can be opened.
type UnreachableError struct {
	// Address is the peer address of the instance.
	Address string
	// Cause is the error of the connection.
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no connection to the instance at %s: %v; another source is used until it responds", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Source returns a source that reads from the instance with the given peer address.
func (c *Client) Source(address string) feeds.Source {
	return &remoteSource{client: c, address: address, storeReadAt: map[string]time.Time{}}
}

// Close closes the session to an address, if there is one.
func (c *Client) Close(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sessions[address]; s != nil {
		s.close()
		delete(c.sessions, address)
	}
}

// acquire returns the session to an address for one request and dials a new session
// if needed. The caller must call release at the end of the request. Errors:
// *UnreachableError and the error of ctx.
func (c *Client) acquire(ctx context.Context, address string) (*peerSession, error) {
	if s := c.open(address); s != nil {
		return s, nil
	}
	dialed := c.dials.DoChan(address, func() (any, error) {
		// Another call may have added a session since; a second one would close it.
		if s := c.open(address); s != nil {
			s.release()
			return s, nil
		}
		s, err := dial(context.WithoutCancel(ctx), c.dialer, address, dialTimeout)
		if err == nil {
			c.add(address, s)
		}
		return s, err
	})
	select {
	case r := <-dialed:
		if r.Err != nil {
			return nil, &UnreachableError{Address: address, Cause: r.Err}
		}
		if s := r.Val.(*peerSession); s.tryAcquire() {
			return s, nil
		}
		return nil, errors.Errorf("the session to the instance at %s was closed; the request is sent again", address)
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}

// open returns the open session to an address for one request, or nil.
func (c *Client) open(address string) *peerSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sessions[address]; s != nil && s.tryAcquire() {
		return s
	}
	return nil
}

// add adds a new session and closes the one that it replaces.
func (c *Client) add(address string, s *peerSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if former := c.sessions[address]; former != nil {
		former.close()
	}
	c.sessions[address] = s
}

// remove closes a failed session and removes it, unless a new one has replaced it.
func (c *Client) remove(address string, failed *peerSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[address] == failed {
		failed.close()
		delete(c.sessions, address)
	}
}

// Check opens a connection to the instance with the given peer address and waits at most
// wait until the instance has the tables. tell, if not nil, is what it tells the instance.
// Errors: feeds.ErrNotReading and feeds.ErrStoreLost if it responds without having them,
// *UnreachableError, and those of a connection on which no response came.
func (c *Client) Check(ctx context.Context, address string, wait time.Duration, tell *peers.Findings) error {
	s, err := dial(ctx, c.dialer, address, peers.ConnectTimeout)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	defer s.close()
	s.tryAcquire()
	defer s.release()
	request := &relaypb.Ask{Instance: c.self, Check: true, WaitMs: uint32(wait.Milliseconds())}
	if tell != nil {
		request.Findings = encodeFindings(*tell)
	}
	reply, err := s.roundTrip(ctx, request, wait)
	if err != nil {
		return errors.Annotatef(err, "check the instance at %s", address)
	}
	return statusError(reply.Status)
}

// remoteSource reads tables from one other instance.
type remoteSource struct {
	client  *Client
	address string

	mu sync.Mutex
	// storeReadAt maps a table to the result of StoreReadAt.
	storeReadAt map[string]time.Time
}

// StoreReadAt implements feeds.AgeReporter. Since the clocks of instances differ, the time
// is that at which the request was sent, plus the difference that the reply states.
func (r *remoteSource) StoreReadAt(table string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeReadAt[table]
}

func (r *remoteSource) setStoreReadAt(table string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeReadAt[table] = at
}

// Rows implements feeds.Source.
func (r *remoteSource) Rows(ctx context.Context, table string) ([]platform.Row, platform.Position, error) {
	return r.request(ctx, &relaypb.Ask{Table: table, Full: true}, rowsWait)
}

// Changes implements feeds.Source. It waits at most maxWait, which may be shorter
// than wait.
func (r *remoteSource) Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) ([]platform.Row, platform.Position, error) {
	wait = min(wait, maxWait)
	ask := &relaypb.Ask{Table: table, After: after.Version, AfterEra: after.Era, WaitMs: uint32(wait.Milliseconds())}
	return r.request(ctx, ask, wait)
}

// request sends a request for rows, to which the reply is due after wait, and returns the
// rows and the position of the reply. Errors: feeds.ErrNotReading, feeds.ErrStoreLost,
// platform.ErrCompacted, *UnreachableError, and those of the connection.
func (r *remoteSource) request(ctx context.Context, request *relaypb.Ask, wait time.Duration) ([]platform.Row, platform.Position, error) {
	request.Instance = r.client.self
	r.client.follow(request)
	s, err := r.client.acquire(ctx, r.address)
	if err != nil {
		return nil, platform.Position{}, err
	}
	sent := time.Now()
	reply, err := s.roundTrip(ctx, request, wait)
	s.release()
	if err != nil {
		if ctx.Err() == nil {
			r.client.remove(r.address, s)
		}
		return nil, platform.Position{}, errors.Annotatef(err, "send a request to the reader at %s", r.address)
	}
	r.client.followed(request, reply)
	if err := statusError(reply.Status); err != nil {
		return nil, platform.Position{}, err
	}
	rows := make([]platform.Row, 0, len(reply.Rows))
	for _, message := range reply.Rows {
		row, err := r.client.packer.decode(request.Table, message)
		if err != nil {
			return nil, platform.Position{}, err
		}
		rows = append(rows, row)
	}
	r.setStoreReadAt(request.Table, sent.Add(time.Duration(reply.ReadAfterMs)*time.Millisecond))
	return rows, platform.Position{Era: reply.Era, Version: reply.Version}, nil
}
