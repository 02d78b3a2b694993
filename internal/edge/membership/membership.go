// Package membership maintains the members' table and the view that this instance has of
// the others: it removes the rows of dead instances, writes the row of this instance again
// if another one removed it by mistake, and tells the feeds from which instance to read.
package membership

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/decide/tree"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// stepInterval is the time between steps of the peers' machine.
	stepInterval = 200 * time.Millisecond
	// regainWait is how long a check waits for a peer that responded without having the
	// tables.
	regainWait = time.Second
	// rejoinDelay is how long the row of this instance may be missing before it is
	// written again.
	rejoinDelay = time.Second
	// rejoinInterval is the shortest time between two writes of the row, in which the
	// members' feed delivers the first one.
	rejoinInterval = 8 * time.Second
	// maxTablesAge is the age of the operator's table beyond which this instance may be cut
	// off from all others. It is longer than any sound read takes.
	maxTablesAge = 2 * time.Second
	// evictTimeout bounds the removal of a row with the check before it.
	evictTimeout = 3 * time.Second
	// maxEvictions bounds the removals in progress. Those that do not fit are tried again
	// when the peers' machine reports their instances again.
	maxEvictions = 16
)

// Registration writes and removes rows of the members' table.
type Registration interface {
	// Join writes the row of this instance.
	Join(ctx context.Context) error
	// Evict removes the row of another instance, unless it has been written again.
	Evict(ctx context.Context, m traffic.Member) error
}

// Checker checks whether another instance responds and has the tables; see
// relay.Client.Check.
type Checker interface {
	Check(ctx context.Context, address string, wait time.Duration, tell *peers.Findings) error
}

// Leaders is told in which order the instances of the region lead.
type Leaders interface {
	// Members sets the names of the instances that can be reached, in the order in which
	// they lead, and the peer addresses of all.
	Members(order []string, addresses map[string]string)
}

// Config holds what a Monitor depends on.
type Config struct {
	// Settings are the start settings, Self the row of this instance.
	Settings *traffic.Settings
	Self     traffic.Member
	// Members returns the members' table as it was last read. The slice must not change.
	Members func() []traffic.Member
	// Stopping reports whether the planned shutdown of this instance has begun.
	Stopping func() bool
	// TablesRead returns when this instance last read the operator's table.
	TablesRead   func() time.Time
	Registration Registration
	Checker      Checker
	Leaders      Leaders
	// FindingsChanged is called when the result of Findings has changed.
	FindingsChanged func()
	Log             zerolog.Logger
}

// Monitor implements feeds.Chooser. It is safe for concurrent use.
type Monitor struct {
	Config

	mu      sync.Mutex
	machine *peers.Machine
	// members is the table that machine knows, byName holds its rows by name.
	members []traffic.Member
	byName  map[string]traffic.Member
	// announced is the digest of the findings for which FindingsChanged was called last.
	announced uint64
	// order is the order that Leaders has. It is nil after a change of members.
	order []string
	// missingSince is the time since which the row of this instance is missing; zero
	// while the row exists. joinedAt is the time at which it was last written again. Only
	// Run uses them.
	missingSince, joinedAt time.Time
	// joining is set while the row is being written again, which lasts as long as the store
	// is lost.
	joining atomic.Bool
	// evictions holds a token for each removal of a row in progress.
	evictions chan struct{}
}

// New returns a Monitor that knows no other instance.
func New(c Config) *Monitor {
	m := &Monitor{Config: c, byName: map[string]traffic.Member{}, evictions: make(chan struct{}, maxEvictions)}
	m.machine = peers.New(m.member(c.Self))
	return m
}

// member converts a row to the view of the peers' machine.
func (m *Monitor) member(row traffic.Member) peers.Member {
	return peers.Member{
		Node:   tree.Node{Name: row.Name, Zone: row.Zone, Capacity: row.Capacity},
		Region: m.Settings.RegionOf[row.Zone], Incarnation: row.Incarnation, RowVersion: row.RowVersion,
	}
}

// Contact records that an instance has sent a request to this one.
func (m *Monitor) Contact(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Contact(instance, time.Now())
}

// Choose implements feeds.Chooser.
func (m *Monitor) Choose() feeds.Choice {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateMembers(time.Now())
	name := m.machine.Source()
	return feeds.Choice{Name: name, Address: m.byName[name].Peer, Lateral: m.machine.Lateral()}
}

// StoreResponded implements feeds.Chooser.
func (m *Monitor) StoreResponded(succeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.StoreResponded(succeeded, time.Now())
}

// ReaderResponded implements feeds.Chooser.
func (m *Monitor) ReaderResponded(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Responded(name, true, time.Now())
}

// ReaderFailed implements feeds.Chooser. A connection that was not opened in the short time
// that a read gives it tells nothing, a check follows.
func (m *Monitor) ReaderFailed(name string, err error) {
	failure := classify(err, peers.Silent)
	if failure == peers.Unreachable {
		failure = peers.Silent
	}
	m.failed(name, err, failure)
}

// failed records that a read or a check failed.
func (m *Monitor) failed(name string, err error, failure peers.Failure) {
	m.mu.Lock()
	m.machine.Failed(name, failure, time.Now())
	m.mu.Unlock()
	m.Log.Info().Str("event", "peer_failed").Str("peer", name).Stringer("failure", failure).AnErr("cause", err).Msg("")
}

// classify returns the failure that an error stands for. silence is the one that an error of
// an open connection stands for.
func classify(err error, silence peers.Failure) peers.Failure {
	var unreachable *relay.UnreachableError
	switch {
	case errors.As(err, &unreachable) && errors.Is(err, syscall.ECONNREFUSED):
		return peers.Refused
	case errors.As(err, &unreachable):
		return peers.Unreachable
	case errors.Is(err, feeds.ErrStoreLost):
		return peers.StoreLost
	case errors.Is(err, feeds.ErrNotReading), errors.Is(err, feeds.ErrReaderBehind):
		return peers.NotReading
	}
	return silence
}

// IsRoot implements feeds.Chooser.
func (m *Monitor) IsRoot() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.IsRoot()
}

// RegionSize implements feeds.Chooser.
func (m *Monitor) RegionSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Size()
}

// Run maintains the table until ctx is done or the shutdown of this instance begins.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.Stopping() {
			return
		}
		m.step(ctx)
		m.rejoin(ctx)
	}
}

// step passes the members to the machine and does what it returns.
func (m *Monitor) step(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	m.updateMembers(now)
	ready := m.machine.Step(now)
	order, addresses := m.newOrder()
	m.mu.Unlock()
	m.announceFindings()
	if order != nil {
		m.Leaders.Members(order, addresses)
	}
	for _, c := range ready.Checks {
		go m.check(ctx, c)
	}
	for _, dead := range ready.Dead {
		select {
		case m.evictions <- struct{}{}:
			go m.evict(ctx, dead)
		default:
		}
	}
}

// newOrder returns the instances that can be reached, in the order in which they lead, and
// their peer addresses, or nil if neither has changed since the last call. The caller must
// hold m.mu.
func (m *Monitor) newOrder() ([]string, map[string]string) {
	order := m.machine.Order()
	if slices.Equal(order, m.order) {
		return nil, nil
	}
	m.order = order
	addresses := make(map[string]string, len(order))
	for _, name := range order {
		addresses[name] = m.byName[name].Peer
	}
	return order, addresses
}

// updateMembers passes the members to the machine if they have changed. The caller must
// hold m.mu.
func (m *Monitor) updateMembers(now time.Time) {
	members := m.Members()
	if slices.Equal(members, m.members) {
		return
	}
	m.members, m.byName, m.order = members, map[string]traffic.Member{}, nil
	list := make([]peers.Member, 0, len(members))
	for _, row := range members {
		m.byName[row.Name] = row
		list = append(list, m.member(row))
	}
	m.machine.Members(list, now)
}

// check checks an instance and records the result.
func (m *Monitor) check(ctx context.Context, c peers.Check) {
	m.mu.Lock()
	address := m.byName[c.Peer].Peer
	m.mu.Unlock()
	wait := time.Duration(0)
	if c.AwaitTables {
		wait = regainWait
	}
	err := m.Checker.Check(ctx, address, wait, c.Tell)
	if err == nil {
		m.ReaderResponded(c.Peer)
		return
	}
	m.failed(c.Peer, err, classify(err, peers.Unresponsive))
}

// evict removes the row of a dead instance, at the version at which it was found dead, if a
// last check does not reach the instance either. An instance that reads no tables removes
// nothing, and so does not carry out after a cut what it found in it.
func (m *Monitor) evict(ctx context.Context, dead peers.Member) {
	defer func() { <-m.evictions }()
	if time.Since(m.TablesRead()) > maxTablesAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	m.mu.Lock()
	row := m.byName[dead.Name]
	m.mu.Unlock()
	err := m.Checker.Check(ctx, row.Peer, 0, nil)
	failure := classify(err, peers.Unresponsive)
	if err == nil || failure != peers.Unreachable && failure != peers.Refused {
		m.mu.Lock()
		m.machine.Contact(dead.Name, time.Now())
		m.mu.Unlock()
		m.Log.Info().Str("event", "dead_responds").Str("peer", dead.Name).Msg("an instance that was held for dead accepts connections; its row stays")
		return
	}
	row.RowVersion = dead.RowVersion
	m.remove(ctx, row)
}

// remove removes the row of a dead instance.
func (m *Monitor) remove(ctx context.Context, row traffic.Member) {
	log := m.Log.Warn().Str("event", "instance_dead").Str("dead", row.Name).Uint64("row_version", row.RowVersion)
	var conflict *platform.Conflict
	err := m.Registration.Evict(ctx, row)
	switch {
	case err == nil:
		log.Msg("the dead instance's row was removed from the members' table")
	case errors.As(err, &conflict):
		log.Msg("the dead instance's row has been removed or written again by another instance")
	default:
		log.AnErr("evict", err).Msg("the dead instance's row cannot be removed from the members' table; lookups of this instance do not name it, and the removal is tried again")
	}
}

// rejoin writes the row of this instance again if it has been missing for rejoinDelay.
func (m *Monitor) rejoin(ctx context.Context) {
	m.mu.Lock()
	_, listed := m.byName[m.Self.Name]
	m.mu.Unlock()
	switch {
	case listed:
		m.missingSince = time.Time{}
		return
	case m.missingSince.IsZero():
		m.missingSince = time.Now()
	}
	if time.Since(m.missingSince) < rejoinDelay || time.Since(m.joinedAt) < rejoinInterval || m.Stopping() {
		return
	}
	m.missingSince, m.joinedAt = time.Time{}, time.Now()
	if !m.joining.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer m.joining.Store(false)
		if err := m.Registration.Join(ctx); err != nil {
			m.Log.Warn().Str("event", "rejoin_failed").Err(err).Msg("")
		}
	}()
}
