// Package restarts checks backend servers that may be cold without the store telling so: those whose
// connections have broken, which may have started again, and those in use while the store cannot be
// read.
package restarts

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/restart"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// interval is the time between two looks at what is due.
	interval = 50 * time.Millisecond
	// maxConfirmTime is how long a request waits for a check. It goes by what is known then.
	maxConfirmTime = 150 * time.Millisecond
)

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
	// View returns the current view, Table the table, Prober what sends checks. StoreReadAt returns
	// when the store's response arrived by which the operator's table is known, StoreLost reports
	// whether that can be read from nowhere now.
	View        func() *control.View
	Table       func() Table
	Prober      func() Prober
	StoreReadAt func() time.Time
	StoreLost   func() bool

	// lost is what StoreLost reported last.
	lost atomic.Bool
	// checks joins the checks of one backend server that overlap.
	checks singleflight.Group
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
func (c *Checker) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, b := range c.due() {
			c.check(b)
		}
	}
}

// Confirm is called before a request is sent to a backend server. While the store cannot be read, it
// waits for a check that tells whether the backend server is cold, unless one has told recently.
func (c *Checker) Confirm(ctx context.Context, b *traffic.Backend) {
	if s := c.service(b); !c.lost.Load() || s == nil || s.ColdRate == 0 {
		return
	}
	checkFirst := false
	c.Table().Restarts(func(t *restart.Table, now time.Time) { checkFirst = t.Use(identityOf(b), now) })
	if !checkFirst {
		return
	}
	timeout := time.NewTimer(maxConfirmTime)
	defer timeout.Stop()
	select {
	case <-c.check(b):
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// due returns the backend servers to check now. One that is not in the view any more is reported
// as not told.
func (c *Checker) due() []*traffic.Backend {
	var due []limit.Backend
	lost := c.StoreLost()
	c.lost.Store(lost)
	c.Table().Restarts(func(t *restart.Table, now time.Time) {
		t.StoreRead(c.StoreReadAt(), lost, now)
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

// check begins a check of a backend server, unless one is in progress, and returns what receives once
// its result has been recorded.
func (c *Checker) check(b *traffic.Backend) <-chan singleflight.Result {
	return c.checks.DoChan(egress.ConnectionKey(b), func() (any, error) {
		began, result := time.Now(), restart.Result{}
		if s := c.service(b); s != nil {
			if resp, err := c.Prober().Health(context.Background(), b, s.HealthPath); err == nil {
				result.ColdLeft, result.Told = platform.ColdLeft(resp.Status, resp.Header, b.ID)
			}
		}
		c.record(identityOf(b), result, began)
		return nil, nil
	})
}

func (c *Checker) record(b limit.Backend, r restart.Result, began time.Time) {
	c.Table().Restarts(func(t *restart.Table, now time.Time) { t.Checked(b, r, began, now) })
}
