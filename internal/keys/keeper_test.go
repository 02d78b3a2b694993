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

// group is a few keepers that reach each other directly, with a delay, over
// the messages of the peer protocol.
type group struct {
	members map[string]*Keeper
	mu      sync.Mutex
	row     once.ClaimRow
	runs    map[string]int
}

// member is the transport of one keeper.
type member struct {
	*group
	name string
}

func newGroup(names ...string) *group {
	g := &group{members: map[string]*Keeper{}, runs: map[string]int{}}
	for _, name := range names {
		cfg := once.Config{Self: homeOf(name), MaxKeyTTL: time.Hour, ClaimTTL: time.Hour, ClaimShards: 1}
		g.members[name] = NewKeeper(cfg, member{g, name})
	}
	return g
}

func homeOf(name string) once.Home { return once.Home{Zone: "z", ID: name, Incarnation: 1} }

func delay() { time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond) }

func (m member) Forward(ctx context.Context, to once.Home, r *filter.Request) (*filter.Response, bool, bool, error) {
	delay()
	passed := *r
	passed.Hops++
	a, err := m.members[to.ID].Do(ctx, &passed, passed.Hops, m.handler())
	return a, true, true, err
}

func (m member) Claim(_ context.Context, b once.ClaimBatch) once.ClaimResult {
	delay()
	m.mu.Lock()
	defer m.mu.Unlock()
	next, stand, _ := m.row.Merge(b.Claims, time.Now())
	m.row = next
	return once.ClaimResult{Shard: b.Shard, Claims: stand}
}

func (m member) Transfer(_ context.Context, t once.Transfer) (bool, error) {
	delay()
	msg, body, err := EncodeTransfer(t)
	if err != nil {
		return false, err
	}
	got, err := DecodeTransfer(msg, body)
	if err != nil {
		return false, err
	}
	return m.members[t.To.ID].Adopt(got), nil
}

func (m member) Settle(_ context.Context, to, from once.Home, rs []once.Record) ([]string, error) {
	delay()
	return m.members[to.ID].Settled(from, DecodeRecords(EncodeRecords(rs))), nil
}

func (m member) Moved(from, to once.Home) {
	delay()
	for name, k := range m.members {
		if name != m.name {
			k.Step(once.Moved{From: from, To: to})
		}
	}
}

// handler runs a request after some time, and refuses every seventh key.
func (g *group) handler() filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) (*filter.Response, error) {
		delay()
		if !filter.AttemptPermitted(ctx) {
			return nil, outcome.NotRunError(outcome.KindCancelled, 0, "withdrawn")
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

// TestHandoverUnderLoad sends each of many keys through three instances at
// once, some of the attempts with a caller that goes away, and again later,
// while the home of most of them hands over. No key runs twice, and what each
// caller is told is true at the end.
func TestHandoverUnderLoad(t *testing.T) {
	const count = 300
	synctest.Test(t, func(t *testing.T) {
		g := newGroup("a", "b", "c")
		var wg sync.WaitGroup
		ends := make(chan func(), 4*count)
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
			answer, err := g.members[name].Do(ctx, r, 0, g.handler())
			ends <- func() { g.check(t, key, answer, err) }
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
		close(ends)
		for check := range ends {
			check()
		}
		for range 3 {
			g.members["a"].Step(once.Tick{})
			time.Sleep(time.Second)
		}
		require.True(t, g.members["a"].Quiet())
	})
}

// check compares what a caller was told with what was run.
func (g *group) check(t *testing.T, key string, a *filter.Response, err error) {
	require.LessOrEqual(t, g.runs[key], 1)
	if err == nil {
		require.Equal(t, key, string(a.Body))
		require.Equal(t, 1, g.runs[key])
		return
	}
	if e := outcome.AsError(err); e.Outcome == outcome.NotRun {
		require.Zero(t, g.runs[key])
	} else {
		require.Equal(t, outcome.KindCancelled, e.Kind, "only callers that went away are left without an answer: %v", e)
	}
}
