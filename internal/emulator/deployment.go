package emulator

import (
	"fmt"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// RequestKind is a kind of request with its load and its objectives.
type RequestKind struct {
	// Name identifies the kind and its route. Service is the service that
	// handles it.
	Name, Service string
	// Route is the kind of its route.
	Route traffic.RouteKind
	// PerSecond is the mean number of requests per second over all availability
	// zones together.
	PerSecond float64
	// RunTime is the mean run time at a backend server that has not cached the
	// object.
	RunTime time.Duration
	// WarmFactor multiplies RunTime at a backend server that has cached the
	// object.
	WarmFactor float64
	// Objective is the latency up to which a response earns the full credit.
	Objective time.Duration
	// Timeout bounds the handling of a request by an instance.
	Timeout time.Duration
	// Deadline is how long a caller waits for the response, retries included.
	Deadline time.Duration
	// Credit is earned by a response within the objective, LateCredit by a later
	// response.
	Credit, LateCredit float64
	// Priority is the priority of the kind's route.
	Priority int
	// Objects is the number of distinct objects that the callers of each region
	// request.
	Objects int
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// BackendsPerZone is the number of backend servers by availability zone.
	BackendsPerZone map[string]int
	// Slots is the number of requests that a backend server runs at the same
	// time.
	Slots int
	// QueueLimit is the number of requests that may wait at a backend server
	// before it rejects more.
	QueueLimit int
	// ObjectMemory is the number of objects that a backend server caches.
	ObjectMemory int
	// ColdStart is how long a new backend server is cold.
	ColdStart time.Duration
	// ColdFactor multiplies the run times of a cold backend server.
	ColdFactor float64
	// ColdRate is the number of requests per second that a cold backend server
	// can handle.
	ColdRate float64
}

// Deployment describes a modelled installation of the system.
type Deployment struct {
	Name string
	// Regions maps a region to its availability zones.
	Regions map[string][]string
	// Instances is the number of entry instances by availability zone.
	Instances map[string]int
	Services  []Service
	Kinds     []RequestKind
	// CrossZoneRTT is the round-trip time between zones of a region.
	// CrossRegionRTT is the round-trip time between regions. CallerRTT is the
	// round-trip time between a caller and an instance.
	CrossZoneRTT, CrossRegionRTT, CallerRTT time.Duration
}

// regionOf returns the region of each availability zone.
func (d *Deployment) regionOf() map[string]string {
	regions := map[string]string{}
	for region, zones := range d.Regions {
		for _, z := range zones {
			regions[z] = region
		}
	}
	return regions
}

const (
	// rateAmplitude is the relative amplitude of the sine wave that the rate of
	// callers follows.
	rateAmplitude = 0.5
	// ratePeriod is the period of that sine wave.
	ratePeriod = 36 * time.Second
	// runTimeDeviation is the relative standard deviation of run times.
	runTimeDeviation = 0.15
	// propagationDelay is how long a change of the deployment takes to reach the
	// instances.
	propagationDelay = 800 * time.Millisecond
	// lapseDelay is how long the platform takes to notice that a backend server has
	// stopped its heartbeats, and the instances to learn it.
	lapseDelay = 4 * propagationDelay
	// maxCallerRetries is how often a caller retries a rejected request.
	maxCallerRetries = 1
	// defaultRetryWait is how long a caller waits before a retry if the
	// rejection gave no time.
	defaultRetryWait = 200 * time.Millisecond
	// maxWaitShare bounds the wait before a caller retry as a share of the time
	// left until the deadline.
	maxWaitShare = 1.0 / 3
)

// Deployments lists the deployments on which policies are compared.
var Deployments = []*Deployment{poorRegion(), evenRegions(), manyZones(), tenfold()}

// poorRegion returns a deployment with one region that has a tenth of the
// backend servers and a third of the callers.
func poorRegion() *Deployment {
	return &Deployment{
		Name:      "poor-region",
		Regions:   map[string][]string{"east": {"east-a", "east-b"}, "mid": {"mid-a", "mid-b"}, "west": {"west-a", "west-b"}},
		Instances: map[string]int{"east-a": 2, "east-b": 2, "mid-a": 2, "mid-b": 2, "west-a": 2, "west-b": 1},
		Services: []Service{
			{Name: "scoring", BackendsPerZone: map[string]int{"east-a": 4, "east-b": 4, "mid-a": 4, "mid-b": 4, "west-a": 1, "west-b": 1}, Slots: 3, QueueLimit: 9, ObjectMemory: 32, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 3},
			{Name: "archive", BackendsPerZone: map[string]int{"east-a": 3, "east-b": 4, "mid-a": 4, "mid-b": 3, "west-a": 1, "west-b": 1}, Slots: 3, QueueLimit: 9, ObjectMemory: 40, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 3},
		},
		Kinds:        requestKinds("scoring", "archive", 64, 24),
		CrossZoneRTT: time.Millisecond, CrossRegionRTT: 70 * time.Millisecond, CallerRTT: 6 * time.Millisecond,
	}
}

// evenRegions returns a deployment in which every region has the same share of
// the backend servers and of the callers.
func evenRegions() *Deployment {
	zones := map[string]int{}
	archive := map[string]int{}
	for _, z := range []string{"east-a", "east-b", "mid-a", "mid-b", "west-a", "west-b"} {
		zones[z], archive[z] = 3, 2
	}
	return &Deployment{
		Name:      "even-regions",
		Regions:   map[string][]string{"east": {"east-a", "east-b"}, "mid": {"mid-a", "mid-b"}, "west": {"west-a", "west-b"}},
		Instances: map[string]int{"east-a": 2, "east-b": 1, "mid-a": 2, "mid-b": 1, "west-a": 2, "west-b": 2},
		Services: []Service{
			{Name: "search", BackendsPerZone: zones, Slots: 5, QueueLimit: 12, ObjectMemory: 50, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 4},
			{Name: "cases", BackendsPerZone: archive, Slots: 4, QueueLimit: 12, ObjectMemory: 50, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 4},
		},
		Kinds:        requestKinds("search", "cases", 98, 24),
		CrossZoneRTT: time.Millisecond, CrossRegionRTT: 70 * time.Millisecond, CallerRTT: 6 * time.Millisecond,
	}
}

// manyZones returns a deployment with many objects, over which hashing alone
// spreads the load well.
func manyZones() *Deployment {
	d := &Deployment{
		Name:    "many-zones",
		Regions: map[string][]string{}, Instances: map[string]int{},
		CrossZoneRTT: time.Millisecond, CrossRegionRTT: 30 * time.Millisecond, CallerRTT: 4 * time.Millisecond,
	}
	fast, slow := map[string]int{}, map[string]int{}
	for _, region := range []string{"north", "south"} {
		for n := range 4 {
			z := fmt.Sprintf("%s-%d", region, n)
			d.Regions[region] = append(d.Regions[region], z)
			d.Instances[z], fast[z], slow[z] = 2, 4, 3
		}
	}
	d.Services = []Service{
		{Name: "fast", BackendsPerZone: fast, Slots: 4, QueueLimit: 12, ObjectMemory: 200, ColdStart: 4 * time.Second, ColdFactor: 2, ColdRate: 4},
		{Name: "slow", BackendsPerZone: slow, Slots: 4, QueueLimit: 12, ObjectMemory: 200, ColdStart: 4 * time.Second, ColdFactor: 2, ColdRate: 4},
	}
	d.Kinds = requestKinds("fast", "slow", 180, 160)
	return d
}

// tenfold returns the deployment of poorRegion at about ten times its size,
// with ten times as many backend servers and seven times as many instances.
func tenfold() *Deployment {
	d := poorRegion()
	d.Name = "grown"
	for z, n := range d.Instances {
		d.Instances[z] = 7 * n
	}
	for i := range d.Services {
		s := &d.Services[i]
		s.ObjectMemory = 16
		for z, n := range s.BackendsPerZone {
			s.BackendsPerZone[z] = 10 * n
		}
	}
	d.Kinds = requestKinds("scoring", "archive", 680, 120)
	return d
}

// requestKinds returns four kinds of request: lookups and records at the first
// service, long reads and signatures at the second. rate is the number of
// lookups per second.
func requestKinds(first, second string, rate float64, objects int) []RequestKind {
	return []RequestKind{
		{Name: "look-up", Service: first, Route: traffic.Idempotent, PerSecond: rate, RunTime: 640 * time.Millisecond, WarmFactor: 0.3, Objective: 500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Deadline: 3 * time.Second, Credit: 1, LateCredit: 0.2, Priority: 2, Objects: objects},
		{Name: "record", Service: first, PerSecond: rate * 0.45, RunTime: 840 * time.Millisecond, WarmFactor: 0.3, Objective: 600 * time.Millisecond, Timeout: 1500 * time.Millisecond, Deadline: 4 * time.Second, Credit: 2, LateCredit: 0.4, Priority: 1, Objects: objects},
		{Name: "long read", Service: second, Route: traffic.Idempotent, PerSecond: rate * 0.49, RunTime: 1600 * time.Millisecond, WarmFactor: 0.3, Objective: time.Second, Timeout: 2500 * time.Millisecond, Deadline: 8 * time.Second, Credit: 1, LateCredit: 0.2, Priority: 2, Objects: objects},
		{Name: "signature", Service: second, PerSecond: rate * 0.16, RunTime: 520 * time.Millisecond, WarmFactor: 0.3, Objective: 400 * time.Millisecond, Timeout: time.Second, Deadline: 2500 * time.Millisecond, Credit: 1, LateCredit: 0.2, Priority: 2, Objects: objects},
	}
}
