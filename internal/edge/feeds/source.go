package feeds

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/platform"
)

// Source provides the rows of tables and their changes.
type Source interface {
	// Rows returns all rows of a table and the position at which they were read.
	Rows(ctx context.Context, table string) ([]platform.Row, platform.Position, error)
	// Changes waits at most wait for changes of a table after the given position. It
	// returns the changed rows, if any, and the position from which the next call
	// must continue.
	Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) ([]platform.Row, platform.Position, error)
}

// AgeReporter is a Source that passes on what others have read, and knows when that was.
type AgeReporter interface {
	// StoreReadAt returns when the store's response arrived that the last successful call for
	// a table goes by.
	StoreReadAt(table string) time.Time
}

// ReaderClient provides the tables of other instances.
type ReaderClient interface {
	// Source returns a source that reads from the instance with the given peer
	// address.
	Source(address string) Source
	// Close closes the session to an address, if there is one.
	Close(address string)
}

// Chooser decides from which instance the feeds read. Its methods must be safe for
// concurrent use and must not block.
type Chooser interface {
	// Choose returns the source to read from.
	Choose() Choice
	// StoreResponded records whether a call to the store succeeded.
	StoreResponded(succeeded bool)
	// ReaderResponded records that a read from an instance succeeded.
	ReaderResponded(name string)
	// ReaderFailed records that a read from an instance failed.
	ReaderFailed(name string, err error)
	// IsRoot reports whether this instance is the one that reads the store for its
	// region.
	IsRoot() bool
	// RegionSize returns the number of instances of the region.
	RegionSize() int
}

// Choice is the instance to read from, or the store.
type Choice struct {
	// Name is the name of the instance, or peers.Store. Address is its peer address.
	Name, Address string
	// Lateral is set if what comes from the instance must not be passed on.
	Lateral bool
}

// SourceSelector holds the source that all feeds of this instance currently use. It
// is safe for concurrent use.
type SourceSelector struct {
	store   Source
	readers ReaderClient
	chooser Chooser
	random  *random.Source
	log     zerolog.Logger
	outage  outage
	// configReadAt is when the operator's table was last read, in Unix nanoseconds; 0
	// before the first read.
	configReadAt atomic.Int64
	start        start

	mu      sync.Mutex
	current selection
}

// selection is a chosen source.
type selection struct {
	Choice
	source Source
	// since is the time since which the source is in use.
	since time.Time
	// ctx is cancelled when the selection is replaced, and then the calls.
	ctx    context.Context
	cancel context.CancelFunc
	calls  *openCalls
}

// openCalls holds how to cancel the calls to a source. A context would cancel them in any order.
type openCalls struct {
	mu sync.Mutex
	// newest is the number of the newest call.
	newest  int
	cancels map[int]context.CancelFunc
}

// add adds a call. The function that it returns must be called at the end of the call.
func (c *openCalls) add(cancel context.CancelFunc) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest++
	n := c.newest
	c.cancels[n] = cancel
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancels, n)
	}
}

// cancelAll cancels the calls, the oldest first.
func (c *openCalls) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(c.cancels)) {
		c.cancels[n]()
	}
}

// fromStore reports whether the source is the store itself.
func (s selection) fromStore() bool { return s.Name == peers.Store }

// NewSourceSelector returns a SourceSelector that uses the store first.
func NewSourceSelector(store Source, readers ReaderClient, chooser Chooser, r *random.Source, log zerolog.Logger) *SourceSelector {
	s := &SourceSelector{store: store, readers: readers, chooser: chooser, random: r, log: log, start: newStart()}
	s.use(Choice{Name: peers.Store})
	return s
}

// ConfigReadAt returns when a read of the operator's table, which holds the
// configuration, last ended, from whichever source, and its rows were in use. It is the
// zero time before the first one. A reply without changes counts, a read that failed or
// has not ended does not.
func (s *SourceSelector) ConfigReadAt() time.Time {
	if at := s.configReadAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// recordRead records that a read of a table has succeeded.
func (s *SourceSelector) recordRead(table string) {
	if table == platform.TableOperator {
		s.configReadAt.Store(time.Now().UnixNano())
	}
}

// storeReadAt returns when the store's response arrived by which a table was last read from
// sel. The store itself has just responded.
func (s selection) storeReadAt(table string) time.Time {
	if r, ok := s.source.(AgeReporter); ok {
		return r.StoreReadAt(table)
	}
	return time.Now()
}

// choose returns the source to use now and switches to it if it has changed.
func (s *SourceSelector) choose() selection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.current
}

// update switches to the source to use now. The caller must hold s.mu.
func (s *SourceSelector) update() {
	if choice := s.chooser.Choose(); choice != s.current.Choice {
		s.log.Info().Str("event", "source").Str("reader", choice.Name).Bool("lateral", choice.Lateral).Str("before", s.current.Name).Dur("used", time.Since(s.current.since)).
			Msg("the feeds use another source; an empty name means the store")
		s.use(choice)
	}
}

// readerFailed records that a read from sel failed, and switches to another source. It
// does nothing if another selection is in use by now.
func (s *SourceSelector) readerFailed(sel selection, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.ctx == sel.ctx {
		s.chooser.ReaderFailed(sel.Name, err)
		s.update()
	}
}

// use replaces the current selection and cancels the calls to the previous source. The
// caller must hold s.mu, unless s is not in use yet.
func (s *SourceSelector) use(choice Choice) {
	if s.current.cancel != nil {
		s.current.cancel()
		s.current.calls.cancelAll()
	}
	if former := s.current.Address; former != "" && former != choice.Address {
		s.readers.Close(former)
	}
	src := s.store
	if choice.Name != peers.Store {
		src = s.readers.Source(choice.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.current = selection{Choice: choice, source: src, since: time.Now(), ctx: ctx, cancel: cancel, calls: &openCalls{cancels: map[int]context.CancelFunc{}}}
}

// cancelCalls cancels the calls to the source of sel, so that the feeds start them
// again. It does nothing if another selection is in use by now.
func (s *SourceSelector) cancelCalls(sel selection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.ctx == sel.ctx {
		s.use(sel.Choice)
	}
}

// maxStoreBackoff returns the longest delay between failed calls to the store. Instances
// that read the store only because they have no other source share the calls of one.
func (s *SourceSelector) maxStoreBackoff() time.Duration {
	if s.chooser.IsRoot() {
		return maxBackoff
	}
	return min(maxSharedBackoff, time.Duration(s.chooser.RegionSize())*sharedBackoff)
}
