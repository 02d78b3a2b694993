// Package balance selects the backend server for a request among those that
// this instance owns. If all of them are full, it selects the instance or zone
// to forward the request to.
package balance

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// Policy is the name of a load balancing algorithm.
type Policy string

// Load balancing algorithms.
const (
	// LeastLoaded selects the backend server with the lowest load.
	LeastLoaded Policy = "least-loaded"
	// PowerOfTwo draws two backend servers at random and selects the one with the
	// lower load.
	PowerOfTwo Policy = "power-of-two"
	// Random selects any backend server that is not Ineligible, even a full one.
	// It is the baseline that the other policies are compared with.
	Random Policy = "random"
)

// Eligibility is the eligibility of a backend server for new requests.
type Eligibility uint8

// The eligibilities, from the least to the most preferred.
const (
	// Ineligible backend servers receive no new requests.
	Ineligible Eligibility = iota
	// LastResort backend servers receive new requests only if no Eligible one has a
	// free slot.
	LastResort
	// Eligible backend servers receive new requests.
	Eligible
)

// Backend describes a backend server to the balancer.
type Backend struct {
	Name string
	// Slots is the number of requests that it can run concurrently.
	Slots       int
	Eligibility Eligibility
	// ColdSince is when the backend server started to receive requests with cold
	// caches; zero if it is warm.
	ColdSince time.Time
}

// Settings configures a Balancer.
type Settings struct {
	Policy Policy
	// ColdTime is how long a cold backend server takes to reach its full number of
	// slots.
	ColdTime time.Duration
	// Deadline is the maximum duration of a request, and so the longest time for
	// which requests of a backend server's previous owner can still be running.
	Deadline time.Duration
}

const (
	// coldStartPercent is the share of its slots, in percent, that a cold backend
	// server starts with.
	coldStartPercent = 25
	// averageWindow is the inverse of the weight of a new sample in the moving
	// averages.
	averageWindow = 8
	// errorScale is the error rate of a backend server whose requests all fail.
	errorScale = 1 << 16
	// errorPenalty is the multiple of the cost that is added for a backend server
	// whose requests all fail.
	errorPenalty = 15
	// medianInterval is the number of latency samples between two updates of the
	// median.
	medianInterval = 16
	// loadScale is a factor that preserves the precision of loads in integer
	// division.
	loadScale = 1 << 10
	// maxLatencyPercent is the upper bound of the latency's effect on the cost, in
	// percent.
	maxLatencyPercent = 400
)

// FullError reports that no backend server that may receive requests has a free
// slot.
type FullError struct{ Backends, InFlight int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("all %d backend servers are full or ineligible with %d requests in flight; forward the request or return the outcome not run",
		e.Backends, e.InFlight)
}

// member is a backend server and its load statistics.
type member struct {
	Backend
	// inFlight is the number of requests that this instance has in flight there.
	inFlight int
	// othersInFlight is the number of requests of other instances by the last
	// report.
	othersInFlight int
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// latency is the moving average over successful requests, 0 before the
	// first one.
	latency time.Duration
	// errorRate is the moving average of the share of failures, in units of
	// 1/errorScale.
	errorRate int64
	// costPercent is the relative cost of a request on this backend server, in
	// percent of that on one with median latency and no errors.
	costPercent int64
}

// Balancer selects among the backend servers of one service that this instance
// owns. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	// members is sorted by name.
	members []member
	// inFlight is the sum of inFlight over members.
	inFlight int
	// medianLatency is the median of the members' mean latencies, 0 if none is known.
	medianLatency time.Duration
	// latencySamples is the number of latency samples since the last update of the
	// median.
	latencySamples int
	// candidates is a buffer that Pick reuses.
	candidates []candidate
	// latencies is a buffer that updateMedian reuses.
	latencies []time.Duration
}

// candidate is a member that can be selected.
type candidate struct {
	// index is the position in Balancer.members.
	index int
	load  int64
}

// New returns a Balancer without backend servers.
func New(settings Settings) *Balancer { return &Balancer{settings: settings} }

// Update replaces the backend servers. Those that remain keep their statistics.
// One that was removed is kept as Ineligible until its last request has ended.
func (b *Balancer) Update(backends []Backend) {
	next := make([]member, 0, len(backends))
	for _, be := range backends {
		m := member{}
		if i, ok := b.find(be.Name); ok {
			m = b.members[i]
		}
		m.Backend = be
		next = append(next, m)
	}
	for _, m := range b.members {
		gone := !slices.ContainsFunc(backends, func(be Backend) bool { return be.Name == m.Name })
		if gone && m.inFlight > 0 {
			m.Eligibility = Ineligible
			next = append(next, m)
		}
	}
	slices.SortFunc(next, func(x, y member) int { return strings.Compare(x.Name, y.Name) })
	b.members = next
	b.updateMedian()
}

func (b *Balancer) find(name string) (int, bool) {
	return slices.BinarySearchFunc(b.members, name, func(m member, n string) int { return strings.Compare(m.Name, n) })
}

// Pick selects a backend server and counts the request as in flight there until
// Finish is called. random is a random number; exclude lists the names of backend
// servers that were tried already. If no backend server is available, Pick
// returns a *FullError.
func (b *Balancer) Pick(now time.Time, random uint64, exclude ...string) (string, error) {
	for want := Eligible; want >= LastResort; want-- {
		b.collectCandidates(now, want, exclude)
		if len(b.candidates) > 0 {
			m := &b.members[b.chooseCandidate(random)]
			m.inFlight++
			b.inFlight++
			return m.Name, nil
		}
	}
	return "", &FullError{Backends: len(b.members), InFlight: b.inFlight}
}

// collectCandidates sets candidates to the members with the wanted Eligibility
// that have a free slot. With the policy Random these are all members that are
// not Ineligible.
func (b *Balancer) collectCandidates(now time.Time, want Eligibility, exclude []string) {
	b.candidates = b.candidates[:0]
	for i := range b.members {
		m := &b.members[i]
		if m.Eligibility == Ineligible || slices.Contains(exclude, m.Name) {
			continue
		}
		if b.settings.Policy == Random {
			b.candidates = append(b.candidates, candidate{index: i})
			continue
		}
		usedSlots, usableSlots := m.usedSlots(now, b.settings.Deadline), b.usableSlots(now, m)
		if m.Eligibility == want && usedSlots < usableSlots {
			b.candidates = append(b.candidates, candidate{i, int64(usedSlots+1) * m.costPercent * loadScale / int64(usableSlots)})
		}
	}
}

// chooseCandidate returns the index of the member that the policy selects
// among the candidates.
func (b *Balancer) chooseCandidate(random uint64) int {
	c := b.candidates
	n := len(c)
	first := int(random>>32) % n
	best := c[first]
	switch b.settings.Policy {
	case Random:
	case PowerOfTwo:
		if n > 1 {
			second := c[(first+1+int(uint32(random))%(n-1))%n]
			best = lessLoaded(best, second)
		}
	default:
		for _, x := range c[first+1:] {
			best = lessLoaded(best, x)
		}
		for _, x := range c[:first] {
			best = lessLoaded(best, x)
		}
	}
	return best.index
}

// lessLoaded returns the candidate with the lower load, x if the loads are equal.
func lessLoaded(x, y candidate) candidate {
	if y.load < x.load {
		return y
	}
	return x
}

// usedSlots returns the number of slots of m in use: the requests in flight from
// this instance, and those of other instances by the last report. The latter
// count until the report is older than deadline, as they have ended then.
func (m *member) usedSlots(now time.Time, deadline time.Duration) int {
	if now.Sub(m.reportedAt) < deadline {
		return m.inFlight + m.othersInFlight
	}
	return m.inFlight
}

// usableSlots returns the number of slots of m that may be used. For a cold
// backend server it grows linearly over ColdTime from coldStartPercent of all
// slots, and is at least 1 if there are any.
func (b *Balancer) usableSlots(now time.Time, m *member) int {
	age := now.Sub(m.ColdSince)
	if m.ColdSince.IsZero() || age >= b.settings.ColdTime {
		return m.Slots
	}
	percent := coldStartPercent + int((100-coldStartPercent)*max(age, 0)/b.settings.ColdTime)
	return max(m.Slots*percent/100, min(m.Slots, 1))
}

// updateCost recomputes the cost of m from its latency and error rate.
func (b *Balancer) updateCost(m *member) {
	latencyPercent := int64(100)
	if m.latency > 0 && b.medianLatency > 0 {
		latencyPercent = min(max(int64(m.latency*100/b.medianLatency), 100), maxLatencyPercent)
	}
	m.costPercent = latencyPercent + latencyPercent*errorPenalty*m.errorRate/errorScale
}

// Finish records that a request has ended. failed is true if the backend server
// failed, but not for an error of the caller or a cancellation. latency is 0 if
// there was no response.
func (b *Balancer) Finish(name string, latency time.Duration, failed bool) {
	i, ok := b.find(name)
	if !ok || b.members[i].inFlight == 0 {
		return
	}
	m := &b.members[i]
	m.inFlight--
	b.inFlight--
	target := int64(0)
	if failed {
		target = errorScale
	}
	m.errorRate += (target - m.errorRate) / averageWindow
	if latency > 0 && !failed {
		b.recordLatency(m, latency)
	}
	b.updateCost(m)
}

// recordLatency records the latency of a successful request. The latencies of
// failed requests are ignored, because a backend server that fails quickly would
// otherwise appear to be fast.
func (b *Balancer) recordLatency(m *member, latency time.Duration) {
	if m.latency == 0 {
		m.latency = latency
	}
	m.latency += (latency - m.latency) / averageWindow
	b.latencySamples++
	if b.latencySamples >= medianInterval || b.medianLatency == 0 {
		b.updateMedian()
	}
}

// Report records a backend server's own count of busy slots at the time at, when
// this instance had inFlight requests in flight there. The difference is counted
// as requests of other instances. A report never reduces the number of requests
// that this instance itself has counted.
func (b *Balancer) Report(name string, busy, inFlight int, at time.Time) {
	i, ok := b.find(name)
	if !ok || at.Before(b.members[i].reportedAt) {
		return
	}
	b.members[i].othersInFlight = min(max(busy-inFlight, 0), b.members[i].Slots)
	b.members[i].reportedAt = at
}

// InFlight returns the number of requests that this instance has in flight on a
// backend server.
func (b *Balancer) InFlight(name string) int {
	if i, ok := b.find(name); ok {
		return b.members[i].inFlight
	}
	return 0
}

// Free returns the free and the usable slots of all backend servers that are
// not Ineligible.
func (b *Balancer) Free(now time.Time) (free, usableSlots int) {
	for i := range b.members {
		m := &b.members[i]
		if m.Eligibility > Ineligible {
			n := b.usableSlots(now, m)
			usableSlots += n
			free += max(n-m.usedSlots(now, b.settings.Deadline), 0)
		}
	}
	return free, usableSlots
}

// updateMedian recomputes the median latency and the costs of all members.
func (b *Balancer) updateMedian() {
	b.latencies = b.latencies[:0]
	for i := range b.members {
		if l := b.members[i].latency; l > 0 {
			b.latencies = append(b.latencies, l)
		}
	}
	b.latencySamples, b.medianLatency = 0, 0
	if n := len(b.latencies); n > 0 {
		slices.Sort(b.latencies)
		b.medianLatency = b.latencies[(n-1)/2]
	}
	for i := range b.members {
		b.updateCost(&b.members[i])
	}
}

// scaleRandom maps a random number, uniform over uint64, to [0,n).
func scaleRandom(random, n uint64) uint64 {
	hi, _ := bits.Mul64(random, n)
	return hi
}
