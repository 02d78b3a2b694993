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

// seedOffset separates the random streams of the callers from those of the
// workloads.
const seedOffset = 1 << 20

// Load is a generator of requests for one load. Run may be called once.
type Load struct {
	cfg   Config
	slots *semaphore.Weighted
	send  *sender
	// clients holds one HTTP client for each local address of callers.
	clients map[netip.Addr]*http.Client
	lookups *latency

	// stop is closed to end the arrivals.
	stop     chan struct{}
	stopOnce sync.Once

	inFlight atomic.Int64
	skipped  atomic.Int64
	// due counts the arrivals that were due, against MaxRequests.
	due atomic.Int64

	mu      sync.Mutex
	records []Record
}

// NewLoad returns a load that is not running yet, or a NotValid error if the config
// is incomplete.
func NewLoad(cfg Config) (*Load, error) {
	if err := cfg.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	clients := map[netip.Addr]*http.Client{}
	for _, c := range cfg.Callers {
		if clients[c.LocalAddr] == nil {
			clients[c.LocalAddr] = &http.Client{Transport: newTransport(c.LocalAddr)}
		}
	}
	return &Load{
		cfg: cfg, slots: semaphore.NewWeighted(int64(cfg.MaxInFlight)), clients: clients,
		send:    &sender{maxAttempts: cfg.MaxAttempts, maxWait: cfg.MaxWait},
		lookups: newLatency(), stop: make(chan struct{}),
	}, nil
}

func newTransport(from netip.Addr) *http.Transport {
	const (
		idlePerHost = 64
		idleTimeout = 10 * time.Second
	)
	d := &net.Dialer{}
	if from.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout, DialContext: d.DialContext}
}

// Run generates requests until a limit of the config is reached, Stop is called
// or ctx is done. It then waits for the requests in flight and returns the result.
func (l *Load) Run(ctx context.Context) *Result {
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
		wg.Go(func() { l.generateArrivals(arrivals, ctx, i, rng, &wg) })
	}
	wg.Wait()
	for _, c := range l.clients {
		c.CloseIdleConnections()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return newResult(l.records, l.skipped.Load(), l.lookups)
}

// Stop ends the arrivals; Run then waits for the requests in flight. Stop may be
// called more than once and from any goroutine.
func (l *Load) Stop() { l.stopOnce.Do(func() { close(l.stop) }) }

// InFlight returns the number of requests in flight.
func (l *Load) InFlight() int64 { return l.inFlight.Load() }

// generateArrivals starts the requests of one workload.
func (l *Load) generateArrivals(arrivals, ctx context.Context, index int, rng *rand.Rand, wg *sync.WaitGroup) {
	w := l.cfg.Workloads[index]
	if !sleep(arrivals, w.StartDelay) {
		return
	}
	if w.ArrivalTime > 0 {
		var cancel context.CancelFunc
		arrivals, cancel = context.WithTimeout(arrivals, w.ArrivalTime)
		defer cancel()
	}
	callers := l.newCallers(w, rng)
	pickCaller := weightedPicker(len(callers), func(i int) float64 { return l.cfg.Callers[i].Weight })
	pickOp := weightedPicker(len(w.Ops), func(i int) float64 { return w.Ops[i].Weight })
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
			l.runRequest(ctx, c, r, ownKey)
		})
	}
}

func (l *Load) newCallers(w Workload, rng *rand.Rand) []*caller {
	out := make([]*caller, len(l.cfg.Callers))
	for i, c := range l.cfg.Callers {
		out[i] = &caller{
			addr: c.Addr, service: w.Service, entries: l.cfg.Entries, preferred: c.PreferredEntries, http: l.clients[c.LocalAddr], lookups: l.lookups,
			rng: rand.New(rand.NewPCG(rng.Uint64(), seedOffset+uint64(i))),
		}
	}
	return out
}

// runRequest sends one request and records its outcome.
func (l *Load) runRequest(ctx context.Context, c *caller, r request, ownKey bool) {
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	if r.op.BodySize > 0 {
		r.body = makeBody(r.token, r.op.BodySize)
	}
	rec := l.sendWithKey(ctx, c, r, ownKey)
	l.mu.Lock()
	l.records = append(l.records, rec)
	l.mu.Unlock()
}

// sendWithKey obtains a key for a non-idempotent request and sends the request.
func (l *Load) sendWithKey(ctx context.Context, c *caller, r request, ownKey bool) Record {
	var err error
	switch {
	case r.op.Idempotent:
	case ownKey:
		r.key = "own-" + r.token
	default:
		r.keyIssued = true
		r.key, err = l.send.key(ctx, c, r)
	}
	if err == nil {
		return l.send.send(ctx, c, r)
	}
	rec := r.record()
	rec.Detail, rec.Latency = err.Error(), time.Since(r.due)
	var rejected *rejectedError
	if errors.As(err, &rejected) {
		rec.End, rec.Status = NotRun, rejected.status
	}
	return rec
}

// makeBody returns a body of n bytes that differs between requests.
func makeBody(token string, n int) []byte {
	return []byte(strings.Repeat(token+"\n", n/(len(token)+1)+1)[:n])
}

// weightedPicker returns a function that draws an index in [0,n) by weight.
func weightedPicker(n int, weight func(int) float64) func(*rand.Rand) int {
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
