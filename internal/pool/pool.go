// Package pool holds the backend servers that this instance owns: the clients
// that send to them, and the exact count of what each has in flight. A backend
// server's slots are guarded here and nowhere else, since only its owner sends
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

// checkPath is the backend servers' health endpoint.
const checkPath = "/healthz"

// Backend is one backend server as control wants it to be used.
type Backend struct {
	estate.Backend
	Service string
	// Eligibility is how far it may be given new work.
	Eligibility balance.Eligibility
	// OccupiedUntil is until when the work of a dead owner may run there; no
	// new work is sent before it.
	OccupiedUntil time.Time
	// ColdSince is when it began to take work with cold caches.
	ColdSince time.Time
}

// Result is how one use of a backend server ended; control learns from it.
type Result struct {
	Backend        string
	Outcome        outcome.Outcome
	Latency        time.Duration
	Status         int
	Draining       bool
	Shed           bool
	ConnectionLost bool
	Stalled        bool
	// Cancelled is set when the caller's side ended the attempt.
	Cancelled bool
}

// Pool is safe for concurrent use.
type Pool struct {
	// Dial opens connections to backend servers; nil is a plain TCP dialer. It is
	// set before the first Set.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	policy balance.Policy
	// report takes each result; it must not block.
	report func(Result)

	mu       sync.Mutex
	backends map[string]*member
	services map[string]*balance.Balancer
}

type member struct {
	Backend
	client *attempt.Client
	peak   int
	// refusedUntil is set by the backend server's own word that it is
	// draining; by then control has seen it.
	refusedUntil time.Time
}

// New returns an empty pool.
func New(policy balance.Policy, report func(Result)) *Pool {
	return &Pool{policy: policy, report: report, backends: map[string]*member{}, services: map[string]*balance.Balancer{}}
}

// Set replaces the set of owned backend servers. One that is no longer owned
// gets no new work; what it has in flight goes on.
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
	p.update(services)
}

// update tells the balancers what stands where. That of a service which is no
// longer in the estate stays, empty, for requests that were accepted before.
func (p *Pool) update(services []estate.Service) {
	for _, s := range services {
		if p.services[s.Name] == nil {
			p.services[s.Name] = balance.New(balance.Settings{Policy: p.policy, ColdTime: coldTime, Deadline: s.Deadline})
		}
	}
	now := time.Now()
	sets := map[string][]balance.Backend{}
	for _, m := range p.backends {
		sets[m.Service] = append(sets[m.Service], m.standing(now))
	}
	for service, b := range p.services {
		b.Update(sets[service])
	}
}

const (
	// coldTime is how long a backend server takes to warm its caches.
	coldTime = 5 * time.Second
	// refusedTime is how long a backend server's notice that it is draining
	// stands here by itself.
	refusedTime = 2 * time.Second
)

func (m *member) standing(now time.Time) balance.Backend {
	b := balance.Backend{Name: m.Name, Slots: m.Slots, Eligibility: m.Eligibility, ColdSince: m.ColdSince}
	if now.Before(m.refusedUntil) || now.Before(m.OccupiedUntil) {
		b.Eligibility = balance.Ineligible
	}
	return b
}

// Lease is the right to send one request to a backend server.
type Lease struct {
	pool *Pool
	m    *member
	// name, service and address are those of m, which Set may change.
	name, service, address string
	at                     time.Time
	once                   sync.Once
}

// Acquire takes a slot of a backend server of the service that is not in
// tried. ok is false if there is none.
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
	return &Lease{pool: p, m: m, name: name, service: service, address: m.Address, at: now}, true
}

// Name returns the backend server's name.
func (l *Lease) Name() string { return l.name }

// Address returns the backend server's address.
func (l *Lease) Address() string { return l.address }

// Cancel gives the slot back unused.
func (l *Lease) Cancel() {
	l.once.Do(func() {
		l.pool.mu.Lock()
		defer l.pool.mu.Unlock()
		l.pool.services[l.service].Finish(l.name, 0, false)
	})
}

// Do sends the request to the backend server.
func (l *Lease) Do(ctx context.Context, r *attempt.Request) *attempt.Reply {
	return l.m.client.Do(ctx, r)
}

// Release gives the slot back and reports how the use ended. Only the first
// call counts.
func (l *Lease) Release(rep *attempt.Reply) {
	l.once.Do(func() {
		res := Result{
			Backend: l.name, Outcome: rep.Outcome, Latency: time.Since(l.at), Status: rep.Status,
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

func (p *Pool) release(l *Lease, res Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.services[l.service]
	latency := res.Latency
	if res.Outcome != outcome.Done {
		latency = 0
	}
	failed := (res.Outcome != outcome.Done && !res.Shed && !res.Cancelled) || res.Status >= serverError
	b.Finish(l.name, latency, failed)
	if res.Draining {
		// Its own answer counts at once, before control has seen it.
		l.m.refusedUntil = time.Now().Add(refusedTime)
		p.refresh(l.service)
	}
}

// serverError is the first status of a backend server's own failure.
const serverError = 500

// refresh tells one service's balancer what stands where.
func (p *Pool) refresh(service string) {
	now := time.Now()
	var set []balance.Backend
	for _, m := range p.backends {
		if m.Service == service {
			set = append(set, m.standing(now))
		}
	}
	p.services[service].Update(set)
}

// Refresh takes notice that time passed: occupied backend servers may be free
// now.
func (p *Pool) Refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.services {
		p.refresh(service)
	}
}

// Usage is what one backend server has.
type Usage struct {
	Backend
	InFlight, Peak int
}

// Usage returns all owned backend servers by name.
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

func (p *Pool) inFlight(m *member) int {
	if b := p.services[m.Service]; b != nil {
		return b.InFlight(m.Name)
	}
	return 0
}

// InFlight returns what the named backend server has in flight from here, also
// after Set has left it out.
func (p *Pool) InFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.services {
		n += b.InFlight(name)
	}
	return n
}

// TotalInFlight returns what all backend servers have in flight from here.
func (p *Pool) TotalInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.backends {
		n += p.inFlight(m)
	}
	return n
}

// Free returns the free slots of a service and all slots that take work.
func (p *Pool) Free(service string) (free, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.services[service]; b != nil {
		return b.Free(time.Now())
	}
	return 0, 0
}
