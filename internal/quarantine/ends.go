package quarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
)

// checkTimeout is the timeout of the dial that distinguishes a crash from a lost
// connection.
const checkTimeout = 200 * time.Millisecond

// Done records that the backend server completed the request. A response that tells of a
// failure does not show that the request is harmless: backend servers end runs at their
// time limit with one.
func (g *Guard) Done(a *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeAttempt(a)
	g.step(quarantine.Completed{Fingerprint: a.Fingerprint})
}

// Inconclusive records that the attempt has ended, that the request is not running any
// more, and that nothing shows whether it crashes backend servers.
func (g *Guard) Inconclusive(a *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeAttempt(a)
}

// Unanswered records that the attempt ended before the backend server had responded. If
// the backend server turns out to have crashed, that counts for the request.
func (g *Guard) Unanswered(a *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !a.crashCounted {
		g.keepUnanswered(a)
	}
	g.removeAttempt(a)
}

// keepUnanswered notes an attempt that got no response. g.mu must be held.
func (g *Guard) keepUnanswered(a *Attempt) {
	b := g.backends[a.backend]
	b.keepUnanswered(a.silentRun(), g.now())
	if b.lapsed {
		g.recordCrash(a.backend, CauseLapsed)
	}
}

// Refused records that the address of the backend server refused the connection for an
// attempt, which was not sent. The backend server has crashed.
func (g *Guard) Refused(a *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeAttempt(a)
	g.recordCrash(a.backend, CauseRefused)
}

// Restarted records that another incarnation has taken the place of the named backend
// server without having been announced.
func (g *Guard) Restarted(backend string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordCrash(backend, CauseRestarted)
}

// Lapsed records that the named backend server has stopped its heartbeats without having
// announced that it leaves. That counts as a crash for requests without a response: those
// of ended attempts, those of attempts that end so later, and suspects in flight. A
// suspect that completes after all is clear again.
func (g *Guard) Lapsed(backend string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b := g.backends[backend]; b != nil {
		b.lapsed = true
		g.recordCrash(backend, CauseLapsed)
	}
}

// ConnectionLost records that the connection was lost while the backend server
// had the request. It checks whether the backend server has crashed, and returns
// after the check, so that the verdict for a retry takes the crash into account. It
// reports whether the backend server has crashed.
func (g *Guard) ConnectionLost(ctx context.Context, a *Attempt, addr string) bool {
	down := g.crashWasCounted(a) || IsDown(ctx, g.dial, addr)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case a.crashCounted:
	case down:
		g.recordCrash(a.backend, CauseRefused)
	case g.sharedBackends:
		// The backend server may have crashed and be back, or be silent.
		g.keepUnanswered(a)
	}
	g.removeAttempt(a)
	return down
}

// crashWasCounted reports whether a crash was recorded while the attempt was in flight.
func (g *Guard) crashWasCounted(a *Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.crashCounted
}

// IsDown reports whether the address refuses connections, which distinguishes the
// crash of a backend server from a lost connection. A timeout or another error does
// not count as down. IsDown also checks if ctx has ended.
func IsDown(ctx context.Context, dial DialFunc, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// recordCrash records one crash for all requests that the backend server may have been
// running and that were not part of an earlier crash. g.mu must be held.
func (g *Guard) recordCrash(backend string, cause CrashCause) {
	b := g.backends[backend]
	if b == nil {
		return
	}
	b.expireUnanswered(g.now())
	c := quarantine.Crash{InFlight: b.takeRequests(cause)}
	g.dropIfIdle(backend)
	if len(c.InFlight) == 0 {
		return
	}
	c.Incident = g.nextIncident(backend)
	g.observer.CrashNoticed(Crash{Backend: backend, Cause: cause, Requests: fingerprintsOf(c.InFlight)})
	g.step(c)
}

func fingerprintsOf(requests []quarantine.SentRequest) []quarantine.Fingerprint {
	fps := make([]quarantine.Fingerprint, len(requests))
	for i, r := range requests {
		fps[i] = r.Fingerprint
	}
	return fps
}

// nextIncident returns the incident for a crash of a backend server that was just
// detected. g.mu must be held.
func (g *Guard) nextIncident(backend string) quarantine.Incident {
	if g.sharedBackends {
		// The name of the backend server belongs to one incarnation, so that all
		// instances derive the same incident from it.
		return quarantine.IncidentOf("", backend, 0)
	}
	g.crashes++
	return quarantine.IncidentOf(g.instance, backend, g.crashes)
}

// removeAttempt removes an attempt that has ended. g.mu must be held.
func (g *Guard) removeAttempt(a *Attempt) {
	delete(g.backends[a.backend].attempts, a)
	g.dropIfIdle(a.backend)
}

// dropIfIdle forgets a backend server that runs no request. g.mu must be held.
func (g *Guard) dropIfIdle(backend string) {
	if b := g.backends[backend]; len(b.attempts) == 0 && len(b.unanswered) == 0 {
		delete(g.backends, backend)
	}
}
