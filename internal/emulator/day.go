package emulator

import "time"

// Disturbance is a fault, a load change or a planned operation during a day.
type Disturbance struct {
	Kind DisturbanceKind
	// At is the start, counted from the beginning of the day.
	At time.Duration
	// ActiveFor is how long the disturbance lasts.
	ActiveFor time.Duration
	// Zone is the affected availability zone, Service the affected service. An
	// empty Zone stands for all zones (Burst) or for a random zone; an empty
	// Service stands for the first service of the deployment.
	Zone, Service string
	// Share is the affected share in [0,1] of callers or backend servers. Factor
	// is the strength.
	Share, Factor float64
}

// DisturbanceKind is a kind of disturbance.
type DisturbanceKind uint8

// Kinds of disturbance.
const (
	// Burst multiplies the request rate of callers by Factor, in all regions or
	// in the region of Zone.
	Burst DisturbanceKind = iota
	// MoveCallers sends the requests of Share of the callers of Zone to the next
	// zone.
	MoveCallers
	// Evacuate delists the backend servers of Zone. They are cold when they are
	// listed again.
	Evacuate
	// Crash ends the processes of Share of the backend servers of a service.
	// Cold ones replace them after ActiveFor.
	Crash
	// Slow multiplies the run times of Share of the backend servers of a service
	// by Factor.
	Slow
	// Shed makes Share of the backend servers of a service reject a share of
	// Factor of the requests.
	Shed
	// Replace replaces Share of the backend servers of a service one after the
	// other. Each new one starts before the old one is delisted.
	Replace
	// RestartInstances restarts all instances, which lose their in-memory state.
	RestartInstances
	// RepeatCrashing lets callers repeat a request that crashes each backend server
	// that runs it, Factor times a second.
	RepeatCrashing
	// RepeatCrashingSilently is RepeatCrashing with crashes that show only when the
	// backend server is back: until then nothing responds.
	RepeatCrashingSilently
	// AskForRest lets the Share of backend servers turn away the share Factor of their
	// requests, with a rest of restLength.
	AskForRest
	// SayLeaving lets the Share of backend servers say in their responses that they leave.
	SayLeaving
	// NameLimits lets Share of the backend servers of a service state a request limit of
	// Factor requests per second.
	NameLimits
)

// AnyZone stands for a random zone that depends on the seed.
const AnyZone = "any"

// Day is a simulated period with a list of disturbances.
type Day struct {
	Name string
	// Length is how long callers send requests. The simulation continues until
	// the last request has ended.
	Length       time.Duration
	Disturbances []Disturbance
}

// Days lists the days on which policies are compared.
var Days = []Day{
	{Name: "calm", Length: 32 * time.Second},
	{Name: "crowd", Length: 40 * time.Second, Disturbances: []Disturbance{
		{Kind: Burst, At: 6 * time.Second, ActiveFor: 5 * time.Second, Factor: 1.8},
		{Kind: MoveCallers, At: 16 * time.Second, ActiveFor: 6 * time.Second, Share: 0.7},
		{Kind: Burst, At: 28 * time.Second, ActiveFor: 4 * time.Second, Factor: 1.6},
	}},
	{Name: "local crowd", Length: 40 * time.Second, Disturbances: []Disturbance{
		{Kind: Burst, At: 10 * time.Second, ActiveFor: 8 * time.Second, Factor: 2.2, Zone: AnyZone},
		{Kind: Burst, At: 26 * time.Second, ActiveFor: 5 * time.Second, Factor: 2.2, Zone: AnyZone},
	}},
	{Name: "planned", Length: 48 * time.Second, Disturbances: []Disturbance{
		{Kind: Evacuate, At: 4 * time.Second, ActiveFor: 8 * time.Second},
		{Kind: Replace, At: 16 * time.Second, ActiveFor: 8 * time.Second, Share: 0.4},
		{Kind: Evacuate, At: 30 * time.Second, ActiveFor: 8 * time.Second},
	}},
	{Name: "faults", Length: 48 * time.Second, Disturbances: []Disturbance{
		{Kind: Crash, At: 5 * time.Second, ActiveFor: 4 * time.Second, Share: 0.15},
		{Kind: Slow, At: 13 * time.Second, ActiveFor: 6 * time.Second, Share: 0.16, Factor: 5},
		{Kind: Shed, At: 23 * time.Second, ActiveFor: 6 * time.Second, Share: 0.15, Factor: 0.45},
		{Kind: RestartInstances, At: 33 * time.Second},
		{Kind: Burst, At: 34 * time.Second, ActiveFor: 3 * time.Second, Factor: 1.5},
	}},
	{Name: "crashing requests", Length: 32 * time.Second, Disturbances: []Disturbance{
		{Kind: RepeatCrashing, At: 5 * time.Second, ActiveFor: 22 * time.Second, Factor: 3.3},
		{Kind: RepeatCrashing, At: 9 * time.Second, ActiveFor: 15 * time.Second, Factor: 10},
		{Kind: RepeatCrashing, At: 9 * time.Second, ActiveFor: 15 * time.Second, Factor: 1},
	}},
	{Name: "named limits", Length: 40 * time.Second, Disturbances: []Disturbance{
		{Kind: NameLimits, At: 4 * time.Second, ActiveFor: 10 * time.Second, Share: 0.15, Factor: 1},
		{Kind: NameLimits, At: 16 * time.Second, ActiveFor: 10 * time.Second, Share: 0.3, Factor: 3.5},
		{Kind: Burst, At: 20 * time.Second, ActiveFor: 4 * time.Second, Factor: 1.6},
	}},
	{Name: "all shed", Length: 32 * time.Second, Disturbances: []Disturbance{
		{Kind: Shed, At: 10 * time.Second, ActiveFor: 8 * time.Second, Share: 1, Factor: 0.5},
	}},
}
