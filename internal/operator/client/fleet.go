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
	// maxConcurrent is the most instances asked at once. It hides the delay
	// between regions when there are thousands of instances.
	maxConcurrent = 256
	// maxInstances bounds how many instances a gathering follows.
	maxInstances = 16384
	// fullPerZone is how many instances of a zone are asked for the others that
	// they know: each knows all of its zone and the relays of the others.
	fullPerZone = 3
	// stateGone is the state of an instance that is no longer asked.
	stateGone = "gone"
)

// Result is what one instance said, or why it said nothing.
type Result struct {
	// Addr is the operator address that was asked.
	Addr string
	// Known is what other instances say of it; zero if none knows it.
	Known operator.InstanceStatus
	// Status is only good while Err is nil.
	Status operator.Status
	Err    error
}

// ID returns the instance's ID as far as it is known, else its address.
func (a Result) ID() string {
	return cmp.Or(a.Status.Instance, a.Known.ID, a.Addr)
}

// Zone returns the instance's zone as far as it is known.
func (a Result) Zone() string { return cmp.Or(a.Status.Zone, a.Known.Zone) }

// Gather asks the instances at the endpoints and all others that they know of,
// directly or not, except those believed gone. Answers are by zone and ID. Only
// a few of a zone are asked for the instances that they know: all others answer
// operator.PartWork. The error, Unreachable, is that of an endpoint when no
// instance answered.
func (c *Client) Gather(ctx context.Context, endpoints []string) ([]Result, error) {
	return c.gather(ctx, endpoints, operator.PartWork)
}

// Discover is Gather with operator.PartSelf.
func (c *Client) Discover(ctx context.Context, endpoints []string) ([]Result, error) {
	return c.gather(ctx, endpoints, operator.PartSelf)
}

func (c *Client) gather(ctx context.Context, endpoints []string, part string) ([]Result, error) {
	g := gathering{
		client: c, part: part, known: map[string]operator.InstanceStatus{}, asked: map[string]bool{}, full: map[string]int{},
	}
	todo := endpoints
	for len(todo) > 0 {
		g.ask(ctx, todo)
		todo = g.unasked()
	}
	return g.result()
}

// gathering is one run of Gather or Find.
type gathering struct {
	client *Client
	// part is what most instances are asked for.
	part  string
	known map[string]operator.InstanceStatus
	asked map[string]bool
	// full counts by zone the instances asked for all of their status.
	full    map[string]int
	answers []Result
}

func (g *gathering) ask(ctx context.Context, addrs []string) {
	var (
		mu    sync.Mutex
		group errgroup.Group
	)
	group.SetLimit(maxConcurrent)
	before := len(g.answers)
	for _, addr := range addrs {
		if g.asked[addr] || len(g.asked) >= maxInstances {
			continue
		}
		g.asked[addr] = true
		part := g.partFor(addr)
		group.Go(func() error {
			s, err := g.client.Status(ctx, addr, part)
			mu.Lock()
			defer mu.Unlock()
			g.answers = append(g.answers, Result{Addr: addr, Status: s, Err: err})
			return nil
		})
	}
	_ = group.Wait() // failures are kept in the answers
	for _, a := range g.answers[before:] {
		g.learn(a)
	}
}

// partFor asks the first instances of each zone, and all of an unknown zone,
// for everything.
func (g *gathering) partFor(addr string) string {
	zone := g.known[addr].Zone
	if zone != "" && g.full[zone] >= fullPerZone {
		return g.part
	}
	g.full[zone]++
	return ""
}

// learn notes the instances that an answer names. One that anybody believes
// to be there is asked.
func (g *gathering) learn(a Result) {
	if a.Err != nil {
		return
	}
	for _, i := range a.Status.Instances {
		if old, ok := g.known[i.Operator]; !ok || old.State == stateGone {
			g.known[i.Operator] = i
		}
	}
}

func (g *gathering) unasked() []string {
	var out []string
	for addr, i := range g.known {
		if addr != "" && i.State != stateGone && !g.asked[addr] {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// result drops second answers of an instance that was asked at two addresses,
// and silent endpoints that the others believe gone.
func (g *gathering) result() ([]Result, error) {
	slices.SortFunc(g.answers, func(a, b Result) int { return strings.Compare(a.Addr, b.Addr) })
	seen := map[string]bool{}
	var out []Result
	var failed error
	for _, a := range g.answers {
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

// Refresh asks the instances of answers again, without the lists of their
// status, where want says so.
func (c *Client) Refresh(ctx context.Context, answers []Result, want func(Result) bool) {
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i := range answers {
		if a := &answers[i]; want(*a) {
			group.Go(func() error {
				a.Status, a.Err = c.Status(ctx, a.Addr, operator.PartSelf)
				return nil
			})
		}
	}
	_ = group.Wait() // failures are kept in the answers
}

// Trace gathers the spans of one trace from all instances that the endpoints
// lead to. silent are the addresses that gave no answer, so that the trace may
// lack spans. Errors: Unreachable, when no instance answered.
func (c *Client) Trace(ctx context.Context, endpoints []string, traceID string) (spans []trace.Span, silent []string, err error) {
	return c.collect(ctx, endpoints, func(ctx context.Context, addr string) ([]trace.Span, error) {
		return c.Spans(ctx, addr, traceID)
	})
}

// LastRoots gathers the last root spans of all instances, the newest first.
// The results are those of Trace.
func (c *Client) LastRoots(ctx context.Context, endpoints []string) (roots []trace.Span, silent []string, err error) {
	roots, silent, err = c.collect(ctx, endpoints, c.Roots)
	slices.SortStableFunc(roots, func(a, b trace.Span) int {
		return cmp.Or(b.Start.Compare(a.Start), strings.Compare(a.ID, b.ID))
	})
	return roots, silent, err
}

func (c *Client) collect(ctx context.Context, endpoints []string, read func(context.Context, string) ([]trace.Span, error)) ([]trace.Span, []string, error) {
	answers, err := c.Discover(ctx, endpoints)
	if err != nil {
		return nil, nil, err
	}
	var (
		mu     sync.Mutex
		group  errgroup.Group
		spans  []trace.Span
		silent []string
	)
	group.SetLimit(maxConcurrent)
	for _, a := range answers {
		group.Go(func() error {
			var found []trace.Span
			err := a.Err
			if err == nil {
				found, err = read(ctx, a.Addr)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, a.Addr)
			}
			spans = append(spans, found...)
			return nil
		})
	}
	_ = group.Wait() // failures are kept in silent
	slices.Sort(silent)
	return spans, silent, nil
}
