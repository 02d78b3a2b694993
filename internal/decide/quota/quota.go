// Package quota keeps the requests of each client account within its quota, over all instances.
//
// An account has as many credits as its quota allows requests in one window. A credit is the right
// to run one request; it comes back one window later, so that no window has more requests than
// there are credits. Each instance has a share of the credits, which all instances compute alike from
// the members' table. One whose credits are in use borrows from others. Who lends deducts the
// credits before it replies and counts them as used: a message that is lost loses
// credits for a window and never doubles them.
//
// Machine is a pure state machine: requests, messages and the time are its inputs, verdicts and
// messages its outputs. It is not safe for concurrent use.
package quota

import (
	"math"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// travelTime is the time beyond the window after which a credit comes back. Requests take
	// different times to their backend servers.
	travelTime = 100 * time.Millisecond
	// loanTime is how long credits that were lent can be used.
	loanTime = 500 * time.Millisecond
	// lossShare is the part of the operator's tolerance for which there are credits too. They make
	// up for those that are on loan and not used. The rest is for instances that know different
	// members.
	lossShare = 0.3
	// joinTime is how long instances may know different members. Credits that an instance has got
	// from others are not used within it.
	joinTime = 2 * time.Second
	// startShare is the part of the operator's tolerance that instances use at once after their
	// start. The rest of a share becomes usable evenly within a window, since what the former
	// incarnation has used is not known.
	startShare = 0.5
	// pacedShare is the part of the share below which credits are used no faster than they would
	// come back evenly, and minPaced the smallest share to which this applies. An account over its
	// quota is served evenly so, and not in one burst a window.
	pacedShare = 0.3
	minPaced   = 8
	// paceTolerance is how far ahead of that pace an instance may be.
	paceTolerance = 500 * time.Millisecond
	// maxHoldings is the number of accounts from which on those that hold nothing in use are
	// forgotten.
	maxHoldings = 4096
)

// Config holds the settings of a Machine.
type Config struct {
	// Instance is the name of this instance, Zone its availability zone and Region its region.
	Instance, Zone, Region string
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
	Bounds   traffic.QuotaBounds
}

// Machine holds the credits of one instance.
type Machine struct {
	cfg     Config
	members *members
	// holdings maps the names of accounts to what this instance holds for them.
	holdings map[string]*holding
	// started is when this instance started.
	started time.Time
}

// New returns a Machine that starts at a time.
func New(cfg Config, started time.Time) *Machine {
	return &Machine{cfg: cfg, members: newMembers(), holdings: map[string]*holding{}, started: started}
}

// SetMembers replaces the members of the table of entry instances.
func (m *Machine) SetMembers(list []Member, now time.Time) { m.members.set(list, now) }

// credits returns the number of credits of a quota: the requests that it allows in one window, and a
// part of the tolerance.
func (m *Machine) credits(q traffic.Quota) int {
	return int(m.allowed(q) + lossShare*m.tolerance(q))
}

// allowed returns the number of requests that a quota allows in one window, and tolerance how many
// the operator tolerates beyond them.
func (m *Machine) allowed(q traffic.Quota) float64 {
	return q.PerSecond*m.cfg.Bounds.Window.Seconds() + q.Burst
}

func (m *Machine) tolerance(q traffic.Quota) float64 {
	return m.allowed(q)*m.cfg.Bounds.Overshoot + m.cfg.Bounds.Slack
}

// holding is what an instance holds for one account.
type holding struct {
	quota traffic.Quota
	// share is the number of credits of this instance, by the members of the given generation.
	share, generation int
	// free is the number of them that can be used. It is negative while more are in use than the
	// share has, after it became smaller.
	free int
	// returning holds when those in use come back.
	returning schedule
	// paced is the time up to which the credits that were used would have lasted at an even pace.
	paced time.Time
	// holders caches the members that have credits; nil if they are to be computed.
	holders []string
	// demand is the rate of requests to this instance.
	demand rate
	borrowing
	// promised is the latest time that a refused caller was told.
	promised time.Time
}

// Credit is the right to run one request.
type Credit struct {
	quota traffic.Quota
	// back is when a credit of the share comes back, and lapses until when a borrowed one can be
	// used. One of them is zero.
	back, lapses time.Time
}

// Verdict is the decision on a request.
type Verdict struct {
	// Allowed is set if the request may run by Credit.
	Allowed bool
	Credit  Credit
	// Pending is set if the request is to be decided again when the answer to an ask has arrived.
	Pending bool
	// Ask, unless nil, is to be sent.
	Ask *Ask
	// RetryAfter is when a refused caller may come back: a credit is free here then.
	RetryAfter time.Duration
	// Share is the number of credits of this instance, Free how many of them could be used, and
	// Demand the requests per second that it gets. AnswerAge is how old the newest answer to an
	// ask is; negative if there was none.
	Share, Free int
	Demand      float64
	AnswerAge   time.Duration
}

// Take decides on a request of an account with a limit. again is set if the request was pending.
func (m *Machine) Take(a *traffic.Account, again bool, now time.Time) Verdict {
	h := m.holding(a, now)
	if !again {
		h.demand = h.demand.add(now)
	}
	v := Verdict{Share: h.share, Free: h.free, Demand: h.demand.at(now), AnswerAge: h.answerAge(now)}
	switch {
	case h.useBorrowed(now):
		v.Allowed, v.Credit = true, Credit{quota: h.quota, lapses: h.borrowed.lapses}
	case h.mayUse(m.cfg.Bounds.Window, now):
		v.Allowed, v.Credit = true, m.use(h, now)
	}
	if v.Allowed && max(0, h.free)+h.borrowed.at(now) >= int(v.Demand*refillTime.Seconds()) {
		return v
	}
	v.Ask = m.ask(a, h, now)
	if !v.Allowed {
		v.Pending = h.asking(now)
	}
	if !v.Allowed && !v.Pending {
		v.RetryAfter = m.untilFree(h, now)
	}
	return v
}

// mayUse reports whether a credit of the share can be used now.
func (h *holding) mayUse(window time.Duration, now time.Time) bool {
	if h.free <= 0 {
		return false
	}
	if h.share < minPaced || float64(h.free) >= pacedShare*float64(h.share) {
		return true
	}
	return h.paced.Sub(now) <= paceTolerance
}

// pace returns the time for which one credit of the share lasts at an even pace.
func (h *holding) pace(window time.Duration) time.Duration {
	return window / time.Duration(max(1, h.share))
}

// use uses a credit of the share.
func (m *Machine) use(h *holding, now time.Time) Credit {
	h.free--
	if h.paced.Before(now) {
		h.paced = now
	}
	h.paced = h.paced.Add(h.pace(m.cfg.Bounds.Window))
	back := now.Add(m.cfg.Bounds.Window + travelTime)
	h.returning.add(back, 1)
	return Credit{quota: h.quota, back: back}
}

// RetryAfter returns the time until a credit is free here for a request that is refused now.
func (m *Machine) RetryAfter(a *traffic.Account, now time.Time) time.Duration {
	return m.untilFree(m.holding(a, now), now)
}

// untilFree returns the time until a credit of this instance is free for a caller that is refused
// now. Each caller is told of another one.
func (m *Machine) untilFree(h *holding, now time.Time) time.Duration {
	window := m.cfg.Bounds.Window
	first := now
	if h.promised.After(now) {
		first = h.promised.Add(h.pace(window))
	}
	at, ok := first, true
	if free := h.paced.Add(-paceTolerance); free.After(first) {
		at = free
	}
	if h.free <= 0 {
		at, ok = h.returning.nextAfter(first)
	}
	if !ok || at.Sub(now) > window {
		return window
	}
	h.promised = at
	return max(0, at.Sub(now))
}

// Return gives back the credit of a request that has not run.
func (m *Machine) Return(a *traffic.Account, c Credit, now time.Time) {
	h := m.holding(a, now)
	switch {
	case c.quota != h.quota:
	case !c.lapses.IsZero():
		h.borrowed.add(c.lapses, 1, now)
	case h.returning.cancel(c.back):
		h.free++
	}
}

// holding returns what is held for an account.
func (m *Machine) holding(a *traffic.Account, now time.Time) *holding {
	h := m.holdings[a.Name]
	if h == nil {
		m.evict(now)
		h = m.begin(a, now)
		m.holdings[a.Name] = h
	}
	h.free += h.returning.advance(now)
	if m.members.expire(now); h.quota != a.Quota || h.generation != m.members.generation {
		m.resize(a, h, now)
	}
	return h
}

// begin returns what is held for an account from which this incarnation of the instance has used nothing.
func (m *Machine) begin(a *traffic.Account, now time.Time) *holding {
	h := &holding{quota: a.Quota, share: m.members.share(m.cfg.Instance, a.Name, m.credits(a.Quota)), generation: m.members.generation}
	h.returning = newSchedule(m.cfg.Bounds.Window, now)
	window := m.cfg.Bounds.Window
	atOnce := min(h.share, int(float64(h.share)*startShare*m.tolerance(a.Quota)/float64(max(1, m.credits(a.Quota)))))
	for n := range h.share {
		usable := m.started
		if n >= atOnce {
			usable = usable.Add(time.Duration(float64(window) * float64(n-atOnce+1) / float64(h.share-atOnce)))
		}
		if usable.After(now) {
			h.returning.add(usable, 1)
		} else {
			h.free++
		}
	}
	return h
}

// resize changes the share after a change of the quota or of the members. Credits that other
// members had before may be in use; those of a higher quota are new to all.
func (m *Machine) resize(a *traffic.Account, h *holding, now time.Time) {
	share := m.members.share(m.cfg.Instance, a.Name, m.credits(a.Quota))
	switch {
	case share < h.share:
		h.free -= h.share - share
	case h.quota != a.Quota && h.generation == m.members.generation:
		h.free += share - h.share
	default:
		h.returning.add(now.Add(m.cfg.Bounds.Window+joinTime), share-h.share)
	}
	if h.quota != a.Quota {
		h.borrowing, h.paced, h.promised = borrowing{}, time.Time{}, time.Time{}
	}
	h.quota, h.share, h.generation, h.holders = a.Quota, share, m.members.generation, nil
}

// evict forgets accounts of which nothing is in use if there are many.
func (m *Machine) evict(now time.Time) {
	if len(m.holdings) < maxHoldings {
		return
	}
	for name, h := range m.holdings {
		h.free += h.returning.advance(now)
		if h.free == h.share && h.borrowed.at(now) == 0 && !h.asking(now) {
			delete(m.holdings, name)
		}
	}
}

// demandDecay is the time constant with which counted requests decay.
const demandDecay = time.Second

// rate is an exponentially decaying rate of requests.
type rate struct {
	perSecond float64
	updated   time.Time
}

// at returns the rate per second at now.
func (r rate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(0, now.Sub(r.updated)).Seconds()/demandDecay.Seconds())
}

// add returns the rate with one more request at now.
func (r rate) add(now time.Time) rate {
	return rate{perSecond: r.at(now) + 1/demandDecay.Seconds(), updated: now}
}
