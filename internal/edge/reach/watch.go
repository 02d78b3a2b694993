// Package reach watches whether this instance reaches the backend servers, and probes them
// while it does not.
package reach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/reach"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/random"
)

// checkInterval is the time between checks of the requests that wait, and between probes while
// the instance is isolated.
const checkInterval = 200 * time.Millisecond

// probesAtOnce is the number of backend servers that are probed at a time while the instance is
// isolated or may be.
const probesAtOnce = 4

// Prober sends a health check to a backend server on a new connection. The watch is told of
// the end.
type Prober interface {
	Probe(ctx context.Context, b *traffic.Backend, path string)
}

// Watch makes a reach.Machine safe for concurrent use. It implements egress.Observer.
type Watch struct {
	view    func() *control.View
	log     zerolog.Logger
	metrics *metrics.Metrics
	// onRegained is called when the instance reaches backend servers again.
	onRegained func()
	random     *random.Source

	mu      sync.Mutex
	machine *reach.Machine
	// probe wakes Run when probes are due at once.
	probe chan struct{}
	// waiting holds the requests that wait for their responses, lastID the newest key.
	waiting map[int64]reach.Waiting
	lastID  int64
	// lastErr is the error of the newest failure.
	lastErr error
}

// New returns a Watch. view returns the current view. onRegained is called when the instance
// reaches backend servers again.
func New(view func() *control.View, onRegained func(), r *random.Source, log zerolog.Logger, m *metrics.Metrics) *Watch {
	return &Watch{view: view, onRegained: onRegained, random: r, log: log, metrics: m, machine: reach.New(), probe: make(chan struct{}, 1), waiting: map[int64]reach.Waiting{}}
}

// Sent implements egress.Observer.
func (w *Watch) Sent(b *traffic.Backend) (id int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	w.waiting[w.lastID] = reach.Waiting{Backend: b.ID, Zone: b.Zone, Sent: time.Now()}
	return w.lastID
}

// Ended implements egress.Observer.
func (w *Watch) Ended(id int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, id)
}

// Failed implements egress.Observer.
func (w *Watch) Failed(b *traffic.Backend, err error) {
	known := w.known()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastErr = err
	if w.machine.Failed(b.ID, b.Zone, known, time.Now()) {
		w.wake()
	}
}

// Lost implements egress.Observer.
func (w *Watch) Lost(b *traffic.Backend) {
	known := w.known()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine.Lost(b.ID, b.Zone, known, time.Now()) {
		w.wake()
	}
}

// wake makes Run probe now.
func (w *Watch) wake() {
	select {
	case w.probe <- struct{}{}:
	default:
	}
}

// Responded implements egress.Observer.
func (w *Watch) Responded(isNew bool) {
	w.mu.Lock()
	var change reach.Change
	changed := false
	if isNew {
		change, changed = w.machine.Reached(time.Now())
	} else {
		w.machine.Responded(time.Now())
	}
	w.mu.Unlock()
	if changed {
		w.report(change, nil)
	}
}

// check looks at what has failed and at the requests that wait.
func (w *Watch) check() {
	known := w.known()
	w.mu.Lock()
	waiting := make([]reach.Waiting, 0, len(w.waiting))
	for _, x := range w.waiting {
		waiting = append(waiting, x)
	}
	change, changed := w.machine.Check(waiting, known, time.Now())
	cause := w.lastErr
	w.mu.Unlock()
	if changed && change.Silent {
		cause = errSilent
	}
	if changed {
		w.report(change, cause)
	}
}

// errSilent is the cause of an isolation that waiting requests show.
const errSilent = errors.ConstError("requests wait at many backend servers and none responds")

// known counts the backend servers of the current view.
func (w *Watch) known() reach.Known {
	zones, n := map[string]bool{}, 0
	for _, list := range w.view().Backends {
		for _, b := range list {
			zones[b.Zone] = true
			n++
		}
	}
	return reach.Known{Backends: n, Zones: len(zones)}
}

// report logs a change.
func (w *Watch) report(c reach.Change, err error) {
	responseAge := time.Duration(-1)
	if !c.LastResponse.IsZero() {
		responseAge = time.Since(c.LastResponse)
	}
	if c.Isolated {
		w.metrics.Add("isolations", 1)
		w.log.Warn().Str("event", "backends_unreachable").Dur("since", time.Since(c.Since)).Int("backends", c.Backends).Int("zones", c.Zones).
			Dur("response_age", responseAge).Err(err).Msg("no backend server can be reached by a new connection; requests are handed over to other instances until one responds")
		return
	}
	w.log.Info().Str("event", "backends_reachable").Dur("took", time.Since(c.Since)).Dur("response_age", responseAge).Msg("")
	w.onRegained()
}

// Isolated implements egress.Observer.
func (w *Watch) Isolated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Isolated()
}

// OpenWork reports whether open connections to backend servers work as far as is known.
func (w *Watch) OpenWork() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.OpenWork(time.Now())
}

// Run checks the requests that wait, and probes backend servers while the instance is isolated,
// until ctx is done.
func (w *Watch) Run(ctx context.Context, p Prober) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.probe:
		case <-ticker.C:
			w.check()
		}
		for _, b := range w.due() {
			go p.Probe(ctx, b, w.healthPath(b))
		}
	}
}

// due returns the backend servers that are probed now, while the instance is isolated or may be:
// first those that have not failed, then those whose last failure is the oldest.
func (w *Watch) due() []*traffic.Backend {
	if !w.unsure() {
		return nil
	}
	var candidates []*traffic.Backend
	for _, list := range w.view().Backends {
		candidates = append(candidates, list...)
	}
	w.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(candidates, func(a, b *traffic.Backend) int {
		return w.machine.LastFailure(a.ID).Compare(w.machine.LastFailure(b.ID))
	})
	return candidates[:min(probesAtOnce, len(candidates))]
}

// unsure reports whether the instance is isolated or may be.
func (w *Watch) unsure() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Isolated() || w.machine.Doubtful()
}

// healthPath returns the path of the health check of a backend server.
func (w *Watch) healthPath(b *traffic.Backend) string {
	if c := w.view().Config; c != nil && c.Services[b.Service] != nil {
		return c.Services[b.Service].HealthPath
	}
	return "/"
}
