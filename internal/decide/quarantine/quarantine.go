// Package quarantine finds requests that bring down the backend servers which
// run them, and keeps them from running again.
//
// When a backend server goes down, each request that it had in flight becomes
// a suspect. Suspects are sent apart from each other, see Machine.MayRun, and
// one that was sent so and goes down with its backend server again is
// quarantined. Copies that were sent before the request was a suspect tell
// nothing new. Where several suspects go down together each only gains a
// strike, and one more is asked for. A request that ends well is no suspect any
// more.
//
// Machine is a pure state machine: events and the time go in, actions come
// out.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Defaults of a Config.
const (
	DefaultSuspectTTL = 10 * time.Minute
	DefaultQuarantineTTL        = time.Hour
	DefaultMaxEntries = 4096
)

// Strikes that a request is quarantined at.
const (
	// strikesAlone is for one that was the only suspect of its last crash.
	strikesAlone = 2
	// strikesTogether is for one of several.
	strikesTogether = 3
)

// Fingerprint identifies a request apart from its idempotency key.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request: its service, method,
// path with the query, and body.
func FingerprintOf(service, method, path string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, text := range []string{service, method, path} {
		// A digest never fails to write.
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Incident names one crash of one backend server, in the whole estate.
type Incident uint64

// IncidentOf returns the name of a backend server's n-th crash that an
// instance has seen.
func IncidentOf(instance, backend string, n uint64) Incident {
	d := xxhash.New()
	_, _ = d.WriteString(instance)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(backend)
	for range 8 {
		_, _ = d.Write([]byte{byte(n)})
		n >>= 8
	}
	return Incident(d.Sum64())
}

// Verdict says how a request may run.
type Verdict uint8

// Verdicts.
const (
	// Clear requests run as any other.
	Clear Verdict = iota
	// Suspect requests run apart from other suspects.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// String returns the verdict as it stands in logs.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[v]
}

// RejectionError returns the final answer to a quarantined request.
func RejectionError() *outcome.Error {
	return outcome.RejectedError(outcome.KindQuarantined,
		"do not send it again as it is; report it to the operators of the service",
		"requests like this one have brought down the backend servers that ran them")
}

// Notice is what instances tell each other of a request. Notices may come
// late, in any order and more than once.
type Notice struct {
	Fingerprint Fingerprint
	// Incidents holds the strikes, sorted.
	Incidents   []Incident
	Quarantined bool
	// Cleared takes the strikes back; Incidents is empty then.
	Cleared bool
	Expiry  time.Time
}

// Event is what a Machine reacts to.
type Event interface{ event() }

// Crash reports that a backend server went down: new connections to it are
// refused, or all were lost together. One lost connection is no crash.
type Crash struct {
	Incident Incident
	// InFlight holds the requests that were lost with it.
	InFlight []SentRequest
}

// SentRequest is a request as it was sent to a backend server.
type SentRequest struct {
	Fingerprint Fingerprint
	// Isolated is set when its verdict was Suspect at that time.
	Isolated bool
}

// Completed reports that a backend server ran the request to its end.
type Completed struct{ Fingerprint Fingerprint }

// NoticeReceived is a notice from another instance.
type NoticeReceived struct{ Notice Notice }

// Tick lets time pass.
type Tick struct{}

func (Crash) event()    {}
func (Completed) event() {}
func (NoticeReceived) event()    {}
func (Tick) event()     {}

// SendNotice asks the driver to send a notice to the neighbours in the zone at once.
// Other zones get it with the next Digest.
type SendNotice struct{ Notice Notice }

// Config holds the settings of a Machine; zero fields take their defaults.
type Config struct {
	// SuspectTTL is how long a strike counts.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a request stays quarantined.
	QuarantineTTL time.Duration
	// MaxEntries bounds the requests in memory. The one that expires first
	// goes first, suspects before quarantined ones.
	MaxEntries int
}

// Machine is the state machine of one instance. It is not safe for concurrent
// use.
type Machine struct {
	cfg     Config
	entries map[Fingerprint]*entry
}

type entry struct {
	// incidents is sorted and has 1 to strikesTogether elements, or none for a
	// request that was heard of as quarantined.
	incidents   []Incident
	quarantined bool
	expiry      time.Time
}

// New returns a machine that suspects nothing.
func New(cfg Config) *Machine {
	cfg.SuspectTTL = cmp.Or(cfg.SuspectTTL, DefaultSuspectTTL)
	cfg.QuarantineTTL = cmp.Or(cfg.QuarantineTTL, DefaultQuarantineTTL)
	cfg.MaxEntries = cmp.Or(cfg.MaxEntries, DefaultMaxEntries)
	return &Machine{cfg: cfg, entries: map[Fingerprint]*entry{}}
}

// Verdict returns how the request may run.
func (m *Machine) Verdict(now time.Time, fp Fingerprint) Verdict {
	e := m.entries[fp]
	switch {
	case e == nil || !e.expiry.After(now):
		return Clear
	case e.quarantined:
		return Quarantined
	}
	return Suspect
}

// MayRun reports whether the request may be sent to a backend server that has
// others in flight: a suspect only where no other suspect is.
func (m *Machine) MayRun(now time.Time, fp Fingerprint, inFlight []Fingerprint) bool {
	switch m.Verdict(now, fp) {
	case Clear:
		return true
	case Quarantined:
		return false
	}
	return !slices.ContainsFunc(inFlight, func(o Fingerprint) bool {
		return m.Verdict(now, o) == Suspect
	})
}

// Step handles one event and returns what is to be told, in order.
func (m *Machine) Step(now time.Time, ev Event) []SendNotice {
	m.expire(now)
	switch e := ev.(type) {
	case Crash:
		return m.crash(now, e)
	case Completed:
		return m.survived(now, e.Fingerprint)
	case NoticeReceived:
		m.hear(now, e.Notice)
	}
	return nil
}

// Digest returns up to limit notices for instances that were not told: the
// quarantined requests first, then those that expire last.
func (m *Machine) Digest(limit int) []Notice {
	order := m.byWorth()
	slices.Reverse(order)
	var digest []Notice
	for _, fp := range order[:min(limit, len(order))] {
		digest = append(digest, m.notice(fp))
	}
	return digest
}

// Notice returns what is known of a request that is not clear, to be told
// together with the request itself.
func (m *Machine) Notice(now time.Time, fp Fingerprint) (n Notice, ok bool) {
	if m.Verdict(now, fp) == Clear {
		return Notice{}, false
	}
	return m.notice(fp), true
}

func (m *Machine) notice(fp Fingerprint) Notice {
	e := m.entries[fp]
	return Notice{Fingerprint: fp, Incidents: slices.Clone(e.incidents), Quarantined: e.quarantined, Expiry: e.expiry}
}

// crash gives strikes. A suspect that was sent apart explains the crash, and
// so does a quarantined request that was sent before it was known; the others
// stay as they are then.
func (m *Machine) crash(now time.Time, c Crash) []SendNotice {
	var apart, clear []Fingerprint
	for _, s := range c.InFlight {
		switch v := m.Verdict(now, s.Fingerprint); {
		case v == Quarantined:
			return nil
		case v == Clear:
			clear = append(clear, s.Fingerprint)
		case s.Isolated:
			apart = append(apart, s.Fingerprint)
		}
	}
	struck, need := sorted(apart), strikesAlone
	switch len(struck) {
	case 0:
		struck = sorted(clear)
	case 1:
	default:
		need = strikesTogether
	}
	var tell []SendNotice
	for _, fp := range struck {
		m.strike(now, fp, []Incident{c.Incident}, now.Add(m.cfg.SuspectTTL))
		m.convict(now, fp, need)
	}
	m.evict()
	for _, fp := range struck {
		if m.entries[fp] != nil {
			tell = append(tell, SendNotice{Notice: m.notice(fp)})
		}
	}
	return tell
}

func sorted(fps []Fingerprint) []Fingerprint {
	slices.Sort(fps)
	return slices.Compact(fps)
}

// strike adds incidents to a request; an incident counts once.
func (m *Machine) strike(now time.Time, fp Fingerprint, incidents []Incident, expiry time.Time) {
	e := m.entries[fp]
	if e == nil {
		e = &entry{}
		m.entries[fp] = e
	}
	e.incidents = append(e.incidents, incidents...)
	slices.Sort(e.incidents)
	e.incidents = slices.Compact(e.incidents)
	if len(e.incidents) > strikesTogether {
		e.incidents = e.incidents[:strikesTogether]
	}
	if expiry.After(e.expiry) {
		e.expiry = expiry
	}
}

// convict quarantines a request that has the strikes.
func (m *Machine) convict(now time.Time, fp Fingerprint, need int) {
	e := m.entries[fp]
	if !e.quarantined && len(e.incidents) >= need {
		e.quarantined = true
		e.expiry = now.Add(m.cfg.QuarantineTTL)
	}
}

func (m *Machine) survived(now time.Time, fp Fingerprint) []SendNotice {
	e := m.entries[fp]
	if e == nil {
		return nil
	}
	delete(m.entries, fp)
	return []SendNotice{{Notice: Notice{Fingerprint: fp, Cleared: true, Expiry: e.expiry}}}
}

// hear merges a notice. Strikes that others gave convict nobody by themselves:
// they can stem from copies that were in flight at the same time. Expiries are bounded, since clocks differ and notices
// can be wrong.
func (m *Machine) hear(now time.Time, n Notice) {
	if n.Cleared {
		delete(m.entries, n.Fingerprint)
		return
	}
	limit := now.Add(m.cfg.SuspectTTL)
	if n.Quarantined {
		limit = now.Add(m.cfg.QuarantineTTL)
	}
	if n.Expiry.After(limit) {
		n.Expiry = limit
	}
	if !n.Expiry.After(now) || len(n.Incidents) == 0 && !n.Quarantined {
		return
	}
	m.strike(now, n.Fingerprint, n.Incidents, n.Expiry)
	if n.Quarantined {
		m.entries[n.Fingerprint].quarantined = true
	}
	m.evict()
}

func (m *Machine) expire(now time.Time) {
	maps.DeleteFunc(m.entries, func(_ Fingerprint, e *entry) bool { return !e.expiry.After(now) })
}

// evict keeps the entries within their bound.
func (m *Machine) evict() {
	over := len(m.entries) - m.cfg.MaxEntries
	if over <= 0 {
		return
	}
	order := m.byWorth()
	for _, fp := range order[:over] {
		delete(m.entries, fp)
	}
}

// byWorth returns the requests in the order in which they may be forgotten.
func (m *Machine) byWorth() []Fingerprint {
	return slices.SortedFunc(maps.Keys(m.entries), func(a, b Fingerprint) int {
		x, y := m.entries[a], m.entries[b]
		if x.quarantined != y.quarantined {
			if y.quarantined {
				return -1
			}
			return 1
		}
		if c := x.expiry.Compare(y.expiry); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}
