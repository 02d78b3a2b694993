package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/limitcheck"
)

// Bounds of the users' rules.
const (
	contact = 4 * time.Second
	// applyBound is when a configuration must be in force, drainBound a departure and
	// evacuationBound an evacuation, after the store has acknowledged it.
	applyBound      = 2500 * time.Millisecond
	drainBound      = 2500 * time.Millisecond
	evacuationBound = 5 * time.Second
	// deniedFree and deniedShare are how many proper requests may be denied, outOfTouchDenied
	// how many by any instance.
	deniedFree       = 5
	deniedShare      = 1.0 / 500
	outOfTouchDenied = 10
	// attemptsFree is how many requests may run at more backend servers than their route allows,
	// crashesFree how many late sends a crashing request has, lostFree how many requests may be
	// lost.
	attemptsFree = 3
	crashesFree  = 3
	lostFree     = 3
	// servedAsOften is the least share that instances without backend servers serve, relative to
	// the others.
	servedAsOften = 2.0 / 3
	// comparedRequests is the least number of requests that are compared.
	comparedRequests = 10
)

// Span is a time.
type Span struct{ From, To time.Time }

// overlaps reports whether two spans have a moment in common.
func (s Span) overlaps(from, to time.Time) bool { return !from.After(s.To) && !to.Before(s.From) }

// Route is a route of the configuration.
type Route struct {
	Prefix     string
	Idempotent bool
	// Acked is when the store acknowledged the first configuration that has it.
	Acked time.Time
}

// Request is one request of a caller, with what became of it.
type Request struct {
	ID, Instance string
	Route        Route
	// Body is the body of the request, Answer that of the response, Stamp the header by which a
	// backend server signs its responses.
	Body, Answer, Stamp string
	Status              int
	Sent, Ended         time.Time
	// Err is set if no whole response came.
	Err error
}

// served reports whether the caller got a success.
func (r Request) served() bool { return r.Err == nil && r.Status == http.StatusOK }

// Arrival is a request that reached a backend server.
type Arrival struct {
	ID, Body, Backend, Zone string
	// Node is the node that sent it.
	Node string
	At   time.Time
	Ran  bool
}

// Evacuation is an evacuation of a zone. TakenBack is zero while it lasts.
type Evacuation struct {
	Zone             string
	Acked, TakenBack time.Time
}

// Departure is a backend server that leaves.
type Departure struct {
	Backend string
	Acked   time.Time
}

// Partition is a time in which instances reach no backend server.
type Partition struct {
	Span
	Instances []string
}

// Limit is a time in which the responses of a backend server stated a limit. To is zero if it did
// not end.
type Limit struct {
	Span
	Backend string
	// PerSecond is the limit in requests a second.
	PerSecond float64
}

// Observations are what callers, backend servers and the operator have seen of a day, and the
// troubles that were put in.
type Observations struct {
	// Began is when the traffic began.
	Began       time.Time
	Requests    []Request
	Arrivals    []Arrival
	Evacuations []Evacuation
	Departures  []Departure
	Partitions  []Partition
	Limits      []Limit
	// Crashes holds when backend servers crashed, by name.
	Crashes map[string][]time.Time
	// Disturbed holds when instances were disturbed, by node.
	Disturbed map[string][]Span
	// NodeOf maps instances to their nodes.
	NodeOf map[string]string
	// Unstable holds when the store was.
	Unstable []Span
}

// Violation is a broken rule.
type Violation struct {
	Rule, Detail string
	At           time.Time
}

// undisturbed reports whether a node was in touch in the whole span but for the store.
func (o *Observations) undisturbed(node string, from, to time.Time) bool {
	return !slices.ContainsFunc(o.Disturbed[node], func(s Span) bool { return s.overlaps(from.Add(-contact), to) })
}

// inTouch reports whether a node was in touch in the whole span.
func (o *Observations) inTouch(node string, from, to time.Time) bool {
	unstable := slices.ContainsFunc(o.Unstable, func(s Span) bool { return s.overlaps(from.Add(-contact), to) })
	return !unstable && o.undisturbed(node, from, to)
}

// heldUp reports whether what a node sent may have been held up until a moment, because its links
// to backend servers were cut.
func (o *Observations) heldUp(node string, at time.Time) bool {
	return slices.ContainsFunc(o.Partitions, func(p Partition) bool {
		return p.overlaps(at.Add(-contact), at) && slices.ContainsFunc(p.Instances, func(i string) bool { return o.NodeOf[i] == node })
	})
}

// onTime reports whether an arrival had to keep the bounds of evacuations and departures.
func (o *Observations) onTime(a Arrival) bool {
	return o.inTouch(a.Node, a.At, a.At) && !o.heldUp(a.Node, a.At)
}

// judgement collects violations.
type judgement struct {
	*Observations
	arrivals   map[string][]Arrival
	violations []Violation
}

func (j *judgement) report(rule string, at time.Time, format string, args ...any) {
	j.violations = append(j.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...), At: at})
}

// Judge returns the broken rules, in the order of their times.
func Judge(o *Observations) []Violation {
	j := &judgement{Observations: o, arrivals: map[string][]Arrival{}}
	for _, a := range o.Arrivals {
		j.arrivals[a.ID] = append(j.arrivals[a.ID], a)
	}
	j.answers()
	j.runs()
	j.denials()
	j.lost()
	j.evacuated()
	j.departed()
	j.crashing()
	j.limited()
	j.partitioned()
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return j.violations
}

// refuses reports whether a status promises that the request has not run and never will.
func refuses(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// answers judges MIXED.
func (j *judgement) answers() {
	for _, r := range j.Requests {
		if r.Err != nil || r.Status < 200 || r.Status > 299 {
			continue
		}
		signed := slices.ContainsFunc(j.arrivals[r.ID], func(a Arrival) bool { return a.Ran && r.Stamp == a.Backend+"."+r.ID })
		if !signed || r.Answer != "answer to "+r.ID {
			j.report("MIXED", r.Ended, "%s got %d %q signed %q", r.ID, r.Status, r.Answer, r.Stamp)
		}
	}
}

// runs judges UNASKED, TWICE, REFUSED and the attempts of BUDGET.
func (j *judgement) runs() {
	sent := map[string]Request{}
	for _, r := range j.Requests {
		sent[r.ID] = r
	}
	for _, a := range j.Arrivals {
		if _, ok := sent[a.ID]; !ok {
			j.report("UNASKED", a.At, "%s reached %s", a.ID, a.Backend)
		}
	}
	excess := 0
	for _, r := range j.Requests {
		runs := slices.DeleteFunc(slices.Clone(j.arrivals[r.ID]), func(a Arrival) bool { return !a.Ran })
		switch {
		case !r.Route.Idempotent && len(runs) > 1:
			j.report("TWICE", r.Ended, "%s ran %d times", r.ID, len(runs))
		case !r.Route.Idempotent && r.Err == nil && refuses(r.Status) && len(runs) > 0:
			j.report("REFUSED", r.Ended, "%s got %d and ran at %s", r.ID, r.Status, runs[0].Backend)
		}
		sound := slices.DeleteFunc(runs, func(a Arrival) bool { return j.crashed(a.Backend, a.At, r.Ended) })
		if len(sound) > maxAttempts {
			excess++
		}
	}
	if excess > attemptsFree {
		j.report("BUDGET", time.Time{}, "%d requests ran more than %d times", excess, maxAttempts)
	}
}

// crashed reports whether a backend server crashed in a time.
func (j *judgement) crashed(backend string, from, to time.Time) bool {
	return slices.ContainsFunc(j.Crashes[backend], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// denials judges CONFIG, where a route is there and the request is handled as if it were not, and
// DENIED.
func (j *judgement) denials() {
	inTouch, any := 0, 0
	var last Request
	for _, r := range j.Requests {
		if r.Err != nil || r.Status < 300 || r.Status > 499 || refuses(r.Status) {
			continue
		}
		if r.Sent.Before(r.Route.Acked.Add(applyBound)) {
			continue
		}
		touched := j.inTouch(j.NodeOf[r.Instance], r.Route.Acked, r.Ended) || j.inTouch(j.NodeOf[r.Instance], r.Sent.Add(-applyBound), r.Ended)
		if touched && r.Status == http.StatusNotFound {
			j.report("CONFIG", r.Ended, "%s to %s, acknowledged %s before, got %d at %s", r.ID, r.Route.Prefix, r.Sent.Sub(r.Route.Acked), r.Status, r.Instance)
		}
		any++
		if touched {
			inTouch++
		}
		last = r
	}
	if float64(inTouch) > deniedFree+deniedShare*float64(len(j.Requests)) || any > outOfTouchDenied {
		j.report("DENIED", last.Ended, "%d requests were denied, %d of them by instances in touch", any, inTouch)
	}
}

// lost judges LOST. Trouble of the store excuses nothing.
func (j *judgement) lost() {
	n := 0
	var last Request
	for _, r := range j.Requests {
		passedOn := len(j.arrivals[r.ID]) > 0
		sound := !slices.ContainsFunc(j.arrivals[r.ID], func(a Arrival) bool { return j.crashed(a.Backend, a.At, r.Ended) })
		gaveUp := r.Ended.Sub(r.Sent) >= callerTimeout
		if r.Err != nil && passedOn && sound && !gaveUp && j.undisturbed(j.NodeOf[r.Instance], r.Sent, r.Ended) {
			n++
			last = r
		}
	}
	if n > lostFree {
		j.report("LOST", last.Ended, "%d requests ended without an answer, %s at %s", n, last.ID, last.Instance)
	}
}

// evacuated judges EVAC.
func (j *judgement) evacuated() {
	for _, ev := range j.Evacuations {
		for _, a := range j.Arrivals {
			late := a.At.After(ev.Acked.Add(evacuationBound)) && (ev.TakenBack.IsZero() || a.At.Before(ev.TakenBack))
			if a.Zone == ev.Zone && late && j.onTime(a) {
				j.report("EVAC", a.At, "%s reached %s in %s from %s, %s after the evacuation", a.ID, a.Backend, ev.Zone, a.Node, a.At.Sub(ev.Acked))
			}
		}
	}
}

// departed judges DRAIN.
func (j *judgement) departed() {
	for _, d := range j.Departures {
		for _, a := range j.Arrivals {
			if a.Backend == d.Backend && a.At.After(d.Acked.Add(drainBound)) && j.onTime(a) {
				j.report("DRAIN", a.At, "%s reached %s from %s, %s after it left", a.ID, a.Backend, a.Node, a.At.Sub(d.Acked))
			}
		}
	}
}

// crashing judges BUDGET for requests that crash backend servers.
func (j *judgement) crashing() {
	sends := map[string][]Arrival{}
	for _, a := range j.Arrivals {
		if strings.HasPrefix(a.Body, crashBody) {
			sends[a.Body] = append(sends[a.Body], a)
		}
	}
	for body, all := range sends {
		slices.SortFunc(all, func(a, b Arrival) int { return a.At.Compare(b.At) })
		if len(all) < 3 {
			continue
		}
		late := slices.DeleteFunc(slices.Clone(all), func(a Arrival) bool {
			return !a.At.After(all[2].At.Add(contact)) || !j.inTouch(a.Node, a.At, a.At)
		})
		if len(late) > crashesFree {
			j.report("BUDGET", late[crashesFree].At, "%s reached backend servers %d times later than %s after its third crash", body, len(late), contact)
		}
	}
}

// limited judges LIMIT: what undisturbed instances send to a backend server that has stated a
// limit. Trouble of the store excuses nothing.
func (j *judgement) limited() {
	for _, l := range j.Limits {
		var times []time.Time
		for _, a := range j.Arrivals {
			named := a.At.After(l.From.Add(limitcheck.Contact)) && (l.To.IsZero() || a.At.Before(l.To))
			if a.Backend == l.Backend && named && j.undisturbed(a.Node, a.At, a.At) {
				times = append(times, a.At)
			}
		}
		if most, allowed := limitcheck.Most(times, limitcheck.Window), limitcheck.Allowed(l.PerSecond); most > allowed {
			j.report("LIMIT", l.From, "%s got %d requests in %s at a limit of %g a second, %d allowed", l.Backend, most, limitcheck.Window, l.PerSecond, allowed)
		}
	}
}

// partitioned judges RECOVER for instances that reach no backend server.
func (j *judgement) partitioned() {
	for _, p := range j.Partitions {
		var all, served [2]int
		for _, r := range j.Requests {
			if r.Sent.Before(p.From.Add(contact)) || r.Ended.After(p.To) || r.Body != "" || !j.inTouch(j.NodeOf[r.Instance], r.Sent, r.Ended) {
				continue
			}
			side := 0
			if slices.Contains(p.Instances, r.Instance) {
				side = 1
			}
			all[side]++
			if r.Err == nil && r.Status < 300 {
				served[side]++
			}
		}
		if all[0] < comparedRequests || all[1] < comparedRequests {
			continue
		}
		others, theirs := float64(served[0])/float64(all[0]), float64(served[1])/float64(all[1])
		if theirs < servedAsOften*others {
			j.report("RECOVER", p.To, "%s served %d of %d, the others %d of %d", strings.Join(p.Instances, ", "), served[1], all[1], served[0], all[0])
		}
	}
}
