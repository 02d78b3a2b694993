package keys

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// cluster is a set of keepers that call each other directly, with a random
// delay. Records pass through the encoding of the peer protocol.
type cluster struct {
	members map[string]*Keeper
	mu      sync.Mutex
	claims  once.ClaimRow
	runs    map[string]int
}

// fakeTransport is the Transport of one keeper of a cluster.
type fakeTransport struct {
	*cluster
	name string
}

func newCluster(names ...string) *cluster {
	g := &cluster{members: map[string]*Keeper{}, runs: map[string]int{}}
	for _, name := range names {
		cfg := once.Config{Self: homeOf(name), MaxKeyTTL: time.Hour, ClaimTTL: time.Hour, ClaimShards: 1}
		g.members[name] = NewKeeper(cfg, fakeTransport{g, name})
	}
	return g
}

func homeOf(name string) once.Home { return once.Home{Zone: "z", ID: name, Incarnation: 1} }

func delay() { time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond) }

func (m fakeTransport) Forward(ctx context.Context, to once.Home, r *filter.Request) (*filter.Response, bool, bool, error) {
	delay()
	forwarded := *r
	forwarded.Hops++
	a, err := m.members[to.ID].Do(ctx, &forwarded, forwarded.Hops, m.handler())
	return a, true, true, err
}

func (m fakeTransport) Claim(_ context.Context, b once.ClaimBatch) once.ClaimResult {
	delay()
	m.mu.Lock()
	defer m.mu.Unlock()
	next, stand, _ := m.claims.Merge(b.Claims, time.Now())
	m.claims = next
	return once.ClaimResult{Shard: b.Shard, Claims: stand}
}

func (m fakeTransport) Transfer(_ context.Context, t once.Transfer) (bool, error) {
	delay()
	msg, body, err := EncodeTransfer(t)
	if err != nil {
		return false, err
	}
	got, err := DecodeTransfer(msg, body)
	if err != nil {
		return false, err
	}
	return m.members[t.To.ID].TransferReceived(got), nil
}

func (m fakeTransport) ReportRunResults(_ context.Context, to, from once.Home, rs []once.Record) ([]string, error) {
	delay()
	return m.members[to.ID].RecordRunResults(from, DecodeRecords(EncodeRecords(rs))), nil
}

func (m fakeTransport) AuthorityMoved(from, to once.Home) {
	delay()
	for name, k := range m.members {
		if name != m.name {
			k.Step(once.AuthorityMoved{From: from, To: to})
		}
	}
}

// handler returns a handler that counts the runs of each key and returns the key
// as the response body. It refuses requests that have the header Refuse.
func (g *cluster) handler() filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) (*filter.Response, error) {
		delay()
		if !filter.AttemptPermitted(ctx) {
			return nil, outcome.NotRunError(outcome.KindCancelled, 0, "cancelled before the run")
		}
		if r.Header.Get("Refuse") != "" {
			return nil, outcome.NotRunError(outcome.KindNoCapacity, time.Second, "refused")
		}
		g.mu.Lock()
		g.runs[r.Key]++
		g.mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
		return &filter.Response{Status: 200, Body: []byte(r.Key)}, nil
	})
}

// TestHandoverUnderLoad sends requests with many keys while the home of most of
// the keys hands its authority over. Each request goes to three instances at the
// same time and to one of them again later. Some callers disconnect. No key may
// run twice, and the outcome that each caller got must be correct at the end.
func TestHandoverUnderLoad(t *testing.T) {
	const count = 300
	synctest.Test(t, func(t *testing.T) {
		g := newCluster("a", "b", "c")
		var wg sync.WaitGroup
		checks := make(chan func(), 4*count)
		send := func(name, key string, refuse bool) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if rand.IntN(8) == 0 {
				time.AfterFunc(time.Duration(rand.IntN(10))*time.Millisecond, cancel)
			}
			r := &filter.Request{Service: &estate.Service{Name: "s"}, Method: "POST", Path: "/", Key: key, Header: map[string][]string{}, Deadline: time.Now().Add(time.Minute)}
			if refuse {
				r.Header.Set("Refuse", "true")
			}
			response, err := g.members[name].Do(ctx, r, 0, g.handler())
			checks <- func() { g.check(t, key, response, err) }
		}
		for i := range count {
			key := fmt.Sprintf("chosen-%d", i)
			if i%3 > 0 {
				var err error
				key, err = Issue(homeOf("a"), time.Now(), time.Hour)
				require.NoError(t, err)
			}
			for name := range g.members {
				wg.Go(func() { send(name, key, i%7 == 0) })
			}
			wg.Go(func() {
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				send("c", key, i%7 == 0)
			})
			if i == count/2 {
				g.members["a"].Step(once.StartHandover{To: homeOf("b")})
			}
			delay()
		}
		wg.Wait()
		close(checks)
		for check := range checks {
			check()
		}
		for range 3 {
			g.members["a"].Step(once.Tick{})
			time.Sleep(time.Second)
		}
		require.True(t, g.members["a"].HandoverComplete())
	})
}

// check checks the outcome that a caller got against the number of runs.
func (g *cluster) check(t *testing.T, key string, a *filter.Response, err error) {
	require.LessOrEqual(t, g.runs[key], 1)
	if err == nil {
		require.Equal(t, key, string(a.Body))
		require.Equal(t, 1, g.runs[key])
		return
	}
	if e := outcome.AsError(err); e.Outcome == outcome.NotRun {
		require.Zero(t, g.runs[key])
	} else {
		require.Equal(t, outcome.KindCancelled, e.Kind, "only a caller that disconnected gets the outcome unknown: %v", e)
	}
}
