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
	// urgentWait and calmWait bound one wait for changes. A feed whose
	// connection has gone silent is noticed after its wait.
	urgentWait = 4 * time.Second
	calmWait   = 15 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Feed follows one table.
type Feed struct {
	Store *platform.Store
	Table string
	Kind  control.Kind
	Push  func(context.Context, control.Update)
	Log   zerolog.Logger
	// decode turns rows into an update.
	decode func(rows []platform.Row) control.Update
	wait   time.Duration
	lostAt time.Time
}

// Operator returns the feed of the operator's table.
func Operator(s *platform.Store, push func(context.Context, control.Update), log zerolog.Logger) *Feed {
	f := &Feed{Store: s, Table: platform.TableOperator, Kind: control.KindOperator, Push: push, Log: log, wait: urgentWait}
	f.decode = f.operator
	return f
}

// Backends returns the feed of the backend servers' table.
func Backends(s *platform.Store, push func(context.Context, control.Update), log zerolog.Logger) *Feed {
	f := &Feed{Store: s, Table: platform.TableBackends, Kind: control.KindBackends, Push: push, Log: log, wait: urgentWait}
	f.decode = f.backends
	return f
}

// Members returns the feed of the entry instances' table.
func Members(s *platform.Store, push func(context.Context, control.Update), log zerolog.Logger) *Feed {
	f := &Feed{Store: s, Table: TableMembers, Kind: control.KindMembers, Push: push, Log: log, wait: calmWait}
	f.decode = f.members
	return f
}

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	backoff := minBackoff
	version, synced := uint64(0), false
	for ctx.Err() == nil {
		next, err := f.step(ctx, version, synced)
		switch {
		case err == nil:
			version, synced, backoff = next, true, minBackoff
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrCompacted):
			synced = false
			continue
		}
		f.lost(ctx, err)
		sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())))
		backoff = min(2*backoff, maxBackoff)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// step reads the whole table, or waits for its next changes.
func (f *Feed) step(ctx context.Context, version uint64, synced bool) (uint64, error) {
	if !synced {
		rows, next, err := f.Store.Rows(ctx, f.Table)
		if err != nil {
			return 0, errors.Trace(err)
		}
		u := f.decode(rows)
		u.Full = true
		f.push(ctx, u)
		return next, nil
	}
	wait := f.wait
	if !f.lostAt.IsZero() {
		// Learn soon whether the store is back.
		wait = 0
	}
	rows, next, err := f.Store.Changes(ctx, f.Table, version, wait)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if len(rows) > 0 || !f.lostAt.IsZero() {
		f.push(ctx, f.decode(rows))
	}
	return max(version, next), nil
}

func (f *Feed) push(ctx context.Context, u control.Update) {
	u.Kind = f.Kind
	if !f.lostAt.IsZero() {
		u.Regained, u.Away = true, time.Since(f.lostAt)
		f.lostAt = time.Time{}
	}
	f.Push(ctx, u)
}

func (f *Feed) lost(ctx context.Context, err error) {
	if !f.lostAt.IsZero() {
		return
	}
	f.lostAt = time.Now()
	f.Log.Warn().Str("event", "feed_failed").Str("table", f.Table).Err(err).Msg("")
	f.Push(ctx, control.Update{Kind: f.Kind, Lost: true})
}

func (f *Feed) skip(row platform.Row, err error) {
	f.Log.Warn().Str("event", "row_skipped").Str("table", f.Table).Str("key", row.Key).Err(err).Msg("the row cannot be used")
}

func (f *Feed) operator(rows []platform.Row) control.Update {
	u := control.Update{Evacuated: map[string]bool{}}
	for _, row := range rows {
		if zone, ok := platform.EvacuatedZone(row.Key); ok {
			u.Evacuated[zone] = !row.Deleted
			continue
		}
		if !platform.IsConfig(row.Key) || row.Deleted {
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
		u.Members[row.Key] = m
	}
	return u
}
