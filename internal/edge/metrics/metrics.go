// Package metrics holds the counters and latency histograms of an entry
// instance and serves them as text.
package metrics

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct{ set *metrics.Set }

// New returns a Metrics without counters, histograms or gauges.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// RecordRequest counts a completed request and records its duration. service and
// zone may be empty. Without a route, no duration is recorded.
func (m *Metrics) RecordRequest(route, service, zone, reason string, status int, took time.Duration) {
	labels := fmt.Sprintf("route=%q,service=%q,zone=%q,reason=%q,status=\"%d\"", route, service, zone, reason, status)
	m.set.GetOrCreateCounter("banyandeal_requests_total{" + labels + "}").Inc()
	if route != "" {
		name := fmt.Sprintf("banyandeal_request_seconds{route=%q,success=\"%t\"}", route, status < http.StatusMultipleChoices)
		m.set.GetOrCreateHistogram(name).Update(took.Seconds())
	}
}

// Add adds delta to a counter without labels.
func (m *Metrics) Add(name string, delta int) {
	m.set.GetOrCreateCounter("banyandeal_" + name + "_total").Add(delta)
}

// Observe adds a value to a histogram without labels.
func (m *Metrics) Observe(name string, value float64) {
	m.set.GetOrCreateHistogram("banyandeal_" + name).Update(value)
}

// RegisterGauge registers a gauge whose value is read by calling f.
func (m *Metrics) RegisterGauge(name string, f func() float64) {
	m.set.GetOrCreateGauge("banyandeal_"+name, f)
}

// ServeHTTP writes all metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.set.WritePrometheus(w)
}
