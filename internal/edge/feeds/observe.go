package feeds

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/platform"
)

const (
	// overdueMargin is how long after the end of its wait a call to a source is
	// logged as overdue. It is longer than the limit of any call.
	overdueMargin = 3 * time.Second
	// largeReadBytes is the size of the values of a read that is logged.
	largeReadBytes = 64 << 10
)

// observed returns a source that logs what became of calls to that of sel: those that
// failed, those whose rows are large, and those that do not return.
func (f *Feed) observed(sel selection) Source { return observedSource{feed: f, sel: sel} }

// observedSource is the source of a selection for one feed.
type observedSource struct {
	feed *Feed
	sel  selection
}

// Rows implements Source.
func (o observedSource) Rows(ctx context.Context, table string) ([]platform.Row, platform.Position, error) {
	defer o.watch(0).Stop()
	start := time.Now()
	rows, position, err := o.sel.source.Rows(ctx, table)
	o.log("rows", rows, time.Since(start), err)
	return rows, position, err
}

// Changes implements Source.
func (o observedSource) Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) ([]platform.Row, platform.Position, error) {
	defer o.watch(wait).Stop()
	start := time.Now()
	rows, position, err := o.sel.source.Changes(ctx, table, after, wait)
	o.log("changes", rows, time.Since(start), err)
	return rows, position, err
}

// watch logs a call that has not returned overdueMargin after its wait, unless the
// timer is stopped.
func (o observedSource) watch(wait time.Duration) *time.Timer {
	return time.AfterFunc(wait+overdueMargin, func() {
		o.feed.log.Warn().Str("event", "read_overdue").Str("table", o.feed.table).Str("reader", o.sel.Name).
			Dur("after", wait+overdueMargin).Msg("a call to a source has not returned; an empty name means the store")
	})
}

// log logs a call that took the given time. It leaves out those that were cancelled
// because another source was chosen.
func (o observedSource) log(call string, rows []platform.Row, took time.Duration, err error) {
	if err != nil {
		if o.sel.ctx.Err() == nil && !errors.Is(err, platform.ErrCompacted) && !errors.Is(err, context.Canceled) {
			o.feed.log.Info().Str("event", "read_failed").Str("table", o.feed.table).Str("reader", o.sel.Name).
				Str("call", call).Dur("took", took).Err(err).Msg("")
		}
		return
	}
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Value)
	}
	if bytes >= largeReadBytes {
		o.feed.log.Info().Str("event", "read_large").Str("table", o.feed.table).Str("reader", o.sel.Name).
			Str("call", call).Int("rows", len(rows)).Int("bytes", bytes).Dur("took", took).Msg("")
	}
}
