// Package source decides from where an entry instance reads the tables of the
// store: from the store itself, or from the reader of its region, which is an
// instance that reads the store for the others.
//
// The reader of a region is the first instance in an order that all instances
// share; there is no election. An instance for which the first one does not
// respond tries the next, and reads the store itself when it is the first one
// left. Two readers at the same time only cost additional calls to the store.
//
// Selector is a pure state machine and not safe for concurrent use.
package source

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

const (
	// maxReaders is the number of instances that are tried before the store.
	maxReaders = 2
	// readerRetryDelay is the time for which a reader that failed is not tried
	// again.
	readerRetryDelay = 2 * time.Second
)

// Store is the result of Selector.Choose that means the store itself.
const Store = ""

// Selector chooses the source from which one instance reads.
type Selector struct {
	self string
	// rankedInstances holds the names of the region's instances in the shared
	// order.
	rankedInstances []string
	// avoidUntil holds the time until which a failed reader is not tried, by
	// name.
	avoidUntil map[string]time.Time
}

// New returns a Selector for the instance named self. It chooses the store
// until Members is called.
func New(self string) *Selector {
	return &Selector{self: self, avoidUntil: map[string]time.Time{}}
}

// Members sets the names of the instances of the region.
func (s *Selector) Members(region string, names []string) {
	s.rankedInstances = hrw.Rank(region, names)
}

// ReaderFailed records that a reader did not respond or does not read the
// store.
func (s *Selector) ReaderFailed(reader string, now time.Time) {
	if reader != Store {
		s.avoidUntil[reader] = now.Add(readerRetryDelay)
	}
}

// Choose returns the name of the instance to read from, or Store.
func (s *Selector) Choose(now time.Time) string {
	for _, name := range s.rankedInstances[:min(maxReaders, len(s.rankedInstances))] {
		if name == s.self {
			return Store
		}
		if !now.Before(s.avoidUntil[name]) {
			return name
		}
	}
	return Store
}

// IsPreferredReader reports whether this instance is one of the first
// maxReaders of the order and all instances before it have failed.
func (s *Selector) IsPreferredReader(now time.Time) bool {
	for _, name := range s.rankedInstances[:min(maxReaders, len(s.rankedInstances))] {
		if name == s.self {
			return true
		}
		if !now.Before(s.avoidUntil[name]) {
			return false
		}
	}
	return false
}

// Reads reports whether this instance belongs to the region's instances and
// reads the store, so that the others may read from it.
func (s *Selector) Reads(now time.Time) bool {
	return slices.Contains(s.rankedInstances, s.self) && s.Choose(now) == Store
}
