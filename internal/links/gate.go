// Package links guards the caps of links between regions at one instance: it
// counts what is in flight on each link and paces what is started, both within
// the rights that control gives it.
package links

import (
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstTime bounds how much unused rate a link may save up.
const burstTime = 50 * time.Millisecond

// Rights is this instance's part of a link's caps.
type Rights struct {
	InFlight int
	// Rate is in requests started per second.
	Rate float64
}

// Gate is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// region is that of this instance; requests inside it pass.
	region string
	links  map[string]*link
}

type link struct {
	rights   Rights
	inFlight int
	peak     int
	limiter  *rate.Limiter
}

// New returns a gate without rights.
func New() *Gate { return &Gate{links: map[string]*link{}} }

// Set replaces the rights on the links from region, by the region they lead
// to. Lower rights take effect at once for what is started from now on.
func (g *Gate) Set(region string, rights map[string]Rights) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.region = region
	for to, l := range g.links {
		if _, ok := rights[to]; !ok {
			l.rights = Rights{}
			l.limiter.SetLimit(0)
		}
	}
	for to, r := range rights {
		l := g.links[to]
		if l == nil {
			l = &link{limiter: rate.NewLimiter(0, 0)}
			g.links[to] = l
		}
		if l.rights != r {
			l.rights = r
			l.limiter.SetLimit(rate.Limit(r.Rate))
			l.limiter.SetBurst(max(int(r.Rate*burstTime.Seconds()), 1))
		}
	}
}

// Acquire takes the right to send one request to the region. release must be
// called when its answer has been received.
func (g *Gate) Acquire(region string) (release func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if region == g.region {
		return func() {}, true
	}
	l := g.links[region]
	if l == nil || l.inFlight >= l.rights.InFlight || !l.limiter.Allow() {
		return nil, false
	}
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		l.inFlight--
	}, true
}

// Usage is the state of one link at this instance.
type Usage struct {
	To             string
	Rights         Rights
	InFlight, Peak int
}

// Usage returns all links by the region they lead to.
func (g *Gate) Usage() []Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Usage, 0, len(g.links))
	for to, l := range g.links {
		out = append(out, Usage{to, l.rights, l.inFlight, l.peak})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].To < out[j].To })
	return out
}
