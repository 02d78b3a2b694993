package bench

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

func TestCheck(t *testing.T) {
	run := func(state backend.RunState) backend.Run {
		return backend.Run{Backend: "b1", Number: 1, URL: "/decisions?t=x", State: state}
	}
	answer := backend.Answer{Backend: "b1", Run: 1, Key: "k", URL: "/decisions?t=x"}
	crossed, otherKey := answer, answer
	crossed.URL, otherKey.Key = "/decisions?t=y", "other"
	done, dead := run(backend.RunDone), run(backend.RunStarted)
	for _, tc := range []struct {
		name string
		rec  Record
		runs []backend.Run
		want []Fault
	}{
		{"done once", Record{Key: "k", End: Done, Answer: answer}, []backend.Run{done}, nil},
		{"done without a run", Record{Key: "k", End: Done, Answer: answer}, nil, []Fault{Lost}},
		{"done by a run that never ended", Record{Key: "k", End: Done, Answer: answer}, []backend.Run{dead}, []Fault{Lost}},
		{"run twice", Record{Key: "k", End: Done, Answer: answer}, []backend.Run{dead, done}, []Fault{Duplicated}},
		{"idempotent run twice", Record{Idempotent: true, End: Done, Answer: answer}, []backend.Run{done, done}, nil},
		{"unknown run twice", Record{Key: "k", End: Unknown}, []backend.Run{done, dead}, []Fault{Duplicated}},
		{"another's answer", Record{Key: "k", End: Done, Answer: crossed}, []backend.Run{done}, []Fault{Mismatched}},
		{"another key's answer", Record{Key: "k", End: Done, Answer: otherKey}, []backend.Run{done}, []Fault{Mismatched}},
		{"not run", Record{Key: "k", End: NotRun}, nil, nil},
		{"not run, but ran", Record{Key: "k", End: NotRun, Uncertain: true}, []backend.Run{dead}, []Fault{RanDespiteNotRun}},
		{"lookup not run, but ran", Record{Idempotent: true, End: NotRun}, []backend.Run{done}, []Fault{RanDespiteNotRun}},
		{"lookup not run at its second sending", Record{Idempotent: true, End: NotRun, Uncertain: true}, []backend.Run{done}, nil},
		{"unanswered", Record{Key: "k", End: Unanswered}, nil, []Fault{Lost}},
		{"unknown", Record{Key: "k", End: Unknown}, []backend.Run{dead}, nil},
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

func TestCallerRules(t *testing.T) {
	later := reply{status: 503, outcome: "not-run", retryAfter: time.Second}
	for _, tc := range []struct {
		name       string
		reply      reply
		idempotent bool
		key        string
		want       step
		end        Outcome
	}{
		{"done", reply{status: 200, outcome: "done"}, false, "k", finish, Done},
		{"keyed, connection lost", reply{err: io.EOF}, false, "k", resendNext, Unanswered},
		{"without key, connection lost", reply{err: io.EOF}, false, "", finish, Unanswered},
		{"without key, never sent", reply{err: io.EOF, unsent: true}, false, "", resendNext, Unanswered},
		{"lookup, connection lost", reply{err: io.EOF}, true, "", resendNext, Unanswered},
		{"not run, come back", later, false, "k", resendLater, NotRun},
		{"not run, don't come back", reply{status: 422, outcome: "not-run"}, false, "k", finish, NotRun},
		{"unknown", reply{status: 502, outcome: "unknown"}, false, "k", finish, Unknown},
		{"unknown, ask again", reply{status: 503, outcome: "unknown", retryAfter: time.Second}, false, "k", resendLater, Unknown},
		{"unknown, ask again, without key", reply{status: 503, outcome: "unknown", retryAfter: time.Second}, false, "", finish, Unknown},
		{"lookup unknown", reply{status: 502, outcome: "unknown"}, true, "", resendLater, Unknown},
		{"no outcome", reply{status: 500}, false, "k", finish, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, _ := tc.reply.next(tc.idempotent, tc.key)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.end, tc.reply.end())
		})
	}
}
