package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/wait"
)

const (
	// crashDowntime is how long a backend server is down after a crash.
	crashDowntime = time.Second
	// crashMarker is the part of the path by which backend servers know requests that
	// crash them.
	crashMarker = "/crash-"
	// crashSilently and crashFromQueue are the ends of such paths if the crash shows as
	// silence, or comes after crashQueueWait, which is longer than callers wait.
	crashSilently  = "/silent"
	crashFromQueue = "/queue"
	crashQueueWait = callerTimeout + 300*time.Millisecond
	// unseenCrashSlowdown is how much slower such requests are repeated, so that repeats
	// go on for longer than crashContact.
	unseenCrashSlowdown = 3
	// crashContact is the time after the third crash from which on sends of such requests
	// count, of which maxLateCrashSends are allowed.
	crashContact      = 4 * time.Second
	maxLateCrashSends = 3
	// crashRepeats is how often such a request is sent, and crashRequests how many
	// of them are sent in a run, on the mean one in crashRequestInterval.
	crashRepeats         = 20
	crashRequests        = 6
	crashRequestInterval = 1500 * time.Millisecond
	// maxCrashSends is the largest number of sends of one crashing request while there
	// are only planned operations: three until it is known, and three that were on
	// their way.
	maxCrashSends = 6
	// maxCrashSendsPerProcess is the largest number at each process that has to find
	// out by itself, because faults keep it from the others.
	maxCrashSendsPerProcess = 5
	// quarantineText is in the responses to quarantined requests.
	quarantineText = "equal requests crashed"
)

func crashesBackends(path string) bool { return strings.Contains(path, crashMarker) }

// crashAct returns how a backend server treats a request: crashing ones in one of three
// ways, which their path names.
func crashAct(a *registered.Arrival) registered.Act {
	switch {
	case !crashesBackends(a.Target):
		return registered.Run
	case strings.HasSuffix(a.Target, crashSilently):
		return registered.CrashSilently
	case strings.HasSuffix(a.Target, crashFromQueue):
		return registered.CrashFromQueue
	}
	return registered.Crash
}

// sendCrashing sends requests that crash backend servers until ctx is done. Each is
// repeated at random instances.
func (c *callerGroup) sendCrashing(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, crashRequests))
	var all sync.WaitGroup
	for n := range crashRequests {
		wait.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(crashRequestInterval)))
		if ctx.Err() != nil {
			break
		}
		repeatRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		all.Go(func() { c.repeatCrashing(ctx, n, repeatRNG) })
	}
	all.Wait()
}

// repeatCrashing sends one crashing request again and again, each time with a new ID
// and without waiting for the responses.
func (c *callerGroup) repeatCrashing(ctx context.Context, n int, rng *rand.Rand) {
	method, path := http.MethodGet, fmt.Sprintf("/read%s%d", crashMarker, n)
	if rng.IntN(2) == 0 {
		method, path = http.MethodPost, fmt.Sprintf("/write%s%d", crashMarker, n)
	}
	every := randomDuration(rng, 300*time.Millisecond)
	if end := []string{"", crashSilently, crashFromQueue}[n%3]; end != "" {
		path += end
		every *= unseenCrashSlowdown
	}
	var all sync.WaitGroup
	for range crashRepeats {
		if ctx.Err() != nil {
			break
		}
		r := record{id: c.nextID(), method: method, path: path, instance: c.environment.anyInstance(rng).address(callerPort)}
		all.Go(func() { c.sendOnce(r) })
		wait.Sleep(ctx, every)
	}
	all.Wait()
}

// sendOnce sends a request on a connection of its own and records its outcome.
func (c *callerGroup) sendOnce(r record) {
	r.sent = time.Now()
	conn, err := net.DialTimeout("tcp", r.instance, connectTimeout)
	if err == nil {
		defer func() { _ = conn.Close() }()
		one := &caller{callerGroup: c, conn: conn, reader: bufio.NewReader(conn)}
		_ = conn.SetDeadline(time.Now().Add(callerTimeout + time.Second))
		if _, err = io.WriteString(conn, formatRequest(r, "crashing")); err == nil {
			_, err = one.readResponse(&r)
		}
	}
	r.latency, r.err = time.Since(r.sent), err
	c.addRecord(r)
}

// crashViolations returns the guarantees about crashing requests that were violated.
func crashViolations(e *environment, records []record, faultsBegin time.Time) []string {
	var violations []string
	sends, lastRepeat := map[string][]time.Time{}, map[string]time.Time{}
	for id, arrivals := range e.arrivals() {
		for _, a := range arrivals {
			if crashesBackends(a.Target) && id != "" {
				sends[a.Target] = append(sends[a.Target], a.At)
			}
		}
	}
	for _, r := range records {
		if crashesBackends(r.path) && r.sent.After(lastRepeat[r.path]) {
			lastRepeat[r.path] = r.sent
		}
		if !crashesBackends(r.path) && strings.Contains(r.response, quarantineText) {
			violations = append(violations, fmt.Sprintf("%s (%s) was quarantined but crashes no backend server", r.id, r.path))
		}
	}
	for path, times := range sends {
		n, limit, limitPerProcess := len(times), maxCrashSends, maxCrashSendsPerProcess
		if crashIsUnseen(path) {
			n, limit, limitPerProcess = lateCrashSends(times), maxLateCrashSends, maxLateCrashSends
		}
		if !lastRepeat[path].Before(faultsBegin) {
			limit = limitPerProcess * e.starts
		}
		if n > limit {
			violations = append(violations, fmt.Sprintf("%s reached backend servers %d times, at most %d are allowed", path, n, limit))
		}
	}
	return violations
}

// crashIsUnseen reports whether the crashes of a request show as silence, or come after its
// callers have given up.
func crashIsUnseen(path string) bool {
	return strings.HasSuffix(path, crashSilently) || strings.HasSuffix(path, crashFromQueue)
}

// lateCrashSends counts the sends later than crashContact after the third crash. A crash
// comes crashQueueWait after the send at the latest.
func lateCrashSends(sends []time.Time) int {
	if len(sends) < 3 {
		return 0
	}
	slices.SortFunc(sends, time.Time.Compare)
	counted := sends[2].Add(crashQueueWait + crashContact)
	return len(slices.DeleteFunc(slices.Clone(sends), func(at time.Time) bool { return !at.After(counted) }))
}
