package daemon

import (
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/edge/memory"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// maxMemoryLines bounds the lines per second about bodies that do not fit into memory.
	maxMemoryLines = 5
	// memoryRetryAfter is how long a caller waits before it sends a body again that did not fit.
	memoryRetryAfter = time.Second
)

// LimitRuntime keeps the Go runtime of this process within the memory of the settings.
func LimitRuntime(s *traffic.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(memory.RuntimeLimit(s.MemoryBytes))
	}
}

// newBudget returns the budget for bodies. Refusals are logged and counted.
func newBudget(s *traffic.Settings, log zerolog.Logger, m *metrics.Metrics) *memory.Budget {
	budget := memory.NewBudget(s.MemoryBytes, func(err *memory.Error) {
		m.Add("memory_refusals", 1)
		log.Warn().Str("event", "memory_refused").Int64("wanted_bytes", err.Wanted).Int64("held_bytes", err.Used).
			Bool("too_large", err.TooLarge).Msg(err.Error())
	})
	if budget != nil {
		m.RegisterGauge("memory_held_bytes", func() float64 { return float64(budget.Used()) })
	}
	return budget
}
