// Package pace keeps what all instances together send to one backend server within a
// rate, without a message between them.
//
// A rate is issued as grants, one after the other on a clock that the instances share. Each
// grant is for a few requests, normally one, and belongs to one instance: all of them find
// its owner by rendezvous hashing, first over the groups by weight, then over the members of
// the group. An instance that does not know a member, or still knows one that has left,
// finds another owner only for the grants of that member. A grant that its owner does not
// use within a lifetime is void, so that grants do not pile up while there is little to send.
//
// Pacer is a pure state machine and not safe for concurrent use.
package pace

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

const (
	// issuedShare is the largest share of a rate that is issued, and leastIssuedShare the
	// smallest one, where the bound is too tight for grants.
	issuedShare      = 0.9
	leastIssuedShare = 0.25
	// margin is the number of requests by which the grants of a window stay below its
	// bound. It covers instances that do not know the same members, and requests that
	// take different times on their way.
	margin = 2
	// maxGrantsPerSecond bounds the grants of one rate. A higher rate is issued in
	// grants for several requests.
	maxGrantsPerSecond = 64
	// minWeight is the weight of a group that has a smaller one.
	minWeight = 1e-6
)

// Rate is a rate of requests from all instances together.
type Rate struct {
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Factor, Slack and Window bound the requests: in each span of the length Window there
	// are at most Factor x PerSecond x Window + Slack.
	Factor, Slack float64
	Window        time.Duration
	// Lifetime is how long a grant can be used. With a longer one instances use more of
	// their grants, but fewer can be issued.
	Lifetime time.Duration
}

// Issued returns the number of requests per second for which grants are issued. All grants
// that can be used within one window are within its bound.
func (r Rate) Issued() float64 {
	bound := r.Factor*r.PerSecond*r.Window.Seconds() + r.Slack - margin
	return min(issuedShare*r.PerSecond, max(leastIssuedShare*r.PerSecond, bound/(r.Window+r.Lifetime).Seconds()))
}

// size returns the number of requests that one grant is for.
func (r Rate) size() int { return int(math.Ceil(r.Issued() / maxGrantsPerSecond)) }

// grantsPerSecond returns the number of grants that are issued per second.
func (r Rate) grantsPerSecond() float64 { return r.Issued() / float64(max(1, r.size())) }

// UntilNext returns the time until the next grant is issued, whoever owns it. It is 0 if
// the rate issues no grants.
func (r Rate) UntilNext(now time.Duration) time.Duration {
	perSecond := r.grantsPerSecond()
	if perSecond <= 0 {
		return 0
	}
	issued := now.Seconds() * perSecond
	return time.Duration((math.Floor(issued) + 1 - issued) / perSecond * float64(time.Second))
}

// Group is a group of instances that own grants. A group of twice the weight owns twice as
// many, and its members own equally many.
type Group struct {
	Name    string
	Weight  float64
	Members []string
}

// Pacer holds the grants of one instance.
type Pacer struct {
	// group and self are the names of this instance's group and of the instance.
	group, self string
	// issues holds the state of each rate by its key.
	issues map[string]*issue
}

// issue is the state of one rate.
type issue struct {
	rate Rate
	// next is the number of the next grant to look at.
	next int64
	// grants holds the grants of this instance that can be used, the oldest first.
	grants []grant
}

// grant is a right to send requests.
type grant struct {
	// expires is when the grant becomes void, on the shared clock.
	expires time.Duration
	// left is the number of requests that it is still good for.
	left int
}

// New returns a Pacer of the instance self of a group, without grants.
func New(group, self string) *Pacer {
	return &Pacer{group: group, self: self, issues: map[string]*issue{}}
}

// Available reports whether this instance may send a request under the rate with the given
// key. now is the time on the shared clock, and since the time from which on this instance
// has known that there is a rate. It gets no grants that were issued before.
func (p *Pacer) Available(key string, r Rate, groups []Group, since, now time.Duration) bool {
	i := p.issues[key]
	if i == nil {
		i = &issue{rate: r}
		p.issues[key] = i
	}
	if i.rate != r {
		i.change(r, now)
	}
	p.advance(i, key, groups, since, now)
	return len(i.grants) > 0
}

// change replaces the rate. Grants of a higher rate become void.
func (i *issue) change(r Rate, now time.Duration) {
	if r.PerSecond < i.rate.PerSecond {
		i.grants = nil
	}
	i.rate = r
	i.next = i.latest(now) + 1
}

// latest returns the number of the latest grant that was issued.
func (i *issue) latest(now time.Duration) int64 {
	return int64(math.Floor(now.Seconds() * i.rate.grantsPerSecond()))
}

// oldest returns the number of the oldest grant that can still be used.
func (i *issue) oldest(now time.Duration) int64 {
	return int64(math.Ceil((now - i.rate.Lifetime).Seconds() * i.rate.grantsPerSecond()))
}

// advance takes the grants of this instance that were issued since the last call and after
// since, and drops those that are void.
func (p *Pacer) advance(i *issue, key string, groups []Group, since, now time.Duration) {
	perSecond := i.rate.grantsPerSecond()
	latest := i.latest(now)
	for n := max(i.next, i.oldest(now), i.latest(since)+1); n <= latest; n++ {
		if p.owns(key, n, groups) {
			issued := time.Duration(float64(n) / perSecond * float64(time.Second))
			i.grants = append(i.grants, grant{expires: issued + i.rate.Lifetime, left: i.rate.size()})
		}
	}
	i.next = max(i.next, latest+1)
	i.grants = slices.DeleteFunc(i.grants, func(g grant) bool { return g.expires <= now })
}

// owns reports whether this instance owns the n-th grant: its group ranks first for it, and
// the instance does so within the group.
func (p *Pacer) owns(key string, n int64, groups []Group) bool {
	grantKey := key + "#" + strconv.FormatInt(n, 10)
	var first *Group
	highest := math.Inf(-1)
	for k := range groups {
		if score := hrw.Score(grantKey, groups[k].Name, max(groups[k].Weight, minWeight)); score > highest {
			first, highest = &groups[k], score
		}
	}
	return first != nil && first.Name == p.group && firstRanked(grantKey, first.Members) == p.self
}

// firstRanked returns the member that ranks first for a key; empty if there is none.
func firstRanked(key string, members []string) string {
	best, highest := "", -1.0
	for _, m := range members {
		if f := hrw.Fraction(key, m); f > highest {
			best, highest = m, f
		}
	}
	return best
}

// Take uses the oldest grant under the key for one request. Available must have returned
// true.
func (p *Pacer) Take(key string) {
	i := p.issues[key]
	if i == nil || len(i.grants) == 0 {
		return
	}
	i.grants[0].left--
	if i.grants[0].left == 0 {
		i.grants = i.grants[1:]
	}
}

// Retain forgets the rates for whose keys keep returns false, each once all grants that this
// instance has looked at are void: a rate may come back, and its used grants must not. now is
// the time on the shared clock.
func (p *Pacer) Retain(keep func(key string) bool, now time.Duration) {
	for key, i := range p.issues {
		if !keep(key) && i.next <= i.oldest(now) {
			delete(p.issues, key)
		}
	}
}
