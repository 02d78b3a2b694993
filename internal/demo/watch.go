package demo

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

// watcher samples the status of entry instances and the load of backend
// servers.
type watcher struct {
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

func newWatcher(e *estate.Estate, entries []entrySpec) *watcher {
	w := &watcher{
		estate: e, http: &http.Client{Timeout: sampleTimeout},
		operators: map[string]string{}, backends: map[string]string{},
		status: map[string]operator.Status{}, load: map[string]backend.Load{},
		links: map[linkName]*headroom{}, regions: map[string]*headroom{},
	}
	for _, i := range entries {
		w.operators[i.id] = i.operator
	}
	for _, l := range e.Links {
		w.links[linkName{l.From, l.To}] = &headroom{l.MaxInFlight, l.MaxInFlight}
	}
	for _, s := range e.Services {
		for _, b := range s.Backends {
			w.backends[b.Name] = b.Address
			r := w.region(b.Zone)
			if w.regions[r] == nil {
				w.regions[r] = &headroom{}
			}
			w.regions[r].capacity += b.Slots
			w.regions[r].least += b.Slots
		}
	}
	return w
}

func (w *watcher) region(zone string) string {
	z, _ := w.estate.ZoneOf(zone)
	return z.Region
}

// forget stops to sample a killed process.
func (w *watcher) forget(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.operators, name)
	delete(w.backends, name)
	delete(w.status, name)
	delete(w.load, name)
}

// run samples until the context ends.
func (w *watcher) run(ctx context.Context) {
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
func (w *watcher) sample(ctx context.Context) {
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

func (w *watcher) observeLinks() {
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

func (w *watcher) observeRegions() {
	used := map[string]int{}
	for _, s := range w.estate.Services {
		for _, b := range s.Backends {
			l := w.load[b.Name]
			used[w.region(b.Zone)] += l.Busy + l.Queued
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

// inForce returns when the last instance put a version of at least that number
// in force; ok is false while one has not.
func (w *watcher) inForce(version uint64) (last time.Time, ok bool) {
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

// version returns the highest version in force anywhere.
func (w *watcher) version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var v uint64
	for _, s := range w.status {
		v = max(v, s.Version)
	}
	return v
}

// zoneBusy returns the work in progress on a zone's backend servers.
func (w *watcher) zoneBusy(zone string) int {
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
func (w *watcher) linkNames() []linkName {
	return slices.SortedFunc(maps.Keys(w.links), func(a, b linkName) int {
		return slices.Compare([]string{a.from, a.to}, []string{b.from, b.to})
	})
}
