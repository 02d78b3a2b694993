// Package eventlog creates the logger of an entry instance. It writes one JSON
// line per event. A separate goroutine does the writing, so that requests never
// wait for the log output.
package eventlog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is the number of lines that are buffered for the writer. When the
// buffer is full, the oldest lines are dropped and counted.
const bufferLines = 512

// New returns a logger for the instance that writes to w, and a function that
// writes the buffered lines and closes the logger. dropped is called with the
// number of dropped lines.
func New(w io.Writer, instance string, dropped func(lines int)) (zerolog.Logger, func()) {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldUnit = time.Millisecond
	writer := diode.NewWriter(w, bufferLines, 0, dropped)
	log := zerolog.New(writer).With().Timestamp().Str("instance", instance).Logger()
	// Close fails only if the output is closed; the remaining lines are lost then.
	return log, func() { _ = writer.Close() }
}
