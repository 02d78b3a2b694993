// Package affinity decides which backend server gets a request.
//
// Every instance ranks the backend servers for an object in the same order
// without communication, by weighted rendezvous hashing. From the first ones
// of that order it chooses the one that is expected to respond first, for
// example a busy warm backend server or a free one that has to load the
// object. The expected time is estimated from the responses: from the load
// that they report and its age, from the time that they took, and from how
// they ended.
//
// Balancer is a pure state machine: events and the current time are its
// inputs, choices are its outputs. It is not safe for concurrent use.
package affinity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// defaultRemoteRTT is the assumed round trip time to another region until
	// one was measured.
	defaultRemoteRTT = 70 * time.Millisecond
	// loadDecay is the time constant with which the weight of the newest load
	// report decays in favour of the average of all reports.
	loadDecay = 600 * time.Millisecond
	// averageLoadDecay is the time constant with which that average decays
	// too, so that a backend server that was busy is tried again.
	averageLoadDecay = 3 * time.Second
	// failureHalfLife is the half-life of the failure rate of a backend
	// server.
	failureHalfLife = 3 * time.Second
	// failureSmoothing is the weight of the newest outcome in the failure
	// rate.
	failureSmoothing = 0.3
	// averageSmoothing is the weight of the newest value in the moving
	// averages of run times, reported loads and round trip times.
	averageSmoothing = 0.15
	// maxObjectsPerServer bounds the number of objects that are remembered for
	// one backend server.
	maxObjectsPerServer = 256
	// minBackoff is the time for which a backend server is avoided after its
	// first refused connection. It doubles with each further one.
	minBackoff = 200 * time.Millisecond
	// maxBackoff is the upper bound of that time.
	maxBackoff = 2 * time.Second
)

// Config holds the settings of a Balancer.
type Config struct {
	// Region is the region of this instance.
	Region string
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
}

// Profile holds the expected run times and the latency objective of one route.
type Profile struct {
	// Warm is the expected run time at a backend server that has the object
	// loaded, and Cold at one that has to load the object first.
	Warm, Cold time.Duration
	// Transfer is the expected time that the body of a response takes to arrive
	// behind its head.
	Transfer time.Duration
	// Objective is the latency objective: the time within which a request
	// should get its response.
	Objective time.Duration
}

// Nearest returns that of the expected run times Warm and Cold to which run is
// closer by ratio.
func (p Profile) Nearest(run time.Duration) time.Duration {
	if float64(run)*float64(run) < float64(p.Warm)*float64(p.Cold) {
		return p.Warm
	}
	return p.Cold
}

// Query asks for the backend server of one request.
type Query struct {
	// Object identifies the object, including the prefix of its route; empty
	// if there is none.
	Object string
	// Placement is the ID of the backend server that the object was assigned
	// to; empty if there is none. It ranks before all others.
	Placement string
	// SpreadKey is hashed in place of Object to rank the candidates if there
	// is no object.
	SpreadKey string
	// Profile holds the expected run times and the objective of the request's
	// route.
	Profile Profile
	// Backends holds the candidates.
	Backends []*traffic.Backend
	// Weights holds each candidate's share of the objects by backend server
	// ID.
	Weights map[string]float64
	// Tried holds the IDs of the backend servers that the request was sent to
	// before.
	Tried map[string]bool
	// Avoid reports whether a backend server gets the request only if no other may
	// get it. If it is set, the request goes to the first in rank. It may be nil.
	Avoid func(b *traffic.Backend) bool
	// Sharers is the number of instances that get requests for the object, which are
	// assumed to get equally many: those of the region, or of the zone for large bodies.
	Sharers int
	// Allows reports whether the rates of a backend server allow this instance to send it
	// the request now. It may be nil.
	Allows func(b *traffic.Backend) bool
}

// Choice is the backend server that was chosen for a Query, with the estimates
// that led to the choice.
type Choice struct {
	// Backend is the chosen backend server.
	Backend *traffic.Backend
	// Rank is the index of the backend server in the ranking for the object,
	// beginning at 0.
	Rank int
	// Expected is the expected time until the end of the response, including round
	// trip, wait, run and transfer. Wait is the expected time that the request waits for a
	// slot.
	Expected, Wait time.Duration
	// Warm reports whether this instance has sent requests for the object to
	// the backend server before. Placed reports whether the object was
	// assigned to it.
	Warm, Placed bool
	// PassedOver is the ID of the backend server that Query.Allows excluded and that ranks
	// before the chosen one; empty if there is none.
	PassedOver string
	// LoadAge is the age of the load report from which Wait was computed;
	// negative if there was none.
	LoadAge time.Duration
}

// Load is the load that a backend server reports in a response: its running
// requests, its waiting requests and its slots.
type Load struct{ Running, Waiting, Slots int }

// Outcome reports how a request to a backend server ended.
type Outcome uint8

// Outcomes of requests.
const (
	// Answered means that the backend server ran the request and responded.
	Answered Outcome = iota
	// Failed means that the request got no response, a corrupt response or a
	// server error.
	Failed
	// Shed means that the backend server refused the request and did not run
	// it.
	Shed
	// Unreachable means that the request could not be sent.
	Unreachable
	// Abandoned means that the caller cancelled the request or that it timed
	// out.
	Abandoned
)

// server is the estimated state of one incarnation of a backend server.
type server struct {
	// inflight is the number of requests from this instance that have not
	// ended.
	inflight int
	// otherLoad is the number of requests of other instances in the newest load
	// report. average is its moving average over the load reports.
	otherLoad, average float64
	// reportedAt is the time of the newest load report; zero if there was
	// none.
	reportedAt time.Time
	// slowness is the moving average of the ratio of measured to expected run
	// times.
	slowness float64
	// runTime is the moving average of run times in seconds; 0 before the
	// first run.
	runTime float64
	// storedFailureRate is the share of failed requests at
	// failureRateUpdatedAt.
	storedFailureRate float64
	// failureRateUpdatedAt is the time from which storedFailureRate decays.
	failureRateUpdatedAt time.Time
	// backoff is the length of the newest backoff; 0 after an answered
	// request.
	backoff time.Duration
	// avoidUntil is the end of the newest backoff, until which the backend
	// server gets no requests.
	avoidUntil time.Time
	// objects holds the objects that were sent there and the time of the
	// newest request for each.
	objects map[string]time.Time
}

// Balancer chooses backend servers and records how requests to them end.
type Balancer struct {
	cfg Config
	// servers holds the known backend servers by ID.
	servers map[string]*server
	// rtt holds the measured round trip time to each region.
	rtt map[string]time.Duration
	// objectRates holds the rate of requests to this instance for each object.
	objectRates map[string]rate
	// zones holds the availability zones of which a backend server was silent last, by name.
	zones map[string]*zone
}

// New returns a Balancer without any recorded state.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, servers: map[string]*server{}, rtt: map[string]time.Duration{}, objectRates: map[string]rate{}, zones: map[string]*zone{}}
}

// Retain removes the state of the backend servers for whose ID keep returns
// false. It keeps those with requests in flight.
func (b *Balancer) Retain(keep func(id string) bool) {
	for id, s := range b.servers {
		if s.inflight == 0 && !keep(id) {
			delete(b.servers, id)
		}
	}
}

// Forgive ends the avoidance of all backend servers: the failures were not theirs.
func (b *Balancer) Forgive() {
	for _, s := range b.servers {
		s.backoff, s.avoidUntil = 0, time.Time{}
	}
	clear(b.zones)
}

// server returns the state of a backend server and creates it if needed.
func (b *Balancer) server(id string) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{slowness: 1, objects: map[string]time.Time{}}
		b.servers[id] = s
	}
	return s
}

// Choose returns the candidate with the lowest expected cost, which is mainly
// the time until the response. It returns false if no candidate may get the
// request.
func (b *Balancer) Choose(q Query, now time.Time) (Choice, bool) {
	if q.Avoid == nil {
		return b.chooseBest(q, now)
	}
	all := q.Backends
	q.Backends = slices.DeleteFunc(slices.Clone(all), q.Avoid)
	if choice, ok := b.chooseBest(q, now); ok {
		return choice, ok
	}
	q.Backends = all
	return b.chooseBest(q, now)
}

// Again returns the choice of a backend server to which a request for the object was sent a while
// ago, so that it has loaded the object.
func (b *Balancer) Again(q Query, backend *traffic.Backend, now time.Time) Choice {
	return b.estimate(q, candidate{backend: backend, server: b.server(backend.ID)}, 0, now)
}

// chooseBest is Choose without regard to Query.Avoid.
func (b *Balancer) chooseBest(q Query, now time.Time) (Choice, bool) {
	var best Choice
	bestCost := math.Inf(1)
	ranked, passedOver := b.rank(q, now)
	most := b.maxBackends(q, ranked, now)
	switch {
	case q.Avoid != nil:
		// Further choices depend on what this instance has seen.
		most = min(most, 1)
	case passedOver != "":
		most++
	}
	for rank, c := range ranked[:min(len(ranked), most)] {
		choice := b.estimate(q, c, rank, now)
		if cost := b.cost(q, c.server, choice, now); cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	best.PassedOver = passedOver
	return best, best.Backend != nil
}

// candidate is a backend server that may get the request.
type candidate struct {
	backend *traffic.Backend
	server  *server
	score   float64
}

// rank returns the candidates that may get the request, the best first. The
// order depends on the object only and is the same at every instance of the
// region. Those of dark availability zones are among them only if there are no
// others. passedOver is the ID of the one that would be the first but for Query.Allows.
func (b *Balancer) rank(q Query, now time.Time) (ranked []candidate, passedOver string) {
	list := make([]candidate, 0, len(q.Backends))
	var dark []candidate
	var excluded candidate
	key := cmp.Or(q.Object, q.SpreadKey)
	for _, backend := range q.Backends {
		if q.Tried[backend.ID] {
			continue
		}
		s := b.server(backend.ID)
		if now.Before(s.avoidUntil) {
			continue
		}
		score := hrw.Score(key, backend.ID, max(q.Weights[backend.ID], minWeight))
		c := candidate{backend: backend, server: s, score: score}
		switch allowed := q.Allows == nil || q.Allows(backend); {
		case allowed && b.avoidsZone(backend.Zone, now):
			dark = append(dark, c)
		case allowed:
			list = append(list, c)
		case excluded.backend == nil || compareCandidates(q.Placement, c, excluded) < 0:
			excluded = c
		}
	}
	if len(list) == 0 {
		list = dark
	}
	slices.SortFunc(list, func(x, y candidate) int { return compareCandidates(q.Placement, x, y) })
	if excluded.backend != nil && len(list) > 0 && compareCandidates(q.Placement, excluded, list[0]) < 0 {
		passedOver = excluded.backend.ID
	}
	return list, passedOver
}

// compareCandidates orders candidates, the better one first.
func compareCandidates(placement string, x, y candidate) int {
	return cmp.Or(comparePlacement(placement, x, y), cmp.Compare(y.score, x.score), cmp.Compare(x.backend.ID, y.backend.ID))
}

// comparePlacement orders the candidate that the object was assigned to before
// the others.
func comparePlacement(placement string, x, y candidate) int {
	switch placement {
	case "":
		return 0
	case x.backend.ID:
		return -1
	case y.backend.ID:
		return 1
	}
	return 0
}

// maxBackends returns how many of the first ranked backend servers an object
// may use: as many as its own load fills, and one more while the first one is
// degraded. Requests that do not fit there are rejected, because a run
// elsewhere would end late and would take slot time from several runs at
// backend servers that have their objects loaded.
func (b *Balancer) maxBackends(q Query, ranked []candidate, now time.Time) int {
	if len(ranked) == 0 {
		return 0
	}
	rate := b.objectRates[q.Object].at(now) * float64(max(1, q.Sharers))
	slots := float64(ranked[0].backend.Slots)
	n := 1 + int(rate*q.Profile.Warm.Seconds()/(slots*fillTarget))
	if ranked[0].server.degraded(now) {
		n++
	}
	return n
}

// degraded reports whether a backend server fails requests or is much slower
// than expected.
func (s *server) degraded(now time.Time) bool {
	return s.failureRate(now) > degradedFailureRate || s.slowness > degradedSlowness
}

// estimate returns the choice of a candidate with its expected times. The
// first candidate of an object's ranking is assumed to have the object loaded,
// since every instance prefers that candidate.
func (b *Balancer) estimate(q Query, c candidate, rank int, now time.Time) Choice {
	s := c.server
	_, objectSeen := s.objects[q.Object]
	baseRunTime := q.Profile.Cold
	if objectSeen || rank == 0 {
		baseRunTime = q.Profile.Warm
	}
	wait := s.wait(c.backend.Slots, q.Profile, now)
	run := time.Duration(float64(baseRunTime) * s.slowness)
	age := time.Duration(-1)
	if !s.reportedAt.IsZero() {
		age = now.Sub(s.reportedAt)
	}
	return Choice{
		Backend: c.backend, Rank: rank, Wait: wait, Warm: objectSeen, Placed: c.backend.ID == q.Placement, LoadAge: age,
		Expected: b.RoundTrip(c.backend.Zone) + wait + run + q.Profile.Transfer,
	}
}

// cost returns the cost of a choice in seconds. It is the sum of the expected
// time until the response, the expected cost of a failure, and a small cost
// for each rank, which keeps an object at its first choices.
func (b *Balancer) cost(q Query, s *server, c Choice, now time.Time) float64 {
	rankCost := float64(c.Rank) * rankCostShare * q.Profile.Warm.Seconds()
	failureCost := s.failureRate(now) * 2 * q.Profile.Objective.Seconds()
	return c.Expected.Seconds() + rankCost + failureCost
}

// fillTarget is the share of a backend server's slots that one object may fill
// before it may use a further backend server.
const fillTarget = 0.5

// A backend server counts as degraded above either of these limits.
const (
	// degradedFailureRate is the limit of the share of failed requests.
	degradedFailureRate = 0.1
	// degradedSlowness is the limit of the ratio of measured to expected run
	// times.
	degradedSlowness = 1.5
)

// rankCostShare is the cost of one rank as a share of the warm run time.
const rankCostShare = 0.05

// minWeight is the weight of a candidate whose share is smaller. It ranks such
// a candidate behind all others in nearly all cases.
const minWeight = 1e-6

// RoundTrip returns the expected round trip time to an availability zone.
func (b *Balancer) RoundTrip(zone string) time.Duration {
	region := b.cfg.RegionOf[zone]
	if rtt, ok := b.rtt[region]; ok {
		return rtt
	}
	if region == b.cfg.Region {
		return 0
	}
	return defaultRemoteRTT
}

// load returns the expected number of requests that run or wait at the backend
// server.
func (s *server) load(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return float64(s.inflight)
	}
	age := now.Sub(s.reportedAt).Seconds()
	recentWeight := math.Exp(-age / loadDecay.Seconds())
	averageWeight := math.Exp(-age / averageLoadDecay.Seconds())
	return float64(s.inflight) + s.otherLoad*recentWeight + s.average*(1-recentWeight)*averageWeight
}

// wait returns the expected time until the backend server has a free slot.
func (s *server) wait(slots int, p Profile, now time.Time) time.Duration {
	queueLength := s.load(now) - float64(slots) + 1
	if queueLength <= 0 {
		return 0
	}
	run := s.runTime
	if run == 0 {
		run = p.Warm.Seconds()
	}
	return time.Duration(queueLength / float64(slots) * run * float64(time.Second))
}

// failureRate returns the decayed share of failed requests.
func (s *server) failureRate(now time.Time) float64 {
	age := now.Sub(s.failureRateUpdatedAt).Seconds()
	return s.storedFailureRate * math.Exp2(-age/failureHalfLife.Seconds())
}

// recordOutcome adds the outcome of one request to the failure rate.
func (s *server) recordOutcome(failed bool, now time.Time) {
	rate := s.failureRate(now) * (1 - failureSmoothing)
	if failed {
		rate += failureSmoothing
	}
	s.storedFailureRate, s.failureRateUpdatedAt = rate, now
}

// RecordSent counts a request that is sent to the chosen backend server.
func (b *Balancer) RecordSent(c Choice, q Query, now time.Time) {
	s := b.server(c.Backend.ID)
	s.inflight++
	b.recordTrial(c.Backend.Zone, now)
	if q.Object != "" {
		s.rememberObject(q.Object, now)
		b.countObject(q.Object, now)
	}
}

// countObject counts a request for an object. It removes objects with low
// rates when maxTrackedObjects is reached.
func (b *Balancer) countObject(object string, now time.Time) {
	if len(b.objectRates) >= maxTrackedObjects {
		for o, r := range b.objectRates {
			if r.at(now) < minTrackedRate {
				delete(b.objectRates, o)
			}
		}
	}
	b.objectRates[object] = b.objectRates[object].add(now)
}

// rememberObject records that a request for the object was sent. It removes
// the object with the oldest request when maxObjectsPerServer is reached.
func (s *server) rememberObject(object string, now time.Time) {
	if _, known := s.objects[object]; !known && len(s.objects) >= maxObjectsPerServer {
		oldest, at := "", now
		for o, t := range s.objects {
			if t.Before(at) {
				oldest, at = o, t
			}
		}
		delete(s.objects, oldest)
	}
	s.objects[object] = now
}

// Result describes the end of a request to a backend server.
type Result struct {
	// Outcome reports how the request ended. Silent is set if it is Unreachable because no
	// connection was opened in time.
	Outcome Outcome
	Silent  bool
	// Took is the time from sending the request to the end of its response.
	// Transfer is the part of it in which the body of the response arrived.
	Took, Transfer time.Duration
	// Load is the load that the response reported; nil if it reported none.
	Load *Load
	// RTT is the time that it took to open a connection; 0 if an existing one
	// was used.
	RTT time.Duration
}

// RecordEnd records the end of a request that RecordSent has counted.
func (b *Balancer) RecordEnd(c Choice, q Query, r Result, now time.Time) {
	s := b.server(c.Backend.ID)
	if r.RTT > 0 {
		b.recordRTT(c.Backend.Zone, r.RTT)
	}
	if r.Load != nil {
		s.recordLoad(*r.Load, now)
	}
	s.inflight--
	b.recordZone(c, r, now)
	switch r.Outcome {
	case Answered:
		s.recordOutcome(false, now)
		s.backoff = 0
		run := b.RunTime(c, r)
		expected := q.Profile.Nearest(run)
		s.slowness += averageSmoothing * (run.Seconds()/math.Max(expected.Seconds(), 0.001) - s.slowness)
		s.runTime = average(s.runTime, run.Seconds())
	case Failed:
		s.recordOutcome(true, now)
		delete(s.objects, q.Object)
	case Shed:
		s.recordOutcome(true, now)
	case Unreachable:
		delete(s.objects, q.Object)
		s.recordOutcome(true, now)
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.avoidUntil = now.Add(s.backoff)
	}
}

// RunTime returns how long an answered request ran at the backend server. It
// is the measured time until the body began to arrive, without the expected round
// trip and wait, and at least one millisecond. How long a body takes depends on its
// size and on the links, not on the backend server.
func (b *Balancer) RunTime(c Choice, r Result) time.Duration {
	return max(time.Millisecond, r.Took-r.Transfer-b.RoundTrip(c.Backend.Zone)-c.Wait)
}

// recordLoad records a load report. The report counts the request whose
// response brought it, so that request must still be in flight.
func (s *server) recordLoad(l Load, now time.Time) {
	s.otherLoad = math.Max(0, float64(l.Running+l.Waiting-s.inflight))
	s.average = average(s.average, s.otherLoad)
	s.reportedAt = now
}

// average returns the moving average after a new value. A zero old value
// counts as none.
func average(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + averageSmoothing*(value-old)
}

// recordRTT records a measured round trip time. A shorter one replaces the old
// value at once, a longer one enters the moving average.
func (b *Balancer) recordRTT(zone string, rtt time.Duration) {
	region := b.cfg.RegionOf[zone]
	old, ok := b.rtt[region]
	if !ok || rtt < old {
		b.rtt[region] = rtt
		return
	}
	b.rtt[region] = old + time.Duration(averageSmoothing*float64(rtt-old))
}
