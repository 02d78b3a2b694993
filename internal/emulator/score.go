package emulator

import (
	"slices"
	"time"
)

// windowLength is the length of the time windows whose scores are compared.
const windowLength = 2 * time.Second

// worstWindowCount is the number of lowest-scoring windows that count.
const worstWindowCount = 2

// Score is the result of a simulated day. Each field is in [0,1].
type Score struct {
	// Overall is the share of the offered credit that was earned over all
	// requests. Windows is the mean share over the worst time windows. Kind is
	// the share of the worst kind of request. Zone is the share of the worst
	// availability zone of callers.
	Overall, Windows, Kind, Zone float64
	// Served is the share of requests that got a response. Rejected is the share
	// that was rejected after all caller retries. Failed is the share whose
	// attempt ran into the deadline.
	Served, Rejected, Failed float64
}

// Total returns the weighted sum of the parts, with the weights that the users
// of the platform give them.
func (s Score) Total() float64 {
	return 0.28*s.Overall + 0.1*s.Windows + 0.13*s.Kind + 0.3*s.Zone + 0.14*s.Served
}

// creditCount sums the credit of a group of requests: the credit that was
// offered for them, and the part that was earned.
type creditCount struct{ offered, earned float64 }

// share returns the earned share of the offered credit, or 1 if no credit was
// offered.
func (a creditCount) share() float64 {
	if a.offered == 0 {
		return 1
	}
	return a.earned / a.offered
}

// scoreCounter counts requests and credit during a simulation.
type scoreCounter struct {
	// overall counts the credit of all requests.
	overall creditCount
	// kinds counts credit by kind of request. zones counts it by availability
	// zone of the callers.
	kinds, zones map[string]*creditCount
	// windows counts credit by the time window of the first send.
	windows map[time.Duration]*creditCount
	// offered counts all requests. served, rejected and failed count the
	// completed requests by result.
	offered, served, rejected, failed int
	completed                         map[*request]bool
}

func newScoreCounter() *scoreCounter {
	return &scoreCounter{
		kinds: map[string]*creditCount{}, zones: map[string]*creditCount{}, windows: map[time.Duration]*creditCount{}, completed: map[*request]bool{},
	}
}

// creditCountFor returns the count of a key and creates it if it is missing.
func creditCountFor[K comparable](counts map[K]*creditCount, key K) *creditCount {
	if counts[key] == nil {
		counts[key] = &creditCount{}
	}
	return counts[key]
}

// updateCredits applies do to all counts that the request belongs to.
func (t *scoreCounter) updateCredits(c *request, do func(a *creditCount)) {
	do(&t.overall)
	do(creditCountFor(t.kinds, c.kind.Name))
	do(creditCountFor(t.zones, c.zone))
	do(creditCountFor(t.windows, c.started/windowLength))
}

// recordRequest records a new request and the credit that is offered for it.
func (t *scoreCounter) recordRequest(c *request) {
	t.offered++
	t.updateCredits(c, func(a *creditCount) { a.offered += c.kind.Credit })
}

// complete marks a request as completed and reports whether it was still open.
func (t *scoreCounter) complete(c *request) bool {
	if t.completed[c] {
		return false
	}
	t.completed[c] = true
	return true
}

// recordServed records a response that arrived after the time took.
func (t *scoreCounter) recordServed(c *request, took time.Duration) {
	if !t.complete(c) {
		return
	}
	t.served++
	credit := c.kind.Credit
	if took > c.kind.Objective {
		credit = c.kind.LateCredit
	}
	t.updateCredits(c, func(a *creditCount) { a.earned += credit })
}

// recordRejected records a request that was rejected.
func (t *scoreCounter) recordRejected(c *request) {
	if t.complete(c) {
		t.rejected++
	}
}

// recordFailed records a request whose attempt ran into the deadline.
func (t *scoreCounter) recordFailed(c *request) {
	if t.complete(c) {
		t.failed++
	}
}

// score returns the score of all requests so far.
func (t *scoreCounter) score() Score {
	s := Score{Overall: t.overall.share(), Kind: 1, Zone: 1}
	for _, a := range t.kinds {
		s.Kind = min(s.Kind, a.share())
	}
	for _, a := range t.zones {
		s.Zone = min(s.Zone, a.share())
	}
	var windows []float64
	for _, a := range t.windows {
		windows = append(windows, a.share())
	}
	slices.Sort(windows)
	worst := windows[:min(worstWindowCount, len(windows))]
	for _, share := range worst {
		s.Windows += share / float64(len(worst))
	}
	total := float64(max(1, t.offered))
	s.Served, s.Rejected, s.Failed = float64(t.served)/total, float64(t.rejected)/total, float64(t.failed)/total
	return s
}
