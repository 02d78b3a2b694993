package feeds

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/source"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// Source gives the rows of a table and waits for its changes.
type Source interface {
	// Rows returns all rows and the version at which they were read.
	Rows(ctx context.Context, table string) ([]platform.Row, uint64, error)
	// Changes returns the rows that changed after a version, waiting for some
	// at most wait, and the version to go on from.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.Row, uint64, error)
}

// Readers gives the sources of other instances.
type Readers interface {
	// Source returns the tables as the instance at the peer address reads them.
	Source(address string) Source
	// KeepOnly closes the sessions to all addresses but one.
	KeepOnly(address string)
}

// Switch is the source that all feeds of this instance use at the moment.
type Switch struct {
	region  string
	store   Source
	readers Readers
	log     zerolog.Logger

	mu       sync.Mutex
	selector *source.Selector
	// addresses maps the instances of the region to their peer addresses.
	addresses map[string]string
	current   selection
}

// selection is a chosen source; its context ends when another is chosen.
type selection struct {
	name   string
	source Source
	ctx    context.Context
	cancel context.CancelFunc
}

func (s selection) direct() bool { return s.name == source.Store }

// NewSwitch returns a Switch that reads the store until it knows the region's
// other instances.
func NewSwitch(self, region string, store Source, readers Readers, log zerolog.Logger) *Switch {
	s := &Switch{
		region: region, store: store, readers: readers, log: log,
		selector: source.New(self), addresses: map[string]string{},
	}
	s.set(source.Store)
	return s
}

// Members takes in the instances of the region.
func (s *Switch) Members(members []traffic.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	names, s.addresses = traffic.PeerAddresses(members)
	s.selector.Members(s.region, names)
}

// Reads reports whether this instance reads the store for the others.
func (s *Switch) Reads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Reads(time.Now())
}

// pick returns the source to use now.
func (s *Switch) pick() selection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name := s.selector.Choose(time.Now()); name != s.current.name {
		s.log.Info().Str("event", "source").Str("reader", name).Str("before", s.current.name).
			Msg("an empty name stands for the store")
		s.set(name)
	}
	return s.current
}

func (s *Switch) set(name string) {
	if s.current.cancel != nil {
		s.current.cancel()
	}
	src, address := s.store, ""
	if name != source.Store {
		address = s.addresses[name]
		src = s.readers.Source(address)
	}
	s.readers.KeepOnly(address)
	ctx, cancel := context.WithCancel(context.Background())
	s.current = selection{name: name, source: src, ctx: ctx, cancel: cancel}
}

// renew ends the calls that wait at a source and starts them anew.
func (s *Switch) renew(used selection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.ctx == used.ctx {
		s.set(used.name)
	}
}

// failed takes in that a source did not answer.
func (s *Switch) failed(used selection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.ReaderFailed(used.name, time.Now())
}
