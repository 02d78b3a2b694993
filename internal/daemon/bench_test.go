package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/estate"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

const (
	benchLoopback = "127.0.0.1:0"
	benchPath     = "/loans/files/7"
	benchLookup   = "/v1/lookup?service=loans&caller=10.1.0.9"
	// benchSlots exceeds the number of connections of a benchmark.
	benchSlots = 64
	benchConns = 8
	benchWait  = 10 * time.Second
)

// testInstance is a daemon with one backend server that responds immediately.
type testInstance struct {
	// entry and backend are the addresses, as host:port, of the daemon's caller
	// listener and of the backend server.
	entry, backend string
}

func newTestInstance(b *testing.B) *testInstance {
	b.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "an answer of a few bytes")
	}))
	b.Cleanup(backend.Close)
	store := platform.New(platform.Config{Addr: benchLoopback, Admin: benchLoopback})
	require.NoError(b, store.Open())
	b.Cleanup(store.Close)
	instance := &testInstance{backend: backend.Listener.Addr().String()}

	s := static.Default()
	s.ID, s.Zone = "a1", "a"
	s.Listen = static.Addresses{Caller: benchLoopback, Peer: benchLoopback, Operator: benchLoopback}
	s.Platform.Endpoints = []string{store.URL()}
	d, err := New(s, io.Discard)
	require.NoError(b, err)
	instance.entry = d.Addresses().Caller
	store.PutInstance(api.Instance{ID: s.ID, Kind: api.KindEntry, Zone: s.Zone, State: api.InstanceLive, Peer: d.Addresses().Peer})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(context.Background())
	}()
	b.Cleanup(func() { d.Kill(); <-ended })

	client, err := api.New([]string{store.URL()}, api.Options{Timeout: time.Second})
	require.NoError(b, err)
	_, err = publish.Apply(context.Background(), client, benchEstate(instance.backend), publish.Options{ChangeID: "1", Now: time.Now()})
	require.NoError(b, err)
	require.Eventually(b, func() bool {
		res, err := http.Get("http://" + instance.entry + benchPath)
		if err != nil {
			return false
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode == http.StatusOK
	}, benchWait, 20*time.Millisecond)
	return instance
}

func benchEstate(backend string) *estate.Estate {
	return &estate.Estate{
		Name:    "bench",
		Regions: []estate.Region{{Name: "north"}},
		Zones:   []estate.Zone{{Name: "a", Region: "north"}},
		Sites:   []estate.Site{{Name: "a-1", Zone: "a", Weight: 1}},
		Blocks:  []estate.Block{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "north", Demand: 100}},
		Services: []estate.Service{{
			Name: "loans", LookupTTL: time.Second, Deadline: 5 * time.Second, MeanTime: time.Millisecond,
			MaxUtilisation: 0.8, KeyTTL: time.Minute, MaxBody: 1 << 20, Weights: map[string]float64{"a": 1},
			Retry:      estate.RetryPolicy{BudgetShare: 0.2, MaxAttempts: 2},
			Operations: []estate.Operation{{Name: "read", Method: "GET", PathPrefix: "/", Idempotent: true}},
			Backends:   []estate.Backend{{Name: "a-1-1", Site: "a-1", Zone: "a", Address: backend, Slots: benchSlots, MaxConnections: 2 * benchSlots}},
		}},
	}
}

// caller sends the same request repeatedly on one connection. Its own overhead is
// small compared with the measured times.
type caller struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

func newCaller(b testing.TB, addr, path string) *caller {
	conn, err := net.Dial("tcp", addr)
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	return &caller{conn, bufio.NewReader(conn), fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: bench\r\n\r\n", path)}
}

// call sends the request and reads the whole response.
func (c *caller) call() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// BenchmarkAddedLatency alternately sends a request directly to the backend server
// and through the instance. The quantiles are in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	r := newTestInstance(b)
	type side struct {
		*caller
		hist *hdrhistogram.Histogram
	}
	newSide := func(addr, path string) side {
		const most, digits = 60_000_000_000, 3
		return side{newCaller(b, addr, path), hdrhistogram.New(1, most, digits)}
	}
	direct, through := newSide(r.backend, "/files/7"), newSide(r.entry, benchPath)
	b.ResetTimer()
	for range b.N {
		for _, s := range []side{direct, through} {
			began := time.Now()
			if err := s.call(); err != nil {
				b.Fatal(err)
			}
			_ = s.hist.RecordValue(time.Since(began).Nanoseconds())
		}
	}
	for _, q := range []float64{50, 99} {
		d, t := direct.hist.ValueAtPercentile(q), through.hist.ValueAtPercentile(q)
		b.ReportMetric(float64(d)/1e3, fmt.Sprintf("direct-p%.0f-us", q))
		b.ReportMetric(float64(t)/1e3, fmt.Sprintf("through-p%.0f-us", q))
		b.ReportMetric(float64(t-d)/1e3, fmt.Sprintf("added-p%.0f-us", q))
	}
}

// BenchmarkCPUTime reports the CPU time of a request or lookup. It includes the
// caller, the instance and the backend server; the CPU time of the instance is the
// difference from the direct request.
func BenchmarkCPUTime(b *testing.B) {
	r := newTestInstance(b)
	for _, c := range []struct{ name, addr, path string }{
		{"direct", r.backend, "/files/7"}, {"through", r.entry, benchPath}, {"lookup", r.entry, benchLookup},
	} {
		b.Run(c.name, func(b *testing.B) {
			callers := make([]*caller, benchConns)
			for i := range callers {
				callers[i] = newCaller(b, c.addr, c.path)
			}
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime(b)
			var wg sync.WaitGroup
			for i, one := range callers {
				n := b.N / benchConns
				if i < b.N%benchConns {
					n++
				}
				wg.Go(func() {
					for range n {
						if err := one.call(); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			used := cpuTime(b) - before
			b.ReportMetric(float64(used.Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
	}
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
