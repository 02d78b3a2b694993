// Package quarantine drives the quarantine machine of one instance. It tracks
// the requests that each owned backend server has in flight, checks whether a
// lost connection was caused by a crash, and sends notices of changed verdicts
// to other instances.
package quarantine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/filter"
)

const (
	// digestLimit is the largest number of notices in a digest.
	digestLimit = 64
	// maxSharedEntries is the largest number of requests that a guard of shared
	// backend servers knows something about. An entry has up to 1 KB.
	maxSharedEntries = 1024
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Guard decides which requests may be sent to the backend servers of one
// instance, and records crashes. It is safe for concurrent use.
type Guard struct {
	// instance is the id of this instance.
	instance string
	// sendNotices sends notices to the other instances of the zone. It must not
	// block.
	sendNotices func([]quarantine.Notice)
	dial        DialFunc
	now         func() time.Time
	observer    Observer

	// mu guards the fields below.
	mu      sync.Mutex
	machine *quarantine.Machine
	// backends holds the backend servers that have attempts in flight, by name.
	backends map[string]*backendAttempts
	// sharedBackends is set if other instances send to the same backend servers.
	sharedBackends bool
	// crashes counts the crashes seen by this instance. It makes the id of each
	// incident unique.
	crashes uint64
	// isolated maps each suspect that has a Permit to a channel that is closed when
	// the permit is released.
	isolated map[quarantine.Fingerprint]chan struct{}
	// changed is set if the machine returned a notice since the last Digest.
	changed bool
}

// NewGuard returns the guard of an instance. dial opens the connections for crash
// checks. sendNotices sends notices to the
// other instances of the zone and must not block.
func NewGuard(instance string, dial DialFunc, sendNotices func([]quarantine.Notice)) *Guard {
	return &Guard{
		instance: instance, sendNotices: sendNotices, dial: dial, now: time.Now, observer: noObserver{}, machine: quarantine.New(quarantine.Config{}),
		backends: map[string]*backendAttempts{}, isolated: map[quarantine.Fingerprint]chan struct{}{},
	}
}

// NewSharedGuard returns the guard of an instance whose backend servers also get
// requests from other instances. Its attempts begin with Admit. dial opens the connections
// for crash checks. sendNotices gets notices to share with these instances. It must neither
// block nor call the guard.
func NewSharedGuard(dial DialFunc, sendNotices func([]quarantine.Notice), observer Observer) *Guard {
	g := NewGuard("", dial, sendNotices)
	g.machine = quarantine.New(quarantine.Config{SharedBackends: true, MaxEntries: maxSharedEntries})
	g.observer, g.sharedBackends = observer, true
	return g
}

// Fingerprint returns the fingerprint of a request.
func Fingerprint(r *filter.Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Service.Name, r.Method, r.Path, r.Body)
}

// Quarantined reports whether requests with the fingerprint must not run.
func (g *Guard) Quarantined(fp quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Verdict(g.now(), fp) == quarantine.Quarantined
}

// StartAttempt records that a request is about to be sent to a backend server. ok
// is false if the request may not be sent to this backend server now. If ok is
// true, the caller must end the attempt with Done, Inconclusive or
// ConnectionLost.
func (g *Guard) StartAttempt(backend string, fp quarantine.Fingerprint) (a *Attempt, ok bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.attemptsAt(backend)
	verdict := g.machine.Verdict(now, fp)
	if verdict == quarantine.Quarantined || !g.machine.MayRun(now, fp, b.fingerprints()) {
		return nil, false
	}
	a = b.start(backend, quarantine.SentRequest{Fingerprint: fp, Isolated: verdict == quarantine.Suspect, Sent: now})
	a.written, a.alive = true, now
	return a, true
}

// attemptsAt returns the attempts at a backend server. g.mu must be held.
func (g *Guard) attemptsAt(backend string) *backendAttempts {
	b := g.backends[backend]
	if b == nil {
		b = &backendAttempts{attempts: map[*Attempt]struct{}{}}
		g.backends[backend] = b
	}
	return b
}

// step passes the machine an event and sends the resulting notices. g.mu must be
// held.
func (g *Guard) step(ev quarantine.Event) {
	var notices []quarantine.Notice
	for _, send := range g.machine.Step(g.now(), ev) {
		notices = append(notices, send.Notice)
	}
	if len(notices) > 0 {
		g.changed = true
		g.sendNotices(notices)
	}
	g.reportChanges()
}

// reportChanges passes the changes of verdicts to the observer. g.mu must be held.
func (g *Guard) reportChanges() {
	for _, c := range g.machine.TakeChanges() {
		g.observer.VerdictChanged(c)
	}
}

// MergeNotices merges notices from other instances.
func (g *Guard) MergeNotices(notices []quarantine.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Step(g.now(), quarantine.NoticesReceived{Notices: notices})
	g.reportChanges()
}

// Notice returns the notice about a request that is suspect or quarantined, or
// nil. The notice is forwarded with the request, so that the next instance has
// the same information.
func (g *Guard) Notice(fp quarantine.Fingerprint) []quarantine.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n, ok := g.machine.Notice(g.now(), fp); ok {
		return []quarantine.Notice{n}
	}
	return nil
}

// Tick removes what has expired.
func (g *Guard) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for name, b := range g.backends {
		b.expireUnanswered(now)
		g.dropIfIdle(name)
	}
	g.machine.Step(now, quarantine.Tick{})
	g.reportChanges()
}

// Digest returns the notices for other zones. changed is false, and notices is
// nil, if the machine returned no notice since the last call.
func (g *Guard) Digest() (notices []quarantine.Notice, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.changed {
		return nil, false
	}
	g.changed = false
	return g.machine.Digest(digestLimit), true
}
