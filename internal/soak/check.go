package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/registered"
)

const (
	// recoveredShare is the part of the last requests that must be served, of
	// those that were sent in the last recoveredTime.
	recoveredShare = 0.95
	recoveredTime  = 2 * time.Second
	// drainSlack allows for the clocks of the test itself.
	drainSlack = 300 * time.Millisecond
)

// arrivals returns what reached backend servers, by the request's id.
func (e *estate) arrivals() map[string][]*registered.Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[string][]*registered.Arrival{}
	for _, n := range append(append([]*node{}, e.backends...), e.former...) {
		for _, a := range n.Arrivals() {
			all[a.ID] = append(all[a.ID], a)
		}
	}
	return all
}

// check compares what callers and backend servers saw with the promises. calm is
// the time until which there were only planned operations.
func check(e *estate, records []record, calm, end time.Time) []string {
	var broken []string
	report := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	arrivals := e.arrivals()
	known := map[string]bool{}
	for _, r := range records {
		known[r.id] = true
		for _, text := range faults(e, r, arrivals[r.id], calm) {
			report("%s", text)
		}
	}
	for id := range arrivals {
		if !known[id] {
			report("a backend server got %s, which nobody sent", id)
		}
	}
	for _, n := range e.former {
		for _, a := range n.Arrivals() {
			if n.drained.Before(calm) && a.At.After(n.drained.Add(drainTime+drainSlack)) && a.At.Before(calm) {
				report("%s reached %s %s after it said that it leaves", a.ID, n.Name, a.At.Sub(n.drained))
			}
		}
	}
	if share := served(records, end); share < recoveredShare {
		report("after all faults had ended only %.2f of the requests were served", share)
	}
	for _, i := range e.instances {
		i.mu.Lock()
		if i.failure != nil {
			report("%v", i.failure)
		}
		i.mu.Unlock()
	}
	return broken
}

// faults returns the promises that were broken for one request.
func faults(e *estate, r record, arrivals []*registered.Arrival, calm time.Time) []string {
	var broken []string
	runs := 0
	for _, a := range arrivals {
		if a.Ran {
			runs++
		}
		if a.Method != r.method || a.Target != r.path || a.Body != r.body {
			broken = append(broken, fmt.Sprintf("%s arrived changed: %s %s %q", r.id, a.Method, a.Target, a.Body))
		}
	}
	if r.method != http.MethodGet && runs > 1 {
		broken = append(broken, fmt.Sprintf("%s ran %d times", r.id, runs))
	}
	switch {
	case r.err != nil:
		if runs > 0 && r.sent.Add(r.took).Before(calm) {
			broken = append(broken, fmt.Sprintf("%s to %s ran and had no answer in a planned operation: %v", r.id, r.instance, r.err))
		}
	case promisesNoRun(r.status):
		if runs > 0 {
			broken = append(broken, fmt.Sprintf("%s was answered %d and ran", r.id, r.status))
		}
	case r.status < http.StatusMultipleChoices:
		if !r.stamped || r.answer != "answer to "+r.id {
			broken = append(broken, fmt.Sprintf("%s got an answer that is not its own: %q", r.id, r.answer))
		}
	case r.status < http.StatusInternalServerError:
		if lateForRoute(e, r, calm) {
			broken = append(broken, fmt.Sprintf("%s was answered %d: %s", r.id, r.status, r.path))
		}
	}
	return broken
}

// promisesNoRun reports whether a status says that the request has not run and
// never will.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// lateForRoute reports whether a refusal with a 4xx is broken: always for routes
// that are there from the start, and in calm times for one that was added long
// before.
func lateForRoute(e *estate, r record, calm time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for prefix, added := range e.routes {
		if len(r.path) > len(prefix) && r.path[:len(prefix)] == prefix {
			return r.sent.After(added.Add(configTime)) && r.sent.Before(calm)
		}
	}
	return true
}

// served returns the share of the last requests that were served.
func served(records []record, end time.Time) float64 {
	all, good := 0, 0
	for _, r := range records {
		if r.sent.After(end.Add(-recoveredTime)) && r.sent.Before(end.Add(-callerPatience/4)) {
			all++
			if r.err == nil && r.status == http.StatusOK {
				good++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(good) / float64(all)
}
