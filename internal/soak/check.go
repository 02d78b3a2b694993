package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/registered"
)

const (
	// recoveredShare is the minimum share of the requests in the recovery window that
	// must be served.
	recoveredShare = 0.95
	// recoveryWindow is the last part of a run, in which the system must have
	// recovered.
	recoveryWindow = 2 * time.Second
	// drainTolerance allows for inaccurate timing in the test itself.
	drainTolerance = 300 * time.Millisecond
)

// arrivals returns the requests that reached backend servers, by request ID.
func (e *environment) arrivals() map[string][]*registered.Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[string][]*registered.Arrival{}
	for _, n := range append(append([]*backendServer{}, e.backends...), e.retired...) {
		for _, a := range n.Arrivals() {
			all[a.ID] = append(all[a.ID], a)
		}
	}
	return all
}

// check compares what callers and backend servers observed with the guarantees.
// faultsBegin is the time until which there were only planned operations.
func check(e *environment, records []record, faultsBegin, end time.Time) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	arrivals := e.arrivals()
	known := map[string]bool{}
	for _, r := range records {
		known[r.id] = true
		for _, text := range requestViolations(e, r, arrivals[r.id], faultsBegin) {
			report("%s", text)
		}
	}
	for id := range arrivals {
		if !known[id] {
			report("a backend server received %s, which no caller sent", id)
		}
	}
	for _, n := range e.retired {
		for _, a := range n.Arrivals() {
			if n.drainStarted.Before(faultsBegin) && a.At.After(n.drainStarted.Add(maxDrainDelay+drainTolerance)) && a.At.Before(faultsBegin) {
				report("%s reached %s %s after that server reported that it was draining", a.ID, n.Name, a.At.Sub(n.drainStarted))
			}
		}
	}
	if share := servedShare(e, records, end); share < recoveredShare {
		report("only %.2f of the requests were served after all faults had ended", share)
	}
	for _, i := range e.instances {
		i.mu.Lock()
		if i.unexpectedExit != nil {
			report("%v", i.unexpectedExit)
		}
		i.mu.Unlock()
	}
	return violations
}

// requestViolations returns the guarantees that were violated for one request.
func requestViolations(e *environment, r record, arrivals []*registered.Arrival, faultsBegin time.Time) []string {
	var violations []string
	runs := 0
	for _, a := range arrivals {
		if a.Ran {
			runs++
		}
		if a.Method != r.method || a.Target != r.path || a.Body != r.body {
			violations = append(violations, fmt.Sprintf("%s was modified on the way: %s %s %q", r.id, a.Method, a.Target, a.Body))
		}
		if a.Account != accountOf(r.key) || a.Authorization != "" {
			violations = append(violations, fmt.Sprintf("%s arrived for account %q with credentials %q, its account is %q", r.id, a.Account, a.Authorization, accountOf(r.key)))
		}
	}
	if r.method != http.MethodGet && runs > 1 {
		violations = append(violations, fmt.Sprintf("%s ran %d times", r.id, runs))
	}
	switch {
	case r.err != nil:
		// A caller that reads slowly may not come to the last responses in time.
		late := r.pipelined && r.latency >= callerTimeout
		if runs > 0 && !late && r.sent.Add(r.latency).Before(faultsBegin) {
			violations = append(violations, fmt.Sprintf("%s to %s ran but got no response during planned operations: %v", r.id, r.instance, r.err))
		}
	case guaranteesNotRun(r.status):
		if runs > 0 {
			violations = append(violations, fmt.Sprintf("%s got status %d but ran", r.id, r.status))
		}
	case r.status < http.StatusMultipleChoices:
		if !r.hasServerStamp || r.response != "answer to "+r.id {
			violations = append(violations, fmt.Sprintf("%s got the response to another request: %q", r.id, r.response))
		}
		violations = appendText(violations, handlingViolation(e, r, faultsBegin))
	case r.status < http.StatusInternalServerError:
		violations = appendText(violations, handlingViolation(e, r, faultsBegin))
	}
	return violations
}

// handlingViolation describes how a request was handled by a configuration that was no longer in
// force, or not yet.
func handlingViolation(e *environment, r record, faultsBegin time.Time) string {
	if r.key != "" {
		return accountViolation(e, r, faultsBegin)
	}
	return configViolation(e, r, faultsBegin)
}

// appendText appends a text unless it is empty.
func appendText(list []string, text string) []string {
	if text == "" {
		return list
	}
	return append(list, text)
}

// guaranteesNotRun reports whether a status guarantees that the request has not run
// and never will.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// servedShare returns the share of the requests in the recovery window that were
// served. It leaves out the last requests, which may not have finished, those for routes that
// were removed, and pipelined ones, which may be sent behind a response that closes their
// connection.
func servedShare(e *environment, records []record, end time.Time) float64 {
	all, served := 0, 0
	for _, r := range records {
		if rt, _ := e.routeOf(r.path); !rt.removed.IsZero() || r.pipelined || r.key != "" {
			continue
		}
		if r.sent.After(end.Add(-recoveryWindow)) && r.sent.Before(end.Add(-callerTimeout/4)) {
			all++
			if r.err == nil && r.status == http.StatusOK {
				served++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(served) / float64(all)
}
