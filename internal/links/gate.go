// Package links enforces the caps of links between regions at one instance. It
// synchronizes access to the linkcap machine between request handling, which
// acquires a right for each request, and control, which passes events to the
// machine.
package links

import (
	"sort"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
)

// Gate limits the requests that one instance sends over links between regions. It
// is safe for concurrent use.
type Gate struct {
	// mu guards the fields below.
	mu sync.Mutex
	// region is the region of this instance. Requests within it need no right.
	region string
	// machine is nil before SetMachine and after Stop.
	machine *linkcap.Machine
	// peaks holds the largest number of requests that were in flight at once on
	// each link, by the region that the link leads to.
	peaks map[string]int64
}

// New returns a gate that has no machine and grants no rights.
func New() *Gate { return &Gate{peaks: map[string]int64{}} }

// SetMachine sets the region of this instance and the machine that holds its
// rights.
func (g *Gate) SetMachine(region string, m *linkcap.Machine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.region, g.machine = region, m
}

// Stop removes the machine, so that no more rights are granted and the machine
// gets no further events. Requests in flight continue.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine = nil
}

// WithMachine calls f with the machine while holding the lock of the gate. It does
// nothing if there is no machine.
func (g *Gate) WithMachine(f func(m *linkcap.Machine)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine != nil {
		f(g.machine)
	}
}

// Acquire takes a right to send one request to the region. If ok is true, release
// must be called exactly once, when the response has been received.
func (g *Gate) Acquire(region string) (release func(), ok bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if region == g.region {
		return func() {}, true
	}
	// The right must be released to the machine that granted it, even if the
	// gate has another machine by then.
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
	// To is the region that the link leads to.
	To string
	// Rights is the capacity that this instance may use. Used is the capacity
	// that it uses now.
	Rights, Used linkcap.Rights
	// Peak is the largest number of requests that were in flight at once.
	Peak int64
}

// Usage returns the state of the links to the given regions, sorted by region. It
// returns nil if there is no machine.
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
