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

// steerState holds the active configuration and the traffic steering derived
// from it.
type steerState struct {
	// assembly is the active configuration by parts.
	assembly *config.Assembly
	// estate is the active configuration without its client blocks.
	estate *estate.Estate
	// blocks maps a client address to the region of the block that contains it.
	blocks *blocktable.Table
	// demand is the sum of the blocks' demand for each region.
	demand placement.Demand
	// plan is the target placement. If a new one cannot be computed, the
	// previous one stays; it is nil if there is none yet.
	plan *placement.Plan
	// tables holds the lookup table of each service, by service name.
	tables map[string]*placement.Table
	// slots is the number of configured slots that are not draining, by zone
	// and service.
	slots map[string]map[string]int
	// loads holds the last load report of each incarnation of the own zone, by
	// service.
	loads map[membership.Identity]map[string]load.Report
	// zoneLoads holds the last load report of each other zone, by service.
	zoneLoads map[string]map[string]load.Report
	// sent holds the load reports that this instance last published.
	sent sentLoads
	// missedVersion is set while a received version could not be applied. The
	// changes of the next version alone are then incomplete, so the state is
	// rebuilt from the whole of it.
	missedVersion bool
}

func newSteerState() *steerState {
	return &steerState{
		blocks: &blocktable.Table{}, tables: map[string]*placement.Table{}, loads: map[membership.Identity]map[string]load.Report{}, zoneLoads: map[string]map[string]load.Report{},
	}
}

// install applies a new version of the configuration. If it returns an error,
// the previous version stays active.
func (s *steerState) install(in *publish.Installed) error {
	missedVersion := s.missedVersion
	s.missedVersion = true
	if err := s.apply(in, missedVersion); err != nil {
		return err
	}
	s.missedVersion = false
	return nil
}

// apply updates the state to a version. If the previous version was applied, it
// updates only the blocks of changed parts and shares all others with the
// previous state; otherwise it rebuilds the state.
func (s *steerState) apply(in *publish.Installed, missed bool) error {
	skeleton := in.Assembly.Skeleton(in.Head.Version)
	if s.estate == nil || missed || in.Changed == nil || !sameRegions(s.estate, skeleton) {
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

// rebuild derives the state from all parts of a version.
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

// slotsOf returns the number of configured slots that are not draining, by zone
// and service.
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

// sameRegions reports whether a and b have the same regions in the same order,
// so that region indexes mean the same in both.
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

// regionIndex returns the index of a region in e.Regions, or 0 if there is none
// of that name.
func regionIndex(e *estate.Estate, name string) int {
	for i, r := range e.Regions {
		if r.Name == name {
			return i
		}
	}
	return 0
}

// steerGranularity is the granularity of steering within a client block, in
// prefix bits.
var steerGranularity = placement.Granularity{Bits4: 24, Bits6: 56}

// ownRegion returns the index of this instance's region. Clients that no block
// contains count as clients of this region.
func (c *Control) ownRegion() int {
	z, _ := c.steer.estate.ZoneOf(c.Self.Zone)
	return regionIndex(c.steer.estate, z.Region)
}
