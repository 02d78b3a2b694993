package quarantine

import (
	"context"
	"fmt"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
)

// suspectHold is how long a suspect whose last attempt ended without a response is not sent
// again, so that a crash that shows as silence is known before the next one.
const suspectHold = 5 * time.Second

// Permit allows one attempt of a request. Of a suspect, an instance gives out one
// permit at a time.
type Permit struct {
	guard    *Guard
	released chan struct{}
	request  quarantine.SentRequest
	confined bool
}

// Admit returns the verdict on a request that is about to be sent, and unless the
// request is quarantined, a permit, which the caller must release. While another copy
// of a suspect has a permit, Admit waits for its end, which shows whether the request
// crashes its backend server. If ctx ends before, Admit returns an error. While it is not
// known whether the last copy has crashed its backend server, the error is an
// *UnresolvedError.
func (g *Guard) Admit(ctx context.Context, fp quarantine.Fingerprint) (*Permit, quarantine.Verdict, error) {
	for {
		permit, verdict, busy, err := g.tryAdmit(fp)
		if err != nil || busy == nil {
			return permit, verdict, err
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, verdict, ctx.Err()
		}
	}
}

// tryAdmit is Admit without waiting. If another copy has a permit, it returns a
// channel that is closed when that permit is released.
func (g *Guard) tryAdmit(fp quarantine.Fingerprint) (*Permit, quarantine.Verdict, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &Permit{guard: g, request: quarantine.SentRequest{Fingerprint: fp}}
	verdict := g.machine.Verdict(g.now(), fp)
	switch verdict {
	case quarantine.Quarantined:
		return nil, verdict, nil, nil
	case quarantine.Clear:
		return p, verdict, nil, nil
	}
	if busy := g.isolated[fp]; busy != nil {
		return nil, verdict, busy, nil
	}
	if left := suspectHold - g.now().Sub(g.lastUnanswered(fp)); left > 0 {
		return nil, verdict, nil, &UnresolvedError{Left: left}
	}
	p.request.Isolated, p.released = true, make(chan struct{})
	p.confined = g.machine.ConfinesSuspects(g.now())
	g.isolated[fp] = p.released
	return p, verdict, nil, nil
}

// UnresolvedError tells that a suspect is not sent because its last attempt got no
// response and may have crashed its backend server.
type UnresolvedError struct {
	// Left is how long the request is not sent at the most.
	Left time.Duration
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("an equal request may have crashed its backend server; send the request again after %v", e.Left)
}

// lastUnanswered returns when an attempt of the request last ended without a response
// that is still unexplained; the zero time if none did. g.mu must be held.
func (g *Guard) lastUnanswered(fp quarantine.Fingerprint) time.Time {
	var last time.Time
	for _, b := range g.backends {
		for _, r := range b.unanswered {
			if r.Fingerprint == fp && r.ended.After(last) {
				last = r.ended
			}
		}
	}
	return last
}

// Release ends the permit.
func (p *Permit) Release() {
	if !p.Isolated() {
		return
	}
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	delete(p.guard.isolated, p.request.Fingerprint)
	close(p.released)
}

// Start records that the request is about to be sent to a backend server, whose name
// must differ for each of its incarnations. The caller must end the attempt with Done,
// Inconclusive, Unanswered, Refused or ConnectionLost.
func (p *Permit) Start(backend string) *Attempt {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attemptsAt(backend).start(backend, p.request)
}

// Written records that the request of an attempt is being written to a connection, on
// which the backend server was last known to be up at the time alive.
func (g *Guard) Written(a *Attempt, alive time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.Sent = g.now()
	a.written, a.alive = true, alive
}

// Isolated reports whether the permit is for a suspect.
func (p *Permit) Isolated() bool { return p.request.Isolated }

// Confined reports whether the request may only be sent to the few backend servers for
// suspects, because many requests seem to crash backend servers.
func (p *Permit) Confined() bool { return p.confined }

// Avoid reports whether a backend server has another suspect in flight.
func (p *Permit) Avoid(backend string) bool {
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.backends[backend]
	return b != nil && !g.machine.MayRun(g.now(), p.request.Fingerprint, b.fingerprints())
}

// Evidence returns the verdict on a request and what it is based on.
func (g *Guard) Evidence(fp quarantine.Fingerprint) (quarantine.Verdict, quarantine.Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Verdict(g.now(), fp), g.machine.Evidence(fp)
}

// States returns what is known about the given requests. Requests about which
// nothing is known are left out.
func (g *Guard) States(fps []quarantine.Fingerprint) []quarantine.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	var states []quarantine.Notice
	for _, fp := range fps {
		if n, ok := g.machine.State(fp); ok {
			states = append(states, n)
		}
	}
	return states
}
