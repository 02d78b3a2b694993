package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

const (
	// maxLatency is the highest latency that a histogram resolves. Higher ones
	// are recorded as maxLatency.
	maxLatency = 5 * time.Minute
	// latencySignificantDigits is the precision of a histogram in significant digits.
	latencySignificantDigits = 2
	// latencyShards is the number of histograms per latency, each with its own
	// lock to reduce contention.
	latencyShards = 8
)

// Metrics holds the counters and latencies of one daemon. It is safe for
// concurrent use.
type Metrics struct {
	// Counters holds the counters by name, such as "request.done.scoring".
	Counters  *expvar.Map
	mu        sync.RWMutex
	latencies map[string]*Latency
}

// NewMetrics returns empty metrics, which are not published.
func NewMetrics() *Metrics {
	return &Metrics{Counters: new(expvar.Map).Init(), latencies: map[string]*Latency{}}
}

// Count adds one to the named counter.
func (m *Metrics) Count(name string) { m.Counters.Add(name, 1) }

// Add adds delta to the named counter.
func (m *Metrics) Add(name string, delta int64) { m.Counters.Add(name, delta) }

// CountOutcome counts a finished request of a service by outcome and, unless it is
// empty, by kind. The kind of a successful request is empty.
func (m *Metrics) CountOutcome(service string, o outcome.Outcome, kind outcome.Kind) {
	m.Count("request." + o.String() + "." + service)
	if kind != "" {
		m.Count("request.kind." + string(kind))
	}
}

// Latency returns the named latency. It is created on first use.
func (m *Metrics) Latency(name string) *Latency {
	m.mu.RLock()
	l := m.latencies[name]
	m.mu.RUnlock()
	if l != nil {
		return l
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l = m.latencies[name]; l == nil {
		l = newLatency()
		m.latencies[name] = l
	}
	return l
}

// Latencies returns the quantiles of every latency by name.
func (m *Metrics) Latencies() map[string]Quantiles {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]Quantiles, len(m.latencies))
	for name, l := range m.latencies {
		out[name] = l.Quantiles()
	}
	return out
}

// Quantiles summarises a latency since the start of the daemon, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Latency records durations in histograms. It is safe for concurrent use.
type Latency struct {
	shards [latencyShards]struct {
		mu sync.Mutex
		h  *hdrhistogram.Histogram
	}
	next expvar.Int
}

func newLatency() *Latency {
	l := &Latency{}
	for i := range l.shards {
		l.shards[i].h = hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
	}
	return l
}

// Record adds one duration.
func (l *Latency) Record(d time.Duration) {
	l.next.Add(1)
	s := &l.shards[uint64(l.next.Value())%latencyShards]
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	s.mu.Lock()
	// The value is within the histogram's range, so there is no error.
	_ = s.h.RecordValue(us)
	s.mu.Unlock()
}

// Quantiles returns the quantiles of all recorded durations.
func (l *Latency) Quantiles() Quantiles {
	all := hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
	for i := range l.shards {
		s := &l.shards[i]
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
