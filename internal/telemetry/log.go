// Package telemetry provides the log, the counters and the latency quantiles of a
// daemon.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs per event,
// with timestamps in UTC. Events below level are dropped; a level that zerolog
// can't parse means info.
func NewLogger(w io.Writer, level, instance string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		lvl = zerolog.InfoLevel
	}
	out := zerolog.ConsoleWriter{
		Out: w, NoColor: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", TimeLocation: time.UTC,
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatMessage:   func(v any) string { return fmt.Sprintf("event=%v", v) },
		FormatCaller:    func(v any) string { return fmt.Sprintf("caller=%v", v) },
	}
	return zerolog.New(out).Level(lvl).With().Timestamp().Str("instance", instance).Logger()
}
