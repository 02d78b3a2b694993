// Package limits shares between the entry instances which backend servers state a request
// limit. Each limit has a row in the store's table of notices, which an instance writes when
// its responses tell something else, and which all of them follow. While the store is away,
// an instance goes by the responses that it gets, and writes the rows later.
package limits

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/internal/wait"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// tickInterval is the time between checks for rows to write.
	tickInterval = 200 * time.Millisecond
	// writeInterval is the shortest time between transactions after a successful one.
	writeInterval = 200 * time.Millisecond
	// maxRowsPerWrite bounds the rows of one transaction; the store takes 100.
	maxRowsPerWrite = 64
	// minBackoff and maxBackoff bound the delay after a failed write.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
)

// Store writes rows. Its method is that of platform.Store.
type Store interface {
	Commit(ctx context.Context, tx platform.Transaction) (uint64, error)
}

// Table is the table of this instance. It must be safe for concurrent use.
type Table interface {
	// DueLimits returns the rows to write now. cleans means that this instance removes the
	// rows of backend servers that do not exist.
	DueLimits(cleans bool) []limit.Write
	// LimitsWritten records that rows were written.
	LimitsWritten(writes []limit.Write, version uint64)
	// MergeLimits records rows of the store.
	MergeLimits(rows []limit.SharedRow, reading limit.Reading)
}

// Sharer keeps the table of one instance and that of the store alike.
type Sharer struct {
	table Table
	store Store
	// cleans reports whether this instance removes the rows of backend servers that do
	// not exist.
	cleans  func() bool
	log     zerolog.Logger
	random  *random.Source
	backoff *backoff.ExponentialBackOff

	mu        sync.Mutex
	wholeRead feeds.WholeRead
}

// New returns a Sharer. cleans is called to find out whether this instance removes rows of
// backend servers that do not exist, so that not all of them do.
func New(t Table, s Store, cleans func() bool, r *random.Source, log zerolog.Logger) *Sharer {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = minBackoff, maxBackoff, 0
	return &Sharer{table: t, store: s, cleans: cleans, random: r, log: log, backoff: b}
}

// rowKey returns the key of the row of a backend server, and backendID the reverse.
func rowKey(id string) string     { return feeds.LimitKeyPrefix + id }
func backendID(key string) string { return strings.TrimPrefix(key, feeds.LimitKeyPrefix) }

// value is the content of a row.
type value struct {
	// Born is the start time of the incarnation in Unix milliseconds; 0 if unknown.
	Born int64 `json:"born"`
	// PerSecond is the limit in requests per second.
	PerSecond float64 `json:"per_second"`
}

// Receive records rows of limits, which were read at a position. full means that they are all
// there are in the store.
func (s *Sharer) Receive(rows []platform.Row, full bool, at platform.Position) {
	shared := s.decode(rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	reading := limit.Changes
	if full {
		reading = limit.Whole
		s.wholeRead.Record(at)
	}
	s.table.MergeLimits(shared, reading)
}

// era returns the era in which the table was last read whole.
func (s *Sharer) era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wholeRead.Era()
}

// recordWritten records rows that were written at the given version, and sent when the table
// was of the given era. If all rows were read since, that read goes first: what it lacks is
// due again.
func (s *Sharer) recordWritten(writes []limit.Write, era, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.wholeRead.ShowsWrite(era, version) {
		s.table.LimitsWritten(writes, version)
	}
}

// decode returns the rows as the table takes them.
func (s *Sharer) decode(rows []platform.Row) []limit.SharedRow {
	var shared []limit.SharedRow
	for _, r := range rows {
		row := limit.SharedRow{Backend: limit.Backend{ID: backendID(r.Key)}, Version: r.Version, Deleted: r.Deleted}
		if !r.Deleted {
			var v value
			if err := json.Unmarshal(r.Value, &v); err != nil || v.PerSecond < 0 {
				s.log.Warn().Str("event", "row_skipped").Str("table", feeds.TableNotices).Str("key", r.Key).Err(err).
					Msg("the row is no request limit; the next change of this limit overwrites it")
				row.Unreadable = true
			}
			row.Backend.Born, row.PerSecond = v.Born, v.PerSecond
		}
		shared = append(shared, row)
	}
	return shared
}

// Run writes what is due until ctx is done.
func (s *Sharer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.writeDue(ctx)
	}
}

// writeDue writes the rows that are due in one transaction. Conflicting rows of others are
// merged, after which the rest is due again.
func (s *Sharer) writeDue(ctx context.Context) {
	due := s.table.DueLimits(s.cleans())
	if len(due) == 0 {
		return
	}
	due = due[:min(len(due), maxRowsPerWrite)]
	era := s.era()
	version, err := s.store.Commit(ctx, s.transaction(due))
	var conflict *platform.Conflict
	switch {
	case err == nil:
		s.recordWritten(due, era, version)
		s.backoff.Reset()
		wait.Sleep(ctx, writeInterval)
	case errors.As(err, &conflict):
		s.mergeConflict(due, conflict.Rows)
	default:
		s.log.Warn().Str("event", "limits_unwritten").Int("backends", len(due)).Err(err).
			Msg("request limits cannot be written; each instance goes by the responses that it gets until a retry succeeds")
		wait.Sleep(ctx, s.random.Jitter(s.backoff.NextBackOff()))
	}
}

// transaction returns the transaction that writes the rows.
func (s *Sharer) transaction(due []limit.Write) platform.Transaction {
	var tx platform.Transaction
	for _, w := range due {
		row := platform.Row{Table: feeds.TableNotices, Key: rowKey(w.Row.Backend.ID)}
		tx.Expected = append(tx.Expected, platform.Expectation{Table: row.Table, Key: row.Key, Version: w.Row.Version})
		if w.Row.Deleted {
			tx.Removes = append(tx.Removes, row)
			continue
		}
		encoded, err := json.Marshal(value{Born: w.Row.Backend.Born, PerSecond: w.Row.PerSecond})
		if err != nil {
			s.log.Error().Str("event", "limits_unwritten").Str("backend", row.Key).Err(err).Msg("")
			continue
		}
		row.Value = encoded
		tx.Puts = append(tx.Puts, row)
	}
	return tx
}

// mergeConflict records the rows as they are after a conflict. Those that were to be written
// and are not among the current ones do not exist.
func (s *Sharer) mergeConflict(due []limit.Write, current []platform.Row) {
	rows := s.decode(current)
	for _, w := range due {
		if !slices.ContainsFunc(rows, func(r limit.SharedRow) bool { return r.Backend.ID == w.Row.Backend.ID }) {
			rows = append(rows, limit.SharedRow{Backend: w.Row.Backend, Deleted: true})
		}
	}
	s.table.MergeLimits(rows, limit.Conflict)
}
