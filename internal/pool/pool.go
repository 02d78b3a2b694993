// Package pool holds the backend servers that this instance owns: the clients
// that send to them, and the exact count of what each has in flight. A backend
// server's slots are guarded here and nowhere else, since only its owner sends
// to it.
package pool

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/attempt"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Backend is one backend server as control wants it to be used.
type Backend struct {
	estate.Backend
	Service string
	// Accepting is false for one that drains, is ejected or is being given to
	// another owner: it gets no new work and keeps what it has.
	Accepting bool
	// Reserved slots count as taken until ReservedUntil: a dead owner's work
	// may still run there.
	Reserved      int
	ReservedUntil time.Time
	// Limit is how many slots may be used now, at most Slots; it is lower while
	// the backend server is cold.
	Limit int
}

// Result is how one use of a backend server ended; control learns from it.
type Result struct {
	Backend  string
	Outcome  outcome.Outcome
	Latency  time.Duration
	Status   int
	Draining bool
	Shed     bool
	Lost     bool
	Silent   bool
}

// Chooser picks one of the candidates for a request, -1 for none. All of them
// have a free slot.
type Chooser func(candidates []Candidate) int

// Candidate is a backend server with a free slot.
type Candidate struct {
	Name     string
	Slots    int
	InFlight int
	// Latency is the smoothed latency of whole answers, 0 if unknown.
	Latency time.Duration
	// Failures is the smoothed share of uses that failed.
	Failures float64
}

// Pool is safe for concurrent use.
type Pool struct {
	choose Chooser
	// report takes each result; it must not block.
	report func(Result)

	mu       sync.Mutex
	backends map[string]*member
	services map[string][]*member
}

type member struct {
	Backend
	client   *attempt.Client
	inFlight int
	peak     int
	latency  time.Duration
	failures float64
	// removed members finish what they have and are closed then.
	removed bool
}

const (
	// latencyGain and failureGain are the weight of the newest observation in
	// the smoothed figures.
	latencyGain = 0.2
	failureGain = 0.2
)

// New returns an empty pool.
func New(choose Chooser, report func(Result)) *Pool {
	return &Pool{choose: choose, report: report, backends: map[string]*member{}, services: map[string][]*member{}}
}

// Set replaces the set of owned backend servers. One that is no longer owned
// gets no new work; what it has in flight goes on.
func (p *Pool) Set(backends []Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[string]*member, len(backends))
	for _, b := range backends {
		m := p.backends[b.Name]
		if m == nil || m.Address != b.Address || m.MaxConnections != b.MaxConnections {
			p.remove(m)
			m = &member{client: attempt.New(attempt.Config{
				Address: b.Address, MaxConns: b.MaxConnections, CheckPath: "/healthz",
			})}
		}
		m.Backend = b
		keep[b.Name] = m
	}
	for name, m := range p.backends {
		if keep[name] == nil {
			p.remove(m)
		}
	}
	p.backends = keep
	p.index()
}

func (p *Pool) remove(m *member) {
	if m == nil {
		return
	}
	m.removed, m.Accepting = true, false
	m.client.Close()
}

func (p *Pool) index() {
	p.services = map[string][]*member{}
	for _, m := range p.backends {
		p.services[m.Service] = append(p.services[m.Service], m)
	}
	for _, ms := range p.services {
		sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
	}
}

// free returns the slots that may be taken now.
func (m *member) free(now time.Time) int {
	if !m.Accepting {
		return 0
	}
	limit := min(m.Limit, m.Slots)
	if now.Before(m.ReservedUntil) {
		limit -= m.Reserved
	}
	return max(limit-m.inFlight, 0)
}

// Lease is the right to send one request to a backend server.
type Lease struct {
	pool *Pool
	m    *member
	at   time.Time
	once sync.Once
}

// Acquire takes a slot of a backend server of the service that is not in
// tried. ok is false if there is none.
func (p *Pool) Acquire(service string, tried []string) (l *Lease, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []Candidate
	var members []*member
	for _, m := range p.services[service] {
		if m.free(now) > 0 && !contains(tried, m.Name) {
			members = append(members, m)
			candidates = append(candidates, Candidate{m.Name, m.Slots, m.inFlight, m.latency, m.failures})
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	i := p.choose(candidates)
	if i < 0 {
		return nil, false
	}
	m := members[i]
	m.inFlight++
	m.peak = max(m.peak, m.inFlight)
	return &Lease{pool: p, m: m, at: now}, true
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// Name returns the backend server's name.
func (l *Lease) Name() string { return l.m.Name }

// Do sends the request to the backend server.
func (l *Lease) Do(ctx context.Context, r *attempt.Request) *attempt.Reply {
	return l.m.client.Do(ctx, r)
}

// Release gives the slot back and reports how the use ended. Only the first
// call counts.
func (l *Lease) Release(rep *attempt.Reply) {
	l.once.Do(func() {
		res := Result{
			Backend: l.m.Name, Outcome: rep.Outcome, Latency: time.Since(l.at), Status: rep.Status,
			Draining: rep.Draining, Shed: rep.Err != nil && rep.Err.Kind == outcome.KindOverloaded,
			Lost: rep.Lost, Silent: rep.Silent,
		}
		l.pool.release(l.m, res)
		l.pool.report(res)
	})
}

func (p *Pool) release(m *member, res Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.inFlight--
	failed := 0.0
	if res.Outcome == outcome.Done {
		m.latency += time.Duration(latencyGain * float64(res.Latency-m.latency))
	} else {
		failed = 1
	}
	m.failures += failureGain * (failed - m.failures)
	if res.Draining {
		// Its own answer counts at once, before control has seen it.
		m.Accepting = false
	}
}

// Usage is what one backend server has.
type Usage struct {
	Backend
	InFlight, Peak, Free int
}

// Usage returns all owned backend servers by name.
func (p *Pool) Usage() []Usage {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Usage, 0, len(p.backends))
	for _, m := range p.backends {
		out = append(out, Usage{m.Backend, m.inFlight, m.peak, m.free(now)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// InFlight returns what the named backend server has in flight from here.
func (p *Pool) InFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.backends[name]; m != nil {
		return m.inFlight
	}
	return 0
}

// Free returns the free slots of a service and all slots that take work.
func (p *Pool) Free(service string) (free, slots int) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.services[service] {
		free += m.free(now)
		if m.Accepting {
			slots += m.Slots
		}
	}
	return free, slots
}
