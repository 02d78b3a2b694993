// Package bench is a load generator and checker. Its callers cache lookup
// responses, send requests through entry instances and retry them by the rules
// for callers. The checker compares the responses that callers received with the
// run logs of the backend servers.
package bench

import (
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// Op is one kind of request of a workload.
type Op struct {
	Name   string
	Method string
	// Path is the path below the service, without a query.
	Path       string
	Idempotent bool
	// Weight is the share of this op in the workload, relative to the weights of
	// the other ops.
	Weight float64
	// ResponseSize is the response size in bytes that the request asks for; 0 asks
	// for a small response.
	ResponseSize int64
	// BodySize is the size of the request body in bytes; 0 means no body.
	BodySize int
}

// Caller is one caller address with its share of the load, relative to the
// weights of the other callers.
type Caller struct {
	Addr   netip.Addr
	Weight float64
	// LocalAddr is the local address that the caller connects from. The system
	// chooses one if it is the zero Addr.
	LocalAddr netip.Addr
	// PreferredEntries are the entries that the caller tries first for lookups.
	PreferredEntries []string
}

// Workload is the load on one service.
type Workload struct {
	Service string
	// Rate is the mean number of requests per second; arrivals form a Poisson
	// process.
	Rate float64
	Ops  []Op
	// Deadline is the deadline that callers set on each attempt.
	Deadline time.Duration
	// StartDelay is the time from the start of the load to the first arrivals.
	// ArrivalTime is how long the arrivals last; 0 means until the whole load ends.
	StartDelay, ArrivalTime time.Duration
}

// Config configures a Load.
type Config struct {
	// Entries are the host:port addresses of the entry instances that answer
	// lookups.
	Entries   []string
	Callers   []Caller
	Workloads []Workload
	// Duration and MaxRequests limit the load; arrivals end at whichever limit is
	// reached first. Requests in flight are finished.
	Duration    time.Duration
	MaxRequests int
	// MaxInFlight limits the requests in flight. Arrivals beyond it are not sent
	// but counted as skipped.
	MaxInFlight int
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int
	// MaxWait is the time after the due time of a request beyond which no attempt
	// of it starts.
	MaxWait time.Duration
	// CallerKeyShare is the share, in [0,1], of non-idempotent requests that use an
	// idempotency key chosen by the caller.
	CallerKeyShare float64
	Seed           uint64
	// TokenPrefix distinguishes the tokens and keys of this load from those of
	// other loads.
	TokenPrefix string
}

func (c Config) validate() error {
	switch {
	case len(c.Entries) == 0, len(c.Callers) == 0, len(c.Workloads) == 0:
		return errors.NotValidf("load config without entries, callers or workloads")
	case c.Duration <= 0, c.MaxRequests <= 0, c.MaxInFlight <= 0, c.MaxAttempts <= 0, c.MaxWait <= 0:
		return errors.NotValidf("load config with a limit that is not positive")
	}
	for _, w := range c.Workloads {
		if w.Rate <= 0 || len(w.Ops) == 0 || w.Deadline <= 0 {
			return errors.NotValidf("workload %q without a positive rate, ops or a positive deadline", w.Service)
		}
	}
	return nil
}
