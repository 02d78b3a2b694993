package edgetest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// backendDown is how long a backend server is down after a crash.
	backendDown = 2500 * time.Millisecond
	// queueWait is how long a crashing request waits in the queue of a backend server in
	// tests where it does: longer than the timeout of its route.
	queueWait = 2300 * time.Millisecond
	// contact is the time after the third crash from which on the sends of a
	// crashing request are limited to maxLateSends, as the users' rules say.
	contact      = 4 * time.Second
	maxLateSends = 3
	// crashBody is the beginning of the body of a crashing request.
	crashBody = "crash"
)

// crashEnvironment has instances and backend servers that a request whose body begins
// with crashBody crashes.
type crashEnvironment struct{ *fleet }

func startCrashEnvironment(t *testing.T, instanceZones ...string) *crashEnvironment {
	return startCrashEnvironmentOf(t, eachTime(Crash), instanceZones...)
}

// eachTime is a series of one act.
func eachTime(a Act) func(n int64) Act { return func(int64) Act { return a } }

// startCrashEnvironmentOf is startCrashEnvironment with the given treatment of the n-th
// crashing request, beginning at 1.
func startCrashEnvironmentOf(t *testing.T, act func(n int64) Act, instanceZones ...string) *crashEnvironment {
	f := startFleet(t, 12, Start{Work: 30 * time.Millisecond, Down: backendDown, QueueWait: queueWait}, instanceZones...)
	var count atomic.Int64
	for _, b := range f.backends {
		b.SetAct(func(a *Arrival) Act {
			if strings.HasPrefix(a.Body, crashBody) {
				return act(count.Add(1))
			}
			return Run
		})
	}
	return &crashEnvironment{f}
}

// repeat sends a request again and again, at the instances in turn, for a while. It
// does not wait for the responses before it sends the next, and returns them all.
func (e *crashEnvironment) repeat(c CallerRequest, every, total time.Duration) []CallerResponse {
	responses := make([]CallerResponse, int(total/every))
	var all sync.WaitGroup
	for n := range responses {
		i := e.instance(n)
		all.Go(func() { responses[n] = e.Do(i, c) })
		time.Sleep(every)
	}
	all.Wait()
	return responses
}

// repeatInTurn is repeat by one caller that waits for each response.
func (e *crashEnvironment) repeatInTurn(c CallerRequest, every, total time.Duration) {
	end := time.Now().Add(total)
	for n := 0; time.Now().Before(end); n++ {
		e.Do(e.instance(n), c)
		time.Sleep(every)
	}
}

// sends returns the times at which requests with the body reached backend servers, in
// order.
func (e *crashEnvironment) sends(body string) []time.Time {
	var times []time.Time
	for _, b := range e.backends {
		for _, a := range b.Arrivals() {
			if a.Body == body {
				times = append(times, a.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// lateSends returns how many of the sends came later than contact after the third crash.
func (e *crashEnvironment) lateSends(sends []time.Time) int {
	var crashes []time.Time
	for _, b := range e.backends {
		crashes = append(crashes, b.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return lateAfterThird(crashes, sends)
}

// lateAfterThird returns how many of the sends came later than contact after the third of the
// crashes.
func lateAfterThird(crashes, sends []time.Time) int {
	if len(crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range sends {
		if at.After(crashes[2].Add(contact)) {
			late++
		}
	}
	return late
}

// bystanders sends other requests until stop is closed and counts how many of them
// were served.
type bystanders struct{ sent, served, quarantined atomic.Int64 }

// isQuarantined reports whether a request was rejected because it is quarantined.
func isQuarantined(r CallerResponse) bool {
	return r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, "equal requests crashed")
}

func (by *bystanders) run(e *crashEnvironment, method, path string, stop <-chan struct{}) {
	by.send(e, stop, func(n int) CallerRequest {
		return CallerRequest{Method: method, Path: path, Body: fmt.Sprint("other ", n)}
	})
}

// runEqual is run with requests that are all equal.
func (by *bystanders) runEqual(e *crashEnvironment, path string, stop <-chan struct{}) {
	by.send(e, stop, func(int) CallerRequest { return CallerRequest{Path: path} })
}

func (by *bystanders) send(e *crashEnvironment, stop <-chan struct{}, request func(n int) CallerRequest) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		by.sent.Add(1)
		r := e.Do(e.instance(n), request(n))
		if r.Status == http.StatusOK {
			by.served.Add(1)
		}
		if isQuarantined(r) {
			by.quarantined.Add(1)
		}
	}
}

func (by *bystanders) share() float64 { return float64(by.served.Load()) / float64(by.sent.Load()) }

// repeater repeats a crashing request for a while.
type repeater func(e *crashEnvironment, c CallerRequest, length time.Duration)

// overlapping repeats it every 300 ms without regard to responses.
func overlapping(e *crashEnvironment, c CallerRequest, length time.Duration) {
	e.repeat(c, 300*time.Millisecond, length)
}

// oneByOne repeats it a time after each response.
func oneByOne(every time.Duration) repeater {
	return func(e *crashEnvironment, c CallerRequest, length time.Duration) { e.repeatInTurn(c, every, length) }
}

// repeatBesideOthers repeats a crashing request at four instances in turn, while callers
// send other requests to the same path.
func repeatBesideOthers(t *testing.T, act func(n int64) Act, repeat repeater, path string, callers int, length time.Duration) (late int, by *bystanders) {
	e := startCrashEnvironmentOf(t, act, "a1", "a2", "b1", "b1")
	stop := make(chan struct{})
	by = &bystanders{}
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { by.run(e, http.MethodPost, path, stop) })
	}
	repeat(e, CallerRequest{Method: http.MethodPost, Path: path, Body: crashBody}, length)
	close(stop)
	all.Wait()
	sends := e.sends(crashBody)
	late = e.lateSends(sends)
	t.Logf("%d sends, %d of them late; %.2f of %d other requests were served", len(sends), late, by.share(), by.sent.Load())
	return late, by
}

// TestRepeatedCrashingRequestIsStopped guards against a request that crashes each
// backend server that runs it and reaches backend servers as often as its caller
// repeats it (rule BUDGET).
func TestRepeatedCrashingRequestIsStopped(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			late, by := repeatBesideOthers(t, eachTime(Crash), overlapping, path, 2, 8*time.Second)
			require.LessOrEqual(t, late, maxLateSends)
			require.Zero(t, by.quarantined.Load())
		})
	}
}

// servedBesideSilence is the least share of other requests that is served while backend servers
// fall silent.
const servedBesideSilence = 0.9

// TestSilentlyCrashingRequestIsStopped guards against a request that crashes backend servers,
// which then take connections and answer nothing, and that reaches them as often as it is
// repeated (rule BUDGET); and against other callers who wait there until their timeout.
func TestSilentlyCrashingRequestIsStopped(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			late, by := repeatBesideOthers(t, eachTime(CrashSilently), overlapping, path, 8, 22*time.Second)
			require.LessOrEqual(t, late, maxLateSends)
			require.GreaterOrEqual(t, by.share(), servedBesideSilence)
			require.Zero(t, by.quarantined.Load())
		})
	}
}

// TestFailedResponseKeepsEvidence guards against a crashing request that counts as harmless
// after a backend server has answered it with an error, as some do at its time limit (rule
// BUDGET).
func TestFailedResponseKeepsEvidence(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			thirdFails := func(n int64) Act {
				if n%3 == 0 {
					return Fail
				}
				return Crash
			}
			late, by := repeatBesideOthers(t, thirdFails, oneByOne(1500*time.Millisecond), path, 2, 20*time.Second)
			require.LessOrEqual(t, late, maxLateSends)
			require.Zero(t, by.quarantined.Load())
		})
	}
}

// TestCrashAfterTimeoutIsEvidence guards against a crashing request that waits in the queues
// of backend servers until its callers have given up, crashes them after that, and reaches
// them as often as it is repeated (rule BUDGET).
func TestCrashAfterTimeoutIsEvidence(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			late, by := repeatBesideOthers(t, eachTime(CrashFromQueue), oneByOne(300*time.Millisecond), path, 2, 22*time.Second)
			require.LessOrEqual(t, late, maxLateSends)
			require.Zero(t, by.quarantined.Load())
		})
	}
}

// TestSendsDoNotGrowWithInstances guards against a crashing request that reaches
// backend servers once for each instance, or more often if it is repeated faster.
func TestSendsDoNotGrowWithInstances(t *testing.T) {
	for _, every := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond} {
		for _, zones := range [][]string{{"a1", "b1"}, {"a1", "a1", "a2", "a2", "b1", "b1", "b1", "b1"}} {
			t.Run(fmt.Sprint(every, " at ", len(zones)), func(t *testing.T) {
				t.Parallel()
				e := startCrashEnvironment(t, zones...)
				responses := e.repeat(CallerRequest{Method: http.MethodPost, Path: "/write/x", Body: crashBody}, every, 4*time.Second)
				sends := e.sends(crashBody)
				t.Logf("%d of %d repeats were sent", len(sends), len(responses))
				require.LessOrEqual(t, len(sends), 3+maxLateSends)
				last := responses[len(responses)-1]
				require.True(t, isQuarantined(last), "%d %s", last.Status, last.Body)
				require.NotEmpty(t, last.Header.Get("Retry-After"))
			})
		}
	}
}

// TestSeveralCrashingRequestsThroughRestarts guards against crashing requests that
// come back when instances restart, and against refusing what ran beside them: three
// are repeated at once while all instances are replaced in turn.
func TestSeveralCrashingRequestsThroughRestarts(t *testing.T) {
	t.Parallel()
	e := startCrashEnvironment(t, "a1", "a2", "b1")
	stop := make(chan struct{})
	var reads, writes bystanders
	var all sync.WaitGroup
	all.Go(func() { reads.run(e, http.MethodPost, "/read/x", stop) })
	all.Go(func() { writes.run(e, http.MethodPost, "/write/x", stop) })
	var repeats sync.WaitGroup
	for n := range 3 {
		repeats.Go(func() {
			c := CallerRequest{Method: http.MethodPost, Path: "/write/x", Body: fmt.Sprint(crashBody, n)}
			e.repeat(c, 300*time.Millisecond, 12*time.Second)
		})
	}
	time.Sleep(2 * time.Second)
	for n := range 3 {
		e.replaceInstance(n)
	}
	repeats.Wait()
	close(stop)
	all.Wait()
	t.Logf("served beside them: %.2f of idempotent, %.2f of other requests", reads.share(), writes.share())
	for n := range 3 {
		sends := e.sends(fmt.Sprint(crashBody, n))
		t.Logf("request %d: %d sends", n, len(sends))
		require.LessOrEqual(t, e.lateSends(sends), maxLateSends)
	}
	require.Zero(t, reads.quarantined.Load()+writes.quarantined.Load())
}

// TestCrashesWithAnotherCauseQuarantineNothing guards against refusing requests that
// happened to run at backend servers that crashed for another cause: one at a time,
// and half of them at once, again and again.
func TestCrashesWithAnotherCauseQuarantineNothing(t *testing.T) {
	t.Parallel()
	e := startCrashEnvironment(t, "a1", "a2", "b1")
	stop := make(chan struct{})
	var reads, writes, popular bystanders
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { reads.run(e, http.MethodPost, "/read/x", stop) })
		all.Go(func() { writes.run(e, http.MethodPost, "/write/x", stop) })
		all.Go(func() { popular.runEqual(e, "/read/popular", stop) })
	}
	for n := range 8 {
		time.Sleep(700 * time.Millisecond)
		count := 1
		if n%3 == 2 {
			count = len(e.backends) / 2
		}
		for k := range count {
			e.backends[(n*5+k)%len(e.backends)].Crash()
		}
	}
	close(stop)
	all.Wait()
	t.Logf("served %.2f, %.2f, %.2f", reads.share(), writes.share(), popular.share())
	require.Zero(t, reads.quarantined.Load()+writes.quarantined.Load()+popular.quarantined.Load())
}
