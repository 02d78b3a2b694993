// Package balance chooses the backend server for a request among those that
// this instance owns, and the instance or zone to pass it to when they are
// full.
package balance

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// Policy names a way to choose a backend server.
type Policy string

// Policies.
const (
	// LeastLoaded takes the lowest load of all.
	LeastLoaded Policy = "least-loaded"
	// PowerOfTwo takes the lower load of two drawn at random.
	PowerOfTwo Policy = "power-of-two"
	// Random takes any that does not drain, full or not. It is the plain
	// baseline that the others are measured against.
	Random Policy = "random"
)

// Eligibility is how far a backend server may be given new work.
type Eligibility uint8

// Standings, from the least to the most wanted.
const (
	// Ineligible gets no new work.
	Ineligible Eligibility = iota
	// LastResort gets new work when no open one has room.
	LastResort
	// Eligible gets new work.
	Eligible
)

// Backend is a backend server as the balancer is told of it.
type Backend struct {
	Name        string
	Slots       int
	Eligibility Eligibility
	// ColdSince is when it began to take work with cold caches; zero if it is
	// warm.
	ColdSince time.Time
}

// Settings of a balancer.
type Settings struct {
	Policy Policy
	// ColdTime is how long a backend server takes to reach its full slots.
	ColdTime time.Duration
	// MaxRequestTime is the longest that work of a previous owner may go on.
	MaxRequestTime time.Duration
}

const (
	// coldFloor is the share of slots, in percent, that a cold one starts with.
	coldFloor = 25
	// smoothing is the weight of one result in the averages, as 1/smoothing.
	smoothing = 8
	// errorUnit is the average of nothing but errors.
	errorUnit = 1 << 16
	// errorWeight is how many times as heavy a request weighs where all fail.
	errorWeight = 15
	// medianEvery is the number of answers between two looks at the median.
	medianEvery = 16
	// loadScale keeps the precision of loads.
	loadScale = 1 << 10
	// maxSlowness bounds the effect of latency on the load, in percent.
	maxSlowness = 400
)

// FullError reports that no backend server has a free slot.
type FullError struct{ Backends, InFlight int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("all %d backend servers are full or closed with %d requests in flight; pass the request on or answer not run",
		e.Backends, e.InFlight)
}

// member is a backend server with what is known of it.
type member struct {
	Backend
	inFlight int
	// foreign is the work of others seen in the last report, and foreignAt when.
	foreign   int
	foreignAt time.Time
	// latency is the average of good answers, 0 before the first.
	latency time.Duration
	// errors is the average of failures, in errorUnit.
	errors int64
	// cost is how much heavier a request weighs here than on a typical one, in
	// percent: by latency, and by errors.
	cost int64
}

// Balancer holds the backend servers of one service that this instance owns.
// It is not safe for use by many goroutines at once.
type Balancer struct {
	set Settings
	// members are sorted by name.
	members []member
	// inFlight is the sum over members.
	inFlight int
	// typical is the median of known latencies, 0 if there is none.
	typical time.Duration
	// answers counts the good answers since the median was taken.
	answers int
	// candidates and latencies are scratch space.
	candidates []candidate
	latencies  []time.Duration
}

// candidate is a member that may be picked, with its load.
type candidate struct {
	index int
	load  int64
}

// New returns a balancer without backend servers.
func New(set Settings) *Balancer { return &Balancer{set: set} }

// Update replaces the backend servers. Those that stay keep their counts; one
// that left is remembered, closed, until its last request has ended.
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
	b.retype()
}

func (b *Balancer) find(name string) (int, bool) {
	return slices.BinarySearchFunc(b.members, name, func(m member, n string) int { return strings.Compare(m.Name, n) })
}

// Pick chooses a backend server and counts the request as in flight there
// until End. draw is a random number; not lists names already tried. It fails
// with a *FullError.
func (b *Balancer) Pick(now time.Time, draw uint64, not ...string) (string, error) {
	for want := Eligible; want >= LastResort; want-- {
		b.collect(now, want, not)
		if len(b.candidates) > 0 {
			m := &b.members[b.choose(draw)]
			m.inFlight++
			b.inFlight++
			return m.Name, nil
		}
	}
	return "", &FullError{Backends: len(b.members), InFlight: b.inFlight}
}

// collect fills the candidates with the members of a standing that have a free
// slot. The baseline looks at neither.
func (b *Balancer) collect(now time.Time, want Eligibility, not []string) {
	b.candidates = b.candidates[:0]
	for i := range b.members {
		m := &b.members[i]
		if m.Eligibility == Ineligible || slices.Contains(not, m.Name) {
			continue
		}
		if b.set.Policy == Random {
			b.candidates = append(b.candidates, candidate{index: i})
			continue
		}
		busy, slots := m.busy(now, b.set.MaxRequestTime), b.slots(now, m)
		if m.Eligibility == want && busy < slots {
			b.candidates = append(b.candidates, candidate{i, int64(busy+1) * m.cost * loadScale / int64(slots)})
		}
	}
}

// choose returns the member that the policy picks among the candidates.
func (b *Balancer) choose(draw uint64) int {
	c := b.candidates
	n := len(c)
	first := int(draw>>32) % n
	best := c[first]
	switch b.set.Policy {
	case Random:
	case PowerOfTwo:
		if n > 1 {
			second := c[(first+1+int(uint32(draw))%(n-1))%n]
			best = lighter(best, second)
		}
	default:
		for _, x := range c[first+1:] {
			best = lighter(best, x)
		}
		for _, x := range c[:first] {
			best = lighter(best, x)
		}
	}
	return best.index
}

// lighter returns the one of two that has the lower load, x if they are equal.
func lighter(x, y candidate) candidate {
	if y.load < x.load {
		return y
	}
	return x
}

// busy returns the slots of m in use: what this instance sent, counted, and
// what others had there by the last report, until the deadline has ended it.
func (m *member) busy(now time.Time, deadline time.Duration) int {
	if now.Sub(m.foreignAt) < deadline {
		return m.inFlight + m.foreign
	}
	return m.inFlight
}

// slots returns the slots that may be used: a cold one starts with few.
func (b *Balancer) slots(now time.Time, m *member) int {
	age := now.Sub(m.ColdSince)
	if m.ColdSince.IsZero() || age >= b.set.ColdTime {
		return m.Slots
	}
	percent := coldFloor + int((100-coldFloor)*max(age, 0)/b.set.ColdTime)
	return max(m.Slots*percent/100, min(m.Slots, 1))
}

// weigh sets the cost of m.
func (b *Balancer) weigh(m *member) {
	slow := int64(100)
	if m.latency > 0 && b.typical > 0 {
		slow = min(max(int64(m.latency*100/b.typical), 100), maxSlowness)
	}
	m.cost = slow + slow*errorWeight*m.errors/errorUnit
}

// Done counts a request as ended. failed is set for an error of the backend
// server, not for one of the caller or for cancellation; latency is 0 if there
// was no answer.
func (b *Balancer) Done(name string, latency time.Duration, failed bool) {
	i, ok := b.find(name)
	if !ok || b.members[i].inFlight == 0 {
		return
	}
	m := &b.members[i]
	m.inFlight--
	b.inFlight--
	target := int64(0)
	if failed {
		target = errorUnit
	}
	m.errors += (target - m.errors) / smoothing
	if latency > 0 && !failed {
		b.answered(m, latency)
	}
	b.weigh(m)
}

// answered takes the latency of a good answer. That of a failure tells nothing:
// a server that fails fast is not a fast one.
func (b *Balancer) answered(m *member, latency time.Duration) {
	if m.latency == 0 {
		m.latency = latency
	}
	m.latency += (latency - m.latency) / smoothing
	b.answers++
	if b.answers >= medianEvery || b.typical == 0 {
		b.retype()
	}
}

// Report takes a backend server's own count of busy slots, made when this
// instance had sent inFlight of them. It only ever adds work of others to what
// is counted here: a report of idle frees nothing.
func (b *Balancer) Report(name string, busy, inFlight int, at time.Time) {
	i, ok := b.find(name)
	if !ok || at.Before(b.members[i].foreignAt) {
		return
	}
	b.members[i].foreign = min(max(busy-inFlight, 0), b.members[i].Slots)
	b.members[i].foreignAt = at
}

// InFlight returns the requests in flight on a backend server.
func (b *Balancer) InFlight(name string) int {
	if i, ok := b.find(name); ok {
		return b.members[i].inFlight
	}
	return 0
}

// Free returns the free slots of all backend servers that are open or
// doubtful, and the slots there are.
func (b *Balancer) Free(now time.Time) (free, slots int) {
	for i := range b.members {
		m := &b.members[i]
		if m.Eligibility > Ineligible {
			n := b.slots(now, m)
			slots += n
			free += max(n-m.busy(now, b.set.MaxRequestTime), 0)
		}
	}
	return free, slots
}

// retype finds the median latency and weighs all members by it.
func (b *Balancer) retype() {
	b.latencies = b.latencies[:0]
	for i := range b.members {
		if l := b.members[i].latency; l > 0 {
			b.latencies = append(b.latencies, l)
		}
	}
	b.answers, b.typical = 0, 0
	if n := len(b.latencies); n > 0 {
		slices.Sort(b.latencies)
		b.typical = b.latencies[(n-1)/2]
	}
	for i := range b.members {
		b.weigh(&b.members[i])
	}
}

// scale maps a random number to [0,n).
func scale(draw, n uint64) uint64 {
	hi, _ := bits.Mul64(draw, n)
	return hi
}
