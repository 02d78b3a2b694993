package edgetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// shop is an estate with one instance and two backend servers of one service.
func shop(t *testing.T) (*Estate, *Instance, []*Backend) {
	e := New(t)
	e.Configure(
		Route{Prefix: "/read/", Kind: "safe", Service: "shop"},
		Route{Prefix: "/write/", Kind: "unsafe", Service: "shop"},
	)
	backends := []*Backend{
		e.Backend(Start{Name: "i-1", Zone: "a1", Service: "shop"}),
		e.Backend(Start{Name: "i-2", Zone: "a1", Service: "shop"}),
	}
	i := e.Instance("one", "a1")
	require.Eventually(t, func() bool { return e.Do(i, Call{Path: "/read/warm"}).Status == 200 }, 3*time.Second, 10*time.Millisecond)
	return e, i, backends
}

func all(act Act) func(*Arrival) Act { return func(*Arrival) Act { return act } }

func runsOf(backends []*Backend, id string) int {
	n := 0
	for _, b := range backends {
		for _, a := range b.Arrivals() {
			if a.ID == id && a.Ran {
				n++
			}
		}
	}
	return n
}

// TestForward: method, path, query and body arrive unchanged, the answer comes
// back whole, and the backend server is told how much time is left.
func TestForward(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	r := e.Do(i, Call{Method: http.MethodPost, Path: "/write/x%2Fy?q=a+b", Body: "hello", DeadlineMs: 1500})
	require.NoError(t, r.Err)
	require.Equal(t, 200, r.Status)
	require.Equal(t, "answer to "+r.ID, r.Body)
	require.NotEmpty(t, r.Header.Get("X-Banyandeal-Server-Stamp"))
	for _, b := range backends {
		for _, a := range b.Arrivals() {
			if a.ID == r.ID {
				require.Equal(t, "POST /write/x%2Fy?q=a+b hello", a.Method+" "+a.Target+" "+a.Body)
				var left int
				_, err := fmt.Sscan(a.Deadline, &left)
				require.NoError(t, err)
				require.LessOrEqual(t, left, 1500)
				require.Greater(t, left, 1000)
			}
		}
	}
}

// TestUnsafeRunsOnce: a request that is not idempotent and whose answer is lost
// is not sent again, and its answer promises nothing.
func TestUnsafeRunsOnce(t *testing.T) {
	t.Parallel()
	for name, act := range map[string]Act{"lost": LoseAnswer, "cut": CutAnswer, "unstamped": Unstamped} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, i, backends := shop(t)
			for _, b := range backends {
				b.SetAct(all(act))
			}
			r := e.Do(i, Call{Method: http.MethodPost, Path: "/write/x", Body: "b"})
			require.Equal(t, http.StatusBadGateway, r.Status)
			require.Empty(t, r.Header.Get("Retry-After"))
			require.Equal(t, 1, runsOf(backends, r.ID))
		})
	}
}

// TestShedGoesElsewhere: a refusal of a backend server is proof that the
// request has not run, so that it goes to another one, also when it is not
// idempotent; refused by all, it is answered 503 and has not run.
func TestShedGoesElsewhere(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	backends[0].SetAct(all(Shed))
	for n := range 5 {
		r := e.Do(i, Call{Method: http.MethodPost, Path: "/write/x", Body: "b", Object: fmt.Sprint(n)})
		require.Equal(t, 200, r.Status)
		require.Equal(t, 1, runsOf(backends, r.ID))
	}
	backends[1].SetAct(all(Shed))
	r := e.Do(i, Call{Method: http.MethodPost, Path: "/write/x", Body: "b"})
	require.Equal(t, http.StatusServiceUnavailable, r.Status)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Zero(t, runsOf(backends, r.ID))
}

// TestSafeIsSentAgain: an idempotent request whose answer is lost or spoilt goes
// to another backend server, and to no more than its route allows.
func TestSafeIsSentAgain(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	backends[0].SetAct(all(CutAnswer))
	for n := range 5 {
		r := e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)})
		require.NoError(t, r.Err)
		require.Equal(t, "answer to "+r.ID, r.Body)
	}
	backends[1].SetAct(all(CutAnswer))
	r := e.Do(i, Call{Path: "/read/y"})
	require.Equal(t, http.StatusBadGateway, r.Status)
	require.Equal(t, 2, runsOf(backends, r.ID))
}

// TestFailuresArePassedOn: when no backend server may try any more, the caller
// gets the last one's own failure, not one of the system's.
func TestFailuresArePassedOn(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	for _, b := range backends {
		b.SetAct(all(Fail))
	}
	for _, path := range []string{"/read/x", "/write/x"} {
		r := e.Do(i, Call{Path: path})
		require.Equal(t, http.StatusInternalServerError, r.Status)
		require.NotEmpty(t, r.Header.Get("X-Banyandeal-Server-Stamp"))
	}
}

// TestAnswersOfOthers: an answer to another request is passed over, before and
// behind the right one.
func TestAnswersOfOthers(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	for _, act := range []Act{ExtraFirst, ExtraAfter} {
		for _, b := range backends {
			b.SetAct(all(act))
		}
		for range 6 {
			r := e.Do(i, Call{Method: http.MethodPost, Path: "/write/x", Body: "b"})
			require.Equal(t, "answer to "+r.ID, r.Body)
			require.Equal(t, 1, runsOf(backends, r.ID))
		}
	}
}

// TestPipelined: answers come in the order of the requests, which run side by
// side.
func TestPipelined(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	for _, b := range backends {
		b.SetAct(func(a *Arrival) Act { return Run })
		b.SetWork(150 * time.Millisecond)
	}
	nc, err := net.Dial("tcp", i.Settings.Listen.Callers)
	require.NoError(t, err)
	defer nc.Close()
	began := time.Now()
	var ids []string
	for n := range 4 {
		id := e.NewID()
		ids = append(ids, id)
		_, err := io.WriteString(nc, Call{Path: "/read/p", Object: fmt.Sprint(n)}.Text(id))
		require.NoError(t, err)
	}
	br := bufio.NewReader(nc)
	for _, id := range ids {
		r := ReadReply(br)
		require.NoError(t, r.Err)
		require.Equal(t, "answer to "+id, r.Body)
	}
	require.Less(t, time.Since(began), 500*time.Millisecond)
}

// TestCallerLeaves: when the caller closes its connection, the backend server's
// work ends soon.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	for _, b := range backends {
		b.SetWork(3 * time.Second)
	}
	id := e.NewID()
	nc, err := net.Dial("tcp", i.Settings.Listen.Callers)
	require.NoError(t, err)
	_, err = io.WriteString(nc, Call{Path: "/read/long"}.Text(id))
	require.NoError(t, err)
	var arrival *Arrival
	require.Eventually(t, func() bool {
		for _, b := range backends {
			for _, a := range b.Arrivals() {
				if a.ID == id {
					arrival = a
				}
			}
		}
		return arrival != nil
	}, time.Second, 5*time.Millisecond)
	_ = nc.Close()
	select {
	case <-arrival.Gone:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "the backend server still works on a request whose caller has left")
	}
}

// TestRouteTimeout: a request gets its final answer when its route's time is
// over, and one that cannot be served gets it at once.
func TestRouteTimeout(t *testing.T) {
	t.Parallel()
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop", TimeoutS: 0.4}, Route{Prefix: "/none/", Kind: "safe", Service: "empty"})
	b := e.Backend(Start{Name: "i-1", Zone: "a1", Service: "shop", Work: 3 * time.Second})
	i := e.Instance("one", "a1")
	require.Eventually(t, func() bool { return e.Do(i, Call{Path: "/read/x"}).Status == http.StatusGatewayTimeout }, 3*time.Second, 10*time.Millisecond)
	// The time in which what is expected to be late is sent only once.
	time.Sleep(600 * time.Millisecond)
	began := time.Now()
	r := e.Do(i, Call{Path: "/read/x", DeadlineMs: 5000})
	require.Equal(t, http.StatusGatewayTimeout, r.Status)
	require.InDelta(t, 400, time.Since(began).Milliseconds(), 250)
	began = time.Now()
	r = e.Do(i, Call{Path: "/none/x", DeadlineMs: 5000})
	require.Equal(t, http.StatusServiceUnavailable, r.Status)
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.NotZero(t, b.Runs())
}

// TestRefusals: requests that cannot be read get a 4xx as the protocol says,
// and unknown paths a 404.
func TestRefusals(t *testing.T) {
	t.Parallel()
	e, i, _ := shop(t)
	long := strings.Repeat("x", 40<<10)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"garbage":       {"hello\r\n\r\n", 400},
		"no id":         {"GET /read/x HTTP/1.1\r\nHost: " + Host + "\r\n\r\n", 400},
		"large header":  {"GET /read/x HTTP/1.1\r\nHost: " + Host + "\r\nX-Long: " + long + "\r\n\r\n", 431},
		"large body":    {"POST /write/x HTTP/1.1\r\nHost: " + Host + "\r\nX-Banyandeal-Request-Id: a\r\nContent-Length: 90000000\r\n\r\n", 413},
		"slow header":   {"GET /read/x HTTP/1.1\r\nHo", 408},
		"unknown route": {Call{Path: "/other/x"}.Text("b"), 404},
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", i.Settings.Listen.Callers)
			require.NoError(t, err)
			defer nc.Close()
			_, err = io.WriteString(nc, c.text)
			require.NoError(t, err)
			require.Equal(t, c.status, ReadReply(bufio.NewReader(nc)).Status)
		})
	}
	require.Equal(t, 200, e.Do(i, Call{Path: "/read/x"}).Status)
}

// TestDraining: a backend server that is leaving, or whose entry is gone, gets
// nothing new within a second, and finishes what it has.
func TestDraining(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(e *Estate, b *Backend){
		"draining": func(_ *Estate, b *Backend) { b.Report("draining", 0) },
		"removed":  func(e *Estate, b *Backend) { e.Store.Remove("servers", b.Name) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, i, backends := shop(t)
			leave(e, backends[0])
			time.Sleep(time.Second)
			before := len(backends[0].Arrivals())
			for n := range 20 {
				require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
			}
			require.Len(t, backends[0].Arrivals(), before)
		})
	}
}

// TestEvacuation: an evacuated zone gets nothing new until it is taken back.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	other := e.Backend(Start{Name: "i-3", Zone: "a2", Service: "shop"})
	require.Eventually(t, func() bool {
		return e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(time.Now().UnixNano())}).Status == 200 && other.Runs() > 0
	}, 3*time.Second, 10*time.Millisecond)
	e.Store.Put("op", "evacuate/a1", map[string]any{})
	time.Sleep(time.Second)
	before := backends[0].Runs() + backends[1].Runs()
	for n := range 20 {
		require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
	}
	require.Equal(t, before, backends[0].Runs()+backends[1].Runs())
	e.Store.Remove("op", "evacuate/a1")
	require.Eventually(t, func() bool {
		e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(time.Now().UnixNano())})
		return backends[0].Runs()+backends[1].Runs() > before
	}, 3*time.Second, 10*time.Millisecond)
}

// TestReusedAddress: a request never runs at a backend server of another
// service that has taken over an address.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	address := backends[0].Address()
	backends[0].Stop()
	other := e.Backend(Start{Name: "i-9", Zone: "a1", Service: "other", Address: address})
	for n := range 20 {
		require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
	}
	require.Zero(t, other.Runs())
}

// TestForeignEntries: entries that cannot be read name no backend server and
// disturb no other.
func TestForeignEntries(t *testing.T) {
	t.Parallel()
	e, i, _ := shop(t)
	e.Store.PutRaw("servers", "bad-1", []byte("\x00\xff garbage"))
	e.Store.PutRaw("servers", "bad-2", []byte(`{"address":7,"info":[],"status":{}}`))
	e.Store.PutRaw("servers", "bad-3", []byte(`{"address":"127.0.0.1:1","info":{"service":"shop","zone":"a1","slots":3},"status":{"state":"odd"}}`))
	e.Store.PutRaw("op", "config", []byte(`{"version":"zz"`))
	time.Sleep(300 * time.Millisecond)
	for n := range 20 {
		require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
	}
}

// TestConfiguration: a new version is in force within two seconds, an older one
// never returns, and a removed route is a 404.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	e, i, _ := shop(t)
	e.Configure(Route{Prefix: "/new/", Kind: "safe", Service: "shop"})
	require.Eventually(t, func() bool { return e.Do(i, Call{Path: "/new/x"}).Status == 200 }, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, 404, e.Do(i, Call{Path: "/read/x"}).Status)
	e.version -= 2
	e.Configure(Route{Prefix: "/old/", Kind: "safe", Service: "shop"})
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, 404, e.Do(i, Call{Path: "/old/x"}).Status)
	require.Equal(t, 200, e.Do(i, Call{Path: "/new/x"}).Status)
}

// TestSplit: the targets of a split get their shares.
func TestSplit(t *testing.T) {
	t.Parallel()
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Split: map[string]float64{"one": 75, "two": 25}})
	one := e.Backend(Start{Name: "i-1", Zone: "a1", Service: "one"})
	two := e.Backend(Start{Name: "i-2", Zone: "a1", Service: "two"})
	i := e.Instance("one", "a1")
	time.Sleep(200 * time.Millisecond)
	for n := range 40 {
		require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
	}
	require.Equal(t, []int{30, 10}, []int{one.Runs(), two.Runs()})
}

// TestHomes: a route with home regions runs nowhere else.
func TestHomes(t *testing.T) {
	t.Parallel()
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop", Homes: []string{"b"}})
	away := e.Backend(Start{Name: "i-1", Zone: "a1", Service: "shop"})
	home := e.Backend(Start{Name: "i-2", Zone: "b1", Service: "shop"})
	i := e.Instance("one", "a1")
	time.Sleep(200 * time.Millisecond)
	for n := range 20 {
		require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
	}
	require.Zero(t, away.Runs())
	require.Equal(t, 20, home.Runs())
	home.SetAct(all(Shed))
	require.Equal(t, http.StatusServiceUnavailable, e.Do(i, Call{Path: "/read/x"}).Status)
	require.Zero(t, away.Runs())
}

// TestColdPace: a cold backend server gets no more requests a second than its
// pace with the slack allows.
func TestColdPace(t *testing.T) {
	t.Parallel()
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"})
	cold := e.Backend(Start{Name: "i-1", Zone: "a1", Service: "shop", ColdLeft: 5})
	warm := e.Backend(Start{Name: "i-2", Zone: "a1", Service: "shop"})
	i := e.Instance("one", "a1")
	require.Eventually(t, func() bool { return e.Do(i, Call{Path: "/read/x"}).Status == 200 }, 3*time.Second, 10*time.Millisecond)
	before := cold.Runs()
	for n := range 200 {
		e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)})
	}
	require.LessOrEqual(t, cold.Runs()-before, 8)
	require.Greater(t, warm.Runs(), 150)
}

// TestRetryBudget: when all answers are lost, the further attempts stay within
// the share that the operator allows.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	for _, b := range backends {
		b.SetAct(all(LoseAnswer))
	}
	before := len(backends[0].Arrivals()) + len(backends[1].Arrivals())
	const requests = 400
	for n := range requests {
		e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)})
	}
	repeats := len(backends[0].Arrivals()) + len(backends[1].Arrivals()) - before - requests
	require.LessOrEqual(t, repeats, requests/5+60)
	require.Greater(t, repeats, 10)
}

// TestPlannedStop: a stopping instance answers everything that it has read, is
// not ready any more, leaves the directory, and ends within the grace time.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	second := e.Instance("two", "a1")
	require.Eventually(t, func() bool { return len(second.Addresses("a1")) == 2 }, 3*time.Second, 10*time.Millisecond)
	for _, b := range backends {
		b.SetWork(400 * time.Millisecond)
	}
	var mu sync.Mutex
	var replies []Reply
	var wg sync.WaitGroup
	stopAt := time.Now().Add(300 * time.Millisecond)
	for n := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stopAt.Add(700 * time.Millisecond)) {
				r := e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)})
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(time.Until(stopAt))
	i.Stop()
	require.Eventually(t, func() bool { return !i.Ready() && len(second.Addresses("a1")) == 1 }, 2*time.Second, 10*time.Millisecond)
	wg.Wait()
	for _, r := range replies {
		require.NoError(t, r.Err)
		require.Contains(t, []int{200, 503}, r.Status)
	}
	select {
	case <-i.Done:
	case <-time.After(4 * time.Second):
		require.Fail(t, "the instance outlives its grace time")
	}
}

// TestNothingBehindTheLastAnswer: a request behind an answer that closes its
// connection counts as not read, so that it goes to no backend server.
func TestNothingBehindTheLastAnswer(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	for _, b := range backends {
		b.SetWork(200 * time.Millisecond)
	}
	nc, err := net.Dial("tcp", i.Settings.Listen.Callers)
	require.NoError(t, err)
	defer nc.Close()
	first, second := e.NewID(), e.NewID()
	_, err = io.WriteString(nc, Call{Path: "/read/x"}.Text(first))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	i.Stop()
	r := ReadReply(bufio.NewReader(nc))
	require.Equal(t, 200, r.Status)
	require.True(t, r.Closes)
	// The caller may not have seen that yet.
	_, _ = io.WriteString(nc, Call{Method: http.MethodPost, Path: "/write/x", Body: "b"}.Text(second))
	<-i.Done
	require.Zero(t, runsOf(backends, second))
}

// TestStoreAway: while the store is away everything goes on from memory, and an
// entry that lapsed meanwhile has two seconds to come back.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	e.Store.SetTrouble(func(*http.Request) store.Trouble { return store.Refuse })
	time.Sleep(1500 * time.Millisecond)
	e.Store.Remove("servers", "i-1")
	e.Store.Remove("servers", "i-2")
	for n := range 10 {
		require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
	}
	e.Store.SetTrouble(func(*http.Request) store.Trouble { return store.None })
	time.Sleep(time.Second)
	require.Equal(t, 200, e.Do(i, Call{Path: "/read/x"}).Status)
	backends[0].Report("ready", 0)
	time.Sleep(2500 * time.Millisecond)
	before := backends[1].Runs()
	for n := range 10 {
		require.Equal(t, 200, e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n)}).Status)
	}
	require.Equal(t, before, backends[1].Runs())
}

// TestHangingStore: a store that takes calls and answers none for a moment does
// not keep a new configuration back for longer than its bound.
func TestHangingStore(t *testing.T) {
	t.Parallel()
	e, i, _ := shop(t)
	instances := []*Instance{i, e.Instance("two", "a1"), e.Instance("three", "a2")}
	// By now one instance reads for the others.
	time.Sleep(1500 * time.Millisecond)
	until := time.Now().Add(1200 * time.Millisecond)
	e.Store.SetTrouble(func(*http.Request) store.Trouble {
		if time.Now().Before(until) {
			return store.Hang
		}
		return store.None
	})
	e.Configure(Route{Prefix: "/new/", Kind: "safe", Service: "shop"})
	began := time.Now()
	for _, x := range instances {
		require.Eventually(t, func() bool { return e.Do(x, Call{Path: "/new/x"}).Status == 200 }, 4*time.Second, 10*time.Millisecond)
	}
	require.Less(t, time.Since(began), 3500*time.Millisecond)
}

// TestOneReader: at rest one instance of a region calls the store for all.
func TestOneReader(t *testing.T) {
	t.Parallel()
	e, _, _ := shop(t)
	for n := range 4 {
		e.Instance(fmt.Sprintf("more-%d", n), "a2")
	}
	time.Sleep(2 * time.Second)
	before := e.Store.Calls()
	time.Sleep(3 * time.Second)
	require.LessOrEqual(t, e.Store.Calls()-before, 9)
}

// TestDeadInstance: the row of an instance that has died is removed, and the
// directory stops naming it.
func TestDeadInstance(t *testing.T) {
	t.Parallel()
	e, i, _ := shop(t)
	e.Instance("two", "a1")
	e.Store.Put("members", "ghost", map[string]any{
		"name": "ghost", "zone": "a1", "callers": "127.0.0.1:9", "peer": "127.0.0.1:9", "incarnation": 1,
	})
	require.Eventually(t, func() bool { return len(i.Addresses("a1")) == 3 }, 3*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return len(i.Addresses("a1")) == 2 }, 7*time.Second, 10*time.Millisecond)
}

// TestLostWrite: a row whose write was done and not answered is settled by the
// conflict of the next try.
func TestLostWrite(t *testing.T) {
	t.Parallel()
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"})
	var mu sync.Mutex
	lost, writes := 0, 0
	e.Store.SetTrouble(func(r *http.Request) store.Trouble {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path != "/rows-tx" {
			return store.None
		}
		writes++
		if lost < 2 {
			lost++
			return store.LoseAnswer
		}
		return store.None
	})
	i := e.Instance("one", "a1")
	require.Eventually(t, func() bool { return len(i.Addresses("a1")) == 1 }, 3*time.Second, 10*time.Millisecond)
	require.Equal(t, []string{"one"}, e.Store.Keys("members"))
	// The instance knows that its row stands, and writes it no more.
	settled := func() int {
		mu.Lock()
		defer mu.Unlock()
		return writes
	}
	require.Eventually(t, func() bool {
		before := settled()
		time.Sleep(700 * time.Millisecond)
		return settled() == before
	}, 4*time.Second, time.Millisecond)
}

// TestForgottenHistory: feeds whose history the store has dropped read their
// tables again.
func TestForgottenHistory(t *testing.T) {
	t.Parallel()
	e, i, _ := shop(t)
	e.Store.SetTrouble(func(*http.Request) store.Trouble { return store.Refuse })
	e.Configure(Route{Prefix: "/new/", Kind: "safe", Service: "shop"})
	e.Store.Compact()
	e.Store.SetTrouble(func(*http.Request) store.Trouble { return store.None })
	require.Eventually(t, func() bool { return e.Do(i, Call{Path: "/new/x"}).Status == 200 }, 3*time.Second, 10*time.Millisecond)
}

// TestStartsWithoutConfiguration: an instance without a configuration is not
// ready and answers 503, never 404.
func TestStartsWithoutConfiguration(t *testing.T) {
	t.Parallel()
	e := New(t)
	i := e.start("one", "a1")
	require.Eventually(t, func() bool { return e.Do(i, Call{Path: "/read/x"}).Status == 503 }, 3*time.Second, 10*time.Millisecond)
	require.False(t, i.Ready())
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"})
	require.Eventually(t, i.Ready, 3*time.Second, 10*time.Millisecond)
}

// TestFeedWithoutChanges: a backend server that leaves while the feeds hear nothing, just
// before the store drops its history, gets nothing new after 2.5 s.
func TestFeedWithoutChanges(t *testing.T) {
	t.Parallel()
	e, i, backends := shop(t)
	until := time.Now().Add(time.Second)
	e.Store.SetTrouble(func(*http.Request) store.Trouble {
		if time.Now().Before(until) {
			return store.NoChanges
		}
		return store.None
	})
	time.Sleep(900 * time.Millisecond)
	backends[0].Report("draining", 0)
	left := time.Now()
	time.Sleep(time.Until(until))
	e.Store.Compact()
	for n := 0; time.Since(left) < 3500*time.Millisecond; n++ {
		e.Do(i, Call{Path: "/read/x", Object: fmt.Sprint(n % 50)})
		time.Sleep(5 * time.Millisecond)
	}
	for _, a := range backends[0].Arrivals() {
		require.Less(t, a.At.Sub(left), 2500*time.Millisecond)
	}
}
