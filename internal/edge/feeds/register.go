package feeds

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/wait"
	"github.com/banyandeal/banyandeal/platform"
)

// joinRetryInterval is the delay between attempts to write the row of this
// instance.
const joinRetryInterval = 300 * time.Millisecond

// Registration writes and removes the row of this instance in the members' table.
// It is safe for concurrent use.
type Registration struct {
	store *platform.Store
	// self is the content of the row.
	self traffic.Member
	log  zerolog.Logger
	// leaving is set when the instance removes its row for good.
	leaving atomic.Bool
	// turn is filled by the method that calls the store, which may take long.
	turn chan struct{}
	// version is the version of the row as last written or read; 0 means that the
	// row is absent.
	version uint64
}

// NewRegistration returns the registration of the instance that self describes.
func NewRegistration(store *platform.Store, self traffic.Member, log zerolog.Logger) *Registration {
	return &Registration{store: store, self: self, log: log, turn: make(chan struct{}, 1)}
}

// take waits for the turn of a method. Errors: that of ctx.
func (r *Registration) take(ctx context.Context) error {
	select {
	case r.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (r *Registration) yield() { <-r.turn }

// errLeaving is returned by Join after Leave has been called.
const errLeaving = errors.ConstError("this instance is shutting down and writes its row no more")

// Join writes the row of this instance. It retries until ctx is done or Leave is called.
// If the response to a write was lost, the next attempt conflicts with that write, and
// Join continues from the version in the conflict.
func (r *Registration) Join(ctx context.Context) error {
	if err := r.take(ctx); err != nil {
		return err
	}
	defer r.yield()
	value, err := json.Marshal(r.self)
	if err != nil {
		return errors.Trace(err)
	}
	row := platform.Row{Table: TableMembers, Key: r.self.Name, Value: value}
	for ctx.Err() == nil {
		if r.leaving.Load() {
			return errLeaving
		}
		version, err := r.store.Put(ctx, row, r.version)
		var conflict *platform.Conflict
		switch {
		case err == nil:
			r.version = version
			r.log.Info().Str("event", "joined").Uint64("row_version", version).Msg("")
			return nil
		case errors.As(err, &conflict):
			r.version = rowVersion(conflict.Rows)
		default:
			r.log.Warn().Str("event", "join_failed").Err(err).Msg("the row of this instance cannot be written; the write is retried")
			wait.Sleep(ctx, joinRetryInterval)
		}
	}
	return errors.Trace(ctx.Err())
}

// Leave removes the row of this instance, unless another writer has changed it, and keeps
// Join from writing it again. It retries until ctx is done.
func (r *Registration) Leave(ctx context.Context) error {
	r.leaving.Store(true)
	if err := r.take(ctx); err != nil {
		return err
	}
	defer r.yield()
	row := platform.Row{Table: TableMembers, Key: r.self.Name}
	for {
		err := r.store.Remove(ctx, row, r.version)
		var conflict *platform.Conflict
		if err == nil || errors.As(err, &conflict) || ctx.Err() != nil {
			return errors.Trace(err)
		}
		r.log.Warn().Str("event", "leave_failed").Err(err).Msg("the row of this instance cannot be removed; the removal is retried")
		wait.Sleep(ctx, joinRetryInterval)
	}
}

// Evict removes the row of a dead instance, unless the instance has written its
// row again since the version in m.
func (r *Registration) Evict(ctx context.Context, m traffic.Member) error {
	return errors.Trace(r.store.Remove(ctx, platform.Row{Table: TableMembers, Key: m.Name}, m.RowVersion))
}

// rowVersion returns the version of the first row, or 0 if there is none.
func rowVersion(rows []platform.Row) uint64 {
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}
