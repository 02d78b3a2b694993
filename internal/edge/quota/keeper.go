// Package quota keeps the requests of client accounts within their quotas: it decides on each
// request by the credits that this instance holds, borrows credits from other instances, and lends
// them.
package quota

import (
	"context"
	"sync"
	"time"

	decide "github.com/banyandeal/banyandeal/internal/decide/quota"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// maxWait is how long a request waits for credits of other instances.
	maxWait = 250 * time.Millisecond
	// borrowTimeout bounds an ask for credits.
	borrowTimeout = 300 * time.Millisecond
	// maxSessions bounds the sessions with instances that were asked for credits.
	maxSessions = 32
)

// Client asks other instances for credits. Its methods are those of relay.Client.
type Client interface {
	Borrow(ctx context.Context, address string, ask decide.Ask, timeout time.Duration) (decide.Answer, error)
	Close(address string)
}

// Keeper holds the credits of one instance. It is safe for concurrent use.
type Keeper struct {
	view    func() *control.View
	client  Client
	metrics *metrics.Metrics

	mu      sync.Mutex
	machine *decide.Machine
	// known is the view whose members machine knows, and addresses their peer addresses.
	known     *control.View
	addresses map[string]string
	// answered maps accounts to a channel that is closed when an ask for them has ended.
	answered map[string]chan struct{}
	// sessions holds when the instances at these addresses were last asked.
	sessions map[string]time.Time
}

// NewKeeper returns the Keeper of an instance that starts now.
func NewKeeper(s *traffic.Settings, view func() *control.View, c Client, m *metrics.Metrics) *Keeper {
	cfg := decide.Config{Instance: s.Instance, Zone: s.Zone, Region: s.Region, RegionOf: s.RegionOf, Bounds: s.Bounds.Quota}
	return &Keeper{
		view: view, client: c, metrics: m, machine: decide.New(cfg, time.Now()),
		addresses: map[string]string{}, answered: map[string]chan struct{}{}, sessions: map[string]time.Time{},
	}
}

// sync passes the members of the newest view to the machine. The caller holds mu.
func (k *Keeper) sync() {
	v := k.view()
	if v == k.known {
		return
	}
	k.known = v
	clear(k.addresses)
	members := make([]decide.Member, 0, len(v.Members))
	for _, m := range v.Members {
		members = append(members, decide.Member{Name: m.Name, Zone: m.Zone})
		k.addresses[m.Name] = m.Peer
	}
	k.machine.SetMembers(members, time.Now())
}

// take decides on a request of an account with a limit. The request waits for an answer of another
// instance for maxWait at most.
func (k *Keeper) take(ctx context.Context, a *traffic.Account) decide.Verdict {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	v, answered := k.decide(ctx, a, false)
	for v.Pending {
		select {
		case <-answered:
		case <-ctx.Done():
		}
		v, answered = k.decide(ctx, a, true)
	}
	return v
}

// decide decides on a request and sends the ask that this requires. The channel is closed when the
// request can be decided again. Nothing is pending once ctx is done.
func (k *Keeper) decide(ctx context.Context, a *traffic.Account, again bool) (decide.Verdict, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync()
	v := k.machine.Take(a, again, time.Now())
	if v.Ask != nil {
		go k.borrow(a, *v.Ask)
	}
	if !v.Pending {
		return v, nil
	}
	if ctx.Err() != nil {
		v.Pending, v.RetryAfter = false, k.machine.RetryAfter(a, time.Now())
		return v, nil
	}
	if k.answered[a.Name] == nil {
		k.answered[a.Name] = make(chan struct{})
	}
	return v, k.answered[a.Name]
}

// borrow sends an ask and records its end.
func (k *Keeper) borrow(a *traffic.Account, ask decide.Ask) {
	address, sent := k.session(ask.Lender), time.Now()
	answer := decide.Answer{Failed: true}
	if address != "" {
		// The error is that of an instance that is away; the next ask goes to another one.
		answer, _ = k.client.Borrow(context.Background(), address, ask, borrowTimeout)
	}
	switch {
	case answer.Failed:
		k.metrics.Add("quota_asks_failed", 1)
	case answer.Credits == 0:
		k.metrics.Add("quota_asks_empty", 1)
	default:
		k.metrics.Add("quota_asks_answered", 1)
		k.metrics.Add("quota_credits_borrowed", answer.Credits)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Answered(a, ask, answer, sent, time.Now())
	if waiting := k.answered[ask.Account]; waiting != nil {
		close(waiting)
		delete(k.answered, ask.Account)
	}
}

// session returns the peer address of an instance that is asked now, and closes the session that was
// not used for longest if there are many. It returns an empty address for an unknown instance.
func (k *Keeper) session(instance string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	address := k.addresses[instance]
	if address == "" {
		return ""
	}
	k.sessions[address] = time.Now()
	if len(k.sessions) > maxSessions {
		oldest := address
		for other, at := range k.sessions {
			if at.Before(k.sessions[oldest]) {
				oldest = other
			}
		}
		delete(k.sessions, oldest)
		k.client.Close(oldest)
	}
	return address
}

// giveBack gives back the credit of a request that has not run.
func (k *Keeper) giveBack(a *traffic.Account, c decide.Credit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Return(a, c, time.Now())
}

// Lend implements relay.Lender.
func (k *Keeper) Lend(ask decide.Ask) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync()
	if k.known.Config == nil {
		return 0
	}
	a := k.known.Config.Accounts[ask.Account]
	if a == nil || !a.Quota.Limited() {
		return 0
	}
	lent := k.machine.Lend(a, ask, time.Now())
	k.metrics.Add("quota_credits_lent", lent)
	return lent
}
