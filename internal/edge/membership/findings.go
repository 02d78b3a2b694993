package membership

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
)

// IsGone reports whether lookups must leave out another instance, whose row may still be there.
func (m *Monitor) IsGone(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.IsGone(instance)
}

// Findings implements relay.Findings.
func (m *Monitor) Findings() peers.Findings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Findings()
}

// Told implements relay.Findings.
func (m *Monitor) Told(instance string, f peers.Findings) {
	m.mu.Lock()
	m.machine.Told(instance, f, time.Now())
	m.mu.Unlock()
	m.Log.Info().Str("event", "findings_told").Str("by", instance).Int("gone", len(f.List)).Int("suspected", len(f.Suspected)).Uint64("digest", f.Digest).Msg("")
	m.announceFindings()
}

// SourceDigest implements relay.Findings.
func (m *Monitor) SourceDigest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.SourceDigest()
}

// SourceTold implements relay.Findings.
func (m *Monitor) SourceTold(f peers.Findings) {
	m.mu.Lock()
	m.machine.SourceTold(f, time.Now())
	m.mu.Unlock()
	m.announceFindings()
}

// SourceConfirmed implements relay.Findings.
func (m *Monitor) SourceConfirmed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.SourceConfirmed(time.Now())
}

// announceFindings calls FindingsChanged, and logs what is left out of lookups, after a change.
func (m *Monitor) announceFindings() {
	m.mu.Lock()
	f := m.machine.Findings()
	changed := f.Digest != m.announced
	m.announced = f.Digest
	m.mu.Unlock()
	if !changed {
		return
	}
	names := make([]string, 0, min(len(f.List), maxLoggedFindings))
	for _, one := range f.List[:cap(names)] {
		names = append(names, one.Name)
	}
	m.Log.Info().Str("event", "findings").Int("gone", len(f.List)).Uint64("digest", f.Digest).Strs("instances", names).
		Array("suspected", loggedSuspicions(f.Suspected)).Msg("lookups leave out these instances; the suspected ones are checked")
	if m.FindingsChanged != nil {
		m.FindingsChanged()
	}
}

// loggedSuspicions writes suspicions, with their age and observers, into a log line.
type loggedSuspicions []peers.Suspicion

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (list loggedSuspicions) MarshalZerologArray(a *zerolog.Array) {
	for _, s := range list[:min(len(list), maxLoggedFindings)] {
		a.Dict(zerolog.Dict().Str("instance", s.Name).Int64("age_ms", s.Age.Milliseconds()).Strs("observers", s.Observers))
	}
}

// maxLoggedFindings bounds the instances that a log line names.
const maxLoggedFindings = 20
