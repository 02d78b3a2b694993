package quarantine

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/unixmilli"
)

// Encode returns the peer messages for notices.
func Encode(ns []quarantine.Notice) []*peerpb.QuarantineEntry {
	out := make([]*peerpb.QuarantineEntry, len(ns))
	for i, n := range ns {
		out[i] = &peerpb.QuarantineEntry{
			Fingerprint: uint64(n.Fingerprint), Quarantined: n.Quarantined, Cleared: n.Cleared, ExpiresMs: n.Expiry.UnixMilli(),
			Runs: encodeRuns(n.Runs), Voided: encodeRuns(n.Voided),
		}
	}
	return out
}

// Decode returns the notices in peer messages.
func Decode(es []*peerpb.QuarantineEntry) []quarantine.Notice {
	out := make([]quarantine.Notice, len(es))
	for i, e := range es {
		out[i] = quarantine.Notice{
			Fingerprint: quarantine.Fingerprint(e.Fingerprint), Quarantined: e.Quarantined, Cleared: e.Cleared,
			Expiry: time.UnixMilli(e.ExpiresMs), Runs: decodeRuns(e.Runs), Voided: decodeRuns(e.Voided),
		}
	}
	return out
}

func encodeRuns(runs []quarantine.Run) []*peerpb.QuarantineRun {
	var out []*peerpb.QuarantineRun
	for _, r := range runs {
		out = append(out, &peerpb.QuarantineRun{Incident: uint64(r.Incident), SentMs: unixmilli.From(r.Sent), CrashedMs: unixmilli.From(r.Crashed)})
	}
	return out
}

func decodeRuns(runs []*peerpb.QuarantineRun) []quarantine.Run {
	var out []quarantine.Run
	for _, r := range runs {
		out = append(out, quarantine.Run{Incident: quarantine.Incident(r.Incident), Sent: unixmilli.Time(r.SentMs), Crashed: unixmilli.Time(r.CrashedMs)})
	}
	return out
}
