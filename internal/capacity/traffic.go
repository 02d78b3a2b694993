package capacity

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// Names of the series over what records cost on the wire, in bytes per second
// of one instance, both directions, besides the heartbeats that carry them.
const (
	trafficPlain     = "records at an instance that is no relay, bytes/s"
	trafficRelay     = "records at a relay inside its zone, bytes/s"
	trafficThree     = "the same with records from all three relays, bytes/s"
	trafficMesh      = "records at a relay from other zones, bytes/s"
	trafficRounds    = 40
	reportersPerBeat = 16
)

// node is one instance that takes part in a refresh.
type node struct {
	set      *refresh.Set
	policies map[int]refresh.Policy
	targets  []int
	bytes    float64
}

// network is a set of instances that exchange records in rounds, one round a
// heartbeat's period.
type network []*node

func newNetwork(targets [][]int) network {
	g := make(network, len(targets))
	for i := range g {
		g[i] = &node{set: refresh.NewSet(refresh.Limits{}), policies: map[int]refresh.Policy{}, targets: targets[i]}
	}
	return g
}

func (n *node) policy(with int) refresh.Policy {
	if n.policies[with] == nil {
		n.policies[with] = refresh.NewDeltaTreePolicy(n.set)
	}
	return n.policies[with]
}

// round lets each instance exchange with its targets. It starts all its
// exchanges before the first answer arrives, as the daemon does.
func (g network) round() {
	for i, n := range g {
		requests := make([]refresh.Message, len(n.targets))
		for k, to := range n.targets {
			requests[k] = n.policy(to).Request()
		}
		for k, to := range n.targets {
			reply := g[to].policy(i).Serve(start, requests[k])
			n.policy(to).Finish(start, reply)
			size := float64(requests[k].Size() + reply.Size())
			n.bytes += size
			g[to].bytes += size
		}
	}
}

// run makes rounds in which publish puts new records, and returns the bytes per
// second of the first and the last instance. The first quarter is not counted.
func (g network) run(publish func(round int)) (first, last float64) {
	const warm = trafficRounds / 4
	for r := range trafficRounds {
		if r == warm {
			for _, n := range g {
				n.bytes = 0
			}
		}
		publish(r)
		g.round()
	}
	d := (time.Duration(trafficRounds-warm) * static.DefaultHeartbeatInterval).Seconds()
	return g[0].bytes / d, g[len(g)-1].bytes / d
}

// zoneTargets are those with whom each of a zone's n instances shares records.
// The first are relays, which share with each other; the rest share with one of
// them, or with all.
func zoneTargets(n int, all bool) [][]int {
	out := make([][]int, n)
	for i := range out {
		relay := i < membership.RelaysPerZone
		for r := range membership.RelaysPerZone {
			if r != i && (relay || all || r == i%membership.RelaysPerZone) {
				out[i] = append(out[i], r)
			}
		}
	}
	return out
}

// zoneTraffic returns the bytes per second of a relay and of another instance
// of a zone: load reports of its n instances, and a report a second of each zone.
func zoneTraffic(n int, all bool) (relay, plain float64) {
	local, global := newNetwork(zoneTargets(n, all)), newNetwork(zoneTargets(n, all))
	period := 1 + n/reportersPerBeat
	relay, plain = local.run(func(round int) {
		for i, m := range local {
			if (round+i)%period == 0 {
				m.set.Put(start, reportOf(newInstance(0, i), "load", round))
			}
		}
	})
	r, p := global.run(func(round int) {
		for z := range Letter.Zones {
			if (round+z)%zoneLoadRounds == 0 {
				for i := range membership.RelaysPerZone {
					global[i].set.Put(start, reportOf(newInstance(z, 0), "zone-load", round))
				}
			}
		}
	})
	return relay + r, plain + p
}

// zoneLoadRounds is the period of a zone's report in rounds.
const zoneLoadRounds = int(time.Second / static.DefaultHeartbeatInterval)

// meshTraffic returns the bytes per second of one relay among those of all
// zones, each of which reports its load once a second.
func meshTraffic(zones int) float64 {
	const perZone = membership.RelaysPerZone
	targets := make([][]int, zones*perZone)
	for i := range targets {
		for z := range zones {
			if z != i/perZone {
				targets[i] = append(targets[i], z*perZone+i%perZone)
			}
		}
		for r := range perZone {
			if own := i/perZone*perZone + r; own != i {
				targets[i] = append(targets[i], own)
			}
		}
	}
	g := newNetwork(targets)
	relay, _ := g.run(func(round int) {
		for z := range zones {
			if (round+z)%zoneLoadRounds == 0 {
				g[z*perZone].set.Put(start, reportOf(newInstance(z, 0), "zone-load", round))
			}
		}
	})
	return relay
}

func reportOf(in membership.Instance, name string, sequence int) refresh.Record {
	return toRecord(loadRecord(in), name, uint64(sequence)+1)
}

func toRecord(p *peerpb.Record, name string, sequence uint64) refresh.Record {
	return refresh.Record{Owner: p.Owner, Name: name, Incarnation: p.Incarnation, Sequence: sequence, Value: p.Value}
}

func measureTraffic(add func(Series)) error {
	zone := over{add: add, variable: "instances of the zone", steps: []int{20, 80, Letter.ZoneNodes()}, target: Letter.ZoneNodes()}
	relays := map[int]float64{}
	zone.measure(trafficPlain, Bytes, "internal/decide/refresh", func(n int) (plain float64) {
		relays[n], plain = zoneTraffic(n, false)
		return plain
	})
	zone.measure(trafficRelay, Bytes, "internal/decide/refresh", func(n int) float64 { return relays[n] })
	zone.measure(trafficThree, Bytes, "internal/decide/refresh", func(n int) float64 {
		_, plain := zoneTraffic(n, true)
		return plain
	})
	mesh := over{add: add, variable: "zones", steps: []int{Letter.Zones / 3, Letter.Zones * 2 / 3, Letter.Zones}, target: Letter.Zones}
	mesh.measure(trafficMesh, Bytes, "internal/decide/refresh", meshTraffic)
	return nil
}
