package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/estate"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

const (
	startLimit = 10 * time.Second
	startPoll  = 50 * time.Millisecond
	listLag    = 2 * time.Second
	// queuePerSlot bounds a backend server's queue; coldRequests and coldFactor
	// make its first requests slow.
	queuePerSlot = 2
	coldRequests = 20
	coldFactor   = 3.0
	platformName = "platform"
)

// startPlatform starts the stand-in of the platform.
func (b *Bed) startPlatform(ctx context.Context) error {
	err := b.procs.start(platformName, "standin", "platform", "--listen", b.platform, "--admin", b.admin, "--list-lag", listLag.String())
	if err != nil {
		return errors.Trace(err)
	}
	return b.waitFor(ctx, "http://"+b.admin+"/admin/stats")
}

// startBackends starts each backend server as a process of its own.
func (b *Bed) startBackends(ctx context.Context) error {
	var names []string
	for _, s := range b.Estate.Services {
		for _, be := range s.Backends {
			names = append(names, be.Name)
		}
	}
	return errors.Annotate(b.StartAll(ctx, names...), "a backend server does not answer; is its port taken by another process?")
}

func (b *Bed) startBackend(s *estate.Service, be estate.Backend, seed uint64) error {
	err := b.procs.start(be.Name, "standin", "backend",
		"--name", be.Name, "--listen", be.Address, "--runs", b.runsFile(be.Name), "--exit-on-crash",
		"--slots", strconv.Itoa(be.Slots), "--queue", strconv.Itoa(queuePerSlot*be.Slots),
		"--mean", s.MeanTime.String(), "--kind", backend.Uniform, "--seed", strconv.FormatUint(seed, 10),
		"--cold-requests", strconv.Itoa(b.coldRequests()), "--cold-factor", strconv.FormatFloat(coldFactor, 'f', -1, 64),
		"--drain-grace", "0s")
	if err != nil {
		return errors.Trace(err)
	}
	b.Watch.watchBackend(be)
	return b.List(api.Instance{ID: be.Name, Kind: api.KindBackend, Zone: be.Zone, State: api.InstanceLive})
}

func (b *Bed) coldRequests() int {
	if b.opts.ColdRequests > 0 {
		return b.opts.ColdRequests
	}
	return coldRequests
}

func (b *Bed) runsFile(name string) string { return filepath.Join(b.opts.Work, name+".runs") }

// startEntries starts the entry instances.
func (b *Bed) startEntries(ctx context.Context) error {
	var names []string
	for _, e := range b.Entries {
		names = append(names, e.ID)
	}
	return errors.Annotate(b.StartAll(ctx, names...), "an entry instance does not answer")
}

func (b *Bed) startEntry(e Entry) error {
	s := static.Default()
	s.ID, s.Zone = e.ID, e.Zone
	s.Listen, s.Advertise = e.Listen, e.Advertise
	s.Platform.Endpoints = []string{"http://" + b.platform}
	if b.opts.Policy != "" {
		s.Policy = b.opts.Policy
	}
	for _, o := range b.Entries {
		if o.ID != e.ID {
			s.Neighbours = append(s.Neighbours, o.Advertise.Peer)
		}
	}
	data, err := yaml.Marshal(s)
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(b.opts.Work, e.ID+".yaml")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return errors.Trace(err)
	}
	if err := b.openRelays(e.ID); err != nil {
		return errors.Trace(err)
	}
	b.Watch.watchEntry(e)
	if err := b.List(api.Instance{ID: e.ID, Kind: api.KindEntry, Zone: e.Zone, State: api.InstanceLive, Peer: e.Advertise.Peer}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(b.procs.start(e.ID, "banyandeald", "--settings", path))
}

// StartAll starts the named entry instances and backend servers and waits
// until they answer.
func (b *Bed) StartAll(ctx context.Context, names ...string) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, name := range names {
		url, err := b.startOne(name)
		if err != nil {
			return errors.Trace(err)
		}
		g.Go(func() error { return b.waitFor(ctx, url) })
	}
	return errors.Trace(g.Wait())
}

// startOne starts a process and returns the URL that answers once it runs.
func (b *Bed) startOne(name string) (url string, err error) {
	if e, ok := b.entry(name); ok {
		return "http://" + e.Advertise.Operator + "/v1/live", b.startEntry(e)
	}
	for i := range b.Estate.Services {
		s := &b.Estate.Services[i]
		for n, be := range s.Backends {
			if be.Name == name {
				return "http://" + be.Address + "/healthz", b.startBackend(s, be, uint64(n))
			}
		}
	}
	return "", errors.NotFoundf("process %s", name)
}

// waitFor calls a URL until it answers 200.
func (b *Bed) waitFor(ctx context.Context, url string) error {
	return b.Until(ctx, startLimit, "answer from "+url, func() bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		res, err := b.http.Do(req)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// Until polls a condition.
func (b *Bed) Until(ctx context.Context, limit time.Duration, what string, ok func() bool) error {
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			return errors.Errorf("no %s within %s; see the logs in %s", what, limit, b.opts.Work)
		}
		if err := Pause(ctx, startPoll); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Pause waits for a time.
func Pause(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// List puts an instance into the platform's list.
func (b *Bed) List(in api.Instance) error {
	return b.Admin(http.MethodPut, "/admin/instances/"+in.ID, in)
}

// Unlist takes an instance out of the platform's list.
func (b *Bed) Unlist(id string) error {
	return b.Admin(http.MethodDelete, "/admin/instances/"+id, nil)
}

// Admin calls an admin path of the platform's stand-in.
func (b *Bed) Admin(method, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequest(method, "http://"+b.admin+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	res, err := b.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusNoContent {
		return errors.Errorf("%s %s: status %d", method, path, res.StatusCode)
	}
	return nil
}
