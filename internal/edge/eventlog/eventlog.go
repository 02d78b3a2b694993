// Package eventlog makes the logger of an entry instance: one JSON line an
// event, written by a goroutine of its own so that traffic never waits for it.
package eventlog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is how many lines wait for the writer; older ones are dropped
// and counted when it is full.
const bufferLines = 512

// New returns a logger for the instance and a function that writes what is
// left.
func New(w io.Writer, instance string, dropped func(lines int)) (zerolog.Logger, func()) {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldUnit = time.Millisecond
	writer := diode.NewWriter(w, bufferLines, 0, dropped)
	log := zerolog.New(writer).With().Timestamp().Str("instance", instance).Logger()
	// The last lines are lost if the output has gone, which nobody could read.
	return log, func() { _ = writer.Close() }
}
