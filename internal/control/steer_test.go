package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// testEstate returns an estate with zone a in region north and zone b in region
// south.
func testEstate(blocks ...estate.Block) *estate.Estate {
	return &estate.Estate{
		Name:    "test",
		Regions: []estate.Region{{Name: "north"}, {Name: "south"}},
		Zones:   []estate.Zone{{Name: "a", Region: "north"}, {Name: "b", Region: "south"}},
		Sites:   []estate.Site{{Name: "a-1", Zone: "a", Weight: 1}, {Name: "b-1", Zone: "b", Weight: 1}},
		Links:   []estate.Link{{From: "north", To: "south", MaxInFlight: 10, MaxRate: 100}, {From: "south", To: "north", MaxInFlight: 10, MaxRate: 100}},
		Shift:   estate.ShiftPolicy{MaxShare: 0.1, ColdShare: 0.01, ColdTime: 10 * time.Second},
		Blocks:  blocks,
		Services: []estate.Service{{
			Name: "loans", LookupTTL: time.Second, Deadline: 5 * time.Second, MeanTime: 10 * time.Millisecond,
			MaxUtilisation: 0.8, KeyTTL: time.Minute, MaxBody: 1 << 20, Weights: map[string]float64{"a": 0.5, "b": 0.5},
			Retry: estate.RetryPolicy{BudgetShare: 0.2, MaxAttempts: 2},
			Backends: []estate.Backend{
				{Name: "a-1-1", Site: "a-1", Zone: "a", Address: "10.0.0.1:80", Slots: 4, MaxConnections: 8},
				{Name: "b-1-1", Site: "b-1", Zone: "b", Address: "10.0.0.2:80", Slots: 4, MaxConnections: 8},
			},
		}},
	}
}

func block(prefix, region string) estate.Block {
	return estate.Block{Prefix: netip.MustParsePrefix(prefix), Region: region, Demand: 10}
}

// installed returns a version of the configuration with the given lists of
// changed and removed parts.
func installed(t *testing.T, version uint64, e *estate.Estate, changed, removed []string) *publish.Installed {
	parts, manifest, err := config.Split(e)
	require.NoError(t, err)
	objects := map[config.Digest][]byte{}
	for _, p := range parts {
		objects[p.Digest] = p.Bytes
	}
	a, err := config.Join(manifest, func(e config.Entry) ([]byte, error) { return objects[e.Digest], nil })
	require.NoError(t, err)
	head := publish.Head{Version: version, Root: a.Root(), Time: epoch}
	return &publish.Installed{Head: head, Assembly: a, Changed: changed, Removed: removed}
}

// shardOf returns the name of the part that holds a block.
func shardOf(t *testing.T, in *publish.Installed, b estate.Block) string {
	for _, name := range in.Assembly.ShardNames() {
		shard, err := in.Assembly.Shard(name)
		require.NoError(t, err)
		for _, x := range shard.Blocks {
			if x.Prefix == b.Prefix {
				return name
			}
		}
	}
	require.FailNow(t, "no part holds the block")
	return ""
}

// A version installed after one that was rejected must apply the changes of
// both, although its list of changes covers only its own.
func TestInstallAfterRejectedVersion(t *testing.T) {
	moved, invalid := block("10.1.0.0/16", "south"), block("2001:db8::/80", "north")
	s := newSteerState()
	require.NoError(t, s.install(installed(t, 1, testEstate(block("10.1.0.0/16", "north")), nil, nil)))

	second := installed(t, 2, testEstate(moved, invalid), nil, nil)
	removedShard := shardOf(t, second, invalid)
	second.Changed = []string{shardOf(t, second, moved), removedShard}
	require.Error(t, s.install(second))
	require.EqualValues(t, 1, s.estate.Version)

	require.NoError(t, s.install(installed(t, 3, testEstate(moved), []string{}, []string{removedShard})))
	match, ok := s.blocks.Lookup(netip.MustParseAddr("10.1.2.3"))
	require.True(t, ok)
	require.EqualValues(t, 1, match.Class, "index of region south")
}

// The status must be available for an estate whose placement fails.
func TestStatusWithoutPlacement(t *testing.T) {
	c := newTestControl(t, nil)
	c.ComputePlacement = func(placement.Input) (*placement.Plan, error) { return nil, errors.New("too large") }
	c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	c.publish(epoch)
	require.EqualValues(t, 1, c.status().Version)
}

// A new version may change the zones of a region, so the link machine must
// receive the region's members again.
func TestInstallResetsRegionMembers(t *testing.T) {
	c := newTestControl(t, nil)
	c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	c.tickLinks(epoch)
	require.NotNil(t, c.links.view)
	c.install(epoch, installed(t, 2, testEstate(), nil, nil))
	require.Nil(t, c.links.view)
}
