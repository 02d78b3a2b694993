package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/random"
)

// newDirectory returns the Directory of an instance in the region a that has read the
// routes and so many instances in the availability zone a1, b1 and b2.
func newDirectory(tb testing.TB, homes []string, inA1, inB1, inB2 int, isDead func(string) bool) *Directory {
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	c := control.New(nil, time.Now, zerolog.Nop())
	go c.Run(ctx)
	config := &traffic.Config{Version: 1, Hosts: map[string][]*traffic.Route{"shop.example": {{Prefix: "/read/", HomeRegions: homes}}}}
	config.Index()
	members := map[string]*traffic.Member{}
	for zone, count := range map[string]int{"a1": inA1, "b1": inB1, "b2": inB2} {
		for n := range count {
			name := fmt.Sprintf("%s-%03d", zone, n)
			members[name] = &traffic.Member{Name: name, Zone: zone, Callers: name}
		}
	}
	c.Push(ctx, control.Update{Kind: control.KindOperator, Full: true, Config: config})
	c.Push(ctx, control.Update{Kind: control.KindMembers, Full: true, Members: members})
	require.Eventually(tb, func() bool { return len(c.View().Members) == inA1+inB1+inB2 }, time.Second, time.Millisecond)
	settings := &traffic.Settings{Instance: "a1-000", Region: "a", RegionOf: map[string]string{"a1": "a", "b1": "b", "b2": "b"}}
	return New(c, settings, isDead, random.Unpredictable())
}

func nobodyDead(string) bool { return false }

// TestLookupsStayInRegionOfHomes guards against lookups that name instances of other regions
// while one of the callers' region runs and a route has homes, and against empty responses
// when none runs.
func TestLookupsStayInRegionOfHomes(t *testing.T) {
	homes := []string{"b"}
	require.Equal(t, []string{"b1-000"}, newDirectory(t, homes, 2, 1, 0, nobodyDead).Addresses(Query{Region: "b", Zone: "b1"}))
	require.Equal(t, []string{"b1-000"}, newDirectory(t, homes, 2, 1, 0, nobodyDead).Addresses(Query{Region: "b", Zone: "b2"}))
	require.Len(t, newDirectory(t, homes, 2, 0, 0, nobodyDead).Addresses(Query{Region: "b", Zone: "b1"}), 2, "none in the region")
	isDead := func(name string) bool { return name == "b1-000" }
	require.Equal(t, []string{"a1-000", "a1-001"}, newDirectory(t, homes, 2, 1, 0, isDead).Addresses(Query{Region: "b", Zone: "b1"}), "the only one is dead")
	require.Len(t, newDirectory(t, nil, 2, 1, 0, nobodyDead).Addresses(Query{Region: "b", Zone: "b1"}), 3, "no route has homes")
}

// TestLookupsOfLargeBodies checks that callers of a host with large bodies are told of the wide instances of
// their zone, and callers of other hosts of all.
func TestLookupsOfLargeBodies(t *testing.T) {
	d := newDirectory(t, nil, 4, 0, 0, nobodyDead)
	config := &traffic.Config{Version: 2, Hosts: map[string][]*traffic.Route{
		"media.example": {{Prefix: "/in/", Kind: traffic.Upload}}, "shop.example": {{Prefix: "/read/"}},
	}}
	config.Index()
	members := map[string]*traffic.Member{}
	for n, capacity := range []float64{0.1, 0.9, 0.2, 1} {
		name := fmt.Sprintf("a1-%03d", n)
		members[name] = &traffic.Member{Name: name, Zone: "a1", Callers: name, Capacity: capacity}
	}
	d.control.Push(context.Background(), control.Update{Kind: control.KindOperator, Full: true, Config: config})
	d.control.Push(context.Background(), control.Update{Kind: control.KindMembers, Full: true, Members: members})
	require.Eventually(t, func() bool { return d.control.View().Members[0].Capacity > 0 }, time.Second, time.Millisecond)
	require.Equal(t, []string{"a1-001", "a1-003"}, d.Addresses(Query{Host: "media.example:80", Region: "a", Zone: "a1"}))
	require.Len(t, d.Addresses(Query{Host: "shop.example", Region: "a", Zone: "a1"}), 4)
	require.Len(t, d.Addresses(Query{Region: "a", Zone: "a1"}), 4, "an earlier caller names no host")
}

// TestLookupsNameAllInstances guards against instances that no lookup names because there are
// more than a response has room for.
func TestLookupsNameAllInstances(t *testing.T) {
	const instances = 3 * maxAddresses
	d := newDirectory(t, nil, instances, 0, 0, nobodyDead)
	named := map[string]int{}
	for range 1000 {
		addresses := d.Addresses(Query{Region: "a", Zone: "a1"})
		require.Len(t, addresses, maxAddresses)
		for _, a := range addresses {
			named[a]++
		}
	}
	require.Len(t, named, instances)
	for name, count := range named {
		// Each is named in a third of the responses; 8 standard deviations are 120.
		require.InDelta(t, 1000/3.0, count, 120, name)
	}
}

// BenchmarkAddresses measures a lookup by the number of instances.
func BenchmarkAddresses(b *testing.B) {
	for _, instances := range []int{10, 64, 200} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			d := newDirectory(b, nil, instances, 0, 0, nobodyDead)
			b.ReportAllocs()
			for b.Loop() {
				d.Addresses(Query{Region: "a", Zone: "a1"})
			}
		})
	}
}
