// Package places keeps the places of objects the same on the instances of a
// region. The first instance of an order that all share assigns them, answers the
// others' asks, and keeps them in a row of the store for the time after a restart
// of all. While it is silent, requests go by hashing.
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
	"github.com/banyandeal/banyandeal/internal/decide/source"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// tablePlaces holds a row for each region, by its name.
const tablePlaces = "places"

const (
	tickInterval = 250 * time.Millisecond
	// askTimeout bounds an ask that a request waits for.
	askTimeout = 50 * time.Millisecond
	// askPause is how long nobody is asked after an ask has failed.
	askPause = 500 * time.Millisecond
	// refreshInterval is the time between asks of an instance whose requests
	// have asked nothing.
	refreshInterval = 2 * time.Second
	refreshTimeout  = time.Second
	// saveInterval is the time between writes of the row.
	saveInterval = 5 * time.Second
	// loadInterval is the time between tries to read the row.
	loadInterval = 500 * time.Millisecond
	// maxRowBytes bounds the value of the row; the newest places come first.
	maxRowBytes = 60 << 10
)

// Desk holds the places and decides on new ones.
type Desk interface {
	Assign(r admission.PlacementRequest, after uint64) []assign.Entry
	Merge(entries []assign.Entry)
	Balance()
	TakeOver()
	PlacesVersion() uint64
}

// Store keeps the row.
type Store interface {
	Row(ctx context.Context, table, key string) (platform.Row, bool, error)
	Put(ctx context.Context, row platform.Row, expected uint64) (uint64, error)
}

// Places is the part of one instance. It is safe for concurrent use.
type Places struct {
	region string
	desk   Desk
	client *relay.Client
	store  Store
	log    zerolog.Logger
	asking singleflight.Group

	mu       sync.Mutex
	selector *source.Selector
	// addresses maps the instances of the region to their peer addresses.
	addresses map[string]string
	// answered is when the last ask was answered, paused until when requests ask
	// nobody.
	answered, paused time.Time
	// leading is set while this instance assigns.
	leading bool
	// row is the version of the row in the store, saved that of the places in it.
	row, saved uint64
	savedAt    time.Time
}

// New returns the part of the instance of a name in a region.
func New(self, region string, d Desk, c *relay.Client, s Store, log zerolog.Logger) *Places {
	return &Places{
		region: region, desk: d, client: c, store: s, log: log,
		selector: source.New(self), addresses: map[string]string{},
	}
}

// Members takes in the instances of the region.
func (p *Places) Members(members []traffic.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	names, p.addresses = traffic.PeerAddresses(members)
	p.selector.Members(p.region, names)
}

// leader is the instance that assigns: this one, or the one of a name. Neither is
// set while all that could are silent.
type leader struct {
	self          bool
	name, address string
}

func (p *Places) leader() leader {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.selector.IsPreferredReader(now) {
		return leader{self: true}
	}
	name := p.selector.Choose(now)
	return leader{name: name, address: p.addresses[name]}
}

// Resolve learns the place of an object, if that is possible at once.
func (p *Places) Resolve(ctx context.Context, r admission.PlacementRequest) {
	l := p.leader()
	switch {
	case l.self:
		p.desk.Assign(r, p.desk.PlacesVersion())
	case l.address != "" && p.mayAsk():
		key := r.Key.Service + "\x00" + r.Key.Prefix + "\x00" + r.Key.Object
		// The ask is shared by requests of which each may be given up.
		_, _, _ = p.asking.Do(key, func() (any, error) {
			p.ask(context.WithoutCancel(ctx), l, r, askTimeout)
			return nil, nil
		})
	}
}

func (p *Places) mayAsk() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.paused)
}

// ask takes in what the leader knows.
func (p *Places) ask(ctx context.Context, l leader, r admission.PlacementRequest, timeout time.Duration) {
	entries, err := p.client.Places(ctx, l.address, r, p.desk.PlacesVersion(), timeout)
	if err == nil {
		p.desk.Merge(entries)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if err == nil {
		p.answered = now
		return
	}
	p.paused = now.Add(askPause)
	if timeout == refreshTimeout || errors.Is(err, feeds.ErrNotReading) {
		p.selector.ReaderFailed(l.name, now)
	}
	p.log.Warn().Str("event", "places_unanswered").Str("leader", l.name).Err(err).Msg("requests go by hashing for a while")
}

// Assign implements relay.Assigner.
func (p *Places) Assign(r admission.PlacementRequest, after uint64) ([]assign.Entry, bool) {
	if !p.leader().self {
		return nil, false
	}
	return p.desk.Assign(r, after), true
}

// Run keeps the places up to date until ctx ends.
func (p *Places) Run(ctx context.Context) {
	p.load(ctx)
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

// load reads the row of the region.
func (p *Places) load(ctx context.Context) {
	for ctx.Err() == nil {
		row, found, err := p.store.Row(ctx, tablePlaces, p.region)
		if err == nil {
			if found {
				p.take(row)
			}
			return
		}
		p.log.Warn().Str("event", "places_unread").Err(err).Msg("the row is read again later; objects go by hashing")
		select {
		case <-time.After(loadInterval):
		case <-ctx.Done():
		}
	}
}

// take takes in a row of the store.
func (p *Places) take(row platform.Row) {
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
		p.log.Warn().Str("event", "places_skipped").Err(err).Msg("the row cannot be read and is written anew")
		return
	}
	p.desk.Merge(entries)
	p.log.Info().Str("event", "places_read").Int("objects", len(entries)).Uint64("row_version", row.Version).Msg("")
}

func (p *Places) tick(ctx context.Context) {
	l := p.leader()
	if p.lead(l.self) {
		p.desk.TakeOver()
		p.log.Info().Str("event", "places_lead").Uint64("version", p.desk.PlacesVersion()).Msg("this instance assigns objects for its region")
	}
	switch {
	case l.self:
		p.desk.Balance()
		p.save(ctx)
	case l.address != "" && p.refreshDue():
		p.ask(ctx, l, admission.PlacementRequest{}, refreshTimeout)
	}
}

// lead notes whether this instance assigns, and reports whether it begins to.
func (p *Places) lead(leads bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	begins := leads && !p.leading
	p.leading = leads
	return begins
}

func (p *Places) refreshDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.answered) >= refreshInterval
}

// save writes the row when the places have changed.
func (p *Places) save(ctx context.Context) {
	p.mu.Lock()
	version, row := p.desk.PlacesVersion(), p.row
	due := version != p.saved && time.Since(p.savedAt) >= saveInterval
	if due {
		p.savedAt = time.Now()
	}
	p.mu.Unlock()
	if !due {
		return
	}
	entries := p.desk.Assign(admission.PlacementRequest{}, 0)
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
		p.row, p.saved = written, version
		p.mu.Unlock()
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		// Another instance has written, or the answer of the last write was lost.
		p.take(conflict.Rows[0])
	case errors.As(err, &conflict):
		p.mu.Lock()
		p.row = 0
		p.mu.Unlock()
	default:
		p.log.Warn().Str("event", "places_unsaved").Err(err).Msg("the row is written again later")
	}
}

// encode returns the newest entries that fit into a row.
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
