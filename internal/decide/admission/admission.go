// Package admission decides what happens to callers' requests: which backend
// server gets a request, whether the request is retried, whether it is
// rejected, and when a rejected caller may retry.
//
// Machine is a pure state machine: requests, ends of attempts and the current
// time are its inputs, decisions are its outputs. It is not safe for
// concurrent use.
package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/pace"
	"github.com/banyandeal/banyandeal/internal/decide/rest"
	"github.com/banyandeal/banyandeal/internal/decide/restart"
	"github.com/banyandeal/banyandeal/internal/decide/retry"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// maxSends bounds the number of backend servers that one request is sent
	// to. Backend servers that refuse the request count as well.
	maxSends = 4
	// maxWaitShare is the share of the time that a warm run leaves until the
	// route's objective that a request may spend waiting for a slot. The rest
	// covers errors of the estimate.
	maxWaitShare = 0.7
	// maxWaitFloor is the lower bound of a request's maximum wait for a slot,
	// before callerRetryWaitFactor is applied.
	maxWaitFloor = 20 * time.Millisecond
	// callerRetryWaitFactor multiplies the maximum wait of a request that its
	// caller sends again after a rejection.
	callerRetryWaitFactor = 3
	// callerRetryShare is the share of the longest caller timeout seen on a
	// route. A request with a shorter timeout is taken for one that its caller
	// sends again.
	callerRetryShare = 0.97
	// probeInterval is the minimum time between two requests of a route that
	// are sent although they are not expected to finish before their
	// deadlines.
	probeInterval = 500 * time.Millisecond
)

// Reason says why a request is not sent to a backend server. It is empty if
// the request is sent, and is written to logs and metrics.
type Reason string

// Reasons why a request is not sent.
const (
	// NoService means that the target service of the route is not declared.
	NoService Reason = "no_service"
	// NoBackends means that the service has no backend server that the route
	// may use.
	NoBackends Reason = "no_backends"
	// NoneUsable means that every backend server was tried already, is avoided
	// after refused connections, or may get no further request during its cold
	// start.
	NoneUsable Reason = "none_usable"
	// Confined is like NoneUsable, for a request that only the few backend servers for
	// suspects may get.
	Confined Reason = "confined"
	// Limited is like NoneUsable, where request limits of backend servers are a cause.
	Limited Reason = "limited"
	// Resting means that no backend server may get the request, and that at least one of
	// them has asked this instance for rest or leaves.
	Resting Reason = "resting"
	// NoTime means that the request is not expected to finish before its
	// deadline.
	NoTime Reason = "no_time"
	// QueueFull means that the expected wait for a slot is longer than the
	// maximum wait of the request.
	QueueFull Reason = "queue_full"
	// RetryBudgetEmpty means that the retry budget of the service allows no
	// retry now.
	RetryBudgetEmpty Reason = "retry_budget"
	// AttemptLimit means that the request has reached the limit of its
	// attempts.
	AttemptLimit Reason = "attempts"
	// MayHaveRun means that a backend server may have run the request, which
	// must not run twice.
	MayHaveRun Reason = "may_have_run"
	// NoHomeRegion means that the home regions of the route and those of the client account
	// have none in common.
	NoHomeRegion Reason = "no_home_region"
	// RouteGone means that a newer configuration has no route for the request, which
	// matched one when it arrived.
	RouteGone Reason = "route_gone"
	// KeyRemoved means that a newer configuration requires a client account for the request and
	// does not have the one that it had when it arrived.
	KeyRemoved Reason = "key_removed"
	// Expired means that the deadline of the request has passed.
	Expired Reason = "expired"
)

// Config holds the settings of a Machine.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	// Region is the region of this instance, Zone its availability zone.
	Region, Zone string
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
	// Bounds limits the retries of all instances together.
	Bounds traffic.Bounds
	// Rand randomizes the times after which rejected callers may retry.
	Rand *rand.Rand
}

// Snapshot is the known state of services and instances at one time. It is
// immutable; a new Snapshot replaces it when something has changed.
type Snapshot struct {
	// Services holds the declared services by name.
	Services map[string]*traffic.Service
	// Backends maps a service to the backend servers that may get new
	// requests.
	Backends map[string][]*traffic.Backend
	// RegionInstances is the number of instances in the region and Instances the
	// number in all regions. Both include this instance. Instances is 0 until it
	// is known.
	RegionInstances, Instances int
	// ZoneInstances is the number of instances in the zone, including this one.
	ZoneInstances int
	// Members holds the instances in all regions, the same in the same order at all
	// instances that know the same ones.
	Members []traffic.Member
	// ClockZero is the time at which the clock was zero that all instances share. If it
	// is not known, the time of day serves instead.
	ClockZero time.Time
}

// Request is a caller's request.
type Request struct {
	// ID identifies the request.
	ID string
	// Object names the object that the request concerns; empty if there is
	// none.
	Object string
	// Route is the route that the request matched in the newest configuration that an
	// attempt was decided by.
	Route *traffic.Route
	// Account is the client account of the request in that configuration; nil if it has none.
	Account *traffic.Account
	// Received is the time at which the request arrived.
	Received time.Time
	// Deadline is the earlier of CallerDeadline and the deadline that the route
	// sets. CallerDeadline is the time at which the caller gives up.
	Deadline, CallerDeadline time.Time
	// PriorRuns is the number of backend servers that may have run the request before it was
	// handed over to this instance.
	PriorRuns int
}

// RequestState is the state of one request over all of its attempts.
type RequestState struct {
	Request
	// Snapshot is the newest snapshot that was used for the request.
	Snapshot *Snapshot
	// Service is the target service that was picked for the request; nil if
	// the service is not declared.
	Service *traffic.Service
	// ServiceName is the name of that service, also if it is not declared.
	ServiceName string
	// Sends is the number of backend servers that the request was sent to.
	Sends int
	// Isolation, unless nil, separates the next attempt from other requests that may
	// crash their backend servers too.
	Isolation *Isolation
	// Patience is the maximum wait for a slot that the last call of Next
	// allowed.
	Patience time.Duration
	// Limitation is set when the last call of Next returned Limited, and RestingBackend when
	// it returned Resting.
	Limitation     *Limitation
	RestingBackend *RestingBackend

	route *routeState
	query affinity.Query
	// homes holds the only regions that may run the request, or none if all may. hasHome is not
	// set if none may.
	homes   []string
	hasHome bool
	// objectKey is the key of the object in the placement table. It is the
	// zero value if the request has no object or its route is not sticky.
	objectKey assign.Key
	// runs is the number of backend servers that may have run the request, and inFlight the
	// number of attempts that have not ended.
	runs, inFlight int
	// arrived is set once an attempt has arrived at its backend server, so that each
	// further one counts against a retry budget.
	arrived bool
	// slotFreeIn is the expected time until a slot is free for the request. It
	// is 0 until a call of Next returns QueueFull or Limited.
	slotFreeIn time.Duration
}

// Isolation is how an attempt is separated from others. The attempt does not go to the
// backend servers of its object, where other requests for the object go.
type Isolation struct {
	// Key selects the backend server by hashing, the same one at all instances.
	Key string
	// Avoid reports whether a backend server gets the attempt only if no other may.
	Avoid func(*traffic.Backend) bool
	// Confined is set if the attempt may only go to the few backend servers of its service
	// that get suspects, because many requests seem to crash backend servers.
	Confined bool
}

// StartedAfter reports whether a backend server has started after a time. Suspects avoid
// those that have started after their first run that crashed one, so that their first choice, the same at
// all instances, changes only by a crash.
func StartedAfter(b *traffic.Backend, t time.Time) bool { return b.Born > t.UnixMilli() }

// MayHaveRun reports whether a backend server may have run the request.
func (r *RequestState) MayHaveRun() bool { return r.runs > 0 }

// MayRepeat reports whether a request that may have run can be sent to a
// further backend server.
func (r *RequestState) MayRepeat() bool {
	return r.Route.Kind.Idempotent() && r.runs < r.Route.MaxAttempts
}

// Machine makes the admission decisions of one instance and holds their state.
type Machine struct {
	cfg        Config
	balancer   *affinity.Balancer
	placements *assign.Table
	// lastPlacementRequest holds the time at which the placement of each object
	// was last requested from the assigning instance.
	lastPlacementRequest map[assign.Key]time.Time
	// budgets holds the retry budgets by service name.
	budgets map[string]*retry.Budget
	// routes holds the states of the routes.
	routes map[routeKey]*routeState
	// shortestRun holds the shortest warm run time by service name.
	shortestRun map[string]shortestRun
	// snapshot is the newest snapshot that was passed in, and began the time of the first.
	snapshot *Snapshot
	began    time.Time
	// weights holds the shares of objects by service name and backend server
	// ID. It is computed from snapshot and changes only with it.
	weights map[string]map[string]float64
	// zoneWeights holds the same for the callers of one zone, as far as it was needed.
	zoneWeights map[zoneKey]map[string]float64
	// limits holds the request limits of backend servers.
	limits *limit.Table
	// rests holds which backend servers have asked this instance for rest or leave.
	rests *rest.Table
	// restarts holds which backend servers may have become cold before the store tells.
	restarts *restart.Table
	// pacer holds the grants of this instance for backend servers that are cold or have
	// a limit.
	pacer *pace.Pacer
	// owners caches the owners of grants. It changes with snapshot.
	owners map[ownersKey][]pace.Group
}

// New returns a Machine without any recorded state.
func New(cfg Config) *Machine {
	balancer := affinity.New(affinity.Config{Region: cfg.Region, RegionOf: cfg.RegionOf})
	return &Machine{
		cfg: cfg, balancer: balancer, placements: assign.New(), lastPlacementRequest: map[assign.Key]time.Time{},
		budgets: map[string]*retry.Budget{}, routes: map[routeKey]*routeState{}, shortestRun: map[string]shortestRun{},
		limits: limit.New(cfg.Instance), rests: rest.New(), restarts: restart.New(), pacer: pace.New(cfg.Region, cfg.Instance),
	}
}

// Begin returns the state of a new request, with which its attempts are made.
// It counts the request in the retry budget of its service.
func (m *Machine) Begin(snapshot *Snapshot, r Request, now time.Time) *RequestState {
	m.useSnapshot(snapshot, now)
	state := m.route(r.Route, now)
	req := &RequestState{Request: r, Snapshot: snapshot, ServiceName: state.pickService(r.Route), route: state, runs: r.PriorRuns}
	req.Service = snapshot.Services[req.ServiceName]
	if req.Service == nil {
		return req
	}
	m.budget(req.ServiceName, now).Deposit(now)
	m.buildQuery(req, now)
	return req
}

// useSnapshot replaces the current snapshot and what was computed from it. It
// does nothing if the snapshot is the current one.
func (m *Machine) useSnapshot(latest *Snapshot, now time.Time) {
	if m.snapshot == latest {
		return
	}
	if m.snapshot == nil {
		m.began = now
	}
	if m.snapshot != nil && m.snapshot.Instances == 0 && latest.Instances > 0 {
		// Budgets made for assumedInstances would keep their few tokens for long.
		clear(m.budgets)
	}
	m.snapshot = latest
	for _, b := range m.budgets {
		b.Reconfigure(m.budgetShare())
	}
	m.weights, m.zoneWeights = map[string]map[string]float64{}, map[zoneKey]map[string]float64{}
	known, incarnations := map[string]bool{}, map[limit.Backend]bool{}
	for service, list := range latest.Backends {
		m.weights[service] = affinity.Shares(m.cfg.Region, m.cfg.RegionOf, list)
		for _, b := range list {
			known[b.ID], incarnations[identityOf(b)] = true, true
		}
	}
	exists := func(id string) bool { return known[id] }
	m.balancer.Retain(exists)
	m.limits.Retain(exists, now)
	m.rests.Retain(func(b limit.Backend) bool { return incarnations[b] }, now)
	m.restarts.Retain(func(b limit.Backend) bool { return incarnations[b] })
	m.pacer.Retain(func(key string) bool {
		_, id, _ := strings.Cut(key, " ")
		return exists(id)
	}, latest.sharedTime(now))
	m.owners = map[ownersKey][]pace.Group{}
}

// candidates returns the backend servers of a service that are in the home
// regions, or those in all regions if homeRegions is empty.
func (m *Machine) candidates(service string, homeRegions []string) []*traffic.Backend {
	all := m.snapshot.Backends[service]
	if len(homeRegions) == 0 {
		return all
	}
	var allowed []*traffic.Backend
	for _, b := range all {
		if slices.Contains(homeRegions, m.cfg.RegionOf[b.Zone]) {
			allowed = append(allowed, b)
		}
	}
	return allowed
}

// Next returns the backend server for the next attempt, which then counts as
// sent. Otherwise it returns the reason why there is no attempt, along with
// the best choice that was rejected, if any.
//
// snapshot must be the newest one: a backend server that has left since the
// request arrived gets no retry of the request.
func (m *Machine) Next(req *RequestState, snapshot *Snapshot, now time.Time) (affinity.Choice, Reason) {
	if req.Service == nil {
		return affinity.Choice{}, NoService
	}
	if !req.hasHome {
		return affinity.Choice{}, NoHomeRegion
	}
	m.renew(req, snapshot, now)
	if len(req.query.Backends) == 0 {
		return affinity.Choice{}, NoBackends
	}
	query := req.attemptQuery()
	choice, ok := m.choose(req, query, now)
	if !ok {
		return choice, m.noneUsable(req, now)
	}
	if choice.Expected > req.Deadline.Sub(now) && !req.mayProbe(now) {
		return choice, NoTime
	}
	req.Patience = m.maxWait(req, now)
	if choice.Wait > req.Patience {
		req.slotFreeIn = choice.Wait - req.Patience
		return choice, QueueFull
	}
	m.recordSent(req, choice, query, now)
	return choice, ""
}

// renew lets a request go by the newest snapshot.
func (m *Machine) renew(req *RequestState, snapshot *Snapshot, now time.Time) {
	if snapshot == req.Snapshot {
		return
	}
	m.useSnapshot(snapshot, now)
	req.Snapshot = snapshot
	req.query.Backends, req.query.Weights = m.candidates(req.ServiceName, req.homes), m.weightsFor(req.ServiceName, m.placementZone(req.Route))
}

// recordSent counts an attempt that is sent to the chosen backend server.
func (m *Machine) recordSent(req *RequestState, choice affinity.Choice, query affinity.Query, now time.Time) {
	m.takeGrants(req.Service, choice.Backend, now)
	m.rests.Sent(identityOf(choice.Backend), now)
	m.balancer.RecordSent(choice, query, now)
	req.Sends++
	req.inFlight++
	req.query.Tried[choice.Backend.ID] = true
}

// attemptQuery returns the query for the next attempt.
func (r *RequestState) attemptQuery() affinity.Query {
	q := r.query
	if r.Isolation != nil {
		q.Object, q.Placement, q.SpreadKey, q.Avoid = "", "", r.Isolation.Key, r.Isolation.Avoid
		// Weights depend on the region of the instance.
		q.Weights = nil
	}
	return q
}

// mayProbe reports whether a request may be sent although it is not expected
// to finish before its deadline. It allows one such request per probeInterval,
// because the expected run time is estimated only from requests that run.
func (r *RequestState) mayProbe(now time.Time) bool {
	if now.Sub(r.route.lastProbe) < probeInterval {
		return false
	}
	r.route.lastProbe = now
	return true
}

// maxWait returns the longest wait for a slot after which a warm run and the transfer
// of its response still finish within the objective. Requests that wait longer would miss the
// objective and delay those queued after them.
//
// A request of a route with a longer run time may wait for a smaller share of
// its slack. Under load this keeps the few requests that hold slots for
// longest from crowding out the many short ones. A caller that was rejected
// before may wait longer, so that it is not rejected again.
func (m *Machine) maxWait(req *RequestState, now time.Time) time.Duration {
	warm := req.query.Profile.Warm
	slack := maxWaitShare * float64(req.Route.Objective-warm-req.query.Profile.Transfer)
	lengthFactor := math.Sqrt(float64(m.shortestWarmRun(req.ServiceName, warm, now)) / float64(warm))
	wait := max(maxWaitFloor, time.Duration(slack*lengthFactor))
	if req.isCallerRetry() {
		wait *= callerRetryWaitFactor
	}
	return wait
}

// isCallerRetry reports whether the caller set a shorter timeout than other
// callers of the route. Such a caller has already spent time on an earlier
// attempt that was rejected.
func (r *RequestState) isCallerRetry() bool {
	timeout := r.CallerDeadline.Sub(r.Received)
	r.route.longestTimeout = max(r.route.longestTimeout, timeout)
	return float64(timeout) < callerRetryShare*float64(r.route.longestTimeout)
}

// RecordEnd records the end of the attempt that Next chose. ran reports
// whether the backend server may have run the request.
func (m *Machine) RecordEnd(req *RequestState, c affinity.Choice, r affinity.Result, ran bool, now time.Time) {
	req.inFlight--
	if ran {
		req.runs++
	}
	m.balancer.RecordEnd(c, req.query, r, now)
	if r.Outcome == affinity.Answered {
		m.updateProfile(req, c, r)
	}
}

// Forgive ends the avoidance of all backend servers.
func (m *Machine) Forgive() { m.balancer.Forgive() }

// CheckRetry returns the reason why a request whose attempt got no response
// may not be sent to a further backend server, or an empty reason if it may.
// ran reports whether the request may have run in that attempt. reached
// reports whether the attempt arrived at its backend server; only then does
// the next attempt count against the retry budget.
func (m *Machine) CheckRetry(req *RequestState, ran, reached bool, now time.Time) Reason {
	req.arrived = req.arrived || reached
	switch {
	case !now.Before(req.Deadline):
		return Expired
	case ran && !req.Route.Kind.Idempotent():
		return MayHaveRun
	case req.Sends >= maxSends, req.runs > 0 && !req.MayRepeat():
		return AttemptLimit
	case reached && !m.budget(req.ServiceName, now).Take(now):
		return RetryBudgetEmpty
	}
	return ""
}
