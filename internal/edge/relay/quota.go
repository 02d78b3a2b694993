package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/quota"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Lender lends credits of client accounts to other instances. Its method must be safe for concurrent
// use and must not block.
type Lender interface {
	// Lend returns the credits that this instance lends.
	Lend(ask quota.Ask) int
}

// LendFrom lets the server reply with credits of l. It must be called before Serve.
func (s *Server) LendFrom(l Lender) { s.lender = l }

// lend returns the reply to an ask for credits.
func (s *Server) lend(ask *relaypb.QuotaAsk) *relaypb.QuotaReply {
	if s.lender == nil {
		return &relaypb.QuotaReply{}
	}
	lent := s.lender.Lend(quota.Ask{Account: ask.Account, Credits: int(ask.Credits), Quota: traffic.Quota{PerSecond: ask.PerSecond, Burst: ask.Burst}})
	return &relaypb.QuotaReply{Credits: uint32(lent)}
}

// Borrow asks the instance with the given peer address for credits, within timeout. Errors:
// *UnreachableError, and those of the connection, after which credits that were lent are lost.
func (c *Client) Borrow(ctx context.Context, address string, ask quota.Ask, timeout time.Duration) (quota.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := c.acquire(ctx, address)
	if err != nil {
		return quota.Answer{Failed: true}, err
	}
	defer s.release()
	request := &relaypb.QuotaAsk{Account: ask.Account, Credits: uint32(ask.Credits), PerSecond: ask.Quota.PerSecond, Burst: ask.Quota.Burst}
	reply, err := s.roundTrip(ctx, &relaypb.Ask{Instance: c.self, Quota: request}, timeout)
	if err != nil {
		c.remove(address, s)
		return quota.Answer{Failed: true}, errors.Annotatef(err, "ask for credits at %s", address)
	}
	// An instance that runs an earlier version lends nothing.
	return quota.Answer{Credits: int(reply.Quota.GetCredits())}, nil
}
