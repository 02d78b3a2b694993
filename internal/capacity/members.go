package capacity

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/pace"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

// Names of the series over members.
const (
	memberHeap    = "membership, memory"
	memberTick    = "membership tick, processor"
	memberChange  = "one member's state changed, processor"
	memberPublish = "snapshot published for new loads, processor"
	memberAnew    = "snapshot published for new members, processor"
	memberSet     = "replica of member records, memory"
	memberRecords = "member records, bytes"
	zoneLoads     = "load records of a zone, bytes"
	pacedGrant    = "one grant for a backend server with a request limit, processor"
)

// start is the time at which measurements begin.
var start = time.UnixMilli(1_764_000_000_000).UTC()

// memberSteps are numbers of instances.
var memberSteps = []int{100, 1000, Letter.Nodes}

// newMembership returns the machine of the last instance, which is no relay,
// with all instances known.
func newMembership(n int) *membership.Machine {
	all := newInstances(n, Letter.Zones)
	m := membership.New(membership.Config{Self: all[n-1]}, start)
	m.Reports(start, all)
	m.Ready()
	return m
}

// grantTime returns the time in which an instance finds the owner of one grant of its region,
// which has n instances.
func grantTime(n int) float64 {
	region := pace.Group{Name: "region", Weight: 1}
	for _, in := range newInstances(n, Letter.Zones) {
		region.Members = append(region.Members, string(in.ID))
	}
	rate := pace.Rate{PerSecond: 1, Factor: 1.5, Slack: 5, Window: 4 * time.Second, Lifetime: 4 * time.Second}
	perGrant := time.Duration(float64(time.Second) / rate.Issued())
	p, now := pace.New(region.Name, region.Members[0]), time.Duration(0)
	return seconds(func() {
		now += perGrant
		p.Available("backend", rate, []pace.Group{region}, 0, now)
	})
}

// measureMembers measures what grows with the number of instances known.
func measureMembers(add func(Series)) error {
	known := over{add: add, variable: "instances", steps: memberSteps, target: Letter.Nodes}
	known.measure(memberHeap, Bytes, "internal/decide/membership", func(n int) float64 {
		return heap(func() any { return newMembership(n) })
	})
	known.measure(memberTick, Seconds, "internal/decide/membership", func(n int) float64 {
		m := newMembership(n)
		return seconds(func() { m.Tick(start) })
	})
	known.measure(memberChange, Seconds, "internal/decide/membership", changeTime)
	known.measure(memberPublish, Seconds, "internal/snapshot", publishTime)
	known.measure(memberAnew, Seconds, "internal/snapshot", publishAnewTime)
	known.measure(memberSet, Bytes, "internal/decide/refresh", func(n int) float64 {
		return heap(func() any {
			set := refresh.NewSet(refresh.Limits{})
			for i := range n {
				set.Put(start, stateRecord(i, 1))
			}
			return set
		})
	})
	known.measure(memberRecords, Bytes, "internal/peer/peerpb", func(n int) float64 {
		m := &peerpb.Refresh{}
		for _, in := range newInstances(n, Letter.Zones) {
			m.Records = append(m.Records, instanceRecord(in))
		}
		return float64(proto.Size(m))
	})
	region := over{add: add, variable: "instances of the region", steps: []int{100, 400, Letter.RegionNodes()}, target: Letter.RegionNodes()}
	region.measure(pacedGrant, Seconds, "internal/decide/pace", grantTime)
	zone := over{add: add, variable: "instances of the zone", steps: []int{20, 80, Letter.ZoneNodes()}, target: Letter.ZoneNodes()}
	zone.measure(zoneLoads, Bytes, "internal/peer/peerpb", func(n int) float64 {
		m := &peerpb.Refresh{}
		for k := range n {
			m.Records = append(m.Records, loadRecord(newInstance(0, k)))
		}
		return float64(proto.Size(m))
	})
	return nil
}

func changeTime(n int) float64 {
	m := newMembership(n)
	in := newInstances(n, Letter.Zones)[0]
	return seconds(func() {
		in.Sequence++
		in.State = membership.Leaving - in.State
		m.Report(start, in)
		m.Ready()
	})
}

// publishTime makes the parts of a snapshot that follow the view, as control
// does once a tick while load reports come in.
func publishTime(n int) float64 {
	view, b := newMembership(n).View(), &snapshot.Builder{}
	return seconds(func() { picture(b, view) })
}

// publishAnewTime is publishTime after members changed in every zone.
func publishAnewTime(n int) float64 {
	view := newMembership(n).View()
	return seconds(func() { picture(&snapshot.Builder{}, view) })
}

func picture(b *snapshot.Builder, view *membership.View) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Peers: b.Peers(view)}
	for i, z := range view.Zones {
		var loads map[membership.Identity]map[string]load.Report
		if i == 0 {
			loads = map[membership.Identity]map[string]load.Report{}
		}
		s.Zones = append(s.Zones, snapshot.Zone{Name: z.Name, Instances: b.Instances(z, loads)})
	}
	return s
}

// instanceRecord returns the replicated record of an instance as control makes
// it.
func instanceRecord(in membership.Instance) *peerpb.Record {
	return &peerpb.Record{
		Owner: in.ID, Name: "instance", Incarnation: in.Incarnation, Sequence: in.RecordSequence(), Value: mustJSON(in),
	}
}

// loadRecord returns an instance's load record as control makes it.
func loadRecord(in membership.Instance) *peerpb.Record {
	type reported struct {
		Busy  load.MilliSlots `json:"busy"`
		Slots int             `json:"slots"`
	}
	report := map[string]reported{}
	for _, s := range newEstate(Size{Services: Letter.Services}).Services {
		report[s.Name] = reported{Busy: 2500, Slots: 8}
	}
	return &peerpb.Record{Owner: in.ID, Name: "load", Incarnation: in.Incarnation, Sequence: 100_000, Value: mustJSON(report)}
}

// mustJSON encodes strings and numbers.
func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Trace(err))
	}
	return data
}
