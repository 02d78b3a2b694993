// Package feeds follows the tables of the platform's store and passes their
// changes to the control goroutine. One instance of a region reads the store; every
// other one reads the tables from an instance that precedes it in the tree of the region
// and passes them on.
package feeds

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/wait"
	"github.com/banyandeal/banyandeal/platform"
)

// TableMembers is the table that holds a row for each entry instance. The key of
// the row is the name of the instance.
const TableMembers = "members"

// TableNotices is the table by which instances tell each other what they have learnt from
// responses. It has a row for each request that was in flight in the crash of a backend
// server, whose key is the request's fingerprint, and a row for each backend server that
// states a request limit, whose key is LimitKeyPrefix and the ID of the backend server. They
// share a table, and so a feed, because each feed costs calls to the store at rest.
const (
	TableNotices   = "quarantine"
	LimitKeyPrefix = "limit/"
)

const (
	// operatorStoreWait bounds one wait of the operator's feed for changes from the
	// store. It is short because this feed detects, for all feeds, a store that
	// accepts calls but does not respond.
	operatorStoreWait = time.Second
	// backendStoreWait bounds one wait of the backend servers' feed for changes from
	// the store. A store that is about to drop its history may not report changes
	// until the wait is over.
	backendStoreWait = 1500 * time.Millisecond
	// memberStoreWait bounds one wait of the members' feed for changes from the
	// store.
	memberStoreWait = 15 * time.Second
	// operatorReaderWait bounds one wait of the operator's feed for changes from a
	// reader. It is short because this feed detects a reader that does not respond.
	operatorReaderWait = 700 * time.Millisecond
	// readerWait bounds one wait of the other feeds for changes from a reader.
	readerWait = 8 * time.Second
	// refusalInterval is the time between reads of a table that a reader does not have yet,
	// maxRefusal the time after which it counts as failed. Tables that are read anew are
	// there within about a second.
	refusalInterval = 100 * time.Millisecond
	maxRefusal      = 3 * time.Second
	// maxIdleMargin is how long beyond the longest wait for changes a table is offered to other
	// instances without a response of its source. A large change takes some tenths of it.
	maxIdleMargin = 1500 * time.Millisecond
	// minBackoff is the delay after the first failed call to the store.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the delay after repeated failed calls to the store of the
	// instance that reads it for its region.
	maxBackoff = 600 * time.Millisecond
	// sharedBackoff is the same for each instance of the region that reads the store for
	// lack of another source, so that all of them together make some calls a second.
	sharedBackoff = 250 * time.Millisecond
	// maxSharedBackoff bounds the backoff of large regions.
	maxSharedBackoff = 4 * time.Second
	// operatorBatchInterval is how long the operator's feed waits after a change, so
	// that further changes are delivered together.
	operatorBatchInterval = 20 * time.Millisecond
	// backendBatchInterval is the batch interval of the backend servers' feed.
	backendBatchInterval = 200 * time.Millisecond
	// memberBatchInterval is the batch interval of the members' feed.
	memberBatchInterval = 500 * time.Millisecond
	// noticeBatchInterval is the batch interval of the notices' feed.
	noticeBatchInterval = 50 * time.Millisecond
)

// Feed follows one table.
type Feed struct {
	selector *SourceSelector
	replica  *Replica
	table    string
	kind     control.Kind
	push     func(context.Context, control.Update)
	log      zerolog.Logger
	// decode converts rows to an update for push. It is nil if receive is set.
	decode func(rows []platform.Row) control.Update
	// receive takes rows instead of push. full means that they are all rows of the
	// table.
	receive RowReceiver
	// detectsOutage is set for the feed that detects, for all feeds, a store that does
	// not respond.
	detectsOutage bool
	// storeWait bounds one wait for changes from the store. readerWait bounds one
	// wait for changes from a reader.
	storeWait, readerWait time.Duration
	// batchInterval is the pause after a change from the store in which further changes
	// collect. What an instance passes on has collected there.
	batchInterval time.Duration
	// lostAt is the time since which the store cannot be read; zero while it can.
	lostAt time.Time
	// lastStoreCall is when the feed last called the store.
	lastStoreCall time.Time
	// confirmed is the context of the newest selection that has replied. refusedBy is that of
	// the one that does not have the table, refusedSince the time since which it has not.
	confirmed, refusedBy context.Context
	refusedSince         time.Time
}

// RowReceiver takes rows of a table, which was read at a position. full means that they are
// all its rows. It must not block.
type RowReceiver func(rows []platform.Row, full bool, at platform.Position)

// New returns the feeds of the operator's table, of the backend servers' table, of the
// members' table and of the table of notices. The first three pass their updates to push,
// the last one passes its rows to quarantine and to limits, each its own.
func New(s *SourceSelector, r *Replica, push func(context.Context, control.Update), quarantine, limits RowReceiver, log zerolog.Logger) []*Feed {
	operator := &Feed{detectsOutage: true, table: platform.TableOperator, kind: control.KindOperator, storeWait: operatorStoreWait, readerWait: operatorReaderWait, batchInterval: operatorBatchInterval}
	operator.decode = operator.operator
	backends := &Feed{table: platform.TableBackends, kind: control.KindBackends, storeWait: backendStoreWait, readerWait: readerWait, batchInterval: backendBatchInterval}
	backends.decode = backends.backends
	members := &Feed{table: TableMembers, kind: control.KindMembers, storeWait: memberStoreWait, readerWait: readerWait, batchInterval: memberBatchInterval}
	members.decode = members.members
	notices := &Feed{table: TableNotices, receive: splitNotices(quarantine, limits), storeWait: memberStoreWait, readerWait: readerWait, batchInterval: noticeBatchInterval}
	all := []*Feed{operator, backends, members, notices}
	for _, f := range all {
		f.selector, f.replica, f.push, f.log = s, r, push, log
		r.limitIdle(f.table, max(f.storeWait, f.readerWait)+maxIdleMargin)
	}
	return all
}

// splitNotices returns a receiver that passes the rows of limits to one receiver and the others
// to another.
func splitNotices(quarantine, limits RowReceiver) RowReceiver {
	return func(rows []platform.Row, full bool, at platform.Position) {
		var limited, other []platform.Row
		for _, r := range rows {
			if strings.HasPrefix(r.Key, LimitKeyPrefix) {
				limited = append(limited, r)
			} else {
				other = append(other, r)
			}
		}
		if full || len(limited) > 0 {
			limits(limited, full, at)
		}
		if full || len(other) > 0 {
			quarantine(other, full, at)
		}
	}
}

// Run follows the table until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	backoff := minBackoff
	position, synced := platform.Position{}, false
	// follows is set once changes after the last whole read have been read.
	follows := false
	for ctx.Err() == nil {
		if synced || f.table == TableNotices {
			f.selector.start.awaitMembers(ctx)
		}
		sel := f.awaitSource(ctx)
		next, err := f.poll(ctx, sel, position, synced)
		switch {
		case err == nil:
			if follows = synced; follows {
				backoff = minBackoff
			}
			position, synced = next, true
			f.succeeded(sel)
			continue
		case ctx.Err() != nil:
			return
		case sel.ctx.Err() != nil:
			// The call was cancelled because the source selector chose another source
			// or restarted its calls.
			continue
		case errors.Is(err, platform.ErrCompacted) && (follows || !synced):
			synced, follows = false, false
			continue
		case errors.Is(err, platform.ErrCompacted):
			// The whole read was older than the history, and the next one may be too.
			synced = false
		case errors.Is(err, ErrStoreBehind):
			// The store responds, and no other instance can know more.
			f.replica.Confirm(f.table)
			f.succeeded(sel)
		default:
			f.handleFailure(ctx, sel, err)
		}
		if f.refusedBy == sel.ctx {
			wait.Sleep(sel.ctx, refusalInterval)
		}
		if sel.fromStore() {
			f.awaitRetry(ctx, f.selector.random.Jitter(backoff))
			backoff = min(2*backoff, f.selector.maxStoreBackoff())
		}
	}
}

// poll reads the whole table if it has not been read yet, otherwise it waits for
// changes after the given position. It returns the position to continue from.
func (f *Feed) poll(ctx context.Context, sel selection, position platform.Position, synced bool) (platform.Position, error) {
	// Only calls to the source end when another one is chosen. What was read is
	// delivered, because its version is taken.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer sel.calls.add(cancel)()
	if sel.ctx.Err() != nil {
		// The calls of sel were cancelled before this one was among them.
		cancel()
	}
	if !synced {
		return f.readTable(ctx, callCtx, sel, position)
	}
	rows, next, err := f.observed(sel).Changes(callCtx, f.table, position, f.waitFor(sel))
	if err != nil {
		return platform.Position{}, errors.Trace(err)
	}
	if next.Era != position.Era {
		return platform.Position{}, ErrReaderBehind
	}
	next.Version = max(position.Version, next.Version)
	f.replica.setPassedOn(f.table, !sel.Lateral)
	f.replica.Apply(f.table, rows, next)
	f.replica.RecordRead(f.table, sel.storeReadAt(f.table))
	changed := len(rows) > 0 || !f.lostAt.IsZero()
	if changed {
		f.deliver(ctx, delivery{rows: rows, origin: f.origin(sel, next)})
	}
	f.selector.recordRead(f.table)
	if changed && sel.fromStore() {
		wait.Sleep(callCtx, f.batchInterval)
	}
	return next, nil
}

// ErrReaderBehind means that a reader has an older table than this feed, or one of
// another era.
const ErrReaderBehind = errors.ConstError("the reader has an older table; read from the store or from another instance")

// ErrStoreBehind means that the store has responded with an older table than this feed has
// read before.
const ErrStoreBehind = errors.ConstError("the store responds with an older table than it did before; what is known stays in use, and the table is read again")

// rejectOlder logs a whole read that is older than what is known, and returns its error.
func (f *Feed) rejectOlder(sel selection, read platform.Position) error {
	known := f.replica.position(f.table)
	f.log.Warn().Str("event", "older_read").Str("table", f.table).Str("source", sel.Name).
		Uint64("era", read.Era).Uint64("version", read.Version).Uint64("known_era", known.Era).Uint64("known_version", known.Version).
		Dur("age", time.Since(f.replica.StoreReadAt(f.table))).Msg("the whole table was read at an older position than it is known at; what is known stays in use")
	if sel.fromStore() {
		return ErrStoreBehind
	}
	return ErrReaderBehind
}

// readTable reads the whole table by a call with callCtx and returns its position.
// before is the newest position that the feed has delivered.
func (f *Feed) readTable(ctx, callCtx context.Context, sel selection, before platform.Position) (platform.Position, error) {
	rows, position, err := f.observed(sel).Rows(callCtx, f.table)
	if err != nil {
		return platform.Position{}, errors.Trace(err)
	}
	f.replica.setPassedOn(f.table, !sel.Lateral)
	if !f.replica.Reset(f.table, rows, position) {
		return platform.Position{}, f.rejectOlder(sel, position)
	}
	newEra := before != platform.Position{} && position.Era != before.Era
	if newEra {
		f.log.Warn().Str("event", "store_era").Str("table", f.table).Uint64("era", position.Era).Uint64("version", position.Version).
			Uint64("era_before", before.Era).Uint64("version_before", before.Version).
			Msg("the store came back from an older copy; what is known to be newer stays in use until it is written again")
	}
	f.replica.RecordRead(f.table, sel.storeReadAt(f.table))
	f.deliver(ctx, delivery{rows: rows, full: true, newEra: newEra, origin: f.origin(sel, position)})
	f.selector.recordRead(f.table)
	return position, nil
}

// waitFor returns how long a call for changes may wait. It is 0 while the store is
// lost, so that the feed soon detects that a source responds again, while this instance
// does not pass the table on, so that it soon does, and in the first call to a source, so
// that one that does not respond is soon left.
func (f *Feed) waitFor(sel selection) time.Duration {
	switch {
	case !f.lostAt.IsZero(), !f.replica.IsCurrent(f.table), f.confirmed != sel.ctx:
		return 0
	case sel.fromStore():
		return f.storeWait
	}
	return f.readerWait
}

// delivery is a set of rows for a receiver.
type delivery struct {
	rows []platform.Row
	// full means that they are all rows of the table, newEra that they are of a later
	// era than what was delivered before, and may be older.
	full, newEra bool
	origin       control.Origin
}

// origin returns where rows of the given position come from that have just been read.
func (f *Feed) origin(sel selection, p platform.Position) control.Origin {
	return control.Origin{
		Source: sel.Name, Era: p.Era, Version: p.Version,
		StoreReadAt: f.replica.StoreReadAt(f.table), Arrived: time.Now(),
	}
}

// deliver passes rows to their receiver, or an update to the control goroutine together
// with the end of an outage of the store.
func (f *Feed) deliver(ctx context.Context, d delivery) {
	if f.receive != nil {
		f.lostAt = time.Time{}
		f.receive(d.rows, d.full, platform.Position{Era: d.origin.Era, Version: d.origin.Version})
		return
	}
	u := f.decode(d.rows)
	u.Kind, u.Full, u.NewEra, u.Origin = f.kind, d.full, d.newEra, d.origin
	if !f.lostAt.IsZero() {
		u.Regained, u.OutageDuration = true, time.Since(f.lostAt)
		f.lostAt = time.Time{}
	}
	f.push(ctx, u)
}

// succeeded records that a call to a source succeeded.
func (f *Feed) succeeded(sel selection) {
	f.confirmed, f.refusedBy = sel.ctx, nil
	if f.detectsOutage {
		f.selector.outage.end()
	}
	switch {
	case !sel.fromStore():
		f.selector.chooser.ReaderResponded(sel.Name)
	case f.detectsOutage:
		f.selector.chooser.StoreResponded(true)
	}
}

// handleFailure records that a call to a source failed. It reports the store as
// lost only if the store itself failed; after the failure of a reader, the feed
// continues with another source.
func (f *Feed) handleFailure(ctx context.Context, sel selection, err error) {
	if !sel.fromStore() {
		f.replica.Lost(f.table)
		if !f.awaitsTable(sel, err) {
			f.selector.readerFailed(sel, err)
		}
		return
	}
	if f.detectsOutage {
		// The other feeds may be waiting for a response that will not arrive.
		f.selector.outage.begin()
		f.selector.chooser.StoreResponded(false)
		f.replica.LostAll()
		f.selector.cancelCalls(sel)
	}
	f.replica.Lost(f.table)
	if !f.lostAt.IsZero() {
		return
	}
	f.lostAt = time.Now()
	f.log.Warn().Str("event", "feed_failed").Str("table", f.table).Err(err).Msg("")
	if f.receive == nil {
		f.push(ctx, control.Update{Kind: f.kind, Lost: true})
	}
}

// isRefusal reports whether an error means that another instance has responded without having a
// table.
func isRefusal(err error) bool {
	return errors.Is(err, ErrNotReading) || errors.Is(err, ErrStoreLost) || errors.Is(err, ErrReaderBehind)
}

// awaitsTable reports whether the feed should go on with a reader that does not have its
// table yet: the other feeds may have theirs, and a transfer on its way. The operator's feed
// does not, and the others do so for maxRefusal.
func (f *Feed) awaitsTable(sel selection, err error) bool {
	if f.detectsOutage || !isRefusal(err) {
		return false
	}
	if f.refusedBy != sel.ctx {
		f.refusedBy, f.refusedSince = sel.ctx, time.Now()
	}
	return time.Since(f.refusedSince) < maxRefusal
}

// logSkippedRow logs that a row cannot be decoded.
func (f *Feed) logSkippedRow(row platform.Row, err error) {
	f.log.Warn().Str("event", "row_skipped").Str("table", f.table).Str("key", row.Key).Err(err).Msg("the row cannot be decoded and is not used")
}

// operator converts rows of the operator's table to an update. It ignores a
// configuration that cannot be decoded, so that the previous one stays in use.
func (f *Feed) operator(rows []platform.Row) control.Update {
	u := control.Update{Evacuated: map[string]bool{}}
	for _, row := range rows {
		if zone, ok := platform.EvacuatedZone(row.Key); ok {
			u.Evacuated[zone] = !row.Deleted
			continue
		}
		if !platform.IsConfigKey(row.Key) || row.Deleted {
			continue
		}
		c, err := platform.DecodeConfig(row.Value)
		if err != nil {
			f.logSkippedRow(row, err)
			continue
		}
		u.Config = c
	}
	return u
}

// backends converts rows of the backend servers' table to an update. A row that
// cannot be decoded counts as removed.
func (f *Feed) backends(rows []platform.Row) control.Update {
	u := control.Update{Backends: map[string]*traffic.Backend{}}
	for _, row := range rows {
		if row.Deleted {
			u.Backends[row.Key] = nil
			continue
		}
		b, err := platform.DecodeBackend(row.Key, row.Value, time.Now())
		if err != nil {
			f.logSkippedRow(row, err)
			b = nil
		}
		u.Backends[row.Key] = b
	}
	return u
}

// members converts rows of the members' table to an update. A row that cannot be
// decoded counts as removed.
func (f *Feed) members(rows []platform.Row) control.Update {
	u := control.Update{Members: map[string]*traffic.Member{}}
	for _, row := range rows {
		u.Members[row.Key] = nil
		if row.Deleted {
			continue
		}
		m := &traffic.Member{}
		if err := json.Unmarshal(row.Value, m); err != nil {
			f.logSkippedRow(row, err)
			continue
		}
		m.RowVersion = row.Version
		u.Members[row.Key] = m
	}
	return u
}
