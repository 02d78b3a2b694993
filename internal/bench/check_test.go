package bench

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// Guards against missed and false violations, for each outcome with and without
// logged runs.
func TestCheck(t *testing.T) {
	run := func(state backend.RunState) backend.Run {
		return backend.Run{Backend: "b1", Number: 1, URL: "/decisions?t=x", State: state}
	}
	response := backend.Answer{Backend: "b1", Run: 1, Key: "k", URL: "/decisions?t=x"}
	mismatched, otherKey := response, response
	mismatched.URL, otherKey.Key = "/decisions?t=y", "other"
	done, unfinished := run(backend.RunDone), run(backend.RunStarted)
	for _, tc := range []struct {
		name string
		rec  Record
		runs []backend.Run
		want []Fault
	}{
		{"done once", Record{Key: "k", End: Done, Answer: response}, []backend.Run{done}, nil},
		{"done without a logged run", Record{Key: "k", End: Done, Answer: response}, nil, []Fault{Lost}},
		{"done by a run that never completed", Record{Key: "k", End: Done, Answer: response}, []backend.Run{unfinished}, []Fault{Lost}},
		{"run twice", Record{Key: "k", End: Done, Answer: response}, []backend.Run{unfinished, done}, []Fault{Duplicated}},
		{"idempotent run twice", Record{Idempotent: true, End: Done, Answer: response}, []backend.Run{done, done}, nil},
		{"unknown run twice", Record{Key: "k", End: Unknown}, []backend.Run{done, unfinished}, []Fault{Duplicated}},
		{"response to another request", Record{Key: "k", End: Done, Answer: mismatched}, []backend.Run{done}, []Fault{Mismatched}},
		{"response with another key", Record{Key: "k", End: Done, Answer: otherKey}, []backend.Run{done}, []Fault{Mismatched}},
		{"not run", Record{Key: "k", End: NotRun}, nil, nil},
		{"not run, but ran", Record{Key: "k", End: NotRun, Uncertain: true}, []backend.Run{unfinished}, []Fault{RanDespiteNotRun}},
		{"idempotent, not run, but ran", Record{Idempotent: true, End: NotRun}, []backend.Run{done}, []Fault{RanDespiteNotRun}},
		{"idempotent, not run at its second attempt", Record{Idempotent: true, End: NotRun, Uncertain: true}, []backend.Run{done}, nil},
		{"unanswered", Record{Key: "k", End: Unanswered}, nil, []Fault{Lost}},
		{"unknown", Record{Key: "k", End: Unknown}, []backend.Run{unfinished}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.rec.Token = "x"
			var got []Fault
			for _, v := range Check([]Record{tc.rec}, tc.runs) {
				got = append(got, v.Fault)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// Guards against a retry that the rules for callers forbid, and against giving up
// where they allow one.
func TestCallerRules(t *testing.T) {
	later := attemptResult{status: 503, outcome: "not-run", retryAfter: time.Second}
	for _, tc := range []struct {
		name           string
		attemptResult  attemptResult
		idempotent     bool
		key            string
		want           action
		requestOutcome End
	}{
		{"done", attemptResult{status: 200, outcome: "done"}, false, "k", finishRequest, Done},
		{"keyed, connection lost", attemptResult{err: io.EOF}, false, "k", retryNextInstance, Unanswered},
		{"without key, connection lost", attemptResult{err: io.EOF}, false, "", finishRequest, Unanswered},
		{"without key, never sent", attemptResult{err: io.EOF, unsent: true}, false, "", retryNextInstance, Unanswered},
		{"idempotent, connection lost", attemptResult{err: io.EOF}, true, "", retryNextInstance, Unanswered},
		{"not run, retry later", later, false, "k", retryAfterDelay, NotRun},
		{"not run, no retry", attemptResult{status: 422, outcome: "not-run"}, false, "k", finishRequest, NotRun},
		{"unknown", attemptResult{status: 502, outcome: "unknown"}, false, "k", finishRequest, Unknown},
		{"unknown, retry later", attemptResult{status: 503, outcome: "unknown", retryAfter: time.Second}, false, "k", retryAfterDelay, Unknown},
		{"unknown, retry later, without key", attemptResult{status: 503, outcome: "unknown", retryAfter: time.Second}, false, "", finishRequest, Unknown},
		{"idempotent, unknown", attemptResult{status: 502, outcome: "unknown"}, true, "", retryAfterDelay, Unknown},
		{"no outcome", attemptResult{status: 500}, false, "k", finishRequest, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, _ := tc.attemptResult.nextAction(tc.idempotent, tc.key)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.requestOutcome, tc.attemptResult.requestOutcome())
		})
	}
}
