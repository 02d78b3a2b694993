package control

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// exchangeTimeout is the timeout of one heartbeat including its reply.
const exchangeTimeout = time.Second

// exchange sends a heartbeat with records to an instance and handles its reply.
// The result also counts as a membership probe: a refused connection shows at
// once that the process is dead.
func (c *Control) exchange(in membership.Instance) {
	if c.isUnknownOrGone(in.Identity) {
		c.discover(in.Peer)
		return
	}
	n := c.records.neighbour(in.Identity)
	if n.inProgress {
		n.rerun = true
		return
	}
	n.inProgress = true
	msg := c.heartbeat()
	shares := c.sharesRecords(in)
	if shares {
		msg.Global = encodeRefresh(n.global.Request())
	}
	if shares && in.Zone == c.Self.Zone {
		msg.Local = encodeRefresh(n.local.Request())
	}
	probe := membership.Probe{Target: in.Identity, Zone: in.Zone, Peer: in.Peer}
	c.call(in.Peer, msg, func(now time.Time, reply *peerpb.Exchange, err error) {
		n.inProgress = false
		c.members.ProbeResult(now, probeResultOf(probe, reply, err))
		if reply != nil && identityOf(reply.From) == in.Identity {
			c.mergeExchange(now, reply, n, (refresh.Policy).Finish)
		}
		if n.rerun {
			n.rerun = false
			c.exchange(in)
		}
	})
}

// sharesRecords reports whether a heartbeat to in carries records. An instance
// that is not a relay exchanges records with only one relay of its zone; with
// all three relays it would receive each record three times.
func (c *Control) sharesRecords(in membership.Instance) bool {
	zone := c.members.View().Zone(c.Self.Zone)
	relay, ok := zone.RecordRelay(c.Self.Identity)
	return !ok || relay == in.Identity || !zone.IsRelay(in.Identity)
}

// discover sends a heartbeat without records to an address whose instance is
// unknown. The reply identifies the instance.
func (c *Control) discover(addr string) {
	c.call(addr, c.heartbeat(), func(now time.Time, reply *peerpb.Exchange, _ error) {
		if reply != nil {
			c.handleSender(now, reply)
		}
	})
}

// probe probes an instance at the request of the membership, ownership or link
// machine. If the instance is not in the membership view, the heartbeat carries
// no records.
func (c *Control) probe(p membership.Probe) {
	if in, ok := c.members.View().Instance(p.Target); ok {
		c.exchange(in)
		return
	}
	c.call(p.Peer, c.heartbeat(), func(now time.Time, reply *peerpb.Exchange, err error) {
		c.members.ProbeResult(now, probeResultOf(p, reply, err))
		if reply != nil {
			c.handleSender(now, reply)
		}
	})
}

// call sends a heartbeat and runs done in the control goroutine with the
// result. reply is nil if no reply was received.
func (c *Control) call(addr string, msg *peerpb.Exchange, done func(now time.Time, reply *peerpb.Exchange, err error)) {
	call := &peerpb.Call{Call: &peerpb.Call_Exchange{Exchange: msg}}
	c.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		reply, body, err := c.Peers.Call(ctx, addr, call, nil)
		if err == nil {
			body.Close()
		}
		c.post(func(now time.Time) { done(now, reply.GetExchange(), err) })
	})
}

// probeResultOf returns the membership probe result of a heartbeat. A
// connection that was refused yields Refused, any other failure TimedOut.
func probeResultOf(p membership.Probe, reply *peerpb.Exchange, err error) membership.ProbeResult {
	res := membership.ProbeResult{Kind: membership.TimedOut, Target: p.Target, Zone: p.Zone, Peer: p.Peer}
	var cerr *peer.CallError
	switch {
	case reply != nil:
		res.Kind, res.Observed = membership.Answered, identityOf(reply.From)
	case errors.As(err, &cerr) && cerr.Refused:
		res.Kind = membership.Refused
	}
	return res
}

// heartbeat returns the part of a heartbeat that is the same for all receivers.
func (c *Control) heartbeat() *peerpb.Exchange {
	return &peerpb.Exchange{
		From: c.identity(), Zone: c.Self.Zone, Region: c.links.region, ConfigVersion: c.config.receiver.Version(),
		Self: c.selfRecord(), OwnersVersion: c.owners.machine.Version(), LinksVersion: c.linkVersion(),
	}
}

// serveExchange handles a heartbeat from another instance and returns the
// reply.
func (c *Control) serveExchange(now time.Time, ex *peerpb.Exchange) *peerpb.Exchange {
	reply := c.heartbeat()
	if ex.Global == nil {
		c.handleSender(now, ex)
		return reply
	}
	id := identityOf(ex.From)
	n := c.records.neighbour(id)
	c.mergeExchange(now, ex, n, func(p refresh.Policy, now time.Time, m refresh.Message) {
		out := encodeRefresh(p.Serve(now, m))
		if p == n.global {
			reply.Global = out
		} else {
			reply.Local = out
		}
	})
	if c.isUnknownOrGone(id) {
		delete(c.records.neighbours, id)
	}
	return reply
}

// mergeExchange merges the state that another instance sent: its own and the
// records that it replicates. merge passes a message to the refresh policy of
// its record set.
func (c *Control) mergeExchange(now time.Time, ex *peerpb.Exchange, n *neighbour, merge func(p refresh.Policy, now time.Time, m refresh.Message)) {
	c.handleSender(now, ex)
	var reports []membership.Instance
	var others []refresh.Record
	for _, part := range []struct {
		set    *refresh.Set
		policy refresh.Policy
		msg    *peerpb.Refresh
	}{{c.records.global, n.global, ex.Global}, {c.records.local, n.local, ex.Local}} {
		if part.msg == nil {
			continue
		}
		m := decodeRefresh(part.msg)
		unseen := unseenRecords(part.set, m.Records)
		merge(part.policy, now, m)
		for _, rec := range unseen {
			if in, ok := decodeInstance(rec); ok {
				reports = append(reports, in)
			} else {
				others = append(others, rec)
			}
		}
	}
	// Instance records are handled first, because the handling of other records
	// depends on the state of their owners.
	c.members.Reports(now, reports)
	for _, rec := range others {
		c.handleRecord(now, rec)
	}
}

// handleSender handles what the sender of a heartbeat states about itself. It
// ignores a heartbeat whose instance record does not match the sender's
// identity.
func (c *Control) handleSender(now time.Time, ex *peerpb.Exchange) {
	in, ok := decodeInstance(decodeRecord(ex.Self))
	if !ok || in.Identity != identityOf(ex.From) || in.ID == c.Self.ID {
		return
	}
	c.members.Heartbeat(now, in)
	if c.isUnknownOrGone(in.Identity) {
		return
	}
	c.config.recordVersion(publish.Source(in.ID), in.Peer, ex.ConfigVersion)
	c.recordRowVersions(now, ex.Zone, ex.Region, ex.OwnersVersion, ex.LinksVersion)
}

// handleRecord handles a newly received record. Records that name this instance
// as their owner are ignored.
func (c *Control) handleRecord(now time.Time, rec refresh.Record) {
	if rec.Owner == c.Self.ID {
		return
	}
	switch {
	case rec.Name == recordLoad:
		c.handleLoadRecord(now, rec)
	case rec.Name == recordBackends:
		c.handleBackendListRecord(now, rec)
	case rec.Name == recordZoneLoad:
		c.handleZoneLoadRecord(now, rec)
	case rec.Name == recordRamp:
		c.handleRampRecord(now, rec)
	case rec.Name == recordQuarantine:
		c.handleQuarantineRecord(rec)
	case strings.HasPrefix(rec.Name, recordMoved):
		c.handleMovedRecord(rec)
	}
}

// decodeInstance returns the instance that a record describes. ok is false if
// it is not an instance record, or if it does not describe its own owner.
func decodeInstance(rec refresh.Record) (membership.Instance, bool) {
	var in membership.Instance
	if rec.Name != recordInstance || json.Unmarshal(rec.Value, &in) != nil || in.ID != rec.Owner {
		return in, false
	}
	return in, true
}

func identityOf(p *peerpb.Identity) membership.Identity {
	return membership.Identity{ID: p.GetId(), Incarnation: p.GetIncarnation()}
}

func (c *Control) identity() *peerpb.Identity {
	return &peerpb.Identity{Id: c.Self.ID, Incarnation: c.Self.Incarnation}
}

func instanceRecord(in membership.Instance) (refresh.Record, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return refresh.Record{}, errors.Trace(err)
	}
	return refresh.Record{
		Owner: in.ID, Name: recordInstance, Incarnation: in.Incarnation, Sequence: in.RecordSequence(), Value: data,
	}, nil
}

func (c *Control) selfRecord() *peerpb.Record {
	rec, err := instanceRecord(c.members.Self())
	c.logError("own_record_failed", err)
	return encodeRecord(rec)
}
