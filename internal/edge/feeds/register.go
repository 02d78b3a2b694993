package feeds

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// registerInterval is the wait between tries to write the own row.
const registerInterval = 300 * time.Millisecond

// Registration keeps the row of this instance in the members' table.
type Registration struct {
	Store *platform.Store
	Self  traffic.Member
	Log   zerolog.Logger
	mu    sync.Mutex
	// version is that of the row as last written or seen.
	version uint64
}

// Join writes the row of this instance; it tries until ctx ends. A write whose
// answer was lost is settled by the conflict of the next try.
func (r *Registration) Join(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, err := json.Marshal(r.Self)
	if err != nil {
		return errors.Trace(err)
	}
	row := platform.Row{Table: TableMembers, Key: r.Self.Name, Value: value}
	for ctx.Err() == nil {
		version, err := r.Store.Put(ctx, row, r.version)
		var conflict *platform.Conflict
		switch {
		case err == nil:
			r.version = version
			r.Log.Info().Str("event", "joined").Uint64("row_version", version).Msg("")
			return nil
		case errors.As(err, &conflict):
			r.version = rowVersion(conflict.Rows)
		default:
			r.Log.Warn().Str("event", "join_failed").Err(err).Msg("the row is written again later")
			sleep(ctx, registerInterval)
		}
	}
	return errors.Trace(ctx.Err())
}

// Leave removes the row of this instance.
func (r *Registration) Leave(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := platform.Row{Table: TableMembers, Key: r.Self.Name}
	return errors.Trace(r.Store.Remove(ctx, row, r.version))
}

// Evict removes the row of an instance that has died, unless it has written it
// again since.
func (r *Registration) Evict(ctx context.Context, m traffic.Member) error {
	return errors.Trace(r.Store.Remove(ctx, platform.Row{Table: TableMembers, Key: m.Name}, m.RowVersion))
}

func rowVersion(rows []platform.Row) uint64 {
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}
