package bench

import (
	"fmt"
	"net/url"
	"slices"

	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// tokenParam is the query parameter that carries a request's token.
const tokenParam = "t"

// Fault is a kind of violated guarantee.
type Fault string

// Faults that Check finds.
const (
	// Lost means that a request has outcome Done but no completed run, or that it got
	// no response.
	Lost Fault = "lost"
	// Duplicated means that a request that is not idempotent ran more than once.
	Duplicated Fault = "doubled"
	// Mismatched means that a request got the response to another request.
	Mismatched Fault = "crossed"
	// RanDespiteNotRun means that a request has outcome NotRun but ran.
	RanDespiteNotRun Fault = "not run, but ran"
)

// Violation is one violated guarantee.
type Violation struct {
	Fault  Fault
	Record Record
	Runs   []backend.Run
	Detail string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("fault=%q service=%s op=%s token=%s key=%s end=%s attempts=%d runs=%d detail=%q",
		v.Fault, v.Record.Service, v.Record.Op, v.Record.Token, v.Record.Key, v.Record.End, v.Record.Attempts, len(v.Runs), v.Detail)
}

// Check compares the outcomes that callers observed with the runs that backend
// servers logged. The runs must be those of all backend servers, read after all of
// them have finished. Violations are in the order of the records.
func Check(records []Record, runs []backend.Run) []Violation {
	byToken := map[string][]backend.Run{}
	for _, run := range runs {
		if t := tokenOf(run.URL); t != "" {
			byToken[t] = append(byToken[t], run)
		}
	}
	var out []Violation
	for _, r := range records {
		out = append(out, checkRecord(r, byToken[r.Token])...)
	}
	return out
}

func checkRecord(r Record, runs []backend.Run) []Violation {
	var out []Violation
	add := func(f Fault, detail string) {
		out = append(out, Violation{Fault: f, Record: r, Runs: runs, Detail: detail})
	}
	if !r.Idempotent && len(runs) > 1 {
		add(Duplicated, fmt.Sprintf("run %d times", len(runs)))
	}
	switch r.End {
	case Done:
		if d := mismatch(r); d != "" {
			add(Mismatched, d)
		} else if !hasRun(runs, r.Answer) {
			add(Lost, "done, but no backend server completed the run that the response names")
		}
	case NotRun:
		// Without a key each attempt counts as a separate request, so an earlier
		// attempt of unknown outcome may have run.
		if len(runs) > 0 && (r.Key != "" || !r.Uncertain) {
			add(RanDespiteNotRun, r.Detail)
		}
	case Unanswered:
		add(Lost, r.Detail)
	case Unknown:
	}
	return out
}

// mismatch describes how a response differs from its request, or returns "" if it
// matches.
func mismatch(r Record) string {
	a := r.Answer
	switch {
	case tokenOf(a.URL) != r.Token:
		return "the response is to " + a.URL
	case r.Key != "" && a.Key != r.Key:
		return "the response has key " + a.Key
	case a.Method != r.Method || a.BodySum != r.BodySum:
		return "the response is to another method or body"
	}
	return ""
}

func hasRun(runs []backend.Run, a backend.Answer) bool {
	return slices.ContainsFunc(runs, func(r backend.Run) bool {
		return r.Backend == a.Backend && r.Number == a.Run && r.State == backend.RunDone
	})
}

func tokenOf(rawURL string) string {
	u, err := url.Parse(rawURL)
	if err != nil {
		return ""
	}
	return u.Query().Get(tokenParam)
}
