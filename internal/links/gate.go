// Package links guards the caps of links between regions at one instance: it
// shares the linkcap machine between the traffic, which takes rights for each
// request, and control, which brings it events.
package links

import (
	"sort"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
)

// Gate is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// region is that of this instance; requests inside it pass.
	region  string
	machine *linkcap.Machine
	// peaks is the most that was in flight on each link.
	peaks map[string]int64
}

// New returns a gate without rights.
func New() *Gate { return &Gate{peaks: map[string]int64{}} }

// SetMachine sets the machine that holds the rights of this instance, and its region.
func (g *Gate) SetMachine(region string, m *linkcap.Machine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.region, g.machine = region, m
}

// Stop ends the use of links for good: no right is given any more, and the
// machine gets no further events. Requests under way go on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine = nil
}

// WithMachine calls f with the machine, unless there is none yet.
func (g *Gate) WithMachine(f func(m *linkcap.Machine)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine != nil {
		f(g.machine)
	}
}

// Acquire takes the right to send one request to the region. release must be
// called once, when its answer has been received.
func (g *Gate) Acquire(region string) (release func(), ok bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if region == g.region {
		return func() {}, true
	}
	// The right goes back to the machine that gave it, if another one is in
	// use by then.
	m := g.machine
	if m == nil || !m.TryAcquire(region, now) {
		return nil, false
	}
	g.peaks[region] = max(g.peaks[region], m.Used(region, now).InFlight)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.Release(region)
	}, true
}

// Usage is the state of one link at this instance.
type Usage struct {
	To string
	// Rights is what this instance may use, Used what it does.
	Rights, Used linkcap.Rights
	Peak         int64
}

// Usage returns the named links by the region they lead to.
func (g *Gate) Usage(to []string) []Usage {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine == nil {
		return nil
	}
	out := make([]Usage, 0, len(to))
	for _, region := range to {
		out = append(out, Usage{region, g.machine.Usable(region), g.machine.Used(region, now), g.peaks[region]})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].To < out[j].To })
	return out
}
