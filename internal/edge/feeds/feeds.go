// Package feeds follows the tables of the platform's store and hands what
// changed to the control goroutine.
package feeds

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// TableMembers holds a row for each entry instance, by its name.
const TableMembers = "members"

const (
	// storeBeat bounds one wait of the operator's feed at the store. A store
	// that takes calls and answers none is noticed by it, for all feeds.
	storeBeat = time.Second
	// storeWait and calmWait bound one wait of the other feeds at the store. A
	// store that is about to drop its history may stay silent about changes
	// until the wait is over.
	storeWait = 1500 * time.Millisecond
	calmWait  = 15 * time.Second
	// readerBeat bounds one wait of the operator's feed at a reader, so that a
	// silent one is noticed; the others wait for readerWait.
	readerBeat = 700 * time.Millisecond
	readerWait = 8 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// Pauses after changes, in which more of them come together.
	operatorPause = 20 * time.Millisecond
	backendPause  = 200 * time.Millisecond
	memberPause   = 500 * time.Millisecond
)

// Feed follows one table.
type Feed struct {
	switches *SourceSelector
	replica  *Replica
	table    string
	kind     control.Kind
	push     func(context.Context, control.Update)
	log      zerolog.Logger
	// decode turns rows into an update.
	decode func(rows []platform.Row) control.Update
	// wait and readerWait bound one wait at the store and at a reader.
	wait, readerWait time.Duration
	pause            time.Duration
	lostAt           time.Time
}

// New returns the feeds of the operator's table, the backend servers' and the
// entry instances'.
func New(s *SourceSelector, r *Replica, push func(context.Context, control.Update), log zerolog.Logger) []*Feed {
	operator := &Feed{table: platform.TableOperator, kind: control.KindOperator, wait: storeBeat, readerWait: readerBeat, pause: operatorPause}
	operator.decode = operator.operator
	backends := &Feed{table: platform.TableBackends, kind: control.KindBackends, wait: storeWait, readerWait: readerWait, pause: backendPause}
	backends.decode = backends.backends
	members := &Feed{table: TableMembers, kind: control.KindMembers, wait: calmWait, readerWait: readerWait, pause: memberPause}
	members.decode = members.members
	all := []*Feed{operator, backends, members}
	for _, f := range all {
		f.switches, f.replica, f.push, f.log = s, r, push, log
	}
	return all
}

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	backoff := minBackoff
	version, synced := uint64(0), false
	for ctx.Err() == nil {
		used := f.switches.pick()
		next, err := f.step(ctx, used, version, synced)
		switch {
		case err == nil:
			version, synced, backoff = next, true, minBackoff
			continue
		case ctx.Err() != nil:
			return
		case used.ctx.Err() != nil:
			// Another source was chosen meanwhile.
			continue
		case errors.Is(err, platform.ErrCompacted):
			synced = false
			continue
		}
		f.lost(ctx, used, err)
		if used.direct() {
			sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// step reads the whole table, or waits for its next changes.
func (f *Feed) step(ctx context.Context, used selection, version uint64, synced bool) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(used.ctx, cancel)()
	if !used.direct() {
		f.replica.Lost(f.table)
	}
	if !synced {
		return f.read(ctx, used)
	}
	rows, next, err := used.source.Changes(ctx, f.table, version, f.waitAt(used))
	if err != nil {
		return 0, errors.Trace(err)
	}
	next = max(version, next)
	if used.direct() {
		f.replica.Apply(f.table, rows, next)
	}
	if len(rows) > 0 || !f.lostAt.IsZero() {
		f.deliver(ctx, f.decode(rows))
		sleep(ctx, f.pause)
	}
	return next, nil
}

func (f *Feed) read(ctx context.Context, used selection) (uint64, error) {
	rows, version, err := used.source.Rows(ctx, f.table)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if used.direct() {
		f.replica.Reset(f.table, rows, version)
	}
	u := f.decode(rows)
	u.Full = true
	f.deliver(ctx, u)
	return version, nil
}

// waitAt returns how long to wait for changes. After a failure it is short, to
// learn soon that the source is back.
func (f *Feed) waitAt(used selection) time.Duration {
	switch {
	case !f.lostAt.IsZero():
		return 0
	case used.direct():
		return f.wait
	}
	return f.readerWait
}

func (f *Feed) deliver(ctx context.Context, u control.Update) {
	u.Kind = f.kind
	if !f.lostAt.IsZero() {
		u.Regained, u.Away = true, time.Since(f.lostAt)
		f.lostAt = time.Time{}
	}
	f.push(ctx, u)
}

// lost takes in that a source failed. While another one may be left, nothing is
// lost yet.
func (f *Feed) lost(ctx context.Context, used selection, err error) {
	if used.direct() && f.kind == control.KindOperator {
		// The other feeds may wait for an answer that does not come.
		f.replica.LostAll()
		f.switches.renew(used)
	}
	f.replica.Lost(f.table)
	f.switches.failed(used)
	if !used.direct() || !f.lostAt.IsZero() {
		return
	}
	f.lostAt = time.Now()
	f.log.Warn().Str("event", "feed_failed").Str("table", f.table).Err(err).Msg("")
	f.push(ctx, control.Update{Kind: f.kind, Lost: true})
}

func (f *Feed) skip(row platform.Row, err error) {
	f.log.Warn().Str("event", "row_skipped").Str("table", f.table).Str("key", row.Key).Err(err).Msg("the row cannot be used")
}

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
			f.skip(row, err)
			continue
		}
		u.Config = c
	}
	return u
}

func (f *Feed) backends(rows []platform.Row) control.Update {
	u := control.Update{Backends: map[string]*traffic.Backend{}}
	for _, row := range rows {
		if row.Deleted {
			u.Backends[row.Key] = nil
			continue
		}
		b, err := platform.DecodeBackend(row.Key, row.Value, time.Now())
		if err != nil {
			f.skip(row, err)
			b = nil
		}
		u.Backends[row.Key] = b
	}
	return u
}

func (f *Feed) members(rows []platform.Row) control.Update {
	u := control.Update{Members: map[string]*traffic.Member{}}
	for _, row := range rows {
		u.Members[row.Key] = nil
		if row.Deleted {
			continue
		}
		m := &traffic.Member{}
		if err := json.Unmarshal(row.Value, m); err != nil {
			f.skip(row, err)
			continue
		}
		m.RowVersion = row.Version
		u.Members[row.Key] = m
	}
	return u
}
