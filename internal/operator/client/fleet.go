package client

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/trace"
)

const (
	// maxConcurrentQueries is the maximum number of instances queried in parallel.
	// It is large enough to hide the latency between regions when there are
	// thousands of instances.
	maxConcurrentQueries = 256
	// maxInstances is the maximum number of instances queried by a crawl.
	maxInstances = 16384
	// fullQueriesPerZone is the number of instances of a zone that are queried for
	// the instances that they know. Each instance knows all instances of its own
	// zone and the relays of the other zones.
	fullQueriesPerZone = 3
	// stateGone is the state of an instance that has ended and is not queried.
	stateGone = "gone"
)

// Result is the result of querying one instance.
type Result struct {
	// Addr is the queried operator address.
	Addr string
	// Known is the instance's state according to other instances. It is zero if
	// none of them knows the instance.
	Known operator.InstanceStatus
	// Status is the instance's response. It is valid only if Err is nil.
	Status operator.Status
	Err    error
}

// ID returns the instance's ID if it is known, else its address.
func (a Result) ID() string {
	return cmp.Or(a.Status.Instance, a.Known.ID, a.Addr)
}

// Zone returns the instance's zone, empty if it is unknown.
func (a Result) Zone() string { return cmp.Or(a.Status.Zone, a.Known.Zone) }

// Gather queries the instances at the endpoints and all instances that these know
// directly or indirectly, except those whose known state is gone. The results are
// sorted by zone and ID. Only a few instances of each zone are queried for the
// instances that they know; the others are queried for operator.PartWork. Gather
// fails only if no instance responds, with the error of one of the endpoints.
// Errors: Unreachable.
func (c *Client) Gather(ctx context.Context, endpoints []string) ([]Result, error) {
	return c.gather(ctx, endpoints, operator.PartWork)
}

// Discover is like Gather, but queries most instances for operator.PartSelf.
func (c *Client) Discover(ctx context.Context, endpoints []string) ([]Result, error) {
	return c.gather(ctx, endpoints, operator.PartSelf)
}

func (c *Client) gather(ctx context.Context, endpoints []string, part string) ([]Result, error) {
	g := crawl{
		client: c, part: part, known: map[string]operator.InstanceStatus{}, queried: map[string]bool{}, fullQueries: map[string]int{},
	}
	todo := endpoints
	for len(todo) > 0 {
		g.query(ctx, todo)
		todo = g.pending()
	}
	return g.finish()
}

// crawl is the state of one call of Gather or Discover.
type crawl struct {
	client *Client
	// part is the part of the status that most instances are queried for.
	part string
	// known holds the known instances by operator address.
	known map[string]operator.InstanceStatus
	// queried is the set of queried operator addresses.
	queried map[string]bool
	// fullQueries is the number of instances by zone that were queried for all of
	// their status.
	fullQueries map[string]int
	results     []Result
}

func (g *crawl) query(ctx context.Context, addrs []string) {
	var (
		mu    sync.Mutex
		group errgroup.Group
	)
	group.SetLimit(maxConcurrentQueries)
	first := len(g.results)
	for _, addr := range addrs {
		if g.queried[addr] || len(g.queried) >= maxInstances {
			continue
		}
		g.queried[addr] = true
		part := g.partFor(addr)
		group.Go(func() error {
			s, err := g.client.Status(ctx, addr, part)
			mu.Lock()
			defer mu.Unlock()
			g.results = append(g.results, Result{Addr: addr, Status: s, Err: err})
			return nil
		})
	}
	_ = group.Wait() // failures are recorded in the results
	for _, a := range g.results[first:] {
		g.recordKnown(a)
	}
}

// partFor returns the part of the status to query an address for. It is all of the
// status for the first instances of each zone and for instances whose zone is
// unknown.
func (g *crawl) partFor(addr string) string {
	zone := g.known[addr].Zone
	if zone != "" && g.fullQueries[zone] >= fullQueriesPerZone {
		return g.part
	}
	g.fullQueries[zone]++
	return ""
}

// recordKnown records the instances that a response lists. An entry with another
// state replaces one with the state gone, so that an instance is queried if any
// instance lists it as not gone.
func (g *crawl) recordKnown(a Result) {
	if a.Err != nil {
		return
	}
	for _, i := range a.Status.Instances {
		if old, ok := g.known[i.Operator]; !ok || old.State == stateGone {
			g.known[i.Operator] = i
		}
	}
}

func (g *crawl) pending() []string {
	var out []string
	for addr, i := range g.known {
		if addr != "" && i.State != stateGone && !g.queried[addr] {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// finish returns the sorted results. It drops duplicates of an instance that was
// queried at two addresses, and failed queries of instances that responded at
// another address or are known to be gone.
func (g *crawl) finish() ([]Result, error) {
	slices.SortFunc(g.results, func(a, b Result) int { return strings.Compare(a.Addr, b.Addr) })
	seen := map[string]bool{}
	var out []Result
	var failed error
	for _, a := range g.results {
		a.Known = g.known[a.Addr]
		switch id := a.Status.Instance; {
		case a.Err != nil:
			failed = a.Err
		case seen[id]:
			continue
		default:
			seen[id] = true
		}
		out = append(out, a)
	}
	if len(seen) == 0 && failed != nil {
		return nil, errors.Trace(failed)
	}
	out = slices.DeleteFunc(out, func(a Result) bool {
		return a.Err != nil && (seen[a.Known.ID] || a.Known.State == stateGone)
	})
	slices.SortStableFunc(out, func(a, b Result) int {
		return cmp.Or(strings.Compare(a.Zone(), b.Zone()), strings.Compare(a.ID(), b.ID()))
	})
	return out, nil
}

// Refresh queries the instances of those results for which needsRefresh returns
// true again, for operator.PartSelf, and updates the results in place.
func (c *Client) Refresh(ctx context.Context, results []Result, needsRefresh func(Result) bool) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i := range results {
		if a := &results[i]; needsRefresh(*a) {
			group.Go(func() error {
				a.Status, a.Err = c.Status(ctx, a.Addr, operator.PartSelf)
				return nil
			})
		}
	}
	_ = group.Wait() // failures are recorded in the results
}

// Trace returns the spans of one trace from all instances that Discover finds.
// unreachable holds the addresses of instances that gave no response; if there are
// any, the trace may lack spans. Errors: Unreachable, if no instance responds.
func (c *Client) Trace(ctx context.Context, endpoints []string, traceID string) (spans []trace.Span, unreachable []string, err error) {
	return c.collect(ctx, endpoints, func(ctx context.Context, addr string) ([]trace.Span, error) {
		return c.Spans(ctx, addr, traceID)
	})
}

// LastRoots returns the most recent root spans of all instances, newest first.
// unreachable and the errors are as of Trace.
func (c *Client) LastRoots(ctx context.Context, endpoints []string) (roots []trace.Span, unreachable []string, err error) {
	roots, unreachable, err = c.collect(ctx, endpoints, c.Roots)
	slices.SortStableFunc(roots, func(a, b trace.Span) int {
		return cmp.Or(b.Start.Compare(a.Start), strings.Compare(a.ID, b.ID))
	})
	return roots, unreachable, err
}

func (c *Client) collect(ctx context.Context, endpoints []string, read func(context.Context, string) ([]trace.Span, error)) ([]trace.Span, []string, error) {
	results, err := c.Discover(ctx, endpoints)
	if err != nil {
		return nil, nil, err
	}
	var (
		mu          sync.Mutex
		group       errgroup.Group
		spans       []trace.Span
		unreachable []string
	)
	group.SetLimit(maxConcurrentQueries)
	for _, a := range results {
		group.Go(func() error {
			var found []trace.Span
			err := a.Err
			if err == nil {
				found, err = read(ctx, a.Addr)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, a.Addr)
			}
			spans = append(spans, found...)
			return nil
		})
	}
	_ = group.Wait() // failures are recorded in unreachable
	slices.Sort(unreachable)
	return spans, unreachable, nil
}
