// Package operator is the HTTP surface that operators and banyanctl use.
//
//	GET /v1/live         200 while the process runs
//	GET /v1/ready        200 once a configuration is in force and the instance is not leaving, else 503
//	GET /v1/status       200 Status; ?part=work leaves out its instances, ?part=self all its lists
//	GET /v1/trace        200 []trace.Span, the last root spans
//	GET /v1/trace/{id}   200 []trace.Span of one trace, as far as this instance has them
//	GET /debug/vars      expvar
package operator

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// Values of the query part of GET /v1/status.
const (
	PartSelf = "self"
	PartWork = "work"
)

// Status is what one instance knows.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	// Estate and Version name the configuration in force; Version 0 is none.
	Estate  string `json:"estate"`
	Version uint64 `json:"version"`
	// InForceSince is when this instance put Version in force.
	InForceSince time.Time `json:"in_force_since,omitzero"`
	Ready        bool      `json:"ready"`
	Leaving      bool      `json:"leaving"`
	Started      time.Time `json:"started"`
	// PlatformUp tells whether the last call to the platform succeeded.
	PlatformUp bool             `json:"platform_up"`
	Instances  []InstanceStatus `json:"instances"`
	Services   []ServiceStatus  `json:"services"`
	// Links are the links out of this instance's region.
	Links []LinkStatus `json:"links"`
	// Backends are the backend servers of this instance's zone.
	Backends []BackendStatus `json:"backends"`
	// Drains are the drains that this instance follows or has finished.
	Drains []DrainStatus `json:"drains"`
	// Latency holds quantiles by name, such as "latency.scoring".
	Latency map[string]telemetry.Quantiles `json:"latency"`
}

// WithoutLists returns the status without its lists: what is small and the same at any
// size of the estate.
func (s Status) WithoutLists() Status {
	s.Instances, s.Services, s.Links, s.Backends, s.Drains, s.Latency = nil, nil, nil, nil, nil, nil
	return s
}

// InstanceStatus is what is believed of an instance.
type InstanceStatus struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	// State is live, leaving, suspect or gone.
	State string `json:"state"`
	// Operator is the address of its operator listener.
	Operator string `json:"operator"`
	// Relay tells whether it relays for its zone.
	Relay bool `json:"relay"`
}

// ServiceStatus is how a service is steered.
type ServiceStatus struct {
	Name  string              `json:"name"`
	Zones []ServiceZoneStatus `json:"zones"`
	// Overflow is the share of the service's demand that fits nowhere.
	Overflow float64 `json:"overflow"`
}

// ServiceZoneStatus is one zone's part of a service.
type ServiceZoneStatus struct {
	Zone string `json:"zone"`
	// Weight is the share that look-ups steer to the zone now, Target where
	// the ramp leads.
	Weight float64 `json:"weight"`
	Target float64 `json:"target"`
	// Slots are those of backend servers that take work; Free is how many of
	// them are reported free.
	Slots int `json:"slots"`
	Free  int `json:"free"`
}

// LinkStatus is one link as this instance holds it.
type LinkStatus struct {
	From string `json:"from"`
	To   string `json:"to"`
	// MaxInFlight and MaxRate are the caps of the link as a whole.
	MaxInFlight int     `json:"max_in_flight"`
	MaxRate     float64 `json:"max_rate"`
	// RightsInFlight and RightsRate are this instance's part of the caps.
	RightsInFlight int     `json:"rights_in_flight"`
	RightsRate     float64 `json:"rights_rate"`
	// InFlight is what this instance has on the link now, Peak the most since
	// its start.
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak"`
}

// BackendStatus is one backend server.
type BackendStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Site    string `json:"site"`
	Owner   string `json:"owner"`
	// State is healthy, suspect, ejected, draining or cold; empty when another
	// instance owns it.
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Peak     int    `json:"peak"`
}

// DrainStatus is one drain.
type DrainStatus struct {
	// Target names the drained thing, such as "zone pecs-a" or "backend b1".
	Target  string    `json:"what"`
	Since time.Time `json:"since"`
	// InFlight is the work left; Took is set once there is none, in seconds.
	InFlight int     `json:"in_flight"`
	DurationSeconds     float64 `json:"took_s"`
}
