// Package affinity decides which backend server gets a request.
//
// Every instance ranks the backend servers of an object in the same order
// without a message, by weighted rendezvous hashing, and takes the one that is
// expected to answer first: a warm one that is busy against a free one that
// has to load the object. What is expected comes from the answers: the load
// that they report, with its age, the time that they took, and how they ended.
//
// Balancer is a pure state machine: events and the time go in, choices come
// out. It is not safe for concurrent use.
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
	// remoteRTT is the round trip to another region until one was measured.
	remoteRTT = 70 * time.Millisecond
	// loadMemory is the age at which a reported load has lost most of its
	// weight against the average of what was reported.
	loadMemory = 600 * time.Millisecond
	// averageMemory is the age at which that average has lost most of its
	// weight too, so that a backend server that was busy is tried again.
	averageMemory = 3 * time.Second
	// failureMemory is the half-life of the failure rate of a backend server.
	failureMemory = 3 * time.Second
	// failureStep is the weight of the newest end in the failure rate.
	failureStep = 0.3
	// workStep is the weight of the newest run in averages of run times.
	workStep = 0.15
	// maxObjects bounds the objects remembered for one backend server.
	maxObjects = 256
	// minBackoff and maxBackoff bound the time for which an address that
	// refuses connections is left alone.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Config holds the settings of a Balancer.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	Region   string
	RegionOf map[string]string
}

// Profile is what is known of the requests of one route.
type Profile struct {
	// Warm and Cold are the expected run times with and without the object.
	Warm, Cold time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
}

// Nearest returns the expected run time, warm or cold, that a run is closer to
// by ratio.
func (p Profile) Nearest(run time.Duration) time.Duration {
	if float64(run)*float64(run) < float64(p.Warm)*float64(p.Cold) {
		return p.Warm
	}
	return p.Cold
}

// Query asks for a backend server.
type Query struct {
	// Object names the object with its route; empty if there is none.
	Object string
	// Placement is the backend server that the object was assigned to; empty if
	// there is none. It comes before the order of the object.
	Placement string
	// SpreadKey orders the candidates of a request without an object.
	SpreadKey  string
	Profile Profile
	// Backends are the candidates, Weights their shares of the objects.
	Backends []*traffic.Backend
	Weights  map[string]float64
	// Tried holds the ids that the request was sent to.
	Tried map[string]bool
	// RegionInstances is the number of instances that get requests for the object.
	RegionInstances int
	// ColdRate is the requests per second that a cold backend server may get
	// from this instance.
	ColdRate float64
}

// Choice is the answer to a Query.
type Choice struct {
	Backend *traffic.Backend
	// Rank is the place of the backend server in the order of the object.
	Rank int
	// Expected is the time until the answer, Wait the part before the run.
	Expected, Wait time.Duration
	// Warm tells that the object was sent there before, Placed that it was
	// assigned there.
	Warm, Placed bool
	// LoadAge is the age of the load report behind Wait, negative without one.
	LoadAge time.Duration
}

// Load is what a backend server says of itself in an answer.
type Load struct{ Running, Waiting, Slots int }

// Outcome tells how a request at a backend server ended.
type Outcome uint8

// Ends of requests.
const (
	// Answered has an answer of a run.
	Answered Outcome = iota
	// Failed has no answer, a spoilt one, or a server error.
	Failed
	// Shed was refused, not run.
	Shed
	// Unreachable could not be sent.
	Unreachable
	// Abandoned was withdrawn by the caller or timed out.
	Abandoned
)

// server is what is known of one incarnation of a backend server.
type server struct {
	inflight int
	// others is the load by other instances as last reported, average its
	// moving average, reported the time of the report.
	others, average float64
	reported        time.Time
	// slowness is the ratio of run times to what was expected.
	slowness float64
	// runTime is the average time of a run in seconds.
	runTime    float64
	failures   float64
	failedAt   time.Time
	backoff    time.Duration
	avoidUntil time.Time
	objects    map[string]time.Time
	// coldUntil is the end of the cold start that the tokens belong to.
	coldUntil  time.Time
	coldTokens float64
	coldFilled time.Time
}

// Balancer chooses backend servers.
type Balancer struct {
	cfg     Config
	servers map[string]*server
	// rtt is the measured round trip to each region.
	rtt map[string]time.Duration
	// rates holds how often each object is asked for here.
	rates map[string]rate
}

// New returns a Balancer that knows of no backend server.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, servers: map[string]*server{}, rtt: map[string]time.Duration{}, rates: map[string]rate{}}
}

// Retain forgets the backend servers that keep does not name.
func (b *Balancer) Retain(keep func(id string) bool) {
	for id, s := range b.servers {
		if s.inflight == 0 && !keep(id) {
			delete(b.servers, id)
		}
	}
}

func (b *Balancer) server(id string) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{slowness: 1, objects: map[string]time.Time{}}
		b.servers[id] = s
	}
	return s
}

// Choose returns the candidate that is expected to answer first, or false when
// none may get the request.
func (b *Balancer) Choose(q Query, now time.Time) (Choice, bool) {
	var best Choice
	bestCost := math.Inf(1)
	ranked := b.rank(q, now)
	for rank, c := range ranked[:min(len(ranked), b.places(q, ranked, now))] {
		choice := b.expect(q, c, rank, now)
		if cost := b.cost(q, c.server, choice, now); cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best, best.Backend != nil
}

// candidate is a backend server that may get the request.
type candidate struct {
	backend *traffic.Backend
	server  *server
	score   float64
}

// rank returns the candidates that may get the request in the order of its
// object, which is the same at every instance of the region.
func (b *Balancer) rank(q Query, now time.Time) []candidate {
	list := make([]candidate, 0, len(q.Backends))
	key := cmp.Or(q.Object, q.SpreadKey)
	for _, backend := range q.Backends {
		if q.Tried[backend.ID] {
			continue
		}
		s := b.server(backend.ID)
		if now.Before(s.avoidUntil) || !b.mayStartCold(s, backend, q.ColdRate, now) {
			continue
		}
		score := hrw.Score(key, backend.ID, max(q.Weights[backend.ID], minWeight))
		list = append(list, candidate{backend: backend, server: s, score: score})
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(placedFirst(q.Placement, x, y), cmp.Compare(y.score, x.score), cmp.Compare(x.backend.ID, y.backend.ID))
	})
	return list
}

func placedFirst(place string, x, y candidate) int {
	switch place {
	case "":
		return 0
	case x.backend.ID:
		return -1
	case y.backend.ID:
		return 1
	}
	return 0
}

// places returns how many backend servers an object may use: as many as its
// load fills, and one more while the first is unwell. Work that does not fit
// there is refused: a run elsewhere would be late, and would take the slot time
// of several that know their objects.
func (b *Balancer) places(q Query, ranked []candidate, now time.Time) int {
	if len(ranked) == 0 {
		return 0
	}
	rate := b.rates[q.Object].at(now) * float64(max(1, q.RegionInstances))
	slots := float64(ranked[0].backend.Slots)
	n := 1 + int(rate*q.Profile.Warm.Seconds()/(slots*fillTarget))
	if ranked[0].server.unwell(now) {
		n++
	}
	return n
}

// unwell reports whether a backend server fails requests or takes much longer
// than others.
func (s *server) unwell(now time.Time) bool {
	return s.failureRate(now) > unwellFailures || s.slowness > unwellSlowness
}

// expect returns what is expected of a candidate. The first of an object's
// order is taken to know it, since every instance prefers that one.
func (b *Balancer) expect(q Query, c candidate, rank int, now time.Time) Choice {
	s := c.server
	_, known := s.objects[q.Object]
	work := q.Profile.Cold
	if known || rank == 0 {
		work = q.Profile.Warm
	}
	wait := s.wait(c.backend.Slots, q.Profile, now)
	run := time.Duration(float64(work) * s.slowness)
	age := time.Duration(-1)
	if !s.reported.IsZero() {
		age = now.Sub(s.reported)
	}
	return Choice{
		Backend: c.backend, Rank: rank, Wait: wait, Warm: known, Placed: c.backend.ID == q.Placement, LoadAge: age,
		Expected: b.RoundTrip(c.backend.Zone) + wait + run,
	}
}

// cost orders candidates: the expected time, what a failure would cost, and a
// little for each rank so that an object stays with its first choices.
func (b *Balancer) cost(q Query, s *server, c Choice, now time.Time) float64 {
	rankCost := float64(c.Rank) * rankShare * q.Profile.Warm.Seconds()
	failureCost := s.failureRate(now) * 2 * q.Profile.Objective.Seconds()
	return c.Expected.Seconds() + rankCost + failureCost
}

// fillTarget is the part of a backend server's slots that one object may fill
// before it gets a further place.
const fillTarget = 0.5

// unwellFailures and unwellSlowness are the failure rate and the ratio of run
// times to what is expected above which a backend server is unwell.
const (
	unwellFailures = 0.1
	unwellSlowness = 1.5
)

// rankShare is the cost of one rank as a share of the warm run time.
const rankShare = 0.05

// minWeight keeps a candidate without a share behind all others.
const minWeight = 1e-6

// RoundTrip returns the expected round trip to an availability zone.
func (b *Balancer) RoundTrip(zone string) time.Duration {
	region := b.cfg.RegionOf[zone]
	if rtt, ok := b.rtt[region]; ok {
		return rtt
	}
	if region == b.cfg.Region {
		return 0
	}
	return remoteRTT
}

// load returns the expected number of requests at the backend server.
func (s *server) load(now time.Time) float64 {
	if s.reported.IsZero() {
		return float64(s.inflight)
	}
	age := now.Sub(s.reported).Seconds()
	fresh := math.Exp(-age / loadMemory.Seconds())
	lasting := math.Exp(-age / averageMemory.Seconds())
	return float64(s.inflight) + s.others*fresh + s.average*(1-fresh)*lasting
}

func (s *server) wait(slots int, p Profile, now time.Time) time.Duration {
	ahead := s.load(now) - float64(slots) + 1
	if ahead <= 0 {
		return 0
	}
	run := s.runTime
	if run == 0 {
		run = p.Warm.Seconds()
	}
	return time.Duration(ahead / float64(slots) * run * float64(time.Second))
}

func (s *server) failureRate(now time.Time) float64 {
	age := now.Sub(s.failedAt).Seconds()
	return s.failures * math.Exp2(-age/failureMemory.Seconds())
}

func (s *server) noteEnd(failed bool, now time.Time) {
	rate := s.failureRate(now) * (1 - failureStep)
	if failed {
		rate += failureStep
	}
	s.failures, s.failedAt = rate, now
}

// mayStartCold reports whether the pace of a cold backend server allows one
// more request.
func (b *Balancer) mayStartCold(s *server, backend *traffic.Backend, rate float64, now time.Time) bool {
	if !now.Before(backend.ColdUntil) || rate <= 0 {
		return true
	}
	if !now.Before(s.coldUntil) {
		// A new cold start. Instances begin at different parts of a request, so
		// that they do not send their first ones together.
		s.coldTokens, s.coldFilled = hrw.Fraction(b.cfg.Instance, backend.ID), now
	}
	s.coldUntil = backend.ColdUntil
	passed := now.Sub(s.coldFilled).Seconds()
	s.coldTokens = math.Min(1, s.coldTokens+passed*rate)
	s.coldFilled = now
	return s.coldTokens >= 1
}

// RecordSent counts a request that goes to the chosen backend server.
func (b *Balancer) RecordSent(c Choice, q Query, now time.Time) {
	s := b.server(c.Backend.ID)
	s.inflight++
	if now.Before(c.Backend.ColdUntil) {
		s.coldTokens = math.Max(0, s.coldTokens-1)
	}
	if q.Object != "" {
		s.remember(q.Object, now)
		b.countObject(q.Object, now)
	}
}

func (b *Balancer) countObject(object string, now time.Time) {
	if len(b.rates) >= maxRates {
		for o, r := range b.rates {
			if r.at(now) < forgottenRate {
				delete(b.rates, o)
			}
		}
	}
	b.rates[object] = b.rates[object].count(now)
}

func (s *server) remember(object string, now time.Time) {
	if _, known := s.objects[object]; !known && len(s.objects) >= maxObjects {
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

// Result is what is known at the end of a request.
type Result struct {
	Outcome Outcome
	// Took is the time from the sending to the whole answer.
	Took time.Duration
	// Load is what the answer reported, nil without it.
	Load *Load
	// RTT is the time in which a connection was opened, 0 if one was kept.
	RTT time.Duration
}

// RecordEnd takes in the end of a request that RecordSent has counted.
func (b *Balancer) RecordEnd(c Choice, q Query, r Result, now time.Time) {
	s := b.server(c.Backend.ID)
	if r.RTT > 0 {
		b.measureRTT(c.Backend.Zone, r.RTT)
	}
	if r.Load != nil {
		s.report(*r.Load, now)
	}
	s.inflight--
	switch r.Outcome {
	case Answered:
		s.noteEnd(false, now)
		s.backoff = 0
		run := b.RunTime(c, r)
		expected := q.Profile.Nearest(run)
		s.slowness += workStep * (run.Seconds()/math.Max(expected.Seconds(), 0.001) - s.slowness)
		s.runTime = average(s.runTime, run.Seconds())
	case Failed:
		s.noteEnd(true, now)
		delete(s.objects, q.Object)
	case Shed:
		s.noteEnd(true, now)
	case Unreachable:
		delete(s.objects, q.Object)
		s.noteEnd(true, now)
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.avoidUntil = now.Add(s.backoff)
	}
}

// RunTime returns how long an answered request ran at the backend server, from
// what it took less the way and the wait that were expected.
func (b *Balancer) RunTime(c Choice, r Result) time.Duration {
	return max(time.Millisecond, r.Took-b.RoundTrip(c.Backend.Zone)-c.Wait)
}

// report takes in a load that counts the request whose answer brought it.
func (s *server) report(l Load, now time.Time) {
	s.others = math.Max(0, float64(l.Running+l.Waiting-s.inflight))
	s.average = average(s.average, s.others)
	s.reported = now
}

func average(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + workStep*(value-old)
}

func (b *Balancer) measureRTT(zone string, rtt time.Duration) {
	region := b.cfg.RegionOf[zone]
	old, ok := b.rtt[region]
	if !ok || rtt < old {
		b.rtt[region] = rtt
		return
	}
	b.rtt[region] = old + time.Duration(workStep*float64(rtt-old))
}
