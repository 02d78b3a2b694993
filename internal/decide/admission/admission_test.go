package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

var start = time.Unix(1000, 0)

var route = &traffic.Route{
	Name: "r", Prefix: "/r/", Idempotent: true, MaxAttempts: 2, Objective: 500 * time.Millisecond,
	Targets: []traffic.Target{{Service: "shop", Weight: 1}},
}

func estate(instances int) *Snapshot {
	return &Snapshot{Services: map[string]*traffic.Service{"shop": {Name: "shop"}}, Instances: instances}
}

func request(deadline time.Duration) Request {
	return Request{ID: "x", Route: route, Received: start, Deadline: start.Add(deadline), CallerDeadline: start.Add(deadline)}
}

func newMachine() *Machine {
	return New(Config{
		Bounds: traffic.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second},
		Rand:   rand.New(rand.NewPCG(1, 0)),
	})
}

// taken returns how many further attempts the machine allows at once.
func taken(m *Machine) int {
	n := 0
	for m.budget("shop", start).Take(start) {
		n++
	}
	return n
}

// TestMassRestart: instances that do not know yet how many they are use no more
// of the common budget than their part.
func TestMassRestart(t *testing.T) {
	m := newMachine()
	m.Begin(estate(0), request(time.Second), start)
	require.LessOrEqual(t, taken(m), 1)
	m = newMachine()
	m.Begin(estate(1), request(time.Second), start)
	m.Begin(estate(20), request(time.Second), start)
	require.LessOrEqual(t, taken(m), 2)
}

// TestReturningCallerWaitsLonger: a caller that has been turned away is not
// turned away again for a wait that new callers are refused for.
func TestReturningCallerWaitsLonger(t *testing.T) {
	m := newMachine()
	fresh := m.Begin(estate(1), request(3*time.Second), start)
	first := m.patience(fresh, start)
	back := m.Begin(estate(1), request(2500*time.Millisecond), start)
	require.Equal(t, returnPatience*first, m.patience(back, start))
}

// TestLongWorkGivesWayInACrowd: of two kinds of request at one service, the one
// that holds a slot for longer waits for a smaller part of its slack.
func TestLongWorkGivesWayInACrowd(t *testing.T) {
	m := newMachine()
	long := *route
	long.Prefix, long.Objective = "/long/", 2*time.Second
	r := request(3 * time.Second)
	r.Route = &long
	alone := m.patience(m.Begin(estate(1), r, start), start)
	later := start.Add(shortestInterval)
	m.Begin(estate(1), request(3*time.Second), later)
	crowded := m.patience(m.Begin(estate(1), r, later), later)
	require.InDelta(t, float64(alone)/2, float64(crowded), float64(time.Millisecond))
}

// TestRetryAfterFollowsTheLoad: callers come back when a slot is expected to be
// free, never later than a quarter of what is left to them.
func TestRetryAfterFollowsTheLoad(t *testing.T) {
	m := newMachine()
	waiting := m.Begin(estate(1), request(3*time.Second), start)
	for range 100 {
		waiting.freeIn = 200 * time.Millisecond
		require.InDelta(t, 300, m.RetryAfter(waiting, start).Milliseconds(), 101)
		waiting.freeIn = time.Minute
		require.LessOrEqual(t, m.RetryAfter(waiting, start), 750*time.Millisecond)
	}
}

// TestNoSecondRun: a request that may have run and must not run twice goes to no
// further backend server; one that may runs as often as its route allows.
func TestNoSecondRun(t *testing.T) {
	m := newMachine()
	unsafe := *route
	unsafe.Idempotent = false
	r := request(time.Second)
	r.Route = &unsafe
	once := m.Begin(estate(1), r, start)
	once.runs = 1
	require.Equal(t, MayHaveRun, m.CheckRetry(once, true, true, start))
	repeatable := m.Begin(estate(1), request(time.Second), start)
	repeatable.runs = 1
	require.Empty(t, m.CheckRetry(repeatable, true, true, start))
	repeatable.runs = 2
	require.Equal(t, AttemptLimit, m.CheckRetry(repeatable, true, true, start))
	unreached := m.Begin(estate(1), request(time.Second), start)
	unreached.Sends = maxSends
	require.Equal(t, AttemptLimit, m.CheckRetry(unreached, false, false, start))
}

// TestSplitKeepsItsProportions: the targets of a route get their weights' parts
// of any few requests.
func TestSplitKeepsItsProportions(t *testing.T) {
	s := &splitter{credit: map[string]float64{}}
	got := map[string]int{}
	for range 20 {
		got[s.draw([]traffic.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}})]++
	}
	require.Equal(t, fmt.Sprint(map[string]int{"a": 15, "b": 5}), fmt.Sprint(got))
}

// TestLeavingBetweenAttempts: a backend server that has left since the request
// came gets no further attempt, and none is made when the time is over.
func TestLeavingBetweenAttempts(t *testing.T) {
	m := newMachine()
	one, two := &traffic.Backend{ID: "one", Service: "shop", Slots: 3}, &traffic.Backend{ID: "two", Service: "shop", Slots: 3}
	before, after := estate(1), estate(1)
	before.Backends = map[string][]*traffic.Backend{"shop": {one, two}}
	ticket := m.Begin(before, request(time.Second), start)
	first, reason := m.Next(ticket, before, start)
	require.Empty(t, reason)
	after.Backends = map[string][]*traffic.Backend{"shop": {first.Backend}}
	m.RecordEnd(ticket, first, affinity.Result{Outcome: affinity.Failed}, true, start)
	require.Empty(t, m.CheckRetry(ticket, true, true, start))
	second, reason := m.Next(ticket, after, start)
	require.Equal(t, NoneUsable, reason, "sent to %v", second.Backend)
	require.Equal(t, Expired, m.CheckRetry(ticket, true, true, start.Add(time.Second)))
}
