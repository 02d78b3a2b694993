// Package emulator plays policies for callers' requests on modelled deployments,
// in discrete time and without sockets, so that one can be weighed over many
// seeds in seconds.
//
// The models are coarse: backend servers have slots, a queue, and a memory of
// objects; instances know of changes after a lag; callers come back once. Bytes,
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
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// epoch is the time of day at which an emulated day begins.
var epoch = time.Unix(1_000_000, 0)

// event is something that happens at a time; seq orders events of one time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

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

// world is a deployment on one day.
type world struct {
	deployment *Deployment
	day        Day
	rng        *rand.Rand
	now        time.Duration
	events     events
	seq        int

	regionOf  map[string]string
	zones     []string
	services  map[string]*Service
	routes    map[string]*traffic.Route
	backends  []*backend
	byID      map[string]*backend
	instances map[string][]*instance
	started   int
	// burst multiplies the callers' rate by zone; moved maps a zone to the part of its
	// callers that go to another one.
	burst map[string]float64
	moved map[string]movement
	score *tally
}

type movement struct {
	to    string
	share float64
}

// instance is an entry instance with a policy.
type instance struct {
	zone   string
	policy Policy
	estate *admission.Snapshot
}

// Play runs a day of a deployment with a policy and returns its score.
func Play(d *Deployment, day Day, newPolicy NewPolicy, seed uint64) Score {
	w := newWorld(d, day, seed)
	w.run(newPolicy)
	return w.score.score()
}

// run plays the day to the end of its last request.
func (w *world) run(newPolicy NewPolicy) {
	w.build(newPolicy)
	for _, t := range w.day.Troubles {
		w.at(t.At, func() { w.strike(t, newPolicy) })
	}
	for _, z := range w.zones {
		w.callers(z)
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

func newWorld(d *Deployment, day Day, seed uint64) *world {
	w := &world{
		deployment: d, day: day, rng: rand.New(rand.NewPCG(seed, 1)),
		regionOf: d.regionOf(), services: map[string]*Service{}, routes: map[string]*traffic.Route{},
		instances: map[string][]*instance{}, byID: map[string]*backend{}, burst: map[string]float64{}, moved: map[string]movement{}, score: newTally(),
	}
	for z := range w.regionOf {
		w.zones = append(w.zones, z)
		w.burst[z] = 1
	}
	slices.Sort(w.zones)
	return w
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: t, seq: w.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) build(newPolicy NewPolicy) {
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		w.services[s.Name] = s
		for _, z := range w.zones {
			for range s.PerZone[z] {
				w.addBackend(s, z)
			}
		}
	}
	for _, k := range w.deployment.Kinds {
		w.routes[k.Name] = &traffic.Route{
			Name: k.Name, Prefix: "/" + k.Name + "/", Idempotent: k.Idempotent, Timeout: k.Timeout, Objective: k.Objective,
			MaxAttempts: 2, Priority: k.Priority, Sticky: true, Targets: []traffic.Target{{Service: k.Service, Weight: 1}},
		}
	}
	for _, z := range w.zones {
		for n := range w.deployment.Instances[z] {
			name := fmt.Sprintf("%s-%d", z, n)
			w.instances[z] = append(w.instances[z], &instance{zone: z, policy: newPolicy(w, name, z)})
		}
	}
	w.publish(0)
	w.balance()
}

// balanceInterval is the time between looks at the numbers of objects.
const balanceInterval = 250 * time.Millisecond

// balance lets the first instance of each region move objects, and the others
// learn of it.
func (w *world) balance() {
	for _, region := range slices.Sorted(maps.Keys(w.deployment.Regions)) {
		zones := w.deployment.Regions[region]
		first := w.instances[zones[0]][0]
		assigner, ok := first.policy.(placer)
		if !ok || first.estate == nil {
			continue
		}
		assigner.Balance(first.estate, w.clock())
		for _, z := range zones {
			for _, i := range w.instances[z] {
				other := i.policy.(placer)
				other.MergePlacements(nil, assigner.Assign(first.estate, admission.PlacementRequest{}, other.PlacesVersion(), w.clock()), w.clock())
			}
		}
	}
	if w.now < w.day.Length {
		w.after(balanceInterval, w.balance)
	}
}

func (w *world) addBackend(s *Service, zone string) *backend {
	w.started++
	// Names differ from day to day, and with them the order of objects.
	b := newBackend(s, fmt.Sprintf("b%d-%x", w.started, w.rng.Uint32()), zone)
	w.backends = append(w.backends, b)
	w.byID[b.ID] = b
	return b
}

// publish tells all instances after a delay what there is now.
func (w *world) publish(delay time.Duration) {
	e := &admission.Snapshot{Services: map[string]*traffic.Service{}, Backends: map[string][]*traffic.Backend{}}
	for name, s := range w.services {
		e.Services[name] = &traffic.Service{Name: name, ColdStart: s.ColdStart, ColdRate: s.ColdRate}
	}
	for _, b := range w.backends {
		if b.hidden {
			continue
		}
		entry := b.Backend
		entry.ColdUntil = epoch.Add(b.coldUntil)
		e.Backends[b.Service] = append(e.Backends[b.Service], &entry)
	}
	perRegion := map[string]int{}
	for z, list := range w.instances {
		e.Instances += len(list)
		perRegion[w.regionOf[z]] += len(list)
	}
	w.after(delay, func() {
		for z, list := range w.instances {
			own := *e
			own.RegionInstances = perRegion[w.regionOf[z]]
			for _, i := range list {
				i.estate = &own
			}
		}
	})
}

// find returns the backend server of an id, nil if there was none.
func (w *world) find(id string) *backend {
	return w.byID[id]
}

// callers lets the callers of a zone send for the length of the day.
func (w *world) callers(zone string) {
	phase := w.rng.Float64() * 2 * math.Pi
	for i := range w.deployment.Kinds {
		k := &w.deployment.Kinds[i]
		rate := k.PerSecond / float64(len(w.zones))
		var arrive func()
		next := func() time.Duration {
			swing := 1 + wave*math.Sin(phase+2*math.Pi*w.now.Seconds()/wavePeriod.Seconds())
			return time.Duration(w.rng.ExpFloat64() / (rate * swing * w.burst[zone]) * float64(time.Second))
		}
		arrive = func() {
			if w.now >= w.day.Length {
				return
			}
			w.call(k, zone)
			w.after(next(), arrive)
		}
		w.after(next(), arrive)
	}
}

// rtt returns the round trip between two zones.
func (w *world) rtt(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case w.regionOf[a] == w.regionOf[b]:
		return w.deployment.CrossZone
	}
	return w.deployment.CrossRegion
}
