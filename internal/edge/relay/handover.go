package relay

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
)

const (
	// progressInterval is the time between the messages by which an instance shows that it is
	// at work on a request that was handed over to it.
	progressInterval = 250 * time.Millisecond
	// progressWait is the time in which the first of them is due.
	progressWait = 2 * progressInterval
)

// Taker takes requests that other instances hand over.
type Taker interface {
	// Take handles a request until it has ended or ctx is done, which ends when the sender
	// does not wait any more.
	Take(ctx context.Context, from string, r *relaypb.Handover) *relaypb.HandoverReply
}

// declined is the reply of an instance that takes no requests.
var declined = &relaypb.HandoverReply{Declined: true, Reason: "not_supported"}

// take handles the request of a stream. While it is at work it sends announcements, so that the
// sender notices an instance that is gone.
func (s *Server) take(ctx context.Context, stream *yamux.Stream, request *relaypb.Ask) *relaypb.HandoverReply {
	if s.taker == nil {
		return declined
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The sender writes nothing more, so that the read returns when it closes the stream.
		_, _ = stream.Read(make([]byte, 1))
		cancel()
	}()
	replies := make(chan *relaypb.HandoverReply, 1)
	go func() { replies <- s.taker.Take(ctx, request.Instance, request.Handover) }()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case reply := <-replies:
			return reply
		case <-ticker.C:
		}
		_ = stream.SetWriteDeadline(time.Now().Add(transferTimeout))
		if _, err := protodelim.MarshalTo(stream, &relaypb.Reply{Announced: 1}); err != nil {
			cancel()
		}
	}
}

// NotSentError is returned for a request that did not reach the other instance.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string {
	return "the request did not reach the other instance and can be handed over to a third: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Handover hands a request over to the instance with the given peer address, and returns its
// reply. When ctx ends, the other instance ends the request too. Errors: *NotSentError; after
// any other one the request may have run.
func (c *Client) Handover(ctx context.Context, address string, r *relaypb.Handover) (*relaypb.HandoverReply, error) {
	s, err := c.acquire(ctx, address)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	defer s.release()
	reply, err := s.roundTrip(ctx, &relaypb.Ask{Instance: c.self, Handover: r}, progressWait)
	if err != nil {
		if ctx.Err() == nil {
			c.remove(address, s)
		}
		return nil, errors.Annotatef(err, "hand a request over to %s", address)
	}
	if reply.Handover == nil {
		// The other instance runs an earlier version.
		return declined, nil
	}
	return reply.Handover, nil
}
