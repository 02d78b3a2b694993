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

// exchangeTimeout bounds one heartbeat with its reply.
const exchangeTimeout = time.Second

// exchange sends a heartbeat with news to an instance and takes its reply. The
// outcome is evidence of whether it lives: an address that refuses the
// connection shows at once that the process is dead.
func (c *Control) exchange(in membership.Instance) {
	if c.isStranger(in.Identity) {
		c.greet(in.Peer)
		return
	}
	n := c.records.neighbour(in.Identity)
	if n.busy {
		n.again = true
		return
	}
	n.busy = true
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
		n.busy = false
		c.members.ProbeResult(now, evidenceOf(probe, reply, err))
		if reply != nil && identityOf(reply.From) == in.Identity {
			c.take(now, reply, n, (refresh.Policy).Finish)
		}
		if n.again {
			n.again = false
			c.exchange(in)
		}
	})
}

// sharesRecords reports whether an exchange with an instance carries records.
// Of the relays of its zone an instance that is none itself shares them with
// one: from all three each record would come three times.
func (c *Control) sharesRecords(in membership.Instance) bool {
	zone := c.members.View().Zone(c.Self.Zone)
	relay, ok := zone.RecordRelay(c.Self.Identity)
	return !ok || relay == in.Identity || !zone.IsRelay(in.Identity)
}

// greet sends a heartbeat without records to an address whose instance is not
// known yet. Its reply makes it known.
func (c *Control) greet(addr string) {
	c.call(addr, c.heartbeat(), func(now time.Time, reply *peerpb.Exchange, _ error) {
		if reply != nil {
			c.takeSelf(now, reply)
		}
	})
}

// probe dials an instance that the membership or an owner's machine asks about.
// One that is not in the view is only looked for.
func (c *Control) probe(p membership.Probe) {
	if in, ok := c.members.View().Instance(p.Target); ok {
		c.exchange(in)
		return
	}
	c.call(p.Peer, c.heartbeat(), func(now time.Time, reply *peerpb.Exchange, err error) {
		c.members.ProbeResult(now, evidenceOf(p, reply, err))
		if reply != nil {
			c.takeSelf(now, reply)
		}
	})
}

// call sends a heartbeat and hands its end to the control goroutine; reply is
// nil if there is none.
func (c *Control) call(addr string, msg *peerpb.Exchange, end func(now time.Time, reply *peerpb.Exchange, err error)) {
	call := &peerpb.Call{Call: &peerpb.Call_Exchange{Exchange: msg}}
	c.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		reply, body, err := c.Peers.Call(ctx, addr, call, nil)
		if err == nil {
			body.Close()
		}
		c.post(func(now time.Time) { end(now, reply.GetExchange(), err) })
	})
}

func evidenceOf(p membership.Probe, reply *peerpb.Exchange, err error) membership.ProbeResult {
	ev := membership.ProbeResult{Kind: membership.TimedOut, Target: p.Target, Zone: p.Zone, Peer: p.Peer}
	var cerr *peer.CallError
	switch {
	case reply != nil:
		ev.Kind, ev.Observed = membership.Answered, identityOf(reply.From)
	case errors.As(err, &cerr) && cerr.Refused:
		ev.Kind = membership.Refused
	}
	return ev
}

// heartbeat is what every exchange carries.
func (c *Control) heartbeat() *peerpb.Exchange {
	return &peerpb.Exchange{
		From: c.identity(), Zone: c.Self.Zone, Region: c.links.region, ConfigVersion: c.config.receiver.Version(),
		Self: c.selfRecord(), OwnersVersion: c.owners.machine.Version(), LinksVersion: c.linkVersion(),
	}
}

// serveExchange answers a heartbeat.
func (c *Control) serveExchange(now time.Time, ex *peerpb.Exchange) *peerpb.Exchange {
	reply := c.heartbeat()
	if ex.Global == nil {
		c.takeSelf(now, ex)
		return reply
	}
	id := identityOf(ex.From)
	n := c.records.neighbour(id)
	c.take(now, ex, n, func(p refresh.Policy, now time.Time, m refresh.Message) {
		out := encodeRefresh(p.Serve(now, m))
		if p == n.global {
			reply.Global = out
		} else {
			reply.Local = out
		}
	})
	if c.isStranger(id) {
		delete(c.records.neighbours, id)
	}
	return reply
}

// take merges what another instance sent of itself and of others. merge hands
// a message to the policy that it belongs to.
func (c *Control) take(now time.Time, ex *peerpb.Exchange, n *neighbour, merge func(p refresh.Policy, now time.Time, m refresh.Message)) {
	c.takeSelf(now, ex)
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
		fresh := news(part.set, m.Records)
		merge(part.policy, now, m)
		for _, rec := range fresh {
			if in, ok := decodeInstance(rec); ok {
				reports = append(reports, in)
			} else {
				others = append(others, rec)
			}
		}
	}
	// Other records are read by what is known of their owners.
	c.members.Reports(now, reports)
	for _, rec := range others {
		c.takeRecord(now, rec)
	}
}

// takeSelf takes what the sender of a heartbeat says of itself.
func (c *Control) takeSelf(now time.Time, ex *peerpb.Exchange) {
	in, ok := decodeInstance(decodeRecord(ex.Self))
	if !ok || in.Identity != identityOf(ex.From) || in.ID == c.Self.ID {
		return
	}
	c.members.Heartbeat(now, in)
	if c.isStranger(in.Identity) {
		return
	}
	c.config.heard(publish.Source(in.ID), in.Peer, ex.ConfigVersion)
	c.hintRows(now, ex.Zone, ex.Region, ex.OwnersVersion, ex.LinksVersion)
}

// takeRecord takes a record of another instance that is news.
func (c *Control) takeRecord(now time.Time, rec refresh.Record) {
	if rec.Owner == c.Self.ID {
		return
	}
	switch {
	case rec.Name == recordLoad:
		c.takeLoad(now, rec)
	case rec.Name == recordBackends:
		c.takeListed(now, rec)
	case rec.Name == recordZoneLoad:
		c.takeZoneLoad(now, rec)
	case rec.Name == recordRamp:
		c.takeRamp(now, rec)
	case rec.Name == recordQuarantine:
		c.takeQuarantine(rec)
	case strings.HasPrefix(rec.Name, recordMoved):
		c.takeMoved(rec)
	}
}

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
