// Package reach concludes from an instance's own connections whether the instance reaches the
// backend servers at all. Where new connections to several backend servers of several zones
// fail, or many requests wait, and no response comes in between, the instance is cut off, not
// they.
//
// Machine is a pure state machine and not safe for concurrent use.
package reach

import "time"

const (
	// enoughBackends and enoughZones are how many backend servers, in how many zones, must have
	// failed. Where fewer are known, all of them must. A few may have crashed together.
	enoughBackends = 6
	enoughZones    = 2
	// doubtfulBackends is how many of them are reason to probe others.
	doubtfulBackends = 2
	// silentBackends is at how many of them requests must wait while none responds.
	silentBackends = 3
	// failureLifetime is how long a failed connection counts.
	failureLifetime = 3 * time.Second
	// probeTime is how long backend servers that are probed have to respond before failures
	// show an isolation. Many may have crashed at the same moment.
	probeTime = 500 * time.Millisecond
	// silenceTime is how long requests must have waited at so many backend servers, without a
	// response from any, to show the same as failures.
	silenceTime = 1500 * time.Millisecond
	// openLifetime is how long after a response open connections count as working while new
	// ones fail.
	openLifetime = time.Second
)

// Known counts the backend servers that an instance knows, and their zones.
type Known struct{ Backends, Zones int }

// failure is a failed connection to a backend server.
type failure struct {
	zone string
	// at is when the first of successive failures was, last when the newest was.
	at, last time.Time
	// conclusive is set if the backend server was not reached. It is not if a request ended
	// without a response: the backend server may have lost it.
	conclusive bool
}

// Waiting is a request that waits for its response.
type Waiting struct {
	Backend, Zone string
	Sent          time.Time
}

// Change is the beginning or the end of an isolation.
type Change struct {
	Isolated bool
	// Silent is set if requests that wait showed the isolation, and not failures.
	Silent bool
	// Since is when the isolation began: the first of the failures that showed it.
	Since time.Time
	// Backends and Zones are how many backend servers and zones had failed.
	Backends, Zones int
	// LastResponse is when a backend server last responded; zero if none has.
	LastResponse time.Time
}

// Machine holds what the connections of one instance have shown.
type Machine struct {
	// failures maps backend servers to the first of their failures since a new connection
	// worked.
	failures     map[string]failure
	lastResponse time.Time
	// doubtfulSince is when enough connections had failed to probe others; zero while others
	// need no probes.
	doubtfulSince time.Time
	// isolatedSince is zero while the instance is not isolated.
	isolatedSince time.Time
}

// New returns a Machine without failures.
func New() *Machine { return &Machine{failures: map[string]failure{}} }

// Lost records that a request ended without a response on a new connection. That is a reason
// to probe others, and shows nothing by itself. It returns true if probes are due at once.
func (m *Machine) Lost(backend, zone string, known Known, now time.Time) (probe bool) {
	if _, ok := m.failures[backend]; !ok {
		m.failures[backend] = failure{zone: zone, at: now, last: now}
	}
	return m.doubt(known, now)
}

// Failed records that a new connection to a backend server could not be opened, or that a
// probe of it failed. It returns true if probes are due at once.
func (m *Machine) Failed(backend, zone string, known Known, now time.Time) (probe bool) {
	f := m.failures[backend]
	if !f.conclusive {
		f = failure{zone: zone, at: now, conclusive: true}
	}
	f.last = now
	m.failures[backend] = f
	return m.doubt(known, now)
}

// doubt updates whether others are probed, and returns true if that begins.
func (m *Machine) doubt(known Known, now time.Time) (begins bool) {
	n := 0
	for _, f := range m.failures {
		if now.Sub(f.at) <= failureLifetime {
			n++
		}
	}
	if m.Isolated() || n < min(doubtfulBackends, max(1, known.Backends)) {
		m.doubtfulSince = time.Time{}
		return false
	}
	if !m.doubtfulSince.IsZero() {
		return false
	}
	m.doubtfulSince = now
	return true
}

// Doubtful reports whether others should be probed, because connections failed and none has
// brought a response since.
func (m *Machine) Doubtful() bool { return !m.doubtfulSince.IsZero() }

// LastFailure returns when a backend server was last not reached; zero if the newest connection
// to it reached it.
func (m *Machine) LastFailure(backend string) time.Time {
	if f := m.failures[backend]; f.conclusive {
		return f.last
	}
	return time.Time{}
}

// forget drops the failures that are too old to count. Those of an isolated instance stay: they
// tell which backend servers have been probed.
func (m *Machine) forget(known Known, now time.Time) {
	if m.Isolated() {
		return
	}
	for id, f := range m.failures {
		if now.Sub(f.at) > failureLifetime {
			delete(m.failures, id)
		}
	}
	m.doubt(known, now)
}

// Check looks at the failures, and at the requests that wait for their responses. It returns the
// change if they show an isolation.
func (m *Machine) Check(waiting []Waiting, known Known, now time.Time) (Change, bool) {
	m.forget(known, now)
	if m.Doubtful() && now.Sub(m.doubtfulSince) >= probeTime {
		if change, changed := m.isolate(m.failures, enoughBackends, known, now); changed {
			return change, true
		}
	}
	if now.Sub(m.lastResponse) < silenceTime {
		return Change{}, false
	}
	silent := map[string]failure{}
	for _, w := range waiting {
		first, seen := silent[w.Backend]
		if now.Sub(w.Sent) >= silenceTime && (!seen || w.Sent.Before(first.at)) {
			silent[w.Backend] = failure{zone: w.Zone, at: w.Sent, conclusive: true}
		}
	}
	change, changed := m.isolate(silent, silentBackends, known, now)
	change.Silent = changed
	return change, changed
}

// isolate begins an isolation if the failures are of enough backend servers and zones.
func (m *Machine) isolate(failures map[string]failure, enough int, known Known, now time.Time) (Change, bool) {
	zones, since, n := map[string]bool{}, now, 0
	for _, f := range failures {
		if !f.conclusive {
			continue
		}
		n++
		zones[f.zone] = true
		if f.at.Before(since) {
			since = f.at
		}
	}
	if m.Isolated() || n == 0 || n < min(enough, known.Backends) || len(zones) < min(enoughZones, known.Zones) {
		return Change{}, false
	}
	m.isolatedSince, m.doubtfulSince = since, time.Time{}
	return Change{Isolated: true, Since: since, Backends: n, Zones: len(zones), LastResponse: m.lastResponse}, true
}

// Reached records that a response arrived on a new connection. It returns the change if that
// ends an isolation.
func (m *Machine) Reached(now time.Time) (Change, bool) {
	since, before := m.isolatedSince, m.lastResponse
	clear(m.failures)
	m.isolatedSince, m.doubtfulSince, m.lastResponse = time.Time{}, time.Time{}, now
	return Change{Since: since, LastResponse: before}, !since.IsZero()
}

// Responded records that a response arrived on a connection that had been open.
func (m *Machine) Responded(now time.Time) { m.lastResponse = now }

// Isolated reports whether new connections fail everywhere.
func (m *Machine) Isolated() bool { return !m.isolatedSince.IsZero() }

// OpenWork reports whether open connections work as far as is known.
func (m *Machine) OpenWork(now time.Time) bool { return now.Sub(m.lastResponse) < openLifetime }
