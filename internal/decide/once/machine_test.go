package once

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

var (
	epoch    = time.UnixMilli(1_700_000_000_000).UTC()
	testHome = Home{Zone: "bud-a", ID: "e1", Incarnation: 1}
)

func testMachine(maxBytes int64) *Machine {
	return New(Config{Self: testHome, MaxKeyTTL: time.Hour, ClaimTTL: time.Hour, MaxBytes: maxBytes})
}

func issue(t testing.TB, expiry time.Duration, random uint64) string {
	k, err := NewKey(testHome, epoch.Add(expiry), random)
	require.NoError(t, err)
	return k.String()
}

// runWhole takes an attempt from arrival to a done answer with the body.
func runWhole(t testing.TB, m *Machine, a AttemptID, key string, body []byte) {
	out := m.Step(epoch, Arrive{Attempt: a, Key: key})
	require.Len(t, out, 1)
	run := out[0].(Run)
	require.Equal(t, []Action{AllowStart{Run: run.Run}}, m.Step(epoch, Start{Run: run.Run}))
	out = m.Step(epoch, Finish{Run: run.Run, Result: Result{Outcome: outcome.Done, Status: 200, Body: body}})
	require.Len(t, out, 1)
	require.Equal(t, outcome.Done, out[0].(Respond).Result.Outcome)
}

func TestMemoryIsBounded(t *testing.T) {
	const maxBytes = 100 << 10
	m := testMachine(maxBytes)
	body := make([]byte, 1000)
	for i := range 1000 {
		key := issue(t, time.Minute+time.Duration(i)*time.Second, uint64(i))
		runWhole(t, m, AttemptID(i), key, body)
		require.LessOrEqual(t, m.Stats().Bytes, int64(maxBytes))
	}
	// The last key has its outcome, the first was dropped and never runs.
	out := m.Step(epoch, Arrive{Attempt: 2000, Key: issue(t, time.Minute+999*time.Second, 999)})
	require.Equal(t, outcome.Done, out[0].(Respond).Result.Outcome)
	out = m.Step(epoch, Arrive{Attempt: 2001, Key: issue(t, time.Minute, 0)})
	require.Equal(t, outcome.Unknown, out[0].(Respond).Result.Outcome)
	require.True(t, m.Stats().Floor.After(epoch))
	// A key that was never seen but expires before the floor is unknown too.
	out = m.Step(epoch, Arrive{Attempt: 2002, Key: issue(t, time.Minute, 77)})
	require.Equal(t, outcome.Unknown, out[0].(Respond).Result.Outcome)
	// All is forgotten when it has expired.
	m.Step(epoch.Add(time.Hour), Tick{})
	require.Zero(t, m.Stats().Bytes)
}

func TestMemoryFullOfLiveKeys(t *testing.T) {
	m := testMachine(2000)
	var last []Action
	for i := range 10 {
		last = m.Step(epoch, Arrive{Attempt: AttemptID(i), Key: issue(t, time.Minute, uint64(i))})
	}
	res := last[0].(Respond).Result
	require.Equal(t, outcome.Unknown, res.Outcome)
	require.Equal(t, outcome.KindOverloaded, res.Err.Kind)
}

func TestWaitingIsBounded(t *testing.T) {
	m := testMachine(0)
	var last []Action
	for i := range MaxWaitersPerKey + 1 {
		last = m.Step(epoch, Arrive{Attempt: AttemptID(i), Key: issue(t, time.Minute, 1)})
	}
	require.Equal(t, outcome.KindOverloaded, last[0].(Respond).Result.Err.Kind)
	for i := range MaxUnroutedAttempts + 1 {
		last = m.Step(epoch, Arrive{Attempt: AttemptID(1000 + i), Key: "chosen"})
	}
	require.Equal(t, outcome.KindOverloaded, last[0].(Respond).Result.Err.Kind)
	m.Step(epoch, Cancel{Attempt: 1000})
	last = m.Step(epoch, Arrive{Attempt: 9999, Key: "chosen"})
	require.Equal(t, Join{Attempt: 9999, Key: "chosen"}, last[0])
}

func BenchmarkRunWhole(b *testing.B) {
	m := testMachine(0)
	body := make([]byte, 200)
	keys := make([]string, 10_000)
	for i := range keys {
		keys[i] = issue(b, time.Minute+time.Duration(i)*time.Millisecond, uint64(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(keys) == 0 {
			m = testMachine(0)
		}
		out := m.Step(epoch, Arrive{Attempt: AttemptID(i), Key: keys[i%len(keys)]})
		run := out[0].(Run).Run
		m.Step(epoch, Start{Run: run})
		m.Step(epoch, Finish{Run: run, Result: Result{Outcome: outcome.Done, Status: 200, Body: body}})
	}
}

// BenchmarkKeptKey reports the heap that a settled key takes, beside what the
// machine counts for it.
func BenchmarkKeptKey(b *testing.B) {
	const keys = 50_000
	body := make([]byte, 200)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := testMachine(1 << 30)
		for i := range keys {
			runWhole(b, m, AttemptID(i), issue(b, time.Minute, uint64(i)), slices.Clone(body))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "heap-B/key")
		b.ReportMetric(float64(m.Stats().Bytes)/keys, "counted-B/key")
	}
}
