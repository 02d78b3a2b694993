package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// recordQuarantine names the record that tells other zones which requests
// brought backend servers down.
const recordQuarantine = "quarantine"

// TellQuarantine brings notices to the neighbours in the zone at once.
func (c *Control) TellQuarantine(notices []quarantine.Notice) {
	event := func(time.Time) {
		call := &peerpb.Call{Call: &peerpb.Call_Quarantine{Quarantine: &peerpb.QuarantineNotice{Entries: encodeNotices(notices)}}}
		for _, in := range c.members.View().Zone(c.Self.Zone).Usable() {
			if in.Identity != c.Self.Identity {
				c.tell(in.Peer, call)
			}
		}
		c.Log.Warn().Int("requests", len(notices)).Msg("quarantine_notice")
	}
	select {
	case c.events <- event:
	default:
		// The digest of the next heartbeat has them too.
	}
}

// tell sends a call whose reply says nothing.
func (c *Control) tell(addr string, call *peerpb.Call) {
	c.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		if _, body, err := c.Peers.Call(ctx, addr, call, nil); err == nil {
			body.Close()
		}
	})
}

// publishQuarantine writes the digest for other zones.
func (c *Control) publishQuarantine(now time.Time) {
	c.Guard.Tick()
	if notices, changed := c.Guard.Digest(); changed {
		c.logError("quarantine_record_failed", c.records.set(now, c.records.global, recordQuarantine, notices))
	}
}

func (c *Control) takeQuarantine(rec refresh.Record) {
	var notices []quarantine.Notice
	if json.Unmarshal(rec.Value, &notices) == nil {
		c.Guard.Hear(notices)
	}
}

func encodeNotices(ns []quarantine.Notice) []*peerpb.QuarantineEntry {
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

func decodeNotices(es []*peerpb.QuarantineEntry) []quarantine.Notice {
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
