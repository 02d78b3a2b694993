package daemon

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/quarantine"
)

// maxVerdictLines bounds the lines per second about verdicts.
const maxVerdictLines = 20

// verdictReporter logs and counts what happens to requests that may crash backend
// servers.
type verdictReporter struct {
	log     zerolog.Logger
	metrics *metrics.Metrics
}

// VerdictChanged implements quarantine.Observer.
func (r *verdictReporter) VerdictChanged(c decide.Change) {
	r.metrics.Add(fmt.Sprintf("verdicts_%s_%s", c.To, c.Cause), 1)
	e := r.log.Info().Str("event", "verdict").Stringer("fingerprint", c.Fingerprint).
		Stringer("verdict", c.To).Stringer("before", c.From).Stringer("cause", c.Cause)
	addEvidence(e, c.Evidence)
	e.Msg("")
}

// maxCrashRequests bounds the requests that the line of a crash names.
const maxCrashRequests = 8

// CrashNoticed implements quarantine.Observer.
func (r *verdictReporter) CrashNoticed(c quarantine.Crash) {
	r.metrics.Add("crashes_"+string(c.Cause), 1)
	r.log.Info().Str("event", "crash").Str("backend", c.Backend).Str("cause", string(c.Cause)).
		Int("requests", len(c.Requests)).Stringers("fingerprints", stringers(c.Requests[:min(len(c.Requests), maxCrashRequests)])).Msg("")
}

func stringers(fps []decide.Fingerprint) []fmt.Stringer {
	list := make([]fmt.Stringer, len(fps))
	for i, fp := range fps {
		list[i] = fp
	}
	return list
}

// isolated reports that a suspect is sent to a backend server that has no other
// suspect of this instance in flight, if there is one.
func (r *verdictReporter) isolated(id, backend string, fp decide.Fingerprint, confined bool, ev decide.Evidence) {
	r.metrics.Add("isolated_attempts", 1)
	e := r.log.Info().Str("event", "isolated").Stringer("fingerprint", fp).Str("id", id).Str("backend", backend).Bool("confined", confined)
	addEvidence(e, ev)
	e.Msg("")
}

// addEvidence adds the evidence against a request, with its age, to a log event.
func addEvidence(e *zerolog.Event, ev decide.Evidence) {
	e.Int("crashes", ev.Crashes)
	if !ev.LastCrash.IsZero() {
		e.Dur("evidence_age", time.Since(ev.LastCrash)).Dur("evidence_span", ev.LastCrash.Sub(ev.FirstCrash))
	}
	if !ev.Expiry.IsZero() {
		e.Dur("expires_in", time.Until(ev.Expiry))
	}
}

// endObserver implements control.EndObserver: the ends of backend servers are evidence
// against the requests that they were running.
type endObserver struct{ *Daemon }

// Restarted implements control.EndObserver.
func (o endObserver) Restarted(former *traffic.Backend) {
	o.evidence.Guard().Restarted(egress.ConnectionKey(former))
}

// Lapsed implements control.EndObserver.
func (o endObserver) Lapsed(former *traffic.Backend) {
	o.evidence.Guard().Lapsed(egress.ConnectionKey(former))
}
