package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/retry"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// budgetShare is the part of the common retry budget that is used, the
	// rest allows for instances that count differently.
	budgetShare = 0.7
	// unknownInstances is how many instances are taken to share budgets until
	// the members' table was read.
	unknownInstances = 100
	// coldObjective and warmObjective are the run times expected of a route
	// until some were seen, as shares of its objective.
	coldObjective = 1.2
	warmObjective = 0.4
	profileStep   = 0.1
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

// Desk holds the state of all decisions on requests behind one lock.
type Desk struct {
	settings *traffic.Settings
	mu       sync.Mutex
	balancer *affinity.Balancer
	profiles map[string]*affinity.Profile
	budgets  map[string]*retry.Budget
	draws    map[string]*splitter
	// probes holds when a route last sent a request against expectation.
	probes map[string]time.Time
	// fullDeadline is the longest time that a caller of a route has given.
	fullDeadline map[string]time.Duration
	// view and weights belong to each other.
	view    *control.View
	weights map[string]map[string]float64
	// peers is the number of instances in the region, this one included.
	peers int
}

// NewDesk returns a Desk that knows nothing.
func NewDesk(s *traffic.Settings) *Desk {
	return &Desk{
		settings: s, balancer: affinity.New(affinity.Config{Instance: s.Instance, Region: s.Region, RegionOf: s.RegionOf}),
		profiles: map[string]*affinity.Profile{}, budgets: map[string]*retry.Budget{}, draws: map[string]*splitter{},
		probes: map[string]time.Time{}, fullDeadline: map[string]time.Duration{},
	}
}

// splitter spreads the requests of a route over its targets in the proportion
// of their weights.
type splitter struct{ credit map[string]float64 }

func (s *splitter) draw(targets []traffic.Target) string {
	total, best := 0.0, ""
	for _, t := range targets {
		total += t.Weight
		s.credit[t.Service] += t.Weight
		if best == "" || s.credit[t.Service] > s.credit[best] {
			best = t.Service
		}
	}
	s.credit[best] -= total
	return best
}

// begin prepares the attempts of a request.
func (d *Desk) begin(ex *gateway.Exchange) *try {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adopt(ex.View)
	name := d.target(ex.Route)
	ex.Outcome.Service = name
	service := ex.View.Config.Services[name]
	t := &try{ex: ex, service: service}
	if service == nil {
		return t
	}
	d.budget(name).Deposit(time.Now())
	object := ""
	if ex.Object != "" && ex.Route.Sticky {
		object = ex.Route.Prefix + ex.Object
	}
	t.query = affinity.Query{
		Object: object, Spread: ex.ID, Profile: *d.profile(ex.Route, name), Backends: d.candidates(ex, name), Weights: d.weights[name],
		Tried: map[string]bool{}, Peers: d.peers, ColdRate: service.ColdRate / float64(instances(ex.View)),
	}
	return t
}

func (d *Desk) target(r *traffic.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	key := r.Host + r.Prefix
	if d.draws[key] == nil {
		d.draws[key] = &splitter{credit: map[string]float64{}}
	}
	return d.draws[key].draw(r.Targets)
}

// adopt takes a newer view in.
func (d *Desk) adopt(v *control.View) {
	if d.view == v {
		return
	}
	d.view = v
	for _, b := range d.budgets {
		b.Reconfigure(d.budgetShare())
	}
	d.weights = map[string]map[string]float64{}
	d.peers = 0
	for _, m := range v.Members {
		if d.settings.RegionOf[m.Zone] == d.settings.Region {
			d.peers++
		}
	}
	known := map[string]bool{}
	for service, list := range v.Backends {
		d.weights[service] = affinity.Shares(d.settings.Region, d.settings.RegionOf, list)
		for _, b := range list {
			known[b.ID] = true
		}
	}
	d.balancer.Retain(func(id string) bool { return known[id] })
}

// candidates returns the backend servers that the route's homes allow.
func (d *Desk) candidates(ex *gateway.Exchange, service string) []*traffic.Backend {
	all := ex.View.Backends[service]
	if len(ex.Route.HomeRegions) == 0 {
		return all
	}
	var allowed []*traffic.Backend
	for _, b := range all {
		for _, home := range ex.Route.HomeRegions {
			if d.settings.RegionOf[b.Zone] == home {
				allowed = append(allowed, b)
			}
		}
	}
	return allowed
}

func (d *Desk) profile(r *traffic.Route, service string) *affinity.Profile {
	key := r.Prefix + "\x00" + service
	p := d.profiles[key]
	if p == nil {
		p = &affinity.Profile{
			Cold: time.Duration(coldObjective * float64(r.Objective)),
			Warm: time.Duration(warmObjective * float64(r.Objective)),
		}
		d.profiles[key] = p
	}
	p.Objective = r.Objective
	return p
}

func (d *Desk) budget(service string) *retry.Budget {
	b := d.budgets[service]
	if b == nil {
		b = retry.NewBudget(d.budgetShare(), time.Now())
		d.budgets[service] = b
	}
	return b
}

// budgetShare returns this instance's part of a service's budget for further
// attempts.
func (d *Desk) budgetShare() retry.BudgetConfig {
	bounds := d.settings.Bounds
	slack := budgetShare * bounds.RetrySlack / float64(instances(d.view))
	return retry.BudgetConfig{
		Share:   budgetShare * bounds.RetryRatio,
		MinRate: slack / 2 / bounds.RetryWindow.Seconds(),
		Burst:   max(1, slack/2),
	}
}

// instances returns the number of instances that share budgets and paces.
func instances(v *control.View) int {
	if len(v.Members) == 0 {
		return unknownInstances
	}
	return len(v.Members)
}

// choose returns the backend server for the next attempt, or the reason why
// there is none.
func (d *Desk) choose(t *try) (affinity.Choice, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(t.query.Backends) == 0 {
		return affinity.Choice{}, "no_backends"
	}
	choice, ok := d.balancer.Choose(t.query, now)
	if !ok {
		return choice, "none_usable"
	}
	if choice.Expected > t.ex.Deadline.Sub(now) && !d.mayProbe(t, now) {
		return choice, "no_time"
	}
	if patience := d.patience(t); choice.Wait > patience {
		t.freeIn = choice.Wait - patience
		return choice, "queue_full"
	}
	d.balancer.Sent(choice, t.query, now)
	return choice, ""
}

// mayProbe lets a request go now and then although it is not expected to end in
// time, since what is expected is only learnt from runs.
func (d *Desk) mayProbe(t *try, now time.Time) bool {
	key := t.ex.Route.Prefix
	if now.Sub(d.probes[key]) < probeInterval {
		return false
	}
	d.probes[key] = now
	return true
}

// patience is the longest wait for a slot that a warm run still leaves within
// the objective. Requests that wait longer would be late, and make those behind
// them late. A caller that has been turned away before waits for longer, so that
// it is not turned away again.
func (d *Desk) patience(t *try) time.Duration {
	p := max(minPatience, time.Duration(patienceShare*float64(t.ex.Route.Objective-t.query.Profile.Warm)))
	if d.hasReturned(t) {
		p *= returnPatience
	}
	return p
}

// hasReturned reports whether the caller has less time left than others of the
// route begin with: it has spent some on an earlier try.
func (d *Desk) hasReturned(t *try) bool {
	given := t.ex.CallerDeadline.Sub(t.ex.Received)
	full := max(d.fullDeadline[t.ex.Route.Prefix], given)
	d.fullDeadline[t.ex.Route.Prefix] = full
	return float64(given) < returnedShare*float64(full)
}

func (d *Desk) ended(t *try, c affinity.Choice, r affinity.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Ended(c, t.query, r, time.Now())
	if r.End == affinity.Answered {
		d.learn(t, c, r)
	}
}

// learn takes a run time into what is expected of the route.
func (d *Desk) learn(t *try, c affinity.Choice, r affinity.Result) {
	p := d.profile(t.ex.Route, t.service.Name)
	run := d.balancer.RunTime(c, r)
	mean := &p.Cold
	if p.Nearest(run) == p.Warm {
		mean = &p.Warm
	}
	*mean += time.Duration(profileStep * float64(run-*mean))
}

// mayRepeat reports whether a request that may have run can go to a further
// backend server.
func (d *Desk) mayRepeat(t *try) bool {
	return t.ex.Route.Idempotent && t.runs < t.ex.Route.MaxAttempts
}

// takeRetry draws on the budget for further attempts.
func (d *Desk) takeRetry(t *try) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(t.service.Name).Take(time.Now())
}

// Waits of callers that are turned away: the least, the most as a share of the
// time left to them, and by how much they are spread.
const (
	minReturn      = 60 * time.Millisecond
	maxReturnShare = 0.25
	returnSpread   = 1.0
)

// retryAfter returns when a caller that was turned away may come back: when a
// slot is expected to be free for it, spread so that callers do not return
// together, and soon enough for another try.
func (d *Desk) retryAfter(t *try) time.Duration {
	left := time.Until(t.ex.CallerDeadline)
	wait := float64(max(minReturn, t.freeIn)) * (1 + returnSpread*rand.Float64())
	return max(0, min(time.Duration(wait), time.Duration(maxReturnShare*float64(left))))
}
