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

func newTestMachine(maxBytes int64) *Machine {
	return New(Config{Self: testHome, MaxKeyTTL: time.Hour, ClaimTTL: time.Hour, MaxBytes: maxBytes})
}

func issueKey(t testing.TB, expiry time.Duration, random uint64) string {
	k, err := NewKey(testHome, epoch.Add(expiry), random)
	require.NoError(t, err)
	return k.String()
}

// runToCompletion makes an attempt arrive and finishes its run with the outcome
// Done and the response body.
func runToCompletion(t testing.TB, m *Machine, a AttemptID, key string, body []byte) {
	out := m.Step(epoch, Arrive{Attempt: a, Key: key})
	require.Len(t, out, 1)
	run := out[0].(Run)
	require.Equal(t, []Action{AllowStart{Run: run.Run}}, m.Step(epoch, Start{Run: run.Run}))
	out = m.Step(epoch, Finish{Run: run.Run, Result: Result{Outcome: outcome.Done, Status: 200, Body: body}})
	require.Len(t, out, 1)
	require.Equal(t, outcome.Done, out[0].(Respond).Result.Outcome)
}

// TestMemoryIsBounded guards against unbounded memory for settled keys, and against
// a second run of a key that was dropped from memory. It runs more keys than
// Config.MaxBytes has room for.
func TestMemoryIsBounded(t *testing.T) {
	const maxBytes = 100 << 10
	m := newTestMachine(maxBytes)
	body := make([]byte, 1000)
	for i := range 1000 {
		key := issueKey(t, time.Minute+time.Duration(i)*time.Second, uint64(i))
		runToCompletion(t, m, AttemptID(i), key, body)
		require.LessOrEqual(t, m.Stats().Bytes, int64(maxBytes))
	}
	// The outcome of the last key is still in memory. The first key was dropped
	// and must not run again.
	out := m.Step(epoch, Arrive{Attempt: 2000, Key: issueKey(t, time.Minute+999*time.Second, 999)})
	require.Equal(t, outcome.Done, out[0].(Respond).Result.Outcome)
	out = m.Step(epoch, Arrive{Attempt: 2001, Key: issueKey(t, time.Minute, 0)})
	require.Equal(t, outcome.Unknown, out[0].(Respond).Result.Outcome)
	require.True(t, m.Stats().Floor.After(epoch))
	// The outcome of a key that never arrived before but expires before the
	// floor is unknown, too.
	out = m.Step(epoch, Arrive{Attempt: 2002, Key: issueKey(t, time.Minute, 77)})
	require.Equal(t, outcome.Unknown, out[0].(Respond).Result.Outcome)
	// All records are dropped after they expired.
	m.Step(epoch.Add(time.Hour), Tick{})
	require.Zero(t, m.Stats().Bytes)
}

// TestMemoryFullOfLiveKeys guards against unbounded memory for keys that are
// running. These cannot be dropped, so a further key gets a retryable error.
func TestMemoryFullOfLiveKeys(t *testing.T) {
	m := newTestMachine(2000)
	var last []Action
	for i := range 10 {
		last = m.Step(epoch, Arrive{Attempt: AttemptID(i), Key: issueKey(t, time.Minute, uint64(i))})
	}
	res := last[0].(Respond).Result
	require.Equal(t, outcome.Unknown, res.Outcome)
	require.Equal(t, outcome.KindOverloaded, res.Err.Kind)
}

// TestWaitingAttemptsAreBounded guards against unbounded memory for attempts that
// wait for a key or for a claim. A cancelled attempt must free its place.
func TestWaitingAttemptsAreBounded(t *testing.T) {
	m := newTestMachine(0)
	var last []Action
	for i := range MaxWaitersPerKey + 1 {
		last = m.Step(epoch, Arrive{Attempt: AttemptID(i), Key: issueKey(t, time.Minute, 1)})
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

func BenchmarkRunToCompletion(b *testing.B) {
	m := newTestMachine(0)
	body := make([]byte, 200)
	keys := make([]string, 10_000)
	for i := range keys {
		keys[i] = issueKey(b, time.Minute+time.Duration(i)*time.Millisecond, uint64(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(keys) == 0 {
			m = newTestMachine(0)
		}
		out := m.Step(epoch, Arrive{Attempt: AttemptID(i), Key: keys[i%len(keys)]})
		run := out[0].(Run).Run
		m.Step(epoch, Start{Run: run})
		m.Step(epoch, Finish{Run: run, Result: Result{Outcome: outcome.Done, Status: 200, Body: body}})
	}
}

// BenchmarkMemoryPerKey reports the heap bytes per settled key, and the bytes that
// the machine counts for it.
func BenchmarkMemoryPerKey(b *testing.B) {
	const keys = 50_000
	body := make([]byte, 200)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := newTestMachine(1 << 30)
		for i := range keys {
			runToCompletion(b, m, AttemptID(i), issueKey(b, time.Minute, uint64(i)), slices.Clone(body))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "heap-B/key")
		b.ReportMetric(float64(m.Stats().Bytes)/keys, "counted-B/key")
	}
}
