package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/ownership"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/pool"
)

// ownerState is which backend servers this instance owns.
type ownerState struct {
	machine *ownership.Machine
	// held holds the backend servers that this instance may use, with until
	// when a dead owner's work occupies them.
	held map[string]*holding
	// view is the membership view that the machine saw last.
	view *membership.View
}

// holding is one owned backend server.
type holding struct {
	occupiedUntil time.Time
	// since is when this instance began to own it.
	since time.Time
	// stopping is set while it is being given up; attempt names the Stop.
	stopping bool
	attempt  uint64
}

func newOwnerState(self membership.Instance, now time.Time) *ownerState {
	return &ownerState{
		machine: ownership.New(ownership.Config{Self: self.Identity, Peer: self.Peer, Zone: self.Zone}, now),
		held:    map[string]*holding{},
	}
}

// installBackends tells the machine the zone's backend servers of a new
// configuration.
func (c *Control) installBackends(now time.Time) {
	var bs []ownership.Backend
	c.eachZoneBackend(func(s *estate.Service, b estate.Backend) {
		bs = append(bs, ownership.Backend{Name: b.Name, Slots: b.Slots, Deadline: s.Deadline})
	})
	c.owners.machine.SetBackends(now, bs)
}

// eachZoneBackend calls f for the backend servers of this instance's zone.
func (c *Control) eachZoneBackend(f func(s *estate.Service, b estate.Backend)) {
	e := c.steer.estate
	if e == nil {
		return
	}
	for i := range e.Services {
		for _, b := range e.Services[i].Backends {
			if b.Zone == c.Self.Zone {
				f(&e.Services[i], b)
			}
		}
	}
}

func (c *Control) tickOwners(now time.Time) {
	o := c.owners
	if v := c.members.View(); v != o.view {
		o.view = v
		o.machine.SetView(now, v.Zone(c.Self.Zone))
	}
	for name, h := range o.held {
		if h.stopping && c.Pool.InFlight(name) == 0 {
			o.machine.Drained(now, name, h.attempt)
		}
		if !h.occupiedUntil.IsZero() && now.After(h.occupiedUntil) {
			h.occupiedUntil = time.Time{}
			c.dirty = true
		}
	}
	o.machine.Tick(now)
}

// settleOwners carries out what the ownership machine wants done.
func (c *Control) settleOwners(now time.Time) {
	if c.steer.estate == nil {
		// Without the services' deadlines an instance would have to assume the
		// longest one for the work of a dead owner.
		return
	}
	ready := c.owners.machine.Ready()
	if c.isCondemned {
		return
	}
	if ready.Read {
		c.readOwners()
	}
	if ready.Write != nil {
		c.writeOwners(*ready.Write)
	}
	for _, s := range ready.Starts {
		c.startOwning(now, s)
	}
	if len(ready.Starts)+len(ready.HandedOver)+len(ready.Lost) > 0 {
		defer c.installHealth(now)
	}
	for _, s := range ready.Stops {
		if h := c.owners.held[s.Backend]; h != nil {
			h.stopping, h.attempt = true, s.Attempt
			c.dirty = true
		}
	}
	for _, name := range append(ready.HandedOver, ready.Lost...) {
		delete(c.owners.held, name)
		c.dirty = true
		c.Log.Info().Str("backend", name).Msg("backend_given")
	}
	for _, p := range ready.Probes {
		c.probe(p)
	}
	for _, h := range ready.Hints {
		if in, ok := c.members.View().Instance(h.To); ok {
			c.exchange(in)
		}
	}
}

func (c *Control) startOwning(now time.Time, s ownership.Start) {
	if h := c.owners.held[s.Backend]; h != nil && s.Resumed {
		h.stopping = false
	} else {
		c.owners.held[s.Backend] = &holding{occupiedUntil: s.OccupiedUntil, since: now}
	}
	c.dirty = true
	c.Log.Info().Str("backend", s.Backend).Uint64("epoch", s.Epoch).Bool("resumed", s.Resumed).
		Time("occupied_until", s.OccupiedUntil).Msg("backend_owned")
}

func (c *Control) readOwners() {
	c.start(func(ctx context.Context) {
		row, err := readRow(ctx, c.Platform, ownership.RowPrefix+c.Self.Zone)
		c.platformCall(err)
		c.post(func(now time.Time) {
			if err != nil {
				c.owners.machine.ReadFailed(now)
				return
			}
			c.logError("owners_row_unusable", c.owners.machine.Row(now, row))
		})
	})
}

// readRow reads a row; one that does not exist has version 0.
func readRow(ctx context.Context, p *platform.Client, name string) (platform.Row, error) {
	row, err := p.ReadRow(ctx, name)
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		return platform.Row{Name: name}, nil
	}
	return row, errors.Trace(err)
}

func (c *Control) writeOwners(txn platform.Txn) {
	c.start(func(ctx context.Context) {
		reply, err := commit(ctx, c.Platform, txn)
		c.platformCall(err)
		c.post(func(now time.Time) {
			if err != nil {
				c.owners.machine.WriteFailed(now, txn.ID)
				return
			}
			c.logError("owners_row_unusable", c.owners.machine.WriteReplied(now, txn.ID, reply))
		})
	})
}

// commit sends a transaction. A conflict is a reply, not an error.
func commit(ctx context.Context, p *platform.Client, txn platform.Txn) (platform.TxnReply, error) {
	rows, err := p.Commit(ctx, txn)
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		return platform.TxnReply{Rows: []platform.Row{conflict.Row}}, nil
	}
	return platform.TxnReply{Committed: err == nil, Rows: rows}, errors.Trace(err)
}

func (c *Control) logError(event string, err error) {
	if err != nil {
		c.Log.Error().Err(err).Msg(event)
	}
}

// applyOwners gives the pool the backend servers that this instance may use.
func (c *Control) applyOwners(now time.Time) {
	if c.steer.estate == nil {
		return
	}
	var owned []pool.Backend
	c.eachZoneBackend(func(s *estate.Service, b estate.Backend) {
		h := c.owners.held[b.Name]
		if h == nil {
			return
		}
		standing, cold := c.standing(now, b, h)
		owned = append(owned, pool.Backend{
			Backend: b, Service: s.Name, Eligibility: standing, ColdSince: cold, OccupiedUntil: h.occupiedUntil,
		})
	})
	c.Pool.Set(c.steer.estate.Services, owned)
}
