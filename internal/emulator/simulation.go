// Package emulator simulates request policies on modelled deployments, in
// discrete time and without sockets, so that a policy can be evaluated over
// many seeds in seconds.
//
// The models are coarse. Backend servers have slots, a queue and a cache of
// objects; instances learn of changes after a delay; callers retry once. Bytes,
// connections and processor time are not modelled.
package emulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// epoch is the wall-clock time at which a simulated day begins.
var epoch = time.Unix(1_000_000, 0)

// event is an action at a simulated time. seq orders events at the same time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// events is a heap of events in order of time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simulation is the state of one simulated day of a deployment.
type simulation struct {
	deployment *Deployment
	day        Day
	rng        *rand.Rand
	// now is the simulated time since the beginning of the day.
	now    time.Duration
	events events
	// seq counts the scheduled events.
	seq int

	// regionOf maps an availability zone to its region.
	regionOf map[string]string
	zones    []string
	services map[string]*Service
	routes   map[string]*traffic.Route
	backends []*backend
	// byID holds the backend servers by id.
	byID      map[string]*backend
	instances map[string][]*instance
	// backendCount counts the backend servers started so far.
	backendCount int
	// rateFactor multiplies the request rate of callers by zone.
	rateFactor map[string]float64
	// callerShifts maps a zone to the share of its callers that use another
	// zone.
	callerShifts map[string]callerShift
	// crashing holds the requests that crash backend servers.
	crashing []*crashingRequest
	// limits holds the request limits that were named. sharesLimits is set once instances
	// share them through limitRows, whose newest version is limitVersion.
	limits       []*namedLimit
	sharesLimits bool
	limitRows    map[string]limit.SharedRow
	limitVersion uint64
	score        *scoreCounter
}

// callerShift says which share of the callers of a zone uses another zone.
type callerShift struct {
	to    string
	share float64
}

// instance is an entry instance with its policy.
type instance struct {
	name, zone string
	policy     Policy
	// unexplained counts the attempts of each request that got no response and whose
	// backend server is not back yet.
	unexplained map[quarantine.Fingerprint]int
	// quarantine judges requests that crash backend servers; nil if the policy has no
	// quarantine.
	quarantine *quarantine.Machine
	// snapshot is the state of the deployment that the instance has received.
	snapshot *admission.Snapshot
}

// Simulate runs a day of a deployment with a policy and returns its score.
// Equal arguments give equal scores.
func Simulate(d *Deployment, day Day, newPolicy NewPolicy, seed uint64) Score {
	sim := newSimulation(d, day, seed)
	sim.run(newPolicy)
	return sim.score.score()
}

// run simulates the day until its last request has ended.
func (sim *simulation) run(newPolicy NewPolicy) {
	sim.build(newPolicy)
	for _, t := range sim.day.Disturbances {
		sim.at(t.At, func() { sim.applyDisturbance(t, newPolicy) })
	}
	for _, z := range sim.zones {
		sim.startCallers(z)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
	}
}

// newSimulation returns a simulation without backend servers and instances;
// build adds them.
func newSimulation(d *Deployment, day Day, seed uint64) *simulation {
	sim := &simulation{
		deployment: d, day: day, rng: rand.New(rand.NewPCG(seed, 1)),
		regionOf: d.regionOf(), services: map[string]*Service{}, routes: map[string]*traffic.Route{},
		instances: map[string][]*instance{}, byID: map[string]*backend{}, rateFactor: map[string]float64{}, callerShifts: map[string]callerShift{}, score: newScoreCounter(), limitRows: map[string]limit.SharedRow{},
	}
	for z := range sim.regionOf {
		sim.zones = append(sim.zones, z)
		sim.rateFactor[z] = 1
	}
	slices.Sort(sim.zones)
	return sim
}

// at schedules an action for a simulated time.
func (sim *simulation) at(t time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: t, seq: sim.seq, action: action})
}

// after schedules an action after a delay.
func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now+d, do) }

// clock returns the simulated time as a wall-clock time.
func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

// build creates the backend servers, routes and instances of the deployment.
func (sim *simulation) build(newPolicy NewPolicy) {
	for i := range sim.deployment.Services {
		s := &sim.deployment.Services[i]
		sim.services[s.Name] = s
		for _, z := range sim.zones {
			for range s.BackendsPerZone[z] {
				sim.addBackend(s, z)
			}
		}
	}
	for _, k := range sim.deployment.Kinds {
		sim.routes[k.Name] = &traffic.Route{
			Name: k.Name, Prefix: "/" + k.Name + "/", Kind: k.Route, Timeout: k.Timeout, Objective: k.Objective,
			MaxAttempts: 2, Priority: k.Priority, Sticky: true, Targets: []traffic.Target{{Service: k.Service, Weight: 1}},
		}
	}
	for _, z := range sim.zones {
		for n := range sim.deployment.Instances[z] {
			name := fmt.Sprintf("%s-%d", z, n)
			policy := newPolicy(sim, name, z)
			sim.instances[z] = append(sim.instances[z], &instance{name: name, zone: z, policy: policy, quarantine: newQuarantine(policy), unexplained: map[quarantine.Fingerprint]int{}})
		}
	}
	sim.publish(0)
	sim.rebalance()
}

// balanceInterval is the time between two runs of rebalance.
const balanceInterval = 250 * time.Millisecond

// rebalance lets the leader of each region, its first instance, move
// placements, and merges them into the other instances.
func (sim *simulation) rebalance() {
	for _, region := range slices.Sorted(maps.Keys(sim.deployment.Regions)) {
		zones := sim.deployment.Regions[region]
		first := sim.instances[zones[0]][0]
		leader, ok := first.policy.(placementPolicy)
		if !ok || first.snapshot == nil {
			continue
		}
		leader.Balance(first.snapshot, sim.clock())
		for _, z := range zones {
			for _, i := range sim.instances[z] {
				other := i.policy.(placementPolicy)
				other.MergePlacements(nil, leader.Assign(first.snapshot, admission.PlacementRequest{}, other.PlacesVersion(), sim.clock()), sim.clock())
			}
		}
	}
	if sim.now < sim.day.Length {
		sim.after(balanceInterval, sim.rebalance)
	}
}

// addBackend starts a backend server.
func (sim *simulation) addBackend(s *Service, zone string) *backend {
	sim.backendCount++
	// A random part of the name varies the hash order of objects between seeds.
	b := newBackend(s, fmt.Sprintf("b%d-%x", sim.backendCount, sim.rng.Uint32()), zone)
	b.Born = sim.clock().UnixMilli()
	sim.backends = append(sim.backends, b)
	sim.byID[b.ID] = b
	return b
}

// publish sends the current state of the deployment to all instances after a
// delay.
func (sim *simulation) publish(delay time.Duration) {
	e := &admission.Snapshot{Services: map[string]*traffic.Service{}, Backends: map[string][]*traffic.Backend{}, ClockZero: epoch}
	for name, s := range sim.services {
		e.Services[name] = &traffic.Service{Name: name, ColdStart: s.ColdStart, ColdRate: s.ColdRate}
	}
	for _, b := range sim.backends {
		if b.delisted {
			continue
		}
		entry := b.Backend
		entry.ColdUntil = epoch.Add(b.coldUntil)
		e.Backends[b.Service] = append(e.Backends[b.Service], &entry)
	}
	perRegion := map[string]int{}
	for _, z := range sim.zones {
		e.Instances += len(sim.instances[z])
		perRegion[sim.regionOf[z]] += len(sim.instances[z])
		for _, i := range sim.instances[z] {
			e.Members = append(e.Members, traffic.Member{Name: i.name, Zone: z})
		}
	}
	sim.after(delay, func() {
		for z, list := range sim.instances {
			own := *e
			own.RegionInstances = perRegion[sim.regionOf[z]]
			for _, i := range list {
				i.snapshot = &own
			}
		}
	})
}

// find returns the backend server with an id, or nil if there is none.
func (sim *simulation) find(id string) *backend {
	return sim.byID[id]
}

// startCallers schedules the requests of the callers of a zone. The arrivals
// are random and stop at the end of the day.
func (sim *simulation) startCallers(zone string) {
	phase := sim.rng.Float64() * 2 * math.Pi
	for i := range sim.deployment.Kinds {
		k := &sim.deployment.Kinds[i]
		rate := k.PerSecond / float64(len(sim.zones))
		var arrive func()
		next := func() time.Duration {
			swing := 1 + rateAmplitude*math.Sin(phase+2*math.Pi*sim.now.Seconds()/ratePeriod.Seconds())
			return time.Duration(sim.rng.ExpFloat64() / (rate * swing * sim.rateFactor[zone]) * float64(time.Second))
		}
		arrive = func() {
			if sim.now >= sim.day.Length {
				return
			}
			sim.request(k, zone)
			sim.after(next(), arrive)
		}
		sim.after(next(), arrive)
	}
}

// rtt returns the round-trip time between two zones.
func (sim *simulation) rtt(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case sim.regionOf[a] == sim.regionOf[b]:
		return sim.deployment.CrossZoneRTT
	}
	return sim.deployment.CrossRegionRTT
}
