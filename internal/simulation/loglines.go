package simulation

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// logLines takes the log lines of the instances, passes them on, and keeps what a report needs.
// It is safe for concurrent use.
type logLines struct {
	to io.Writer
	// follow is the id of the request whose lines are kept.
	follow string

	mu    sync.Mutex
	lines []logLine
	// ages holds the ages of the operator's table by which requests were sent.
	ages []tableAge
}

// logLine is a line about a request.
type logLine struct {
	At   time.Time
	Text string
}

// tableAge is the age of a table at a moment.
type tableAge struct {
	at  time.Time
	age time.Duration
}

// logger returns the log of an instance.
func (l *logLines) logger(instance string) zerolog.Logger {
	return zerolog.New(l).With().Str("instance", instance).Logger().Hook(simulatedTime{})
}

// simulatedTime adds the time to log lines, in nanoseconds.
type simulatedTime struct{}

// Run implements zerolog.Hook.
func (simulatedTime) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64("at", time.Now().UnixNano())
}

// Write implements io.Writer. It gets one line a call.
func (l *logLines) Write(p []byte) (int, error) {
	var line struct {
		At       int64   `json:"at"`
		Event    string  `json:"event"`
		ID       string  `json:"id"`
		TableAge float64 `json:"table_age"`
	}
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Unix(0, line.At)
	if line.Event == "attempt" {
		l.ages = append(l.ages, tableAge{at: at, age: time.Duration(line.TableAge * float64(time.Millisecond))})
	}
	if l.follow != "" && line.ID == l.follow {
		l.lines = append(l.lines, logLine{At: at, Text: strings.TrimSpace(string(p))})
	}
	return l.to.Write(p)
}
