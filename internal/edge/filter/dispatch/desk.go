package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Desk puts the decisions on requests behind one lock and gives them the time
// and the newest view.
type Desk struct {
	settings *traffic.Settings
	control  *control.Control

	mu      sync.Mutex
	machine *admission.Machine
	// view and estate belong to each other.
	view   *control.View
	estate *admission.Snapshot
}

// NewDesk returns a Desk that knows nothing.
func NewDesk(s *traffic.Settings, c *control.Control) *Desk {
	return &Desk{settings: s, control: c, machine: admission.New(admission.Config{
		Instance: s.Instance, Region: s.Region, RegionOf: s.RegionOf, Bounds: s.Bounds,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})}
}

func (d *Desk) begin(ex *gateway.Exchange) *admission.RequestState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Begin(d.estateOf(ex.View), admission.Request{
		ID: ex.ID, Object: ex.Object, Route: ex.Route,
		Received: ex.Received, Deadline: ex.Deadline, CallerDeadline: ex.CallerDeadline,
	}, time.Now())
}

// estateOf returns what the machine needs to know of a view.
func (d *Desk) estateOf(v *control.View) *admission.Snapshot {
	if d.view == v {
		return d.estate
	}
	e := &admission.Snapshot{Services: v.Config.Services, Backends: v.Backends, Instances: len(v.Members)}
	for _, m := range v.Members {
		if d.settings.RegionOf[m.Zone] == d.settings.Region {
			e.RegionInstances++
		}
	}
	d.view, d.estate = v, e
	return e
}

func (d *Desk) next(t *admission.RequestState) (affinity.Choice, admission.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Next(t, d.estateOf(d.control.View()), time.Now())
}

func (d *Desk) ended(t *admission.RequestState, c affinity.Choice, r affinity.Result, ran bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.RecordEnd(t, c, r, ran, time.Now())
}

func (d *Desk) again(t *admission.RequestState, ran, reached bool) admission.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.CheckRetry(t, ran, reached, time.Now())
}

func (d *Desk) retryAfter(t *admission.RequestState) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.RetryAfter(t, time.Now())
}

func (d *Desk) unplaced(t *admission.RequestState) (admission.PlacementRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.PendingPlacement(t, time.Now())
}

// placed looks for the place of the request's object again.
func (d *Desk) placed(t *admission.RequestState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.MergePlacements(t, nil, time.Now())
}

// Assign implements places.Desk. Without a configuration nothing is assigned.
func (d *Desk) Assign(r admission.PlacementRequest, after uint64) []assign.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.control.View()
	if v.Config == nil {
		return nil
	}
	return d.machine.Assign(d.estateOf(v), r, after, time.Now())
}

// Merge implements places.Desk.
func (d *Desk) Merge(entries []assign.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.MergePlacements(nil, entries, time.Now())
}

// Balance implements places.Desk.
func (d *Desk) Balance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.control.View(); v.Config != nil {
		d.machine.Balance(d.estateOf(v), time.Now())
	}
}

// TakeOver implements places.Desk.
func (d *Desk) TakeOver() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.TakeOver()
}

// PlacesVersion implements places.Desk.
func (d *Desk) PlacesVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.PlacesVersion()
}
