package testbed

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

const (
	samplePeriod  = 200 * time.Millisecond
	sampleTimeout = time.Second
	maxStatus     = 4 << 20
)

// linkName names a link by its regions.
type linkName struct{ from, to string }

// headroom is the least that was left of something over all samples.
type headroom struct {
	capacity, least int
}

func (h *headroom) observe(used int) { h.least = min(h.least, h.capacity-used) }

// Watcher samples the status of entry instances and the load of backend
// servers.
type Watcher struct {
	estate *estate.Estate
	http   *http.Client

	mu sync.Mutex
	// operators and backends are the addresses sampled, by name. What was
	// killed is taken out.
	operators map[string]string
	backends  map[string]string
	status    map[string]operator.Status
	load      map[string]backend.Load
	links     map[linkName]*headroom
	regions   map[string]*headroom
	samples   int
}

func newWatcher(e *estate.Estate, entries []Entry) *Watcher {
	w := &Watcher{
		estate: e, http: &http.Client{Timeout: sampleTimeout},
		operators: map[string]string{}, backends: map[string]string{},
		status: map[string]operator.Status{}, load: map[string]backend.Load{},
		links: map[linkName]*headroom{}, regions: map[string]*headroom{},
	}
	for _, i := range entries {
		w.watchEntry(i)
	}
	for _, l := range e.Links {
		w.links[linkName{l.From, l.To}] = &headroom{l.MaxInFlight, l.MaxInFlight}
	}
	for _, s := range e.Services {
		for _, b := range s.Backends {
			w.watchBackend(b)
			r := w.Region(b.Zone)
			if w.regions[r] == nil {
				w.regions[r] = &headroom{}
			}
			w.regions[r].capacity += b.Slots
			w.regions[r].least += b.Slots
		}
	}
	return w
}

// Region returns the region of a zone.
func (w *Watcher) Region(zone string) string {
	z, _ := w.estate.ZoneOf(zone)
	return z.Region
}

func (w *Watcher) watchEntry(e Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.operators[e.ID] = e.Advertise.Operator
}

func (w *Watcher) watchBackend(b estate.Backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends[b.Name] = b.Address
}

// Forget stops to sample a killed process.
func (w *Watcher) Forget(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.operators, name)
	delete(w.backends, name)
	delete(w.status, name)
	delete(w.load, name)
}

// run samples until the context ends.
func (w *Watcher) run(ctx context.Context) {
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		w.sample(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sample asks everyone at once, so that the answers are of about one moment.
func (w *Watcher) sample(ctx context.Context) {
	w.mu.Lock()
	operators, backends := maps.Clone(w.operators), maps.Clone(w.backends)
	w.mu.Unlock()
	status := gather[operator.Status](ctx, w.http, operators, "/v1/status")
	load := gather[backend.Load](ctx, w.http, backends, "/load")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status, w.load = status, load
	w.samples++
	w.observeLinks()
	w.observeRegions()
}

func (w *Watcher) observeLinks() {
	used := map[linkName]int{}
	for _, s := range w.status {
		for _, l := range s.Links {
			used[linkName{l.From, l.To}] += l.InFlight
		}
	}
	for name, n := range used {
		if h := w.links[name]; h != nil {
			h.observe(n)
		}
	}
}

func (w *Watcher) observeRegions() {
	used := map[string]int{}
	for _, s := range w.estate.Services {
		for _, b := range s.Backends {
			l := w.load[b.Name]
			used[w.Region(b.Zone)] += l.Busy + l.Queued
		}
	}
	for name, n := range used {
		w.regions[name].observe(n)
	}
}

// gather calls all addresses at the same time; those that don't answer are
// left out.
func gather[T any](ctx context.Context, c *http.Client, addrs map[string]string, path string) map[string]T {
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		out = map[string]T{}
	)
	for name, addr := range addrs {
		wg.Go(func() {
			var v T
			if err := getJSON(ctx, c, "http://"+addr+path, &v); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[name] = v
		})
	}
	wg.Wait()
	return out
}

func getJSON(ctx context.Context, c *http.Client, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	res, err := c.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", url, res.StatusCode)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(res.Body, maxStatus)).Decode(v))
}

// InForce returns when the last instance put a version of at least that number
// in force; ok is false while one has not.
func (w *Watcher) InForce(version uint64) (last time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.operators {
		s, known := w.status[id]
		if !known || s.Version < version {
			return last, false
		}
		if s.Version == version && s.InForceSince.After(last) {
			last = s.InForceSince
		}
	}
	return last, true
}

// Version returns the highest version in force anywhere.
func (w *Watcher) Version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var v uint64
	for _, s := range w.status {
		v = max(v, s.Version)
	}
	return v
}

// ZoneBusy returns the work in progress on a zone's backend servers.
func (w *Watcher) ZoneBusy(zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.estate.Services {
		for _, b := range s.Backends {
			if b.Zone == zone {
				n += w.load[b.Name].Busy + w.load[b.Name].Queued
			}
		}
	}
	return n
}

// linkNames returns the links in order.
func (w *Watcher) linkNames() []linkName {
	return slices.SortedFunc(maps.Keys(w.links), func(a, b linkName) int {
		return slices.Compare([]string{a.from, a.to}, []string{b.from, b.to})
	})
}

// Headroom is the least that was left of a region's slots or a link's cap in
// any sample.
type Headroom struct {
	Name            string
	Capacity, Least int
	// Link tells that it is a link's.
	Link bool
}

// Headrooms lists regions and then links, each in order, and returns from how
// many samples they are.
func (w *Watcher) Headrooms() (list []Headroom, samples int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.regions)) {
		h := w.regions[name]
		list = append(list, Headroom{Name: "region " + name + ", slots", Capacity: h.capacity, Least: h.least})
	}
	for _, l := range w.linkNames() {
		h := w.links[l]
		list = append(list, Headroom{Name: "link " + l.from + " to " + l.to + ", in flight", Capacity: h.capacity, Least: h.least, Link: true})
	}
	return list, w.samples
}
