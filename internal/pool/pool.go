// Package pool holds the backend servers that this instance owns, with a client
// for each and the exact number of requests that each has in flight. The slots of
// a backend server are enforced only here, because only its owner sends requests
// to it.
package pool

import (
	"context"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/attempt"
	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// checkPath is the path of the health endpoint of backend servers.
const checkPath = "/healthz"

// Backend is an owned backend server, with the rules that control sets for its use.
type Backend struct {
	estate.Backend
	// Service is the name of the service that the backend server belongs to.
	Service string
	// Eligibility states whether the backend server may receive new requests.
	Eligibility balance.Eligibility
	// OccupiedUntil is the time until which requests of a previous owner that
	// terminated may still run. No new requests are sent before this time.
	OccupiedUntil time.Time
	// ColdSince is the time at which the backend server began to receive requests
	// with cold caches.
	ColdSince time.Time
}

// Result is the result of one attempt at a backend server. Control derives the
// health of the backend server from it.
type Result struct {
	// Backend is the name of the backend server.
	Backend string
	Outcome outcome.Outcome
	// Latency is the time from Acquire to Release.
	Latency time.Duration
	// Status is the status code of the response. It is set if Outcome is Done.
	Status int
	// Draining is set if the response announced that the backend server drains.
	Draining bool
	// Shed is set if the backend server refused the request.
	Shed bool
	// ConnectionLost is set if the connection was lost after a part of the request
	// was sent.
	ConnectionLost bool
	// Stalled is set if the connection was closed because it had stalled.
	Stalled bool
	// Cancelled is set if the caller cancelled the attempt or its deadline passed.
	Cancelled bool
}

// Pool holds the owned backend servers and selects one for each request. It is
// safe for concurrent use.
type Pool struct {
	// Dial opens connections to backend servers. If it is nil, a net.Dialer is
	// used. It must be set before the first call of Set.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	policy balance.Policy
	// report is called with each result. It must not block.
	report func(Result)

	// mu guards the fields below.
	mu sync.Mutex
	// backends holds the owned backend servers by name.
	backends map[string]*member
	// services holds the balancer of each service by the name of the service.
	services map[string]*balance.Balancer
}

// member is an owned backend server with its client.
type member struct {
	Backend
	client *attempt.Client
	// peak is the largest number of requests that were in flight at once.
	peak int
	// drainingUntil is the time until which the backend server is ineligible
	// because it announced in a response that it drains. Control has processed
	// the announcement by then.
	drainingUntil time.Time
}

// New returns an empty pool. report is called with each result and must not block.
func New(policy balance.Policy, report func(Result)) *Pool {
	return &Pool{policy: policy, report: report, backends: map[string]*member{}, services: map[string]*balance.Balancer{}}
}

// Set replaces the set of owned backend servers. A backend server that is no
// longer owned receives no new requests. Its requests in flight continue.
func (p *Pool) Set(services []estate.Service, backends []Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[string]*member, len(backends))
	for _, b := range backends {
		m := p.backends[b.Name]
		if m == nil || m.Address != b.Address || m.MaxConnections != b.MaxConnections {
			if m != nil {
				m.client.Close()
			}
			m = &member{client: attempt.New(attempt.Config{Address: b.Address, MaxConns: b.MaxConnections, CheckPath: checkPath, Dial: p.Dial})}
		}
		m.Backend = b
		keep[b.Name] = m
	}
	for name, m := range p.backends {
		if keep[name] == nil {
			m.client.Close()
		}
	}
	p.backends = keep
	p.updateBalancers(services)
}

// updateBalancers updates all balancers and adds those of new services. The
// balancer of a service that is no longer configured stays, without backend
// servers, for requests that were accepted before. p.mu must be held.
func (p *Pool) updateBalancers(services []estate.Service) {
	for _, s := range services {
		if p.services[s.Name] == nil {
			p.services[s.Name] = balance.New(balance.Settings{Policy: p.policy, ColdTime: coldTime, Deadline: s.Deadline})
		}
	}
	now := time.Now()
	sets := map[string][]balance.Backend{}
	for _, m := range p.backends {
		sets[m.Service] = append(sets[m.Service], m.balanceBackend(now))
	}
	for service, b := range p.services {
		b.Update(sets[service])
	}
}

const (
	// coldTime is the time that a backend server takes to warm its caches.
	coldTime = 5 * time.Second
	// drainingHold is the time for which a backend server is ineligible after it
	// announced that it drains, until control has processed the announcement.
	drainingHold = 2 * time.Second
)

// balanceBackend returns the state of the backend server for its balancer.
func (m *member) balanceBackend(now time.Time) balance.Backend {
	b := balance.Backend{Name: m.Name, Slots: m.Slots, Eligibility: m.Eligibility, ColdSince: m.ColdSince}
	if now.Before(m.drainingUntil) || now.Before(m.OccupiedUntil) {
		b.Eligibility = balance.Ineligible
	}
	return b
}

// Lease is the right to send one request to a backend server. It ends with Cancel
// or Release.
type Lease struct {
	pool *Pool
	m    *member
	// name, service and address are copied from m, because Set may change m.
	name, service, address string
	acquiredAt             time.Time
	once                   sync.Once
}

// Acquire takes a slot of a backend server of the service. It skips the backend
// servers in tried. ok is false if no slot is free.
func (p *Pool) Acquire(service string, tried []string) (l *Lease, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.services[service]
	if b == nil {
		return nil, false
	}
	name, err := b.Pick(now, rand.Uint64(), tried...)
	if err != nil {
		return nil, false
	}
	m := p.backends[name]
	m.peak = max(m.peak, b.InFlight(name))
	return &Lease{pool: p, m: m, name: name, service: service, address: m.Address, acquiredAt: now}, true
}

// Name returns the backend server's name.
func (l *Lease) Name() string { return l.name }

// Address returns the backend server's address.
func (l *Lease) Address() string { return l.address }

// Cancel releases the slot without a result. It does nothing after Cancel or
// Release.
func (l *Lease) Cancel() {
	l.once.Do(func() {
		l.pool.mu.Lock()
		defer l.pool.mu.Unlock()
		l.pool.services[l.service].Finish(l.name, 0, false)
	})
}

// Do sends the request to the backend server and returns the result. It does not
// release the slot.
func (l *Lease) Do(ctx context.Context, r *attempt.Request) *attempt.Reply {
	return l.m.client.Do(ctx, r)
}

// Release releases the slot and reports the result. It does nothing after Cancel
// or Release.
func (l *Lease) Release(rep *attempt.Reply) {
	l.once.Do(func() {
		res := Result{
			Backend: l.name, Outcome: rep.Outcome, Latency: time.Since(l.acquiredAt), Status: rep.Status,
			Draining: rep.Draining, ConnectionLost: rep.ConnectionLost, Stalled: rep.Stalled,
			Shed: rep.Shed,
		}
		if rep.Err != nil {
			res.Cancelled = rep.Err.Kind == outcome.KindCancelled || rep.Err.Kind == outcome.KindDeadline
		}
		l.pool.release(l, res)
		l.pool.report(res)
	})
}

// release records a result in the balancer, which frees the slot.
func (p *Pool) release(l *Lease, res Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.services[l.service]
	latency := res.Latency
	if res.Outcome != outcome.Done {
		latency = 0
	}
	failed := (res.Outcome != outcome.Done && !res.Shed && !res.Cancelled) || res.Status >= minServerErrorStatus
	b.Finish(l.name, latency, failed)
	if res.Draining {
		// The announcement takes effect at once, before control has processed it.
		l.m.drainingUntil = time.Now().Add(drainingHold)
		p.updateBalancer(l.service)
	}
}

// minServerErrorStatus is the lowest status code that counts as a failure of the
// backend server.
const minServerErrorStatus = 500

// updateBalancer updates the balancer of one service. p.mu must be held.
func (p *Pool) updateBalancer(service string) {
	now := time.Now()
	var set []balance.Backend
	for _, m := range p.backends {
		if m.Service == service {
			set = append(set, m.balanceBackend(now))
		}
	}
	p.services[service].Update(set)
}

// Refresh updates the balancers for the current time. It must be called regularly,
// because a backend server becomes eligible again when OccupiedUntil passes.
func (p *Pool) Refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.services {
		p.updateBalancer(service)
	}
}

// Usage is the state of one owned backend server.
type Usage struct {
	Backend
	// InFlight is the number of requests in flight. Peak is the largest number of
	// requests that were in flight at once.
	InFlight, Peak int
}

// Usage returns the state of all owned backend servers, sorted by name.
func (p *Pool) Usage() []Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Usage, 0, len(p.backends))
	for _, m := range p.backends {
		out = append(out, Usage{m.Backend, p.inFlight(m), m.peak})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// inFlight returns the number of requests that the backend server has in flight.
// p.mu must be held.
func (p *Pool) inFlight(m *member) int {
	if b := p.services[m.Service]; b != nil {
		return b.InFlight(m.Name)
	}
	return 0
}

// InFlight returns the number of requests that this instance has in flight at the
// named backend server, which need not be owned any more.
func (p *Pool) InFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.services {
		n += b.InFlight(name)
	}
	return n
}

// TotalInFlight returns the number of requests that this instance has in flight at
// all owned backend servers.
func (p *Pool) TotalInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.backends {
		n += p.inFlight(m)
	}
	return n
}

// Free returns the number of free slots of a service and the number of all slots
// of its backend servers that are not ineligible.
func (p *Pool) Free(service string) (free, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.services[service]; b != nil {
		return b.Free(time.Now())
	}
	return 0, 0
}
