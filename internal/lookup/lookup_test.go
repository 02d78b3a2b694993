package lookup_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/blocktable"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/lookup"
	"github.com/banyandeal/banyandeal/internal/snapshot"
	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// deploymentSize is the size of a deployment. instances counts the instances of
// each zone.
type deploymentSize struct{ regions, zones, blocks, instances int }

// largeDeployment is the largest deployment that the system is designed for.
var largeDeployment = deploymentSize{regions: 8, zones: 26, blocks: 670_000, instances: 242}

// newSnapshot returns a snapshot of a deployment of the given size with one
// service.
func newSnapshot(tb testing.TB, n deploymentSize) *snapshot.Snapshot {
	e := &estate.Estate{Name: "large", Version: 7}
	for i := range n.regions {
		e.Regions = append(e.Regions, estate.Region{Name: fmt.Sprintf("r%02d", i)})
	}
	svc := estate.Service{
		Name: "scoring", LookupTTL: 3 * time.Second, KeyTTL: time.Minute, MeanTime: 10 * time.Millisecond, MaxUtilisation: 0.8,
		Weights: map[string]float64{},
	}
	snap := &snapshot.Snapshot{Estate: e, Tables: map[string]*placement.Table{}}
	for i := range n.zones {
		z := estate.Zone{Name: fmt.Sprintf("z%02d", i), Region: e.Regions[i%n.regions].Name}
		e.Zones = append(e.Zones, z)
		svc.Weights[z.Name] = 1 / float64(n.zones)
		svc.Backends = append(svc.Backends, estate.Backend{Name: "b" + z.Name, Zone: z.Name, Slots: 100})
		sz := snapshot.Zone{Name: z.Name, Region: z.Region}
		for k := range n.instances {
			sz.Instances = append(sz.Instances, snapshot.Instance{
				ID: fmt.Sprintf("%s-%03d", z.Name, k), Zone: z.Name, Incarnation: 1, Caller: fmt.Sprintf("127.0.0.1:%d", 10000+k),
			})
		}
		snap.Zones = append(snap.Zones, sz)
	}
	e.Services = []estate.Service{svc}
	entries := make([]blocktable.Entry, n.blocks)
	for i := range entries {
		addr := netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0})
		entries[i] = blocktable.Entry{Prefix: netip.PrefixFrom(addr, 24), Class: blocktable.Class(i % n.regions)}
	}
	blocks, err := blocktable.New(entries)
	require.NoError(tb, err)
	demand := make(placement.Demand, n.regions)
	for i := range demand {
		demand[i] = 1000 * placement.PerSecond
	}
	plan, err := placement.Compute(placement.NewInput(e, demand))
	require.NoError(tb, err)
	snap.Tables["scoring"] = placement.NewTable(plan, 0, plan.Services[0].Flow, blocks, placement.Granularity{}, 0)
	return snap
}

// TestAnswerInstancesAndKey checks that an answer has two instances of the first
// zone and one of the next, and a new key whose home is the first instance.
func TestAnswerInstancesAndKey(t *testing.T) {
	snap := newSnapshot(t, deploymentSize{regions: 2, zones: 4, blocks: 100, instances: 3})
	h := &lookup.Handler{Snapshot: func() *snapshot.Snapshot { return snap }, Metrics: telemetry.NewMetrics()}
	seen := map[string]bool{}
	for range 2 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/lookup?service=scoring&caller=1.0.4.9", nil))
		require.Equal(t, 200, w.Code)
		require.Contains(t, w.Header().Get("Cache-Control"), "private", "a shared cache must not return the key to another caller")
		var a lookup.Answer
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
		require.Equal(t, uint64(7), a.Version)
		require.Equal(t, a.Instances[0].Zone, a.Instances[1].Zone)
		require.NotEqual(t, a.Instances[0].ID, a.Instances[1].ID)
		require.NotEqual(t, a.Instances[1].Zone, a.Instances[2].Zone)
		require.True(t, a.TTLMS <= 3000 && a.TTLMS >= 2400)
		k, err := once.ParseKey(a.Key)
		require.NoError(t, err)
		require.Equal(t, a.Instances[0].ID, k.Home.ID)
		require.False(t, seen[a.Key])
		seen[a.Key] = true
	}
}

func TestLookupStatusCodes(t *testing.T) {
	snap := newSnapshot(t, deploymentSize{regions: 1, zones: 1, blocks: 1, instances: 1})
	h := &lookup.Handler{Snapshot: func() *snapshot.Snapshot { return snap }, Metrics: telemetry.NewMetrics()}
	for query, status := range map[string]int{
		"service=nope&caller=1.2.3.4": 404, "caller=1.2.3.4": 404, "service=scoring&caller=moon": 400, "service=scoring&caller=10.0.0.0/8": 200,
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/lookup?"+query, nil))
		require.Equal(t, status, w.Code, query)
	}
	empty := &lookup.Handler{Snapshot: func() *snapshot.Snapshot { return &snapshot.Snapshot{} }, Metrics: telemetry.NewMetrics()}
	w := httptest.NewRecorder()
	empty.ServeHTTP(w, httptest.NewRequest("GET", "/v1/lookup?service=scoring", nil))
	require.Equal(t, 503, w.Code)
}

func TestChooseAllocatesNothing(t *testing.T) {
	snap := newSnapshot(t, deploymentSize{regions: 2, zones: 4, blocks: 100, instances: 3})
	var dst [6]*snapshot.Instance
	addr := netip.MustParseAddr("1.0.4.9")
	require.Zero(t, testing.AllocsPerRun(100, func() { lookup.Choose(snap, "scoring", addr, dst[:]) }))
}

// BenchmarkChoose measures the choice of instances from the snapshot.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []deploymentSize{{3, 6, 1000, 2}, {8, 26, 100_000, 242}, largeDeployment} {
		b.Run(fmt.Sprintf("blocks=%d/zones=%d", n.blocks, n.zones), func(b *testing.B) {
			snap := newSnapshot(b, n)
			var dst [6]*snapshot.Instance
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				j := i * 7919 % n.blocks
				lookup.Choose(snap, "scoring", netip.AddrFrom4([4]byte{byte(1 + j>>16), byte(j >> 8), byte(j), 9}), dst[:])
			}
		})
	}
}

// BenchmarkAnswer measures a whole lookup without the network: parsing, choice of
// instances, key and JSON.
func BenchmarkAnswer(b *testing.B) {
	snap := newSnapshot(b, largeDeployment)
	h := &lookup.Handler{Snapshot: func() *snapshot.Snapshot { return snap }, Metrics: telemetry.NewMetrics()}
	r := httptest.NewRequest("GET", "/v1/lookup?service=scoring&caller=1.0.4.9", nil)
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
}
