package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/keys"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/quarantine"
)

// callTimeout is the maximum time that a call from another instance waits for
// the control goroutine.
const callTimeout = time.Second

// ServeCall implements peer.Handler for all calls except forwarded requests. It
// is safe for concurrent use.
func (c *Control) ServeCall(ctx context.Context, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch m := call.Call.(type) {
	case *peerpb.Call_Exchange:
		reply, ok := runSync(ctx, c, func(now time.Time) *peerpb.Exchange { return c.serveExchange(now, m.Exchange) })
		if !ok {
			return &peerpb.Reply{Error: "the instance is shutting down or overloaded"}, nil
		}
		return &peerpb.Reply{Reply: &peerpb.Reply_Exchange{Exchange: reply}}, nil
	case *peerpb.Call_ConfigFetch:
		return c.serveConfig(ctx, config.Digest(m.ConfigFetch.Digest))
	case *peerpb.Call_KeyTransfer:
		t, err := keys.DecodeTransfer(m.KeyTransfer, body)
		if err != nil {
			return &peerpb.Reply{Error: err.Error()}, nil
		}
		return ack(c.Keeper.TransferReceived(t), nil), nil
	case *peerpb.Call_KeySettle:
		known := c.Keeper.RecordRunResults(keys.DecodeHome(m.KeySettle.From), keys.DecodeRecords(m.KeySettle.Records))
		return ack(true, known), nil
	case *peerpb.Call_KeyMoved:
		c.Keeper.Step(once.AuthorityMoved{From: keys.DecodeHome(m.KeyMoved.From), To: keys.DecodeHome(m.KeyMoved.To)})
		return ack(true, nil), nil
	case *peerpb.Call_RightsTransfer:
		return c.serveRightsTransfer(m.RightsTransfer), nil
	case *peerpb.Call_RightsWanted:
		return c.serveRightsWanted(m.RightsWanted), nil
	case *peerpb.Call_Quarantine:
		c.Guard.MergeNotices(quarantine.Decode(m.Quarantine.Entries))
		return ack(true, nil), nil
	}
	return &peerpb.Reply{Error: "unknown call type; this instance runs an older version"}, nil
}

func ack(accepted bool, known []string) *peerpb.Reply {
	return &peerpb.Reply{Reply: &peerpb.Reply_Ack{Ack: &peerpb.Ack{Accepted: accepted, Keys: known}}}
}

// serveConfig responds to a neighbour's fetch of a configuration object, or of
// the head if the digest is empty.
func (c *Control) serveConfig(ctx context.Context, digest config.Digest) (*peerpb.Reply, io.ReadCloser) {
	cur, _ := runSync(ctx, c, func(time.Time) *publish.Installed { return c.config.receiver.Current() })
	data, found := object(cur, digest)
	reply := &peerpb.Reply{Reply: &peerpb.Reply_ConfigPart{ConfigPart: &peerpb.ConfigPart{Found: found}}}
	return reply, io.NopCloser(bytes.NewReader(data))
}

// recordMoved is the name prefix of the records that state to which home the
// authority of another home has moved.
const recordMoved = "keys-moved"

// movedAuthority is the value of a recordMoved record.
type movedAuthority struct {
	// From is the home that had the authority.
	From once.Home `json:"from"`
	// To is the home that has it now.
	To once.Home `json:"to"`
	// At is when the move was announced. The record expires movedTTL later.
	At time.Time `json:"at"`
}

// AnnounceAuthorityMoved informs all instances, through a replicated record,
// that the authority of a home has moved to another home. It does not wait for
// the record to be sent.
func (c *Control) AnnounceAuthorityMoved(from, to once.Home) {
	c.post(func(now time.Time) {
		m := movedAuthority{from, to, now}
		c.logError("moved_record_failed", c.records.set(now, c.records.global, movedRecordName(from), m))
		c.expireMovedRecord(c.Self.Identity, m)
		c.sendHeartbeats()
	})
}

// handleMovedRecord passes a move of authority that another instance announced
// to the key machine.
func (c *Control) handleMovedRecord(rec refresh.Record) {
	var m movedAuthority
	if json.Unmarshal(rec.Value, &m) == nil {
		c.Keeper.Step(once.AuthorityMoved{From: m.From, To: m.To})
		c.expireMovedRecord(membership.Identity{ID: rec.Owner, Incarnation: rec.Incarnation}, m)
	}
}

func movedRecordName(from once.Home) string { return recordMoved + "/" + from.String() }

// expireMovedRecord schedules the deletion of a recordMoved record, movedTTL
// after it was announced.
func (c *Control) expireMovedRecord(owner membership.Identity, m movedAuthority) {
	c.records.expire(c.records.global, owner.ID, movedRecordName(m.From), expiry{incarnation: owner.Incarnation, at: m.At.Add(movedTTL)})
}
