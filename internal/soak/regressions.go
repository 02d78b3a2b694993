package soak

import "time"

// Regression is a run that failed in the past.
type Regression struct {
	Seed    uint64
	RunTime time.Duration
	// Plan and InstancesPerZone are as in Options.
	Plan             PlanName
	InstancesPerZone int
	// Cause describes why the run failed.
	Cause string
	// Open is set while the fault is not mended; KNOWN-RED.txt lists the run then.
	Open bool
}

// Regressions lists all runs that failed in the past.
var Regressions = []Regression{
	{Seed: 1, RunTime: 15 * time.Second, Plan: Mixed, InstancesPerZone: 1, Cause: "a stopping instance accepted requests on a connection after its last response"},
	{Seed: 916, RunTime: 12 * time.Second, Plan: Mixed, InstancesPerZone: 1, Cause: "a stand-in backend server that was draining came back as ready after a crash"},
	{Seed: 4005, RunTime: 20 * time.Second, Plan: Mixed, InstancesPerZone: 1, Cause: "the stand-in's store wrote an older entry over a newer one after a rollback, and instances then could not learn a limit"},
	{Seed: 44, RunTime: 15 * time.Second, Plan: Mixed, InstancesPerZone: 1, Cause: "the soak counted a backend server twice because two steps had stopped it"},
	{Seed: 1, RunTime: 14 * time.Second, Plan: Roles, InstancesPerZone: 2, Cause: "look-ups named a root of a region that had been gone for 17 s, because its death was never noticed"},
	{Seed: 305, RunTime: 8 * time.Second, Plan: Roles, InstancesPerZone: 5, Cause: "nobody checked an instance without power whose parent, the root of its region, was frozen"},
	{Seed: 2, RunTime: 25 * time.Second, Plan: Evacuations, InstancesPerZone: 1, Cause: "requests reached an evacuated zone after an older read of the store had ended the evacuation"},
	{Seed: 5, RunTime: 25 * time.Second, Plan: Evacuations, InstancesPerZone: 1, Cause: "the same"},
	{Seed: 3002, RunTime: 15 * time.Second, Plan: Mixed, InstancesPerZone: 1, Cause: "a stopping instance reset connections whose callers were still reading a large response"},
	{Seed: 201, RunTime: 15 * time.Second, Plan: Roles, InstancesPerZone: 25, Open: true, Cause: "routes were denied 2.6 to 3.5 s after they were added: the root lost power with a large configuration on its way, and the next read it from the store through 10 Mbit/s"},
}
