// Package places keeps the placements of objects the same on all instances of a
// region. A placement is the backend server that an object is assigned to.
//
// The leader is the first responsive instance in an order that all instances share.
// It assigns objects, replies to the requests of the other instances, and saves the
// placements in a row of the store, so that they survive a restart of all instances.
// While the leader does not reply, the other instances place objects by hashing.
package places

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/decide/leader"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/platform"
)

// tablePlaces is the table that holds the placements of each region. The key of a
// row is the name of the region.
const tablePlaces = "places"

const (
	// tickInterval is the time between checks whether to refresh or save.
	tickInterval = 250 * time.Millisecond
	// resolveTimeout bounds a call to the leader that a request waits for.
	resolveTimeout = 50 * time.Millisecond
	// failureBackoff is how long requests do not call the leader after a failed call.
	failureBackoff = 500 * time.Millisecond
	// refreshInterval is the time after the last reply of the leader at which an
	// instance calls the leader without a request.
	refreshInterval = 2 * time.Second
	// refreshTimeout bounds a call to the leader that no request waits for.
	refreshTimeout = time.Second
	// saveInterval is the shortest time between writes of the row.
	saveInterval = 5 * time.Second
	// loadRetryInterval is the delay between attempts to read the row.
	loadRetryInterval = 500 * time.Millisecond
	// maxRowBytes is the largest size of the row's value. Older placements that do
	// not fit are not saved.
	maxRowBytes = 60 << 10
)

// PlacementTable holds the placements of this instance and assigns objects. It must be
// safe for concurrent use.
type PlacementTable interface {
	// Assign assigns the object of the request, unless its key is empty, and returns
	// the entries that are newer than the given version.
	Assign(r admission.PlacementRequest, afterVersion uint64) []assign.Entry
	// Merge merges the entries of another instance or of the store.
	Merge(entries []assign.Entry)
	// Adopt adds the entries of an instance that was the leader until now.
	Adopt(entries []assign.Entry)
	// Balance moves objects between backend servers to even out their load.
	Balance()
	// TakeOver makes all later entries newer than those of the previous leader.
	TakeOver()
	// PlacesVersion returns the version of the newest entry.
	PlacesVersion() uint64
}

// Store reads and writes the row. Its methods are those of platform.Store.
type Store interface {
	// Era returns the era of the store, which rises when the store comes back from an
	// older copy of itself.
	Era() uint64
	Row(ctx context.Context, table, key string) (platform.Row, bool, error)
	Put(ctx context.Context, row platform.Row, expected uint64) (uint64, error)
}

// Places keeps the placements of one instance up to date. It is safe for concurrent
// use.
type Places struct {
	self, region string
	placements   PlacementTable
	client       *relay.Client
	store        Store
	log          zerolog.Logger
	// inFlight combines concurrent calls to the leader for the same object.
	inFlight singleflight.Group

	mu       sync.Mutex
	selector *leader.Selector
	// addresses maps the names of the region's instances to their peer addresses.
	addresses map[string]string
	// lastReply is the time of the last reply of the leader. backoffUntil is the time
	// until which requests do not call the leader.
	lastReply, backoffUntil time.Time
	// leading is set while this instance is the leader, and handoverDue from then on
	// until the next leader has its placements.
	leading, handoverDue bool
	// row is the version of the row in the store; 0 means that the row is absent.
	// savedVersion is the version of the placements that were saved last.
	row, savedVersion uint64
	// lastSave is the time of the last attempt to write the row, and savedEra the era of
	// the store then.
	lastSave time.Time
	savedEra uint64
}

// New returns a Places for the instance named self in the given region.
func New(self, region string, d PlacementTable, c *relay.Client, s Store, log zerolog.Logger) *Places {
	return &Places{
		self: self, region: region, placements: d, client: c, store: s, log: log,
		selector: leader.New(self), addresses: map[string]string{},
	}
}

// Members sets the names of the region's instances in the order in which they lead, and
// their peer addresses.
func (p *Places) Members(order []string, addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	p.selector.Members(order)
}

// leaderInstance identifies the leader of the region. It is the zero value while no instance
// that may become the leader responds.
type leaderInstance struct {
	// self is set if this instance is the leader.
	self bool
	// name is the name of the leader if it is another instance. address is its peer
	// address.
	name, address string
}

// leader returns the current leader.
func (p *Places) leader() leaderInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := p.selector.Choose(time.Now())
	if name == p.self {
		return leaderInstance{self: true}
	}
	return leaderInstance{name: name, address: p.addresses[name]}
}

// Resolve obtains the placement of the request's object: it assigns the object if
// this instance is the leader, otherwise it calls the leader. It returns without a
// placement if the leader does not reply within resolveTimeout.
func (p *Places) Resolve(ctx context.Context, r admission.PlacementRequest) {
	l := p.leader()
	switch {
	case l.self:
		p.placements.Assign(r, p.placements.PlacesVersion())
	case l.address != "" && p.mayFetch():
		key := r.Key.Service + "\x00" + r.Key.Prefix + "\x00" + r.Key.Object
		// Several requests may wait for this call, so that the cancellation of one
		// request must not end it.
		_, _, _ = p.inFlight.Do(key, func() (any, error) {
			p.fetch(context.WithoutCancel(ctx), l, r, resolveTimeout)
			return nil, nil
		})
	}
}

// mayFetch reports whether a request may call the leader.
func (p *Places) mayFetch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.backoffUntil)
}

// fetch requests the newer placements from the leader and merges them. After a
// failed refresh, or if the instance does not lead, the next instance in the shared
// order becomes the leader. A resolve has a short timeout, so that its failure does
// not prove that the leader failed.
func (p *Places) fetch(ctx context.Context, l leaderInstance, r admission.PlacementRequest, timeout time.Duration) {
	handover := p.pendingHandover(timeout)
	entries, err := p.client.Places(ctx, l.address, r, p.placements.PlacesVersion(), handover, timeout)
	if err == nil {
		p.placements.Merge(entries)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if err == nil {
		p.lastReply = now
		p.handoverDue = p.handoverDue && len(handover) == 0
		return
	}
	p.backoffUntil = now.Add(failureBackoff)
	if timeout == refreshTimeout || errors.Is(err, feeds.ErrNotReading) {
		p.selector.Failed(l.name, now)
	}
	p.log.Warn().Str("event", "places_unanswered").Str("leader", l.name).Err(err).Msg("the leader did not reply with placements; requests are placed by hashing until the backoff ends")
}

// pendingHandover returns all placements if this instance was the leader until now.
// They go with a refresh, for which no request waits.
func (p *Places) pendingHandover(timeout time.Duration) []assign.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.handoverDue || timeout != refreshTimeout {
		return nil
	}
	return p.placements.Assign(admission.PlacementRequest{}, 0)
}

// Adopt implements relay.Assigner.
func (p *Places) Adopt(entries []assign.Entry) bool {
	if !p.leader().self {
		return false
	}
	p.placements.Adopt(entries)
	return true
}

// Assign implements relay.Assigner.
func (p *Places) Assign(r admission.PlacementRequest, afterVersion uint64) ([]assign.Entry, bool) {
	if !p.leader().self {
		return nil, false
	}
	return p.placements.Assign(r, afterVersion), true
}

// Run loads the saved placements, then keeps the placements up to date until ctx is
// done.
func (p *Places) Run(ctx context.Context) {
	p.loadRow(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick(ctx)
		}
	}
}

// loadRow reads the row of the region and merges it. It retries until it succeeds or
// ctx is done.
func (p *Places) loadRow(ctx context.Context) {
	for ctx.Err() == nil {
		row, found, err := p.store.Row(ctx, tablePlaces, p.region)
		if err == nil {
			if found {
				p.mergeRow(row)
			}
			return
		}
		p.log.Warn().Str("event", "places_unread").Err(err).Msg("the saved placements cannot be read; the read is retried, and objects are placed by hashing")
		select {
		case <-time.After(loadRetryInterval):
		case <-ctx.Done():
		}
	}
}

// mergeRow records the version of a row of the store and merges its placements. A row
// that cannot be decoded is overwritten by the next save.
func (p *Places) mergeRow(row platform.Row) {
	message := &relaypb.Places{}
	err := proto.Unmarshal(row.Value, message)
	var entries []assign.Entry
	if err == nil {
		entries, err = relay.DecodePlaces(message)
	}
	p.mu.Lock()
	p.row = row.Version
	p.mu.Unlock()
	if err != nil {
		p.log.Warn().Str("event", "places_skipped").Err(err).Msg("the row of saved placements cannot be decoded; the next save overwrites it")
		return
	}
	p.placements.Merge(entries)
	p.log.Info().Str("event", "places_read").Int("objects", len(entries)).Uint64("row_version", row.Version).Msg("")
}

// tick refreshes the placements from the leader, or balances and saves them if this
// instance is the leader.
func (p *Places) tick(ctx context.Context) {
	l := p.leader()
	if p.updateLeading(l.self) {
		p.placements.TakeOver()
		p.log.Info().Str("event", "places_lead").Uint64("version", p.placements.PlacesVersion()).Msg("this instance is the leader and assigns the objects of its region")
	}
	switch {
	case l.self:
		p.placements.Balance()
		p.saveRow(ctx)
	case l.address != "" && p.refreshDue():
		p.fetch(ctx, l, admission.PlacementRequest{}, refreshTimeout)
	}
}

// updateLeading records whether this instance is the leader and reports whether it has
// just become the leader. An instance that is the leader no more hands over.
func (p *Places) updateLeading(leads bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	begins := leads && !p.leading
	p.handoverDue = !leads && (p.handoverDue || p.leading)
	p.leading = leads
	return begins
}

// refreshDue reports whether the last reply of the leader is older than
// refreshInterval, or whether the leader is to get the placements of this instance.
func (p *Places) refreshDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handoverDue || time.Since(p.lastReply) >= refreshInterval
}

// saveRow writes the row if the placements have changed since the last save and
// saveInterval has passed.
func (p *Places) saveRow(ctx context.Context) {
	p.mu.Lock()
	version, row, era := p.placements.PlacesVersion(), p.row, p.store.Era()
	due := (version != p.savedVersion || era != p.savedEra) && time.Since(p.lastSave) >= saveInterval
	if due {
		p.lastSave = time.Now()
	}
	p.mu.Unlock()
	if !due {
		return
	}
	entries := p.placements.Assign(admission.PlacementRequest{}, 0)
	if len(entries) == 0 {
		return
	}
	value, err := encode(entries)
	if err != nil {
		p.log.Error().Str("event", "places_unsaved").Err(err).Msg("")
		return
	}
	written, err := p.store.Put(ctx, platform.Row{Table: tablePlaces, Key: p.region, Value: value}, row)
	var conflict *platform.Conflict
	switch {
	case err == nil:
		p.mu.Lock()
		p.row, p.savedVersion, p.savedEra = written, version, era
		p.mu.Unlock()
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		// Another instance wrote the row, or the response to the last write was lost.
		p.mergeRow(conflict.Rows[0])
	case errors.As(err, &conflict):
		p.mu.Lock()
		p.row = 0
		p.mu.Unlock()
	default:
		p.log.Warn().Str("event", "places_unsaved").Err(err).Msg("the placements cannot be saved; the save is retried")
	}
}

// encode encodes the newest entries that fit into a row. It drops the older half of
// the entries until the rest fits. The entries must be ordered from old to new.
func encode(entries []assign.Entry) ([]byte, error) {
	for {
		value, err := proto.Marshal(relay.EncodePlaces(entries))
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(value) <= maxRowBytes {
			return value, nil
		}
		entries = entries[len(entries)/2:]
	}
}
