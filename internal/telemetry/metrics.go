package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

const (
	// maxLatency is the highest latency a histogram tells apart.
	maxLatency = 5 * time.Minute
	// latencyDigits is the precision of a histogram in significant digits.
	latencyDigits = 2
	// shards spread the recording of latencies over locks.
	shards = 8
)

// Metrics holds the counters and latencies of one daemon.
type Metrics struct {
	// Counters has one entry per counter name, such as "request.done.scoring".
	Counters *expvar.Map
	mu       sync.RWMutex
	latency  map[string]*Latency
}

// NewMetrics returns empty metrics that are not published yet.
func NewMetrics() *Metrics {
	return &Metrics{Counters: new(expvar.Map).Init(), latency: map[string]*Latency{}}
}

// Count adds one to the named counter.
func (m *Metrics) Count(name string) { m.Counters.Add(name, 1) }

// Add adds delta to the named counter.
func (m *Metrics) Add(name string, delta int64) { m.Counters.Add(name, delta) }

// CountOutcome counts the end of a request of a service; kind is empty for a
// request that was done.
func (m *Metrics) CountOutcome(service string, o outcome.Outcome, kind outcome.Kind) {
	m.Count("request." + o.String() + "." + service)
	if kind != "" {
		m.Count("request.kind." + string(kind))
	}
}

// Latency returns the named latency, made on first use.
func (m *Metrics) Latency(name string) *Latency {
	m.mu.RLock()
	l := m.latency[name]
	m.mu.RUnlock()
	if l != nil {
		return l
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l = m.latency[name]; l == nil {
		l = newLatency()
		m.latency[name] = l
	}
	return l
}

// Latencies returns the quantiles of every latency by name.
func (m *Metrics) Latencies() map[string]Quantiles {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]Quantiles, len(m.latency))
	for name, l := range m.latency {
		out[name] = l.Quantiles()
	}
	return out
}

// Quantiles sums up a latency since the start of the daemon.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Latency records durations.
type Latency struct {
	shard [shards]struct {
		mu sync.Mutex
		h  *hdrhistogram.Histogram
	}
	next expvar.Int
}

func newLatency() *Latency {
	l := &Latency{}
	for i := range l.shard {
		l.shard[i].h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return l
}

// Record adds one duration.
func (l *Latency) Record(d time.Duration) {
	l.next.Add(1)
	s := &l.shard[uint64(l.next.Value())%shards]
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	s.mu.Lock()
	// The value lies within the histogram's range, so there is no error.
	_ = s.h.RecordValue(us)
	s.mu.Unlock()
}

// Quantiles returns the quantiles of all recorded durations.
func (l *Latency) Quantiles() Quantiles {
	all := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for i := range l.shard {
		s := &l.shard[i]
		s.mu.Lock()
		all.Merge(s.h)
		s.mu.Unlock()
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: all.TotalCount(), P50: ms(all.ValueAtQuantile(50)), P90: ms(all.ValueAtQuantile(90)),
		P99: ms(all.ValueAtQuantile(99)), Max: ms(all.Max()),
	}
}
