package emulator

import (
	"fmt"
	"time"
)

// Kind is a kind of request.
type Kind struct {
	Name, Service string
	Idempotent    bool
	// PerSecond is the mean rate from all availability zones together.
	PerSecond float64
	// Work is the mean run time at a backend server that does not know the
	// object; one that does takes WarmShare of it.
	Work      time.Duration
	WarmShare float64
	Objective time.Duration
	Timeout   time.Duration
	// Deadline is how long a caller waits.
	Deadline time.Duration
	// Worth is the credit for an answer within the objective, LateWorth for a
	// later one.
	Worth, LateWorth float64
	Priority         int
	// Objects is how many different objects each region asks for.
	Objects int
}

// Service is a set of backend servers.
type Service struct {
	Name string
	// PerZone is the number of backend servers by availability zone.
	PerZone map[string]int
	Slots   int
	// Queue is how many requests wait at a backend server before it refuses.
	Queue int
	// Remembers is how many objects a backend server knows.
	Remembers int
	// ColdStart is how long a new backend server takes ColdFactor as long and
	// bears ColdRate requests per second.
	ColdStart  time.Duration
	ColdFactor float64
	ColdRate   float64
}

// Deployment is an installation of the system.
type Deployment struct {
	Name string
	// Regions maps a region to its availability zones.
	Regions map[string][]string
	// Instances is the number of entry instances by availability zone.
	Instances map[string]int
	Services  []Service
	Kinds     []Kind
	// CrossZone and CrossRegion are round trips, Caller that of a caller to an
	// instance.
	CrossZone, CrossRegion, Caller time.Duration
}

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
	// wave and wavePeriod shape the rate of callers over time.
	wave       = 0.5
	wavePeriod = 36 * time.Second
	// workSpread is the relative spread of run times.
	workSpread = 0.15
	// lag is how long a change of the estate takes to reach an instance.
	lag = 800 * time.Millisecond
	// callerRetries is how often a caller comes back.
	callerRetries = 1
	// plainWait is when a caller comes back that was told no time.
	plainWait = 200 * time.Millisecond
	// honoured is the part of the time left to a caller that it waits at most.
	honoured = 1.0 / 3
)

// Deployments are the installations that policies are weighed on.
var Deployments = []*Deployment{poorRegion(), evenRegions(), manyZones(), grown()}

// poorRegion has a region with a tenth of the backend servers and a third of
// the callers.
func poorRegion() *Deployment {
	return &Deployment{
		Name:      "poor-region",
		Regions:   map[string][]string{"east": {"east-a", "east-b"}, "mid": {"mid-a", "mid-b"}, "west": {"west-a", "west-b"}},
		Instances: map[string]int{"east-a": 2, "east-b": 2, "mid-a": 2, "mid-b": 2, "west-a": 2, "west-b": 1},
		Services: []Service{
			{Name: "scoring", PerZone: map[string]int{"east-a": 4, "east-b": 4, "mid-a": 4, "mid-b": 4, "west-a": 1, "west-b": 1}, Slots: 3, Queue: 9, Remembers: 32, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 3},
			{Name: "archive", PerZone: map[string]int{"east-a": 3, "east-b": 4, "mid-a": 4, "mid-b": 3, "west-a": 1, "west-b": 1}, Slots: 3, Queue: 9, Remembers: 40, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 3},
		},
		Kinds:     kinds("scoring", "archive", 64, 24),
		CrossZone: time.Millisecond, CrossRegion: 70 * time.Millisecond, Caller: 6 * time.Millisecond,
	}
}

// evenRegions has as many backend servers as callers in each region.
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
			{Name: "search", PerZone: zones, Slots: 5, Queue: 12, Remembers: 50, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 4},
			{Name: "cases", PerZone: archive, Slots: 4, Queue: 12, Remembers: 50, ColdStart: 3 * time.Second, ColdFactor: 2, ColdRate: 4},
		},
		Kinds:     kinds("search", "cases", 98, 24),
		CrossZone: time.Millisecond, CrossRegion: 70 * time.Millisecond, Caller: 6 * time.Millisecond,
	}
}

// manyZones has many objects, so that hashing alone spreads them well.
func manyZones() *Deployment {
	d := &Deployment{
		Name:    "many-zones",
		Regions: map[string][]string{}, Instances: map[string]int{},
		CrossZone: time.Millisecond, CrossRegion: 30 * time.Millisecond, Caller: 4 * time.Millisecond,
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
		{Name: "fast", PerZone: fast, Slots: 4, Queue: 12, Remembers: 200, ColdStart: 4 * time.Second, ColdFactor: 2, ColdRate: 4},
		{Name: "slow", PerZone: slow, Slots: 4, Queue: 12, Remembers: 200, ColdStart: 4 * time.Second, ColdFactor: 2, ColdRate: 4},
	}
	d.Kinds = kinds("fast", "slow", 180, 160)
	return d
}

// grown is the deployment with the poor region at ten times its size.
func grown() *Deployment {
	d := poorRegion()
	d.Name = "grown"
	for z, n := range d.Instances {
		d.Instances[z] = 7 * n
	}
	for i := range d.Services {
		s := &d.Services[i]
		s.Remembers = 16
		for z, n := range s.PerZone {
			s.PerZone[z] = 10 * n
		}
	}
	d.Kinds = kinds("scoring", "archive", 680, 120)
	return d
}

// kinds returns four kinds of request: look-ups and records at one service, long
// reads and signatures at the other, with the look-ups at rate per second.
func kinds(first, second string, rate float64, objects int) []Kind {
	return []Kind{
		{Name: "look-up", Service: first, Idempotent: true, PerSecond: rate, Work: 640 * time.Millisecond, WarmShare: 0.3, Objective: 500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Deadline: 3 * time.Second, Worth: 1, LateWorth: 0.2, Priority: 2, Objects: objects},
		{Name: "record", Service: first, PerSecond: rate * 0.45, Work: 840 * time.Millisecond, WarmShare: 0.3, Objective: 600 * time.Millisecond, Timeout: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: 2, LateWorth: 0.4, Priority: 1, Objects: objects},
		{Name: "long read", Service: second, Idempotent: true, PerSecond: rate * 0.49, Work: 1600 * time.Millisecond, WarmShare: 0.3, Objective: time.Second, Timeout: 2500 * time.Millisecond, Deadline: 8 * time.Second, Worth: 1, LateWorth: 0.2, Priority: 2, Objects: objects},
		{Name: "signature", Service: second, PerSecond: rate * 0.16, Work: 520 * time.Millisecond, WarmShare: 0.3, Objective: 400 * time.Millisecond, Timeout: time.Second, Deadline: 2500 * time.Millisecond, Worth: 1, LateWorth: 0.2, Priority: 2, Objects: objects},
	}
}
