// Package quarantine drives the quarantine machine of one instance: it follows
// which requests each owned backend server has in flight, finds out whether a
// lost connection was a crash, and tells other instances what it learnt.
package quarantine

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/filter"
)

const (
	// checkTimeout bounds the dial that tells a crash from a lost connection.
	checkTimeout = 200 * time.Millisecond
	// digestLimit bounds the notices that are told in digest.
	digestLimit = 64
)

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Guard is safe for concurrent use.
type Guard struct {
	instance string
	// tell brings notices to the neighbours in the zone; it must not block.
	tell func([]quarantine.Notice)
	dial dialFunc

	mu       sync.Mutex
	machine  *quarantine.Machine
	backends map[string]*watch
	crashes  uint64
	changed  bool
}

// watch is what one backend server has in flight.
type watch struct {
	sent map[*Attempt]struct{}
}

// Attempt is one request at one backend server.
type Attempt struct {
	quarantine.SentRequest
	backend string
	// counted is set once the use was part of a crash.
	counted bool
}

// NewGuard returns the guard of an instance. dial opens connections for checks,
// nil is a plain TCP dialer; tell brings notices to the neighbours in the zone
// and must not block.
func NewGuard(instance string, dial dialFunc, tell func([]quarantine.Notice)) *Guard {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Guard{
		instance: instance, tell: tell, dial: dial, machine: quarantine.New(quarantine.Config{}), backends: map[string]*watch{},
	}
}

// Fingerprint returns the fingerprint of a request.
func Fingerprint(r *filter.Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Service.Name, r.Method, r.Path, r.Body)
}

// Quarantined reports whether the request must not run.
func (g *Guard) Quarantined(fp quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Verdict(time.Now(), fp) == quarantine.Quarantined
}

// StartAttempt notes that the request is about to be sent to a backend server. ok is
// false if it may not be sent there now.
func (g *Guard) StartAttempt(backend string, fp quarantine.Fingerprint) (u *Attempt, ok bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.backends[backend]
	if w == nil {
		w = &watch{sent: map[*Attempt]struct{}{}}
		g.backends[backend] = w
	}
	verdict := g.machine.Verdict(now, fp)
	if verdict == quarantine.Quarantined || !g.machine.MayRun(now, fp, w.fingerprints()) {
		return nil, false
	}
	u = &Attempt{SentRequest: quarantine.SentRequest{Fingerprint: fp, Isolated: verdict == quarantine.Suspect}, backend: backend}
	w.sent[u] = struct{}{}
	return u, true
}

func (w *watch) fingerprints() []quarantine.Fingerprint {
	out := make([]quarantine.Fingerprint, 0, len(w.sent))
	for u := range w.sent {
		out = append(out, u.Fingerprint)
	}
	return out
}

// Done notes that the backend server ran the request to its end.
func (g *Guard) Done(u *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leave(u)
	g.step(quarantine.Completed{Fingerprint: u.Fingerprint})
}

// Inconclusive notes that the request ended without telling anything.
func (g *Guard) Inconclusive(u *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leave(u)
}

// ConnectionLost notes that the connection broke while the backend server had the
// request. It finds out whether the backend server went down, and returns once
// that is known, so that a further attempt is judged by it.
func (g *Guard) ConnectionLost(ctx context.Context, u *Attempt, addr string) {
	down := g.isDown(ctx, addr)
	g.mu.Lock()
	defer g.mu.Unlock()
	if down && !u.counted {
		g.crash(u.backend)
	}
	g.leave(u)
}

// isDown reports whether nothing listens at the address any more.
func (g *Guard) isDown(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	conn, err := g.dial(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// crash counts one crash for all that the backend server had in flight.
func (g *Guard) crash(backend string) {
	g.crashes++
	c := quarantine.Crash{Incident: quarantine.IncidentOf(g.instance, backend, g.crashes)}
	for u := range g.backends[backend].sent {
		if !u.counted {
			u.counted = true
			c.InFlight = append(c.InFlight, u.SentRequest)
		}
	}
	g.step(c)
}

func (g *Guard) leave(u *Attempt) {
	w := g.backends[u.backend]
	delete(w.sent, u)
	if len(w.sent) == 0 {
		delete(g.backends, u.backend)
	}
}

func (g *Guard) step(ev quarantine.Event) {
	var notices []quarantine.Notice
	for _, t := range g.machine.Step(time.Now(), ev) {
		notices = append(notices, t.Notice)
	}
	if len(notices) > 0 {
		g.changed = true
		g.tell(notices)
	}
}

// MergeNotices takes notices of other instances.
func (g *Guard) MergeNotices(notices []quarantine.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range notices {
		g.machine.Step(time.Now(), quarantine.NoticeReceived{Notice: n})
	}
}

// Notice returns what is known of a request that is not clear: it travels with
// the request, so that the next instance judges it by what the last one saw.
func (g *Guard) Notice(fp quarantine.Fingerprint) []quarantine.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n, ok := g.machine.Notice(time.Now(), fp); ok {
		return []quarantine.Notice{n}
	}
	return nil
}

// Tick lets time pass.
func (g *Guard) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Step(time.Now(), quarantine.Tick{})
}

// Digest returns what other zones are to know; changed is false if this
// instance learnt nothing new since the last call.
func (g *Guard) Digest() (notices []quarantine.Notice, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.changed {
		return nil, false
	}
	g.changed = false
	return g.machine.Digest(digestLimit), true
}
