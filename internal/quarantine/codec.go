package quarantine

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// Encode returns the peer messages for notices.
func Encode(ns []quarantine.Notice) []*peerpb.QuarantineEntry {
	out := make([]*peerpb.QuarantineEntry, len(ns))
	for i, n := range ns {
		e := &peerpb.QuarantineEntry{
			Fingerprint: uint64(n.Fingerprint), Quarantined: n.Quarantined, Cleared: n.Cleared, ExpiresMs: n.Expiry.UnixMilli(),
		}
		for _, incident := range n.Incidents {
			e.Incidents = append(e.Incidents, uint64(incident))
		}
		out[i] = e
	}
	return out
}

// Decode returns the notices in peer messages.
func Decode(es []*peerpb.QuarantineEntry) []quarantine.Notice {
	out := make([]quarantine.Notice, len(es))
	for i, e := range es {
		n := quarantine.Notice{
			Fingerprint: quarantine.Fingerprint(e.Fingerprint), Quarantined: e.Quarantined, Cleared: e.Cleared,
			Expiry: time.UnixMilli(e.ExpiresMs),
		}
		for _, incident := range e.Incidents {
			n.Incidents = append(n.Incidents, quarantine.Incident(incident))
		}
		out[i] = n
	}
	return out
}
