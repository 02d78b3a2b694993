package soak

import "time"

// Regression is a run that failed in the past.
type Regression struct {
	Seed    uint64
	RunTime time.Duration
	// Cause describes why the run failed.
	Cause string
}

// Regressions lists all runs that failed in the past.
var Regressions = []Regression{
	{Seed: 1, RunTime: 15 * time.Second, Cause: "a stopping instance accepted requests on a connection after its last response"},
	{Seed: 916, RunTime: 12 * time.Second, Cause: "a stand-in backend server that was draining came back as ready after a crash"},
	{Seed: 4005, RunTime: 20 * time.Second, Cause: "the stand-in's store wrote an older entry over a newer one after a rollback, and instances then could not learn a limit"},
	{Seed: 44, RunTime: 15 * time.Second, Cause: "the soak counted a backend server twice because two steps had stopped it"},
}
