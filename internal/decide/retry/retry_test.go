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

func endNamed(name string) Result {
	return Result(slices.IndexFunc(rules[:], func(r rule) bool { return r.name == name }))
}

// failureOf returns the error that an end brings: kind=K, of unknown outcome
// unless the end is "refused" or "stopped".
func failureOf(d *datadriven.TestData) *outcome.Error {
	arg, ok := d.Arg("kind")
	if !ok {
		return nil
	}
	e := &outcome.Error{Outcome: outcome.Unknown, Kind: outcome.Kind(arg.Vals[0]), Message: "as told"}
	if !endNamed(d.CmdArgs[1].Key).MayHaveRun() {
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
			fmt.Fprintf(&b, "withdraw %d\n", a.Attempt)
		case Deliver:
			fmt.Fprintf(&b, "deliver %d\n", a.Attempt)
		case Fail:
			fmt.Fprintf(&b, "fail %s %s: %s\n", a.Err.Outcome, a.Err.Kind, a.Err.Message)
		}
	}
	return b.String()
}

// TestScripts runs the requests of testdata. Commands:
//
//	request [idempotent] [attempts=N] [hedge=D] [tokens=N]   begin a new one
//	end ATTEMPT END [after=D] [kind=K]
//	delivering ATTEMPT
//	tick D [headroom=F]        at the time since the beginning
//	cancel [expired]
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
				return render(r.Step(now, AttemptEnded{Attempt: attempt(), Result: endNamed(d.CmdArgs[1].Key), RetryAfter: duration("after"), Random: 0.5, Err: failureOf(d)}))
			case "delivering":
				return render(r.Step(now, ResponseStarted{Attempt: attempt()}))
			case "tick":
				by, err := time.ParseDuration(d.CmdArgs[0].Key)
				require.NoError(t, err)
				now = epoch.Add(by)
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

// TestRequestProperties lets attempts end in any way and order.
func TestRequestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		budget := NewBudget(BudgetConfig{Share: 0.2, Burst: 3}, now)
		requests := rapid.IntRange(1, 20).Draw(t, "requests")
		further := 0
		for range requests {
			cfg := Config{
				Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
				Deadline: now.Add(time.Second), HedgeAfter: 50 * time.Millisecond,
			}
			further += checkRequest(t, cfg, budget, &now)
		}
		require.LessOrEqual(t, float64(further), 3+0.2*float64(requests))
	})
}

// checkRequest runs one request with random events and returns its further
// attempts.
func checkRequest(t *rapid.T, cfg Config, budget *Budget, now *time.Time) (further int) {
	r := New(cfg, budget)
	sent, reached, ends := 0, false, 0
	var flying []int
	see := func(actions []Action) {
		for _, a := range actions {
			require.Zero(t, ends, "nothing but withdrawals follows the end")
			switch a := a.(type) {
			case Send:
				sent++
				require.LessOrEqual(t, sent, cfg.MaxAttempts)
				require.True(t, now.Before(cfg.Deadline))
				require.True(t, cfg.Idempotent || !reached && len(flying) == 0, "sent again after it may have run")
				flying = append(flying, a.Attempt)
			case CancelAttempt:
				flying = slices.DeleteFunc(flying, func(n int) bool { return n == a.Attempt })
			case Deliver:
				ends++
			case Fail:
				if a.Err.Outcome == outcome.NotRun {
					require.False(t, reached || len(flying) > 0, "not run, but an attempt may have reached a backend server")
				}
				return
			}
		}
	}
	see(r.Step(*now, Begin{}))
	for range 30 {
		*now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		if len(flying) == 0 || rapid.IntRange(0, 2).Draw(t, "tick") == 0 {
			see(r.Step(*now, Tick{Headroom: 1}))
			continue
		}
		i := rapid.IntRange(0, len(flying)-1).Draw(t, "attempt")
		end := Result(rapid.IntRange(0, len(rules)-1).Draw(t, "end"))
		n := flying[i]
		flying = slices.Delete(flying, i, i+1)
		reached = reached || end.MayHaveRun()
		see(r.Step(*now, AttemptEnded{Attempt: n, Result: end, Random: 0.9}))
	}
	return max(0, sent-1)
}

func TestWaits(t *testing.T) {
	require.Zero(t, Backoff(1, time.Second, time.Minute, 0.99))
	require.Equal(t, 500*time.Millisecond, Backoff(2, time.Second, time.Minute, 0.5))
	require.Equal(t, 30*time.Second, Backoff(60, time.Second, time.Minute, 0.5))

	require.Equal(t, MaxRetryAfter, RetryAfter(Backlog{}, 0))
	require.Equal(t, MinRetryAfter, RetryAfter(Backlog{Slots: 3, MeanServiceTime: time.Millisecond}, 0.5))
	require.Equal(t, time.Second, RetryAfter(Backlog{Slots: 3, Ahead: 29, MeanServiceTime: 100 * time.Millisecond}, 0))
	require.Equal(t, 1500*time.Millisecond, RetryAfter(Backlog{Slots: 3, Ahead: 29, MeanServiceTime: 100 * time.Millisecond}, 1))

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
	require.True(t, b.Take(epoch.Add(time.Second)), "time alone brings a token")
	require.False(t, b.Take(epoch), "a clock that goes back brings none")
	b.Deposit(epoch.Add(time.Hour))
	require.Equal(t, 2.0, b.Tokens())
}
