// Package admission decides on callers' requests: which backend server gets
// one, whether it is sent again, whether it is refused, and when its caller may
// come back.
//
// Machine is a pure state machine: requests, ends of attempts and the time go
// in, decisions come out. It is not safe for concurrent use.
package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/decide/retry"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// maxSends bounds the backend servers that one request is offered to,
	// refusals included.
	maxSends = 4
	// patienceShare is the part of what a warm run leaves of the objective that
	// may be spent waiting; the rest covers what the estimate misses.
	patienceShare = 0.7
	minPatience   = 20 * time.Millisecond
	// returnPatience is how many times longer a caller waits that comes back;
	// returnedShare is the part of the full time below which it has come back.
	returnPatience = 3
	returnedShare  = 0.97
	// probeInterval is the time between requests of a route that are sent
	// although they are not expected to end in time.
	probeInterval = 500 * time.Millisecond
)

// Reason says why a request is not sent to a backend server, in logs and
// metrics; empty if it is sent.
type Reason string

// Reasons.
const (
	NoService   Reason = "no_service"
	NoBackends  Reason = "no_backends"
	NoneUsable  Reason = "none_usable"
	NoTime      Reason = "no_time"
	QueueFull   Reason = "queue_full"
	RetryBudgetEmpty Reason = "retry_budget"
	AttemptLimit    Reason = "attempts"
	// MayHaveRun is the end of a request that must not run twice.
	MayHaveRun Reason = "may_have_run"
	// Expired is the end of a request whose time is over.
	Expired Reason = "expired"
)

// Config holds the settings of a Machine.
type Config struct {
	Instance string
	Region   string
	RegionOf map[string]string
	Bounds   traffic.Bounds
	// Rand spreads the waits of callers that are turned away.
	Rand *rand.Rand
}

// Snapshot is what is known of services and instances. It is immutable; a new one
// takes its place when something has changed.
type Snapshot struct {
	Services map[string]*traffic.Service
	// Backends maps a service to those that may get new requests.
	Backends map[string][]*traffic.Backend
	// RegionInstances is the number of instances in the region and Instances that of all,
	// this one included; Instances is 0 until it is known.
	RegionInstances, Instances int
}

// Request is a caller's request.
type Request struct {
	ID string
	// Object names what the request concerns; empty if there is none.
	Object   string
	Route    *traffic.Route
	Received time.Time
	// Deadline is when the caller or the route gives the request up,
	// CallerDeadline when the caller does.
	Deadline, CallerDeadline time.Time
}

// RequestState is the state of one request over its attempts.
type RequestState struct {
	Request
	// Snapshot is what was known when the request came.
	Snapshot *Snapshot
	// Service is the target of the route that was drawn, nil if it is not
	// declared; ServiceName is its name.
	Service     *traffic.Service
	ServiceName string
	// Sends counts the backend servers that the request was offered to.
	Sends int
	// MaxWait is the longest wait for a slot that the last choice allowed.
	MaxWait time.Duration

	route *routeState
	query affinity.Query
	// key names the object in the table of places; its zero value is none.
	key assign.Key
	// runs counts the backend servers that may have run the request.
	runs int
	// freeIn is when a slot is expected to be free, if the last choice knew.
	freeIn time.Duration
}

// MayHaveRun reports whether a backend server may have run the request.
func (t *RequestState) MayHaveRun() bool { return t.runs > 0 }

// MayRepeat reports whether a request that has run can go to a further backend
// server.
func (t *RequestState) MayRepeat() bool {
	return t.Route.Idempotent && t.runs < t.Route.MaxAttempts
}

// Machine holds the state of all decisions of one instance.
type Machine struct {
	cfg      Config
	balancer *affinity.Balancer
	places   *assign.Table
	// asked is when the place of an object was last asked for.
	asked   map[assign.Key]time.Time
	budgets map[string]*retry.Budget
	routes  map[routeKey]*routeState
	// shortest is by service.
	shortest map[string]shortest
	// estate and weights belong to each other.
	estate  *Snapshot
	weights map[string]map[string]float64
}

// New returns a Machine that knows nothing.
func New(cfg Config) *Machine {
	balancer := affinity.New(affinity.Config{Instance: cfg.Instance, Region: cfg.Region, RegionOf: cfg.RegionOf})
	return &Machine{
		cfg: cfg, balancer: balancer, places: assign.New(), asked: map[assign.Key]time.Time{},
		budgets: map[string]*retry.Budget{}, routes: map[routeKey]*routeState{}, shortest: map[string]shortest{},
	}
}

// Begin prepares the attempts of a request.
func (m *Machine) Begin(e *Snapshot, r Request, now time.Time) *RequestState {
	m.adopt(e)
	state := m.route(r.Route, now)
	t := &RequestState{Request: r, Snapshot: e, ServiceName: state.target(r.Route), route: state}
	t.Service = e.Services[t.ServiceName]
	if t.Service == nil {
		return t
	}
	m.budget(t.ServiceName, now).Deposit(now)
	object := ""
	if r.Object != "" && r.Route.Sticky {
		object = r.Route.Prefix + r.Object
		t.key = assign.Key{Service: t.ServiceName, Prefix: r.Route.Prefix, Object: r.Object}
	}
	t.query = affinity.Query{
		Object: object, SpreadKey: r.ID, Profile: *state.profile(t.ServiceName, r.Route.Objective),
		Backends: m.candidates(t.ServiceName, r.Route.HomeRegions), Weights: m.weights[t.ServiceName],
		Tried: map[string]bool{}, RegionInstances: e.RegionInstances, ColdRate: t.Service.ColdRate / float64(e.sharers()),
	}
	m.find(t, now)
	return t
}

// adopt takes a newer estate in.
func (m *Machine) adopt(e *Snapshot) {
	if m.estate == e {
		return
	}
	m.estate = e
	for _, b := range m.budgets {
		b.Reconfigure(m.budgetShare())
	}
	m.weights = map[string]map[string]float64{}
	known := map[string]bool{}
	for service, list := range e.Backends {
		m.weights[service] = affinity.Shares(m.cfg.Region, m.cfg.RegionOf, list)
		for _, b := range list {
			known[b.ID] = true
		}
	}
	m.balancer.Retain(func(id string) bool { return known[id] })
}

// candidates returns the backend servers of a service in the home regions, in all
// regions if there are none.
func (m *Machine) candidates(service string, homes []string) []*traffic.Backend {
	all := m.estate.Backends[service]
	if len(homes) == 0 {
		return all
	}
	var allowed []*traffic.Backend
	for _, b := range all {
		if slices.Contains(homes, m.cfg.RegionOf[b.Zone]) {
			allowed = append(allowed, b)
		}
	}
	return allowed
}

// Next returns the backend server for the next attempt, which counts as sent,
// or the reason why there is none and the best one that was passed over, if any.
//
// e is the newest estate: a backend server that has left since the request came
// gets no further attempt of it.
func (m *Machine) Next(t *RequestState, e *Snapshot, now time.Time) (affinity.Choice, Reason) {
	if t.Service == nil {
		return affinity.Choice{}, NoService
	}
	if e != t.Snapshot {
		m.adopt(e)
		t.Snapshot = e
		t.query.Backends, t.query.Weights = m.candidates(t.ServiceName, t.Route.HomeRegions), m.weights[t.ServiceName]
	}
	if len(t.query.Backends) == 0 {
		return affinity.Choice{}, NoBackends
	}
	choice, ok := m.balancer.Choose(t.query, now)
	if !ok {
		return choice, NoneUsable
	}
	if choice.Expected > t.Deadline.Sub(now) && !t.mayProbe(now) {
		return choice, NoTime
	}
	t.MaxWait = m.patience(t, now)
	if choice.Wait > t.MaxWait {
		t.freeIn = choice.Wait - t.MaxWait
		return choice, QueueFull
	}
	m.balancer.RecordSent(choice, t.query, now)
	t.Sends++
	t.query.Tried[choice.Backend.ID] = true
	return choice, ""
}

// mayProbe lets a request go now and then although it is not expected to end in
// time, since what is expected is only learnt from runs.
func (t *RequestState) mayProbe(now time.Time) bool {
	if now.Sub(t.route.probed) < probeInterval {
		return false
	}
	t.route.probed = now
	return true
}

// patience is the longest wait for a slot that a warm run still leaves within
// the objective. Requests that wait longer would be late, and make those behind
// them late. Long work waits less, so that a crowd is not kept out by the few
// requests that hold slots for longest. A caller that has been turned away before
// waits for longer, so that it is not turned away again.
func (m *Machine) patience(t *RequestState, now time.Time) time.Duration {
	warm := t.query.Profile.Warm
	slack := patienceShare * float64(t.Route.Objective-warm)
	length := math.Sqrt(float64(m.shortestWork(t.ServiceName, warm, now)) / float64(warm))
	p := max(minPatience, time.Duration(slack*length))
	if t.hasReturned() {
		p *= returnPatience
	}
	return p
}

// hasReturned reports whether the caller has less time left than others of the
// route begin with: it has spent some on an earlier try.
func (t *RequestState) hasReturned() bool {
	given := t.CallerDeadline.Sub(t.Received)
	t.route.fullDeadline = max(t.route.fullDeadline, given)
	return float64(given) < returnedShare*float64(t.route.fullDeadline)
}

// RecordEnd takes in the end of the attempt that Next has chosen. ran tells that
// the backend server may have run the request.
func (m *Machine) RecordEnd(t *RequestState, c affinity.Choice, r affinity.Result, ran bool, now time.Time) {
	if ran {
		t.runs++
	}
	m.balancer.RecordEnd(c, t.query, r, now)
	if r.Outcome == affinity.Answered {
		m.learn(t, c, r)
	}
}

// CheckRetry reports whether a request whose attempt has brought no answer may go to
// a further backend server; the reason is empty if so. reached tells that the
// attempt arrived at its backend server, which counts against the budget.
func (m *Machine) CheckRetry(t *RequestState, ran, reached bool, now time.Time) Reason {
	switch {
	case !now.Before(t.Deadline):
		return Expired
	case ran && !t.Route.Idempotent:
		return MayHaveRun
	case t.Sends >= maxSends, t.runs > 0 && !t.MayRepeat():
		return AttemptLimit
	case reached && !m.budget(t.ServiceName, now).Take(now):
		return RetryBudgetEmpty
	}
	return ""
}
