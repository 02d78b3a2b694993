// Package evidence shares between the entry instances what they know about requests
// that crash backend servers. Each request has a row in a table of the store, which
// instances write when they have seen a crash and which all of them follow. While the
// store is away, an instance judges by what it knows and writes it later.
package evidence

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/internal/wait"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// tickInterval is the time between checks for what is due.
	tickInterval = 200 * time.Millisecond
	// crashDelay is how long the evidence of a crash waits for that of other requests
	// in flight in the same crash, so that one write has all of it.
	crashDelay = 30 * time.Millisecond
	// clearDelay is the delay of all other writes. Until then, other instances only
	// isolate a request that was cleared.
	clearDelay = time.Second
	// writeInterval is the shortest time between transactions after a successful one.
	writeInterval = 200 * time.Millisecond
	// maxRowsPerWrite bounds the rows of one transaction; the store takes 100.
	maxRowsPerWrite = 64
	// maxRows is the number of rows above which the ones that expire first are
	// removed from the store.
	maxRows = 2048
	// removeInterval is the time between removals of expired rows.
	removeInterval = 10 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed write.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// maxWriteTries bounds the transactions in a row after conflicts.
	maxWriteTries = 5
)

// Store writes rows. Its method is that of platform.Store.
type Store interface {
	Commit(ctx context.Context, tx platform.Transaction) (uint64, error)
}

// Sharer writes the evidence of one instance and merges that of the others. It is safe
// for concurrent use.
type Sharer struct {
	guard *quarantine.Guard
	store Store
	// removesExpired reports whether this instance removes expired rows.
	removesExpired func() bool
	log            zerolog.Logger
	random         *random.Source
	backoff        *backoff.ExponentialBackOff
	wake           chan struct{}

	// lastWrite is when rows were last written. Only Run uses it.
	lastWrite time.Time

	mu sync.Mutex
	// due holds the requests to write, with the time from which on.
	due map[decide.Fingerprint]time.Time
	// rows holds the rows of the table as last read or written.
	rows      map[decide.Fingerprint]row
	wholeRead feeds.WholeRead
	// written holds the requests whose rows have evidence of this instance.
	written map[decide.Fingerprint]bool
	// lastRemoval is when expired rows were last removed.
	lastRemoval time.Time
}

// row is a row of the table.
type row struct {
	version uint64
	notice  decide.Notice
}

// New returns a Sharer with the guard that decides about requests. dial opens the connections
// for crash checks. removesExpired is called to find out
// whether this instance removes expired rows, so that not all of them do.
func New(s Store, dial quarantine.DialFunc, removesExpired func() bool, observer quarantine.Observer, r *random.Source, log zerolog.Logger) *Sharer {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = minBackoff, maxBackoff, 0
	sharer := &Sharer{
		store: s, removesExpired: removesExpired, random: r, log: log, backoff: b, wake: make(chan struct{}, 1),
		due: map[decide.Fingerprint]time.Time{}, rows: map[decide.Fingerprint]row{}, written: map[decide.Fingerprint]bool{},
	}
	sharer.guard = quarantine.NewSharedGuard(dial, sharer.notify, observer)
	return sharer
}

// Guard returns the guard of this instance.
func (s *Sharer) Guard() *quarantine.Guard { return s.guard }

// notify takes notices of the guard that are to be written.
func (s *Sharer) notify(notices []decide.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, n := range notices {
		delay := crashDelay
		if n.Cleared {
			delay = clearDelay
		}
		s.markDue(n.Fingerprint, now.Add(delay))
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// markDue marks a request as to be written from the given time on. The caller must
// hold s.mu.
func (s *Sharer) markDue(fp decide.Fingerprint, at time.Time) {
	if before, ok := s.due[fp]; !ok || at.Before(before) {
		s.due[fp] = at
	}
}

// Receive merges rows of the table, which was read at a position. full means that they are
// all rows of the table; evidence of this instance that is missing there is written again.
func (s *Sharer) Receive(rows []platform.Row, full bool, at platform.Position) {
	if full {
		s.mu.Lock()
		s.rows = map[decide.Fingerprint]row{}
		s.wholeRead.Record(at)
		s.mu.Unlock()
	}
	s.merge(rows, full)
}

// merge merges rows of the table. If full is set, they are all rows of the table.
func (s *Sharer) merge(rows []platform.Row, full bool) {
	var notices []decide.Notice
	s.mu.Lock()
	for _, r := range rows {
		notices = append(notices, s.applyRow(r)...)
	}
	if full {
		for fp := range s.written {
			if _, ok := s.rows[fp]; !ok {
				s.markDue(fp, time.Now())
			}
		}
	}
	s.mu.Unlock()
	s.guard.MergeNotices(notices)
}

// applyRow records a row and returns its notice, if it has one. The caller must hold
// s.mu.
func (s *Sharer) applyRow(r platform.Row) []decide.Notice {
	fp, err := decide.ParseFingerprint(r.Key)
	if err != nil {
		s.log.Warn().Str("event", "row_skipped").Str("table", feeds.TableNotices).Str("key", r.Key).Err(err).Msg("the row is not used")
		return nil
	}
	if r.Version < s.rows[fp].version {
		return nil
	}
	if r.Deleted {
		delete(s.rows, fp)
		return nil
	}
	entry := &peerpb.QuarantineEntry{}
	if err := proto.Unmarshal(r.Value, entry); err != nil || entry.Fingerprint != uint64(fp) {
		s.log.Warn().Str("event", "row_skipped").Str("table", feeds.TableNotices).Str("key", r.Key).Err(err).Msg("the row cannot be decoded; the next write of this request overwrites it")
		s.rows[fp] = row{version: r.Version}
		return nil
	}
	notices := quarantine.Decode([]*peerpb.QuarantineEntry{entry})
	s.rows[fp] = row{version: r.Version, notice: notices[0]}
	return notices
}

// Run writes what is due until ctx is done.
func (s *Sharer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			wait.Sleep(ctx, crashDelay)
		case <-ticker.C:
			s.guard.Tick()
		}
		s.writeDue(ctx)
		s.removeExpired(ctx)
	}
}

// writeDue writes what is due, in one transaction. After a conflict it merges what
// others have written and tries again; after a failure it waits.
func (s *Sharer) writeDue(ctx context.Context) {
	if time.Since(s.lastWrite) < writeInterval {
		return
	}
	for range maxWriteTries {
		tx, notices := s.transaction()
		if len(tx.Puts) == 0 {
			return
		}
		era := s.era()
		version, err := s.store.Commit(ctx, tx)
		var conflict *platform.Conflict
		switch {
		case err == nil:
			s.recordWritten(notices, era, version)
			s.lastWrite = time.Now()
			s.backoff.Reset()
			return
		case errors.As(err, &conflict):
			s.mergeConflict(tx, conflict.Rows)
		default:
			s.log.Warn().Str("event", "evidence_unwritten").Int("requests", len(notices)).Err(err).
				Msg("evidence against requests cannot be written; this instance uses it alone until a retry succeeds")
			wait.Sleep(ctx, s.random.Jitter(s.backoff.NextBackOff()))
			return
		}
	}
}

// transaction returns a transaction for the requests that are due, and their notices.
func (s *Sharer) transaction() (platform.Transaction, []decide.Notice) {
	due := s.dueRequests()
	states := s.guard.States(due)
	// Requests with many crashes come first, because they are about to be quarantined.
	slices.SortStableFunc(states, func(a, b decide.Notice) int { return cmp.Compare(len(b.Runs), len(a.Runs)) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetUnknown(due, states)
	var tx platform.Transaction
	var notices []decide.Notice
	for _, n := range states {
		if len(tx.Puts) == maxRowsPerWrite {
			break
		}
		known, exists := s.rows[n.Fingerprint]
		if known.notice.Covers(n) || n.Cleared && !exists {
			delete(s.due, n.Fingerprint)
			continue
		}
		value, err := proto.Marshal(quarantine.Encode([]decide.Notice{n})[0])
		if err != nil {
			s.log.Error().Str("event", "evidence_unwritten").Stringer("fingerprint", n.Fingerprint).Err(err).Msg("")
			delete(s.due, n.Fingerprint)
			continue
		}
		r := platform.Row{Table: feeds.TableNotices, Key: n.Fingerprint.String(), Value: value}
		tx.Expected = append(tx.Expected, platform.Expectation{Table: r.Table, Key: r.Key, Version: known.version})
		tx.Puts = append(tx.Puts, r)
		notices = append(notices, n)
	}
	return tx, notices
}

// forgetUnknown removes the due requests of which the guard has no state any more. The
// caller must hold s.mu.
func (s *Sharer) forgetUnknown(due []decide.Fingerprint, states []decide.Notice) {
	for _, fp := range due {
		if !slices.ContainsFunc(states, func(n decide.Notice) bool { return n.Fingerprint == fp }) {
			delete(s.due, fp)
		}
	}
}

// dueRequests returns the requests that are due.
func (s *Sharer) dueRequests() []decide.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var fps []decide.Fingerprint
	for fp, at := range s.due {
		if !now.Before(at) {
			fps = append(fps, fp)
		}
	}
	return fps
}

// era returns the era in which the table was last read whole.
func (s *Sharer) era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wholeRead.Era()
}

// recordWritten records rows that were written at the given version, and sent when the table
// was of the given era. What the guard has learned meanwhile stays due. A read of all rows that
// came between the write and its response may be newer than the write: what it lacks stays due
// too.
func (s *Sharer) recordWritten(notices []decide.Notice, era, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	readSince := s.wholeRead.ShowsWrite(era, version)
	for _, n := range notices {
		s.written[n.Fingerprint] = true
		_, present := s.rows[n.Fingerprint]
		switch {
		case !readSince:
			s.rows[n.Fingerprint] = row{version: version, notice: n}
		case !present:
			s.markDue(n.Fingerprint, time.Now())
		}
	}
}

// mergeConflict merges the rows that another instance has written since they were
// last read. Rows of the transaction that are not among them do not exist.
func (s *Sharer) mergeConflict(tx platform.Transaction, current []platform.Row) {
	s.mu.Lock()
	for _, put := range tx.Puts {
		if fp, err := decide.ParseFingerprint(put.Key); err == nil {
			delete(s.rows, fp)
		}
	}
	s.mu.Unlock()
	s.merge(current, false)
}

// removeExpired removes expired rows, and the oldest ones above maxRows, if this
// instance is the one to do so. A row that was written again meanwhile stays.
func (s *Sharer) removeExpired(ctx context.Context) {
	tx := s.expiredRows(time.Now())
	if len(tx.Removes) == 0 {
		return
	}
	_, err := s.store.Commit(ctx, tx)
	var conflict *platform.Conflict
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		s.merge(conflict.Rows, false)
	default:
		s.log.Warn().Str("event", "evidence_unremoved").Int("requests", len(tx.Removes)).Err(err).Msg("expired evidence stays in the store until the next removal")
	}
}

// expiredRows returns a transaction that removes expired rows. It is empty if no
// removal is due.
func (s *Sharer) expiredRows(now time.Time) platform.Transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tx platform.Transaction
	if now.Sub(s.lastRemoval) < removeInterval {
		return tx
	}
	s.lastRemoval = now
	for fp := range s.written {
		if _, ok := s.rows[fp]; !ok {
			delete(s.written, fp)
		}
	}
	if !s.removesExpired() {
		return tx
	}
	for fp, r := range s.rows {
		if r.notice.Expiry.After(now) && len(s.rows)-len(tx.Removes) <= maxRows || len(tx.Removes) == maxRowsPerWrite {
			continue
		}
		key := platform.Row{Table: feeds.TableNotices, Key: fp.String()}
		tx.Expected = append(tx.Expected, platform.Expectation{Table: key.Table, Key: key.Key, Version: r.version})
		tx.Removes = append(tx.Removes, key)
	}
	return tx
}
