package soak

import "time"

// Regression is a run that once failed.
type Regression struct {
	Seed   uint64
	Duration time.Duration
	// Cause is why it failed.
	Cause string
}

// Regressions holds the seeds that ever failed.
var Regressions = []Regression{
	{Seed: 1, Duration: 15 * time.Second, Cause: "a stopping instance took in requests behind its last answer"},
	{Seed: 44, Duration: 15 * time.Second, Cause: "the soak counted a backend server twice that two steps had ended"},
}
