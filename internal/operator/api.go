// Package operator serves the HTTP API for operators and banyanctl.
//
//	GET /v1/live         200 while the process runs
//	GET /v1/ready        200 if a configuration is in force and the instance is not leaving, else 503
//	GET /v1/status       200 Status; ?part=work omits its instances, ?part=self all its lists
//	GET /v1/trace        200 []trace.Span, the most recent root spans; ?n= limits their number
//	GET /v1/trace/{id}   200 []trace.Span, the spans of one trace that this instance holds
//	GET /debug/vars      expvar
package operator

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// Values of the query parameter part of GET /v1/status.
const (
	// PartSelf selects a Status without its lists.
	PartSelf = "self"
	// PartWork selects a Status without its instances.
	PartWork = "work"
)

// Status is the state of an instance and its view of the deployment.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	// Estate is the name in the configuration in force, which describes the
	// deployment.
	Estate string `json:"estate"`
	// Version is the version of the configuration in force, 0 if there is none.
	Version uint64 `json:"version"`
	// InForceSince is the time at which this instance put Version in force.
	InForceSince time.Time `json:"in_force_since,omitzero"`
	Ready        bool      `json:"ready"`
	Leaving      bool      `json:"leaving"`
	Started      time.Time `json:"started"`
	// PlatformUp reports whether the last call to the platform succeeded.
	PlatformUp bool             `json:"platform_up"`
	Instances  []InstanceStatus `json:"instances"`
	Services   []ServiceStatus  `json:"services"`
	// Links are the links out of this instance's region.
	Links []LinkStatus `json:"links"`
	// Backends are the backend servers of this instance's zone.
	Backends []BackendStatus `json:"backends"`
	// Drains are the drains that this instance tracks, including completed ones.
	Drains []DrainStatus `json:"drains"`
	// Latency holds quantiles by name, such as "latency.scoring".
	Latency map[string]telemetry.Quantiles `json:"latency"`
}

// WithoutLists returns the status without its lists, so that its size doesn't
// depend on the size of the deployment.
func (s Status) WithoutLists() Status {
	s.Instances, s.Services, s.Links, s.Backends, s.Drains, s.Latency = nil, nil, nil, nil, nil, nil
	return s
}

// InstanceStatus is the known state of an instance.
type InstanceStatus struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	// State is live, leaving, suspect or gone.
	State string `json:"state"`
	// Operator is the address of its operator listener.
	Operator string `json:"operator"`
	// Relay reports whether it relays for its zone.
	Relay bool `json:"relay"`
}

// ServiceStatus is the steering state of a service.
type ServiceStatus struct {
	Name  string              `json:"name"`
	Zones []ServiceZoneStatus `json:"zones"`
	// Overflow is the share of the service's demand for which no zone has
	// capacity.
	Overflow float64 `json:"overflow"`
}

// ServiceZoneStatus is the steering state of a service in one zone.
type ServiceZoneStatus struct {
	Zone string `json:"zone"`
	// Weight is the share of lookups that are currently steered to the zone.
	Weight float64 `json:"weight"`
	// Target is the weight at the end of the ramp.
	Target float64 `json:"target"`
	// Slots is the number of slots of the backend servers that accept requests.
	Slots int `json:"slots"`
	// Free is the number of Slots that are reported free.
	Free int `json:"free"`
}

// LinkStatus is the state of one link at this instance.
type LinkStatus struct {
	From string `json:"from"`
	To   string `json:"to"`
	// MaxInFlight is the cap on requests in flight on the whole link.
	MaxInFlight int `json:"max_in_flight"`
	// MaxRate is the cap on the request rate of the whole link, per second.
	MaxRate float64 `json:"max_rate"`
	// RightsInFlight is this instance's share of MaxInFlight.
	RightsInFlight int `json:"rights_in_flight"`
	// RightsRate is this instance's share of MaxRate.
	RightsRate float64 `json:"rights_rate"`
	// InFlight is the number of this instance's requests in flight on the link.
	InFlight int `json:"in_flight"`
	// Peak is the maximum of InFlight since the start of the instance.
	Peak int `json:"peak"`
}

// BackendStatus is the state of one backend server.
type BackendStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Site    string `json:"site"`
	Owner   string `json:"owner"`
	// State is healthy, suspect, ejected, draining or cold. It is empty if
	// another instance owns the backend server.
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Peak     int    `json:"peak"`
}

// DrainStatus is the progress of one drain.
type DrainStatus struct {
	// What names the object that is drained, such as "zone pecs-a" or "backend b1".
	What  string    `json:"what"`
	Since time.Time `json:"since"`
	// InFlight is the number of requests still in flight.
	InFlight int `json:"in_flight"`
	// DurationSeconds is the duration of the drain, 0 until no request is in
	// flight.
	DurationSeconds float64 `json:"took_s"`
}
