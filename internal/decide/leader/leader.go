// Package leader decides which entry instance assigns objects to backend servers for its
// region: the first one that responds of an order that all instances share. There is no
// election; two leaders at the same time only cost cold runs.
//
// Selector is a pure state machine and not safe for concurrent use.
package leader

import "time"

const (
	// maxLeaders is the number of instances of the order that may lead.
	maxLeaders = 2
	// retryDelay is the time for which a leader that failed is not called.
	retryDelay = 2 * time.Second
)

// None is the result of Selector.Choose if no instance that may lead responds.
const None = ""

// Selector chooses the leader for one instance.
type Selector struct {
	self string
	// order holds the names of the region's instances in the shared order.
	order []string
	// avoidUntil holds the time until which a failed leader is not called, by name.
	avoidUntil map[string]time.Time
}

// New returns a Selector for the instance named self that knows no instances.
func New(self string) *Selector {
	return &Selector{self: self, avoidUntil: map[string]time.Time{}}
}

// Members sets the names of the region's instances in the shared order.
func (s *Selector) Members(order []string) { s.order = order }

// Failed records that an instance did not respond or does not lead.
func (s *Selector) Failed(name string, now time.Time) { s.avoidUntil[name] = now.Add(retryDelay) }

// Choose returns the name of the leader, or None.
func (s *Selector) Choose(now time.Time) string {
	for _, name := range s.order[:min(maxLeaders, len(s.order))] {
		if name == s.self || !now.Before(s.avoidUntil[name]) {
			return name
		}
	}
	return None
}
