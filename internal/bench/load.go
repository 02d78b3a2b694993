package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

// seedStep keeps the random streams of one load apart.
const seedStep = 1 << 20

// Generator is one run of a load.
type Generator struct {
	cfg   Config
	slots *semaphore.Weighted
	send  *sender
	// clients holds one client for each address that callers come from.
	clients map[netip.Addr]*http.Client
	lookups *latency

	// stop ends the arrivals.
	stop     chan struct{}
	stopOnce sync.Once

	started atomic.Int64
	skipped atomic.Int64
	// due counts arrivals against MaxRequests.
	due atomic.Int64

	mu      sync.Mutex
	records []Record
}

// NewGenerator returns a load that is not yet running.
func NewGenerator(cfg Config) (*Generator, error) {
	if err := cfg.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	clients := map[netip.Addr]*http.Client{}
	for _, c := range cfg.Callers {
		if clients[c.LocalAddr] == nil {
			clients[c.LocalAddr] = &http.Client{Transport: newTransport(c.LocalAddr)}
		}
	}
	return &Generator{
		cfg: cfg, slots: semaphore.NewWeighted(int64(cfg.MaxInFlight)), clients: clients,
		send:    &sender{maxAttempts: cfg.MaxAttempts, patience: cfg.MaxWait},
		lookups: newLatency(), stop: make(chan struct{}),
	}, nil
}

func newTransport(from netip.Addr) *http.Transport {
	const (
		idlePerHost = 64
		idleTime    = 10 * time.Second
	)
	d := &net.Dialer{}
	if from.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTime, DialContext: d.DialContext}
}

// Run drives the load until it ends or the context does, waits for what is in
// flight and returns the result.
func (l *Generator) Run(ctx context.Context) *Result {
	arrivals, cancel := context.WithTimeout(ctx, l.cfg.Duration)
	defer cancel()
	go func() {
		select {
		case <-l.stop:
			cancel()
		case <-arrivals.Done():
		}
	}()
	var wg sync.WaitGroup
	for i := range l.cfg.Workloads {
		rng := rand.New(rand.NewPCG(l.cfg.Seed, uint64(i)))
		wg.Go(func() { l.arrive(arrivals, ctx, i, rng, &wg) })
	}
	wg.Wait()
	for _, c := range l.clients {
		c.CloseIdleConnections()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return newResult(l.records, l.skipped.Load(), l.lookups)
}

// Stop ends the arrivals; Run then waits for what is in flight.
func (l *Generator) Stop() { l.stopOnce.Do(func() { close(l.stop) }) }

// InFlight returns how many requests are in flight.
func (l *Generator) InFlight() int64 { return l.started.Load() }

// arrive starts the requests of one workload.
func (l *Generator) arrive(arrivals, ctx context.Context, index int, rng *rand.Rand, wg *sync.WaitGroup) {
	w := l.cfg.Workloads[index]
	if !sleep(arrivals, w.StartDelay) {
		return
	}
	if w.Duration > 0 {
		var cancel context.CancelFunc
		arrivals, cancel = context.WithTimeout(arrivals, w.Duration)
		defer cancel()
	}
	callers := l.callersOf(w, rng)
	pickCaller := picker(len(callers), func(i int) float64 { return l.cfg.Callers[i].Weight })
	pickOp := picker(len(w.Ops), func(i int) float64 { return w.Ops[i].Weight })
	due := time.Now()
	for n := 0; l.due.Add(1) <= int64(l.cfg.MaxRequests); n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / w.Rate * float64(time.Second)))
		if !sleep(arrivals, time.Until(due)) {
			return
		}
		c, op := callers[pickCaller(rng)], w.Ops[pickOp(rng)]
		ownKey := rng.Float64() < l.cfg.CallerKeyShare
		if !l.slots.TryAcquire(1) {
			l.skipped.Add(1)
			continue
		}
		r := request{
			op: op, service: w.Service, deadline: w.Deadline, due: due,
			token: fmt.Sprintf("%s-%s-%d-%d", l.cfg.TokenPrefix, w.Service, index, n),
		}
		wg.Go(func() {
			defer l.slots.Release(1)
			l.one(ctx, c, r, ownKey)
		})
	}
}

func (l *Generator) callersOf(w Workload, rng *rand.Rand) []*caller {
	out := make([]*caller, len(l.cfg.Callers))
	for i, c := range l.cfg.Callers {
		out[i] = &caller{
			addr: c.Addr, service: w.Service, entries: l.cfg.Entries, near: c.PreferredEntries, http: l.clients[c.LocalAddr], lookups: l.lookups,
			rng: rand.New(rand.NewPCG(rng.Uint64(), seedStep+uint64(i))),
		}
	}
	return out
}

// one sends one request and records it.
func (l *Generator) one(ctx context.Context, c *caller, r request, ownKey bool) {
	l.started.Add(1)
	defer l.started.Add(-1)
	if r.op.BodySize > 0 {
		r.body = bodyOf(r.token, r.op.BodySize)
	}
	rec := l.keyAndSend(ctx, c, r, ownKey)
	l.mu.Lock()
	l.records = append(l.records, rec)
	l.mu.Unlock()
}

// keyAndSend gives a non-idempotent request its key and sends it.
func (l *Generator) keyAndSend(ctx context.Context, c *caller, r request, ownKey bool) Record {
	var err error
	switch {
	case r.op.Idempotent:
	case ownKey:
		r.key = "own-" + r.token
	default:
		r.issued = true
		r.key, err = l.send.key(ctx, c, r)
	}
	if err == nil {
		return l.send.send(ctx, c, r)
	}
	rec := r.record()
	rec.Detail, rec.Latency = err.Error(), time.Since(r.due)
	var refused *refusedError
	if errors.As(err, &refused) {
		rec.End, rec.Status = NotRun, refused.status
	}
	return rec
}

// bodyOf returns a body of n bytes that differs from request to request.
func bodyOf(token string, n int) []byte {
	return []byte(strings.Repeat(token+"\n", n/(len(token)+1)+1)[:n])
}

// picker returns a function that draws an index by weight.
func picker(n int, weight func(int) float64) func(*rand.Rand) int {
	sums := make([]float64, n)
	total := 0.0
	for i := range n {
		total += weight(i)
		sums[i] = total
	}
	return func(rng *rand.Rand) int {
		x := rng.Float64() * total
		for i, s := range sums {
			if x < s {
				return i
			}
		}
		return n - 1
	}
}
