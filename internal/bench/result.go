package bench

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision, in significant decimal digits, of latency histograms.
const (
	minLatency    = time.Microsecond
	maxLatency    = 2 * time.Minute
	latencyDigits = 3
)

// latency is a histogram of latencies in microseconds. It is safe for concurrent
// use.
type latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{hist: hdrhistogram.New(1, int64(maxLatency/minLatency), latencyDigits)}
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values out of range, and d is clamped to the range.
	_ = l.hist.RecordValue(int64(min(max(d, minLatency), maxLatency) / minLatency))
}

func (l *latency) quantiles() Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(p float64) time.Duration { return time.Duration(l.hist.ValueAtPercentile(p)) * minLatency }
	return Quantiles{
		Count: l.hist.TotalCount(), P50: at(50), P99: at(99),
		Max: time.Duration(l.hist.Max()) * minLatency,
	}
}

// Quantiles summarises the distribution of a latency as callers observe it.
type Quantiles struct {
	Count         int64
	P50, P99, Max time.Duration
}

// OpResult summarises the requests of one op of one service.
type OpResult struct {
	Service, Op string
	Outcomes    map[End]int
	// Retried counts the requests that were sent more than once.
	Retried int
	// Done is the latency of requests with outcome Done. Rejected is the latency of
	// requests with outcome NotRun.
	Done, Rejected Quantiles
}

// Result is the result of a load.
type Result struct {
	// Records are sorted by the time at which the requests were due, then by token.
	Records []Record
	// Ops are sorted by service and op.
	Ops []OpResult
	// Skipped counts the arrivals beyond MaxInFlight, which were not sent.
	Skipped       int64
	LookupLatency Quantiles
}

func newResult(records []Record, skipped int64, lookups *latency) *Result {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Token, b.Token))
	})
	byOp := func(r Record) (service, op string) { return r.Service, r.Op }
	return &Result{Records: records, Ops: summarise(records, byOp), Skipped: skipped, LookupLatency: lookups.quantiles()}
}

// SummariseByService summarises the records of each service; Op is empty.
func SummariseByService(records []Record) []OpResult {
	return summarise(records, func(r Record) (service, op string) { return r.Service, "" })
}

func summarise(records []Record, nameOf func(Record) (service, op string)) []OpResult {
	type name struct{ service, op string }
	type sum struct {
		result         *OpResult
		done, rejected *latency
	}
	sums := map[name]*sum{}
	for _, r := range records {
		service, op := nameOf(r)
		s := sums[name{service, op}]
		if s == nil {
			s = &sum{&OpResult{Service: service, Op: op, Outcomes: map[End]int{}}, newLatency(), newLatency()}
			sums[name{service, op}] = s
		}
		s.result.Outcomes[r.End]++
		if r.Attempts > 1 {
			s.result.Retried++
		}
		switch r.End {
		case Done:
			s.done.record(r.Latency)
		case NotRun:
			s.rejected.record(r.Latency)
		case Unknown, Unanswered:
		}
	}
	out := make([]OpResult, 0, len(sums))
	for _, s := range sums {
		s.result.Done, s.result.Rejected = s.done.quantiles(), s.rejected.quantiles()
		out = append(out, *s.result)
	}
	slices.SortFunc(out, func(a, b OpResult) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Op, b.Op))
	})
	return out
}
