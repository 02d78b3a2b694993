// Package bench is a load generator and checker: callers that cache the
// answers of look-ups, send requests through entry instances and send them
// again as a caller may, and a check of what they were told against the run
// logs of the backend servers.
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
	// Weight is the op's part of the workload, relative to the others'.
	Weight float64
	// ResponseSize asks for an answer of so many bytes; 0 is a small one.
	ResponseSize int64
	// BodySize is the size of the request's body in bytes, 0 is none.
	BodySize int
}

// Caller is one caller address with its part of the load, relative to the
// others'.
type Caller struct {
	Addr   netip.Addr
	Weight float64
	// LocalAddr is the local address that it connects from; the system chooses one
	// if it is the zero Addr.
	LocalAddr netip.Addr
	// PreferredEntries are the entries that its look-ups go to first.
	PreferredEntries []string
}

// Workload is the load on one service.
type Workload struct {
	Service string
	// Rate is the mean number of requests per second; arrivals are Poisson.
	Rate float64
	Ops  []Op
	// Deadline is what callers give each attempt.
	Deadline time.Duration
	// StartDelay is when its arrivals begin, Duration how long they go on; 0 is as long
	// as those of the others.
	StartDelay, Duration time.Duration
}

// Config sets up a load.
type Config struct {
	// Entries are the host:port of entry instances that look-ups may go to.
	Entries   []string
	Callers   []Caller
	Workloads []Workload
	// Duration and MaxRequests end the load, whichever comes first. Requests
	// in flight are finished.
	Duration    time.Duration
	MaxRequests int
	// MaxInFlight bounds the requests in flight; arrivals beyond it are
	// counted as skipped.
	MaxInFlight int
	// MaxAttempts bounds the sendings of one request; none begins later than
	// Patience after it was due.
	MaxAttempts int
	MaxWait    time.Duration
	// CallerKeyShare is the share in [0,1] of non-idempotent requests that use a
	// key of the caller's choice.
	CallerKeyShare float64
	Seed        uint64
	// TokenPrefix makes tokens and keys of this load differ from those of others.
	TokenPrefix string
}

func (c Config) validate() error {
	switch {
	case len(c.Entries) == 0, len(c.Callers) == 0, len(c.Workloads) == 0:
		return errors.NotValidf("a load without entries, callers or workloads")
	case c.Duration <= 0, c.MaxRequests <= 0, c.MaxInFlight <= 0, c.MaxAttempts <= 0, c.MaxWait <= 0:
		return errors.NotValidf("a load without bounds")
	}
	for _, w := range c.Workloads {
		if w.Rate <= 0 || len(w.Ops) == 0 || w.Deadline <= 0 {
			return errors.NotValidf("workload %q without rate, ops or deadline", w.Service)
		}
	}
	return nil
}
