// Package restarts checks backend servers whose connections have broken: one that has started
// again may be cold, which the store tells late, or not at all while it is away.
package restarts

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/restart"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// interval is the time between two looks at what is due.
const interval = 50 * time.Millisecond

// Table gives access to the backend servers that may have started again.
type Table interface {
	// Restarts calls f with the table and the time.
	Restarts(f func(t *restart.Table, now time.Time))
}

// Prober sends a health check on a new connection; see egress.Pool.Health.
type Prober interface {
	Health(ctx context.Context, b *traffic.Backend, path string) (*egress.BackendResponse, error)
}

// Checker checks backend servers. It is safe for concurrent use.
type Checker struct {
	// View returns the current view, Table the table. StoreReadAt returns when the store's
	// response arrived by which the operator's table is known.
	View        func() *control.View
	Table       func() Table
	StoreReadAt func() time.Time
}

// Broken records that a connection to a backend server was refused, or ended without a response.
// Only services whose backend servers can be cold are of interest.
func (c *Checker) Broken(b *traffic.Backend) {
	if s := c.service(b); s != nil && s.ColdRate > 0 {
		c.Table().Restarts(func(t *restart.Table, now time.Time) { t.Broken(identityOf(b), now) })
	}
}

func identityOf(b *traffic.Backend) limit.Backend { return limit.Backend{ID: b.ID, Born: b.Born} }

// service returns the declared service of a backend server, or nil.
func (c *Checker) service(b *traffic.Backend) *traffic.Service {
	v := c.View()
	if v.Config == nil {
		return nil
	}
	return v.Config.Services[b.Service]
}

// Run checks what is due until ctx is done.
func (c *Checker) Run(ctx context.Context, p Prober) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, b := range c.due() {
			go c.check(ctx, p, b)
		}
	}
}

// due returns the backend servers to check now. One that is not in the view any more is reported
// as not told.
func (c *Checker) due() []*traffic.Backend {
	var due []limit.Backend
	c.Table().Restarts(func(t *restart.Table, now time.Time) {
		if t.Empty() {
			return
		}
		t.StoreRead(c.StoreReadAt(), now)
		due = t.Due(now)
	})
	if len(due) == 0 {
		return nil
	}
	known := map[limit.Backend]*traffic.Backend{}
	for _, list := range c.View().Backends {
		for _, b := range list {
			known[identityOf(b)] = b
		}
	}
	var backends []*traffic.Backend
	for _, id := range due {
		if b := known[id]; b != nil {
			backends = append(backends, b)
			continue
		}
		c.record(id, restart.Result{}, time.Now())
	}
	return backends
}

// check checks one backend server.
func (c *Checker) check(ctx context.Context, p Prober, b *traffic.Backend) {
	began, result := time.Now(), restart.Result{}
	if s := c.service(b); s != nil {
		if resp, err := p.Health(ctx, b, s.HealthPath); err == nil {
			result.ColdLeft, result.Told = platform.ColdLeft(resp.Status, resp.Header, b.ID)
		}
	}
	c.record(identityOf(b), result, began)
}

func (c *Checker) record(b limit.Backend, r restart.Result, began time.Time) {
	c.Table().Restarts(func(t *restart.Table, now time.Time) { t.Checked(b, r, began, now) })
}
