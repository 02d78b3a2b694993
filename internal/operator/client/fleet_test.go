package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/operator"
)

const (
	benchZones = 26
	// benchRelays is the number of instances of another zone that an instance
	// knows.
	benchRelays = 3
)

// fleet simulates instances in memory. Each knows the instances of its own zone
// and the relays of the other zones.
type fleet struct {
	// bodies holds the responses by address and part.
	bodies map[string]map[string][]byte
	// sent is the number of response bytes so far.
	sent atomic.Int64
}

func newFleet(tb testing.TB, size int) *fleet {
	f := &fleet{bodies: map[string]map[string][]byte{}}
	zones := make([][]operator.InstanceStatus, benchZones)
	for i := range size {
		z := i % benchZones
		zones[z] = append(zones[z], operator.InstanceStatus{
			ID: fmt.Sprintf("entry-%d", i), Incarnation: 1, Zone: fmt.Sprintf("zone-%d", z), State: "live", Operator: addressOf(i),
		})
	}
	for i := range size {
		s := operator.Status{Instance: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%benchZones), Version: 7, Ready: true}
		for z, list := range zones {
			if z != i%benchZones {
				list = list[:min(len(list), benchRelays)]
			}
			s.Instances = append(s.Instances, list...)
		}
		f.bodies[addressOf(i)] = map[string][]byte{
			"": encode(tb, s), operator.PartSelf: encode(tb, s.WithoutLists()), operator.PartWork: encode(tb, s.WithoutLists()),
		}
	}
	return f
}

func addressOf(i int) string { return fmt.Sprintf("10.%d.%d.1:8300", i/256, i%256) }

func encode(tb testing.TB, s operator.Status) []byte {
	data, err := json.Marshal(s)
	require.NoError(tb, err)
	return data
}

// RoundTrip implements http.RoundTripper.
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	body := f.bodies[r.URL.Host][r.URL.Query().Get("part")]
	f.sent.Add(int64(len(body)))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
}

func (f *fleet) client() *Client {
	return &Client{http: &http.Client{Transport: f}, timeout: time.Minute}
}

// Gather must find all instances through a single one. Refresh must query them
// with responses whose size doesn't depend on the number of instances.
func TestGatherLargeFleet(t *testing.T) {
	f := newFleet(t, 1000)
	c := f.client()
	results, err := c.Gather(t.Context(), []string{addressOf(17)})
	require.NoError(t, err)
	require.Len(t, results, 1000)
	c.Refresh(t.Context(), results, func(Result) bool { return true })
	for _, a := range results {
		require.NoError(t, a.Err)
		require.Equal(t, uint64(7), a.Status.Version)
		require.Less(t, len(f.bodies[a.Addr][operator.PartSelf]), 512)
	}
}

func BenchmarkGather(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 6300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(b, size)
			c := f.client()
			for b.Loop() {
				results, err := c.Gather(b.Context(), []string{addressOf(0)})
				require.NoError(b, err)
				require.Len(b, results, size)
			}
			b.ReportMetric(float64(f.sent.Load())/float64(b.N), "wire-B/op")
		})
	}
}

func BenchmarkRefresh(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 6300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(b, size)
			c := f.client()
			results, err := c.Gather(b.Context(), []string{addressOf(0)})
			require.NoError(b, err)
			f.sent.Store(0)
			for b.Loop() {
				c.Refresh(b.Context(), results, func(Result) bool { return true })
			}
			b.ReportMetric(float64(f.sent.Load())/float64(b.N), "wire-B/op")
		})
	}
}
