package emulator

import "time"

// Trouble is something that happens to the deployment.
type Trouble struct {
	Kind TroubleKind
	At   time.Duration
	// For is how long it lasts.
	For time.Duration
	// Zone and Service name what it happens to, where that is not everything.
	Zone, Service string
	// Share is the part of the things that fit, Factor how strong it is.
	Share, Factor float64
}

// TroubleKind names a kind of trouble.
type TroubleKind uint8

// Kinds of trouble.
const (
	// Burst multiplies the callers' rate by Factor, everywhere or in the region of
	// Zone.
	Burst TroubleKind = iota
	// Shift moves Share of the callers of Zone to the next zone.
	Shift
	// Evacuate takes the backend servers of Zone out; they are cold afterwards.
	Evacuate
	// Crash ends Share of a service's backend servers; they come back cold.
	Crash
	// Slow makes Share of a service's backend servers take Factor as long.
	Slow
	// Shed makes Share of a service's backend servers refuse Factor of the
	// requests.
	Shed
	// Replace ends Share of a service's backend servers one after the other;
	// new ones have taken their places before.
	Replace
	// Restart makes all instances forget what they know.
	Restart
)

// AnyZone stands for a zone that the day's seed picks.
const AnyZone = "any"

// Day is a length of time with troubles.
type Day struct {
	Name     string
	Length   time.Duration
	Troubles []Trouble
}

// Days are those that policies are weighed on.
var Days = []Day{
	{Name: "calm", Length: 32 * time.Second},
	{Name: "crowd", Length: 40 * time.Second, Troubles: []Trouble{
		{Kind: Burst, At: 6 * time.Second, For: 5 * time.Second, Factor: 1.8},
		{Kind: Shift, At: 16 * time.Second, For: 6 * time.Second, Share: 0.7},
		{Kind: Burst, At: 28 * time.Second, For: 4 * time.Second, Factor: 1.6},
	}},
	{Name: "local crowd", Length: 40 * time.Second, Troubles: []Trouble{
		{Kind: Burst, At: 10 * time.Second, For: 8 * time.Second, Factor: 2.2, Zone: AnyZone},
		{Kind: Burst, At: 26 * time.Second, For: 5 * time.Second, Factor: 2.2, Zone: AnyZone},
	}},
	{Name: "planned", Length: 48 * time.Second, Troubles: []Trouble{
		{Kind: Evacuate, At: 4 * time.Second, For: 8 * time.Second},
		{Kind: Replace, At: 16 * time.Second, For: 8 * time.Second, Share: 0.4},
		{Kind: Evacuate, At: 30 * time.Second, For: 8 * time.Second},
	}},
	{Name: "faults", Length: 48 * time.Second, Troubles: []Trouble{
		{Kind: Crash, At: 5 * time.Second, For: 4 * time.Second, Share: 0.15},
		{Kind: Slow, At: 13 * time.Second, For: 6 * time.Second, Share: 0.16, Factor: 5},
		{Kind: Shed, At: 23 * time.Second, For: 6 * time.Second, Share: 0.15, Factor: 0.45},
		{Kind: Restart, At: 33 * time.Second},
		{Kind: Burst, At: 34 * time.Second, For: 3 * time.Second, Factor: 1.5},
	}},
	{Name: "all shed", Length: 32 * time.Second, Troubles: []Trouble{
		{Kind: Shed, At: 10 * time.Second, For: 8 * time.Second, Share: 1, Factor: 0.5},
	}},
}
