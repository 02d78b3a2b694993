// Package random draws numbers for an instance from one source, which a simulation replaces to
// repeat a run.
package random

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Source is safe for concurrent use.
type Source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a Source that draws from s, which nothing else may use.
func New(s rand.Source) *Source { return &Source{rand: rand.New(s)} }

// Unpredictable returns a Source whose numbers differ in each process.
func Unpredictable() *Source { return New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Fork returns a generator of its own. It is not safe for concurrent use.
func (s *Source) Fork() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64()))
}

// IntN returns a number from 0 to n-1.
func (s *Source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// Shuffle puts n elements in a random order by swapping them.
func (s *Source) Shuffle(n int, swap func(i, j int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rand.Shuffle(n, swap)
}

// Jitter returns a time from half of d to one and a half of d.
func (s *Source) Jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(d) * (0.5 + s.rand.Float64()))
}
