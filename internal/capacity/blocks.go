package capacity

import (
	"net/netip"
	"runtime"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/blocktable"
	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/lookup"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

// Names of the series over blocks.
const (
	blockTable    = "block table, memory"
	blockRebuild  = "block table built anew, bytes allocated on the way"
	blockContent  = "configuration held, memory"
	blockEstate   = "configuration, bytes to fetch"
	blockObjects  = "configuration, objects to fetch"
	blockSplit    = "configuration split by the operator's tool, processor"
	blockJoin     = "configuration joined by a new instance, processor"
	blockChange   = "one block changed, bytes"
	blockApply    = "one block changed, processor"
	blockChoose   = "look-up from the snapshot, processor"
	smallestShare = 100
)

// stepsTo returns three sizes up to the largest: about a hundredth, a quarter
// and all of it.
func stepsTo(largest int) []int { return []int{largest / smallestShare, largest / 4, largest} }

// measureBlocks measures what grows with the number of client blocks.
func measureBlocks(add func(Series)) error {
	series := map[string]*Series{}
	names := []string{blockTable, blockRebuild, blockContent, blockEstate, blockObjects, blockSplit, blockJoin, blockChange, blockApply, blockChoose}
	units := []Unit{Bytes, Bytes, Bytes, Bytes, Objects, Seconds, Seconds, Bytes, Seconds, Seconds}
	packages := []string{
		"internal/blocktable", "internal/blocktable", "internal/config", "internal/config", "internal/config", "internal/config",
		"internal/config", "internal/config", "internal/config", "internal/lookup",
	}
	for i, n := range names {
		series[n] = &Series{Name: n, Variable: "blocks", Unit: units[i], Package: packages[i], Target: float64(Letter.Blocks)}
	}
	for _, n := range stepsTo(Letter.Blocks) {
		got, err := blockCosts(n)
		if err != nil {
			return errors.Trace(err)
		}
		for name, y := range got {
			series[name].Points = append(series[name].Points, Point{float64(n), y})
		}
		runtime.GC()
	}
	for _, n := range names {
		add(*series[n])
	}
	return nil
}

func blockCosts(n int) (map[string]float64, error) {
	size := Letter
	size.Blocks = n
	e := newEstate(size)
	got := map[string]float64{}
	var parts []config.Part
	var m config.Manifest
	var err error
	got[blockSplit] = oneCall(func() { parts, m, err = config.Split(e) })
	if err != nil {
		return nil, errors.Trace(err)
	}
	got[blockObjects] = float64(len(parts))
	for _, p := range parts {
		got[blockEstate] += float64(p.Size)
	}
	if err := tableCosts(got, e); err != nil {
		return nil, err
	}
	if err := contentCosts(got, parts, m); err != nil {
		return nil, err
	}
	return got, changeCosts(got, e, parts, m)
}

// fetchFrom returns the parts as a source would: each fetch is a fresh copy.
func fetchFrom(parts []config.Part) func(config.Entry) ([]byte, error) {
	byName := make(map[string][]byte, len(parts))
	for _, p := range parts {
		byName[p.Name] = p.Bytes
	}
	return func(e config.Entry) ([]byte, error) { return append([]byte(nil), byName[e.Name]...), nil }
}

func contentCosts(got map[string]float64, parts []config.Part, m config.Manifest) (err error) {
	get := fetchFrom(parts)
	got[blockContent] = heap(func() any {
		var a *config.Assembly
		got[blockJoin] = oneCall(func() { a, err = config.Join(m, get) })
		return a
	})
	return errors.Trace(err)
}

func changeCosts(got map[string]float64, e *estate.Estate, parts []config.Part, m config.Manifest) error {
	a, err := config.Join(m, fetchFrom(parts))
	if err != nil {
		return errors.Trace(err)
	}
	e.Blocks[len(e.Blocks)/2].Demand++
	data, size, get, err := changeOf(e, m)
	if err != nil {
		return err
	}
	got[blockChange] = size
	// What only the operator's tool holds is no burden to the collector here.
	e.Blocks = nil
	got[blockApply], err = applyTime(a, data, get)
	return err
}

// changeOf returns the encoded delta from the manifest old to the estate, what a
// receiver fetches for it in bytes, and the source of the parts.
func changeOf(e *estate.Estate, old config.Manifest) ([]byte, float64, func(config.Entry) ([]byte, error), error) {
	parts, next, err := config.Split(e)
	if err != nil {
		return nil, 0, nil, errors.Trace(err)
	}
	d := config.NewDelta(old, next)
	d.From, d.To = 1, 2
	d.SetInline(parts)
	data, err := d.Encode()
	size := len(data)
	for _, c := range d.Changed {
		if _, ok := d.Inline[c.Name]; !ok {
			size += c.Size
		}
	}
	return data, float64(size), fetchFrom(parts), errors.Trace(err)
}

func applyTime(a *config.Assembly, data []byte, get func(config.Entry) ([]byte, error)) (float64, error) {
	var failed error
	t := seconds(func() {
		d, err := config.DecodeDelta(data)
		if err == nil {
			_, err = a.Apply(d, get)
		}
		if err != nil {
			failed = err
		}
	})
	return t, errors.Trace(failed)
}

func tableCosts(got map[string]float64, e *estate.Estate) (err error) {
	var table *blocktable.Table
	got[blockRebuild] = allocated(func() {
		// The same steps as when control takes a whole configuration in.
		var entries []blocktable.Entry
		for i, b := range e.Blocks {
			entries = append(entries, blocktable.Entry{Prefix: b.Prefix, Class: blocktable.Class(i % len(e.Regions))})
		}
		table, err = blocktable.New(entries)
	})
	if err != nil {
		return errors.Trace(err)
	}
	got[blockTable] = float64(table.Bytes())
	snap, err := newSnapshot(e, table)
	if err != nil {
		return err
	}
	var dst [6]*snapshot.Instance
	i := 0
	got[blockChoose] = seconds(func() {
		i++
		lookup.Choose(snap, e.Services[0].Name, e.Blocks[i*7919%len(e.Blocks)].Prefix.Addr().Next(), dst[:])
	})
	return nil
}

// newSnapshot returns what traffic sees of an estate with all instances live.
func newSnapshot(e *estate.Estate, table *blocktable.Table) (*snapshot.Snapshot, error) {
	plan, err := placement.Compute(placement.NewInput(e, placement.NewDemand(e)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	snap := &snapshot.Snapshot{Estate: e, Tables: map[string]*placement.Table{}}
	for i, s := range plan.Services {
		snap.Tables[s.Name] = placement.NewTable(plan, i, s.Flow, table, placement.Granularity{Bits4: 24, Bits6: 56}, 0)
	}
	for z, zone := range e.Zones {
		v := snapshot.Zone{Name: zone.Name, Region: zone.Region}
		for k := range Letter.ZoneNodes() {
			in := newInstance(z, k)
			v.Instances = append(v.Instances, snapshot.Instance{
				ID: in.ID, Incarnation: in.Incarnation, Zone: in.Zone, Caller: in.Caller, Peer: in.Peer,
			})
		}
		snap.Zones = append(snap.Zones, v)
	}
	return snap, nil
}

// callerIn returns an address of block i.
func callerIn(i int) netip.Addr { return prefixOf(i).Addr().Next() }
