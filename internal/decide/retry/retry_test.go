package retry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

func parseResult(name string) Result {
	return Result(slices.IndexFunc(rules[:], func(r rule) bool { return r.name == name }))
}

// parseError returns the error of an "end" command: of the kind that the argument
// kind=K gives, or nil without it. Its outcome is unknown if a backend server may
// have run the attempt, and not run otherwise.
func parseError(d *datadriven.TestData) *outcome.Error {
	arg, ok := d.Arg("kind")
	if !ok {
		return nil
	}
	e := &outcome.Error{Outcome: outcome.Unknown, Kind: outcome.Kind(arg.Vals[0]), Message: "error from script"}
	if !parseResult(d.CmdArgs[1].Key).MayHaveRun() {
		e.Outcome = outcome.NotRun
	}
	return e
}

func render(actions []Action) string {
	var b strings.Builder
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			fmt.Fprintf(&b, "send %d hedge=%t\n", a.Attempt, a.Hedge)
		case Wait:
			fmt.Fprintf(&b, "wait until %v\n", a.Until.Sub(epoch))
		case CancelAttempt:
			fmt.Fprintf(&b, "cancel attempt %d\n", a.Attempt)
		case Deliver:
			fmt.Fprintf(&b, "deliver %d\n", a.Attempt)
		case Fail:
			fmt.Fprintf(&b, "fail %s %s: %s\n", a.Err.Outcome, a.Err.Kind, a.Err.Message)
		}
	}
	return b.String()
}

// TestScripts runs the scripts in testdata, which print the actions of each step.
// Commands:
//
//	request [idempotent] [attempts=N] [hedge=D] [tokens=N]   start a new request
//	end ATTEMPT RESULT [after=D] [kind=K]                    end an attempt
//	response-started ATTEMPT                                 pass on its first byte
//	tick D [headroom=F]                                      set the time since the start
//	cancel [expired]                                         cancel the request
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var r *Request
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			duration := func(name string) (v time.Duration) {
				text := "0s"
				d.MaybeScanArgs(t, name, &text)
				v, err := time.ParseDuration(text)
				require.NoError(t, err)
				return v
			}
			attempt := func() (n int) {
				_, err := fmt.Sscan(d.CmdArgs[0].Key, &n)
				require.NoError(t, err)
				return n
			}
			switch d.Cmd {
			case "request":
				now = epoch
				cfg := Config{Idempotent: d.HasArg("idempotent"), MaxAttempts: 3, Deadline: epoch.Add(time.Second),
					MinAttemptTime: 10 * time.Millisecond, HedgeAfter: duration("hedge"), MinHedgeHeadroom: 0.2}
				tokens := 10
				d.MaybeScanArgs(t, "attempts", &cfg.MaxAttempts)
				d.MaybeScanArgs(t, "tokens", &tokens)
				r = New(cfg, NewBudget(BudgetConfig{Burst: float64(tokens)}, epoch))
				return render(r.Step(now, Begin{}))
			case "end":
				return render(r.Step(now, AttemptEnded{Attempt: attempt(), Result: parseResult(d.CmdArgs[1].Key), RetryAfter: duration("after"), Random: 0.5, Err: parseError(d)}))
			case "response-started":
				return render(r.Step(now, ResponseStarted{Attempt: attempt()}))
			case "tick":
				elapsed, err := time.ParseDuration(d.CmdArgs[0].Key)
				require.NoError(t, err)
				now = epoch.Add(elapsed)
				headroom := "1"
				d.MaybeScanArgs(t, "headroom", &headroom)
				var h float64
				_, err = fmt.Sscan(headroom, &h)
				require.NoError(t, err)
				return render(r.Step(now, Tick{Headroom: h}))
			case "cancel":
				return render(r.Step(now, Cancel{Expired: d.HasArg("expired")}))
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// TestRequestInvariants checks with random events that attempts stay within
// their limits, that only idempotent requests are retried after they may have
// run, that an error with the outcome not run is true, and that the retries and
// hedges of all requests stay within the budget.
func TestRequestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		budget := NewBudget(BudgetConfig{Share: 0.2, Burst: 3}, now)
		requests := rapid.IntRange(1, 20).Draw(t, "requests")
		retries := 0
		for range requests {
			cfg := Config{
				Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
				Deadline: now.Add(time.Second), HedgeAfter: 50 * time.Millisecond,
			}
			retries += checkRequest(t, cfg, budget, &now)
		}
		require.LessOrEqual(t, float64(retries), 3+0.2*float64(requests))
	})
}

// checkRequest runs one request with random events and returns the number of its
// attempts after the first.
func checkRequest(t *rapid.T, cfg Config, budget *Budget, now *time.Time) (retries int) {
	r := New(cfg, budget)
	sent, mayHaveRun, finished := 0, false, 0
	var inFlight []int
	apply := func(actions []Action) {
		for _, a := range actions {
			require.Zero(t, finished, "no action other than cancelling attempts follows the end of the request")
			switch a := a.(type) {
			case Send:
				sent++
				require.LessOrEqual(t, sent, cfg.MaxAttempts)
				require.True(t, now.Before(cfg.Deadline))
				require.True(t, cfg.Idempotent || !mayHaveRun && len(inFlight) == 0, "a request that is not idempotent is not sent again once it may have run, nor hedged")
				inFlight = append(inFlight, a.Attempt)
			case CancelAttempt:
				inFlight = slices.DeleteFunc(inFlight, func(n int) bool { return n == a.Attempt })
			case Deliver:
				finished++
			case Fail:
				if a.Err.Outcome == outcome.NotRun {
					require.False(t, mayHaveRun || len(inFlight) > 0, "the outcome is not run, but a backend server may have run an attempt")
				}
				return
			}
		}
	}
	apply(r.Step(*now, Begin{}))
	for range 30 {
		*now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		if len(inFlight) == 0 || rapid.IntRange(0, 2).Draw(t, "tick") == 0 {
			apply(r.Step(*now, Tick{Headroom: 1}))
			continue
		}
		i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "attempt")
		result := Result(rapid.IntRange(0, len(rules)-1).Draw(t, "end"))
		n := inFlight[i]
		inFlight = slices.Delete(inFlight, i, i+1)
		mayHaveRun = mayHaveRun || result.MayHaveRun()
		apply(r.Step(*now, AttemptEnded{Attempt: n, Result: result, Random: 0.9}))
	}
	return max(0, sent-1)
}

func TestBackoffAndRetryAfter(t *testing.T) {
	require.Zero(t, Backoff(1, time.Second, time.Minute, 0.99))
	require.Equal(t, 500*time.Millisecond, Backoff(2, time.Second, time.Minute, 0.5))
	require.Equal(t, 30*time.Second, Backoff(60, time.Second, time.Minute, 0.5))

	require.Equal(t, MaxRetryAfter, RetryAfter(Backlog{}, 0))
	require.Equal(t, MinRetryAfter, RetryAfter(Backlog{Slots: 3, MeanTime: time.Millisecond}, 0.5))
	require.Equal(t, time.Second, RetryAfter(Backlog{Slots: 3, Ahead: 29, MeanTime: 100 * time.Millisecond}, 0))
	require.Equal(t, 1500*time.Millisecond, RetryAfter(Backlog{Slots: 3, Ahead: 29, MeanTime: 100 * time.Millisecond}, 1))

	require.Nil(t, CheckHops(4, 4))
	require.Equal(t, outcome.Unknown, CheckHops(5, 4).Outcome)
}

func TestBudget(t *testing.T) {
	b := NewBudget(BudgetConfig{Share: 0.5, MinRate: 1, Burst: 2}, epoch)
	require.True(t, b.Take(epoch))
	require.True(t, b.Take(epoch))
	require.False(t, b.Take(epoch))
	b.Deposit(epoch)
	require.False(t, b.Take(epoch))
	b.Deposit(epoch)
	require.True(t, b.Take(epoch))
	require.True(t, b.Take(epoch.Add(time.Second)), "MinRate adds tokens without requests")
	require.False(t, b.Take(epoch), "a clock that goes backwards adds no tokens")
	b.Deposit(epoch.Add(time.Hour))
	require.Equal(t, 2.0, b.Tokens())
}
