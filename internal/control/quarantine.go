package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	guard "github.com/banyandeal/banyandeal/internal/quarantine"
)

// recordQuarantine names the record that tells other zones which requests
// brought backend servers down.
const recordQuarantine = "quarantine"

// SendQuarantineNotices brings notices to the neighbours in the zone at once.
func (c *Control) SendQuarantineNotices(notices []quarantine.Notice) {
	// If control has no time, the digest of the next heartbeat has them too.
	c.offer(func(time.Time) {
		call := &peerpb.Call{Call: &peerpb.Call_Quarantine{Quarantine: &peerpb.QuarantineNotice{Entries: guard.Encode(notices)}}}
		for _, in := range c.members.View().Zone(c.Self.Zone).Usable() {
			if in.Identity != c.Self.Identity {
				c.tell(in.Peer, call)
			}
		}
		c.Log.Warn().Int("requests", len(notices)).Msg("quarantine_notice")
	})
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
