// Package source decides where an entry instance reads the tables of the store:
// from the store itself, or from the instance of its region that reads for the
// others.
//
// The reader of a region is the first in an order that all instances share. No
// one elects it: an instance that finds the first one silent goes on to the
// next, and reads the store itself when it is the first that is left. Two
// readers at a time only cost calls.
//
// Selector is a pure state machine and not safe for concurrent use.
package source

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

const (
	// maxReaders is how many instances are tried before the store.
	maxReaders = 2
	// avoidTime is how long a reader that failed is not asked again.
	avoidTime = 2 * time.Second
)

// Store stands for the store itself in a choice.
const Store = ""

// Selector chooses the source of one instance.
type Selector struct {
	self string
	// ranked holds the instances of the region in the shared order.
	ranked []string
	avoid  map[string]time.Time
}

// New returns a Selector that reads the store until it knows the others.
func New(self string) *Selector {
	return &Selector{self: self, avoid: map[string]time.Time{}}
}

// SetInstances takes in the names of the region's instances.
func (s *Selector) SetInstances(region string, names []string) {
	s.ranked = hrw.Rank(region, names)
}

// ReaderFailed takes in that a reader did not answer, or does not read the store.
func (s *Selector) ReaderFailed(reader string, now time.Time) {
	if reader != Store {
		s.avoid[reader] = now.Add(avoidTime)
	}
}

// Choose returns the name of the instance to read from, or Store.
func (s *Selector) Choose(now time.Time) string {
	for _, name := range s.ranked[:min(maxReaders, len(s.ranked))] {
		if name == s.self {
			return Store
		}
		if !now.Before(s.avoid[name]) {
			return name
		}
	}
	return Store
}

// IsPreferredReader reports whether the instance is the first of the order that has not
// failed, and one of those that the others would try.
func (s *Selector) IsPreferredReader(now time.Time) bool {
	for _, name := range s.ranked[:min(maxReaders, len(s.ranked))] {
		if name == s.self {
			return true
		}
		if !now.Before(s.avoid[name]) {
			return false
		}
	}
	return false
}

// IsReader reports whether the instance is to read for the others.
func (s *Selector) IsReader(now time.Time) bool {
	return slices.Contains(s.ranked, s.self) && s.Choose(now) == Store
}
