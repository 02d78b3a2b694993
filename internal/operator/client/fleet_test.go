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
	// benchRelays is how many instances of another zone an instance knows.
	benchRelays = 3
)

// fleet answers for instances in memory: each knows those of its own zone and
// the relays of the others.
type fleet struct {
	// bodies holds the answers by address and part.
	bodies map[string]map[string][]byte
	sent   atomic.Int64
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

// All instances are found through one, and asked again in answers whose size
// does not depend on how many there are.
func TestGatherLargeFleet(t *testing.T) {
	f := newFleet(t, 1000)
	c := f.client()
	answers, err := c.Gather(t.Context(), []string{addressOf(17)})
	require.NoError(t, err)
	require.Len(t, answers, 1000)
	c.Refresh(t.Context(), answers, func(Result) bool { return true })
	for _, a := range answers {
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
				answers, err := c.Gather(b.Context(), []string{addressOf(0)})
				require.NoError(b, err)
				require.Len(b, answers, size)
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
			answers, err := c.Gather(b.Context(), []string{addressOf(0)})
			require.NoError(b, err)
			f.sent.Store(0)
			for b.Loop() {
				c.Refresh(b.Context(), answers, func(Result) bool { return true })
			}
			b.ReportMetric(float64(f.sent.Load())/float64(b.N), "wire-B/op")
		})
	}
}
