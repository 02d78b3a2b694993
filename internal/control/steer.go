package control

import (
	"github.com/banyandeal/banyandeal/internal/blocktable"
	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// steerState is where requests are steered.
type steerState struct {
	assembly *config.Assembly
	// estate is the configuration in force without its blocks.
	estate *estate.Estate
	blocks *blocktable.Table
	demand placement.Demand
	plan   *placement.Plan
	tables map[string]*placement.Table
	// slots counts the declared slots that take work, by zone and service.
	slots map[string]map[string]int
	// loads holds what each incarnation of the own zone last reported, zoneLoads
	// what each other zone did; both by service.
	loads     map[membership.Identity]map[string]load.Report
	zoneLoads map[string]map[string]load.Report
	// sent is what this instance last reported.
	sent sentLoads
	// behind is set while the version that the next one follows is not in force
	// here: its changes alone do not lead there.
	behind bool
}

func newSteerState() *steerState {
	return &steerState{
		blocks: &blocktable.Table{}, tables: map[string]*placement.Table{}, loads: map[membership.Identity]map[string]load.Report{}, zoneLoads: map[string]map[string]load.Report{},
	}
}

// install takes a version in. Blocks follow the parts that changed; all others
// are shared with the version before.
func (s *steerState) install(in *publish.Installed) error {
	behind := s.behind
	s.behind = true
	if err := s.take(in, behind); err != nil {
		return err
	}
	s.behind = false
	return nil
}

func (s *steerState) take(in *publish.Installed, behind bool) error {
	skeleton := in.Assembly.Skeleton(in.Head.Version)
	if s.estate == nil || behind || in.Changed == nil || !sameRegions(s.estate, skeleton) {
		return s.rebuild(in.Assembly, skeleton)
	}
	blocks, demand := s.blocks, append(placement.Demand(nil), s.demand...)
	for _, name := range append(append([]string(nil), in.Removed...), in.Changed...) {
		if !isShard(name) {
			continue
		}
		if _, had := s.assembly.Part(name); !had {
			continue
		}
		old, err := s.assembly.Shard(name)
		if err != nil {
			return err
		}
		for _, b := range old.Blocks {
			blocks, _ = blocks.Without(b.Prefix)
			demand.Remove(skeleton, b)
		}
	}
	for _, name := range in.Changed {
		if !isShard(name) {
			continue
		}
		shard, err := in.Assembly.Shard(name)
		if err != nil {
			return err
		}
		for _, b := range shard.Blocks {
			if blocks, err = blocks.With(entryOf(skeleton, b)); err != nil {
				return err
			}
			demand.Add(skeleton, b)
		}
	}
	s.assembly, s.estate, s.blocks, s.demand, s.slots = in.Assembly, skeleton, blocks, demand, slotsOf(skeleton)
	return nil
}

func (s *steerState) rebuild(a *config.Assembly, skeleton *estate.Estate) error {
	var entries []blocktable.Entry
	demand := make(placement.Demand, len(skeleton.Regions))
	for _, name := range a.ShardNames() {
		shard, err := a.Shard(name)
		if err != nil {
			return err
		}
		for _, b := range shard.Blocks {
			entries = append(entries, entryOf(skeleton, b))
			demand.Add(skeleton, b)
		}
	}
	blocks, err := blocktable.New(entries)
	if err != nil {
		return err
	}
	s.assembly, s.estate, s.blocks, s.demand, s.slots = a, skeleton, blocks, demand, slotsOf(skeleton)
	return nil
}

// slotsOf counts the declared slots that take work, by zone and service.
func slotsOf(e *estate.Estate) map[string]map[string]int {
	out := make(map[string]map[string]int, len(e.Zones))
	for _, z := range e.Zones {
		out[z.Name] = map[string]int{}
	}
	for i := range e.Services {
		for _, b := range e.Services[i].Backends {
			if zone := out[b.Zone]; zone != nil && !e.BackendDraining(b) {
				zone[e.Services[i].Name] += b.Slots
			}
		}
	}
	return out
}

func sameRegions(a, b *estate.Estate) bool {
	if len(a.Regions) != len(b.Regions) {
		return false
	}
	for i := range a.Regions {
		if a.Regions[i].Name != b.Regions[i].Name {
			return false
		}
	}
	return true
}

func entryOf(e *estate.Estate, b estate.Block) blocktable.Entry {
	return blocktable.Entry{Prefix: b.Prefix, Class: blocktable.Class(regionIndex(e, b.Region))}
}

func regionIndex(e *estate.Estate, name string) int {
	for i, r := range e.Regions {
		if r.Name == name {
			return i
		}
	}
	return 0
}

// steerUnits are the pieces in which blocks are steered.
var steerUnits = placement.Granularity{Bits4: 24, Bits6: 56}

// ownRegion returns the index of this instance's region, which stands for
// callers that no block contains.
func (c *Control) ownRegion() int {
	z, _ := c.steer.estate.ZoneOf(c.Self.Zone)
	return regionIndex(c.steer.estate, z.Region)
}
