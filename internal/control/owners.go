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

// ownerState tracks which backend servers this instance owns.
type ownerState struct {
	machine *ownership.Machine
	// owned holds the backend servers that this instance may use, by name.
	owned map[string]*ownedBackend
	// view is the membership view that was last passed to machine.
	view *membership.View
}

// ownedBackend is the state of one owned backend server.
type ownedBackend struct {
	// occupiedUntil is the time until which requests of a previous owner that
	// died may still be in flight on the backend server; it is zero once that
	// time has passed.
	occupiedUntil time.Time
	// since is when this instance became the owner.
	since time.Time
	// releasing is set while this instance is giving up the ownership.
	releasing bool
	// stopAttempt identifies the Stop that began the release.
	stopAttempt uint64
}

func newOwnerState(self membership.Instance, now time.Time) *ownerState {
	return &ownerState{
		machine: ownership.New(ownership.Config{Self: self.Identity, Peer: self.Peer, Zone: self.Zone}, now),
		owned:   map[string]*ownedBackend{},
	}
}

// updateOwnershipBackends passes the zone's backend servers of a new
// configuration to the ownership machine.
func (c *Control) updateOwnershipBackends(now time.Time) {
	var bs []ownership.Backend
	c.eachZoneBackend(func(s *estate.Service, b estate.Backend) {
		bs = append(bs, ownership.Backend{Name: b.Name, Slots: b.Slots, Deadline: s.Deadline})
	})
	c.owners.machine.SetBackends(now, bs)
}

// eachZoneBackend calls f for each backend server of this instance's zone.
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
	for name, h := range o.owned {
		if h.releasing && c.Pool.InFlight(name) == 0 {
			o.machine.Drained(now, name, h.stopAttempt)
		}
		if !h.occupiedUntil.IsZero() && now.After(h.occupiedUntil) {
			h.occupiedUntil = time.Time{}
			c.dirty = true
		}
	}
	o.machine.Tick(now)
}

// handleOwnershipOutput performs the actions that the ownership machine
// requests.
func (c *Control) handleOwnershipOutput(now time.Time) {
	if c.steer.estate == nil {
		// Without the services' deadlines the instance would have to assume the
		// longest possible deadline for the requests of an owner that died.
		return
	}
	ready := c.owners.machine.Ready()
	if c.declaredGone {
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
		defer c.updateHealthBackends(now)
	}
	for _, s := range ready.Stops {
		if h := c.owners.owned[s.Backend]; h != nil {
			h.releasing, h.stopAttempt = true, s.Attempt
			c.dirty = true
		}
	}
	for _, name := range append(ready.HandedOver, ready.Lost...) {
		delete(c.owners.owned, name)
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

// startOwning begins to use a backend server whose ownership this instance has
// acquired, or resumes a use that was being given up.
func (c *Control) startOwning(now time.Time, s ownership.Start) {
	if h := c.owners.owned[s.Backend]; h != nil && s.Resumed {
		h.releasing = false
	} else {
		c.owners.owned[s.Backend] = &ownedBackend{occupiedUntil: s.OccupiedUntil, since: now}
	}
	c.dirty = true
	c.Log.Info().Str("backend", s.Backend).Uint64("epoch", s.Epoch).Bool("resumed", s.Resumed).
		Time("occupied_until", s.OccupiedUntil).Msg("backend_owned")
}

func (c *Control) readOwners() {
	c.start(func(ctx context.Context) {
		row, err := readRow(ctx, c.Platform, ownership.RowPrefix+c.Self.Zone)
		c.recordPlatformResult(err)
		c.post(func(now time.Time) {
			if err != nil {
				c.owners.machine.ReadFailed(now)
				return
			}
			c.logError("owners_row_unusable", c.owners.machine.Row(now, row))
		})
	})
}

// readRow reads a row of the platform's store. A row that does not exist is
// returned with version 0.
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
		c.recordPlatformResult(err)
		c.post(func(now time.Time) {
			if err != nil {
				c.owners.machine.WriteFailed(now, txn.ID)
				return
			}
			c.logError("owners_row_unusable", c.owners.machine.WriteReplied(now, txn.ID, reply))
		})
	})
}

// commit sends a transaction. A conflict is returned as a reply that is not
// committed, not as an error.
func commit(ctx context.Context, p *platform.Client, txn platform.Txn) (platform.TxnReply, error) {
	rows, err := p.Commit(ctx, txn)
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		return platform.TxnReply{Rows: []platform.Row{conflict.Row}}, nil
	}
	return platform.TxnReply{Committed: err == nil, Rows: rows}, errors.Trace(err)
}

// logError logs err, if it is not nil, under the given event name.
func (c *Control) logError(event string, err error) {
	if err != nil {
		c.Log.Error().Err(err).Msg(event)
	}
}

// updatePool passes the backend servers that this instance may use to the pool.
func (c *Control) updatePool(now time.Time) {
	if c.steer.estate == nil {
		return
	}
	var backends []pool.Backend
	c.eachZoneBackend(func(s *estate.Service, b estate.Backend) {
		h := c.owners.owned[b.Name]
		if h == nil {
			return
		}
		eligibility, cold := c.eligibility(now, b, h)
		backends = append(backends, pool.Backend{
			Backend: b, Service: s.Name, Eligibility: eligibility, ColdSince: cold, OccupiedUntil: h.occupiedUntil,
		})
	})
	c.Pool.Set(c.steer.estate.Services, backends)
}
