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

// recordQuarantine is the name of the record that informs other zones which
// requests have crashed backend servers.
const recordQuarantine = "quarantine"

// SendQuarantineNotices sends notices to all usable instances of the own zone
// at once. It never blocks.
func (c *Control) SendQuarantineNotices(notices []quarantine.Notice) {
	// If the event queue is full, the notices are still part of the digest that
	// is published with the next heartbeat.
	c.tryPost(func(time.Time) {
		call := &peerpb.Call{Call: &peerpb.Call_Quarantine{Quarantine: &peerpb.QuarantineNotice{Entries: guard.Encode(notices)}}}
		for _, in := range c.members.View().Zone(c.Self.Zone).Usable() {
			if in.Identity != c.Self.Identity {
				c.sendOneWay(in.Peer, call)
			}
		}
		c.Log.Warn().Int("requests", len(notices)).Msg("quarantine_notice")
	})
}

// sendOneWay sends a call and ignores its reply and its failure.
func (c *Control) sendOneWay(addr string, call *peerpb.Call) {
	c.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		if _, body, err := c.Peers.Call(ctx, addr, call, nil); err == nil {
			body.Close()
		}
	})
}

// publishQuarantine publishes the digest of the quarantine to other zones, if
// it has changed.
func (c *Control) publishQuarantine(now time.Time) {
	c.Guard.Tick()
	if notices, changed := c.Guard.Digest(); changed {
		c.logError("quarantine_record_failed", c.records.set(now, c.records.global, recordQuarantine, notices))
	}
}

// handleQuarantineRecord merges the quarantine digest of another instance.
func (c *Control) handleQuarantineRecord(rec refresh.Record) {
	var notices []quarantine.Notice
	if json.Unmarshal(rec.Value, &notices) == nil {
		c.Guard.MergeNotices(notices)
	}
}
