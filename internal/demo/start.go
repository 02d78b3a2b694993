package demo

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
func (d *demo) startPlatform(ctx context.Context) error {
	addrs, err := freeAddresses(2)
	if err != nil {
		return errors.Trace(err)
	}
	d.platformURL, d.adminURL = "http://"+addrs[0], "http://"+addrs[1]
	err = d.procs.start(platformName, "standin", "platform", "--listen", addrs[0], "--admin", addrs[1], "--list-lag", listLag.String())
	if err != nil {
		return errors.Trace(err)
	}
	return d.waitFor(ctx, d.adminURL+"/admin/stats")
}

// startBackends starts each backend server as a process of its own.
func (d *demo) startBackends(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range d.estate.Services {
		s := &d.estate.Services[i]
		for n, b := range s.Backends {
			if err := d.startBackend(s, b, uint64(n)); err != nil {
				return errors.Trace(err)
			}
			g.Go(func() error { return d.waitFor(ctx, "http://"+b.Address+"/healthz") })
		}
	}
	return errors.Annotate(g.Wait(), "a backend server does not answer; is its port taken by another process?")
}

func (d *demo) startBackend(s *estate.Service, b estate.Backend, seed uint64) error {
	err := d.procs.start(b.Name, "standin", "backend",
		"--name", b.Name, "--listen", b.Address, "--runs", d.runsFile(b.Name), "--exit-on-crash",
		"--slots", strconv.Itoa(b.Slots), "--queue", strconv.Itoa(queuePerSlot*b.Slots),
		"--mean", s.MeanTime.String(), "--kind", backend.Uniform, "--seed", strconv.FormatUint(seed, 10),
		"--cold-requests", strconv.Itoa(coldRequests), "--cold-factor", strconv.FormatFloat(coldFactor, 'f', -1, 64),
		"--drain-grace", "0s")
	if err != nil {
		return errors.Trace(err)
	}
	return d.list(api.Instance{ID: b.Name, Kind: api.KindBackend, Zone: b.Zone, State: api.InstanceLive})
}

func (d *demo) runsFile(name string) string { return filepath.Join(d.work, name+".runs") }

// startEntries starts the entry instances.
func (d *demo) startEntries(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range d.entries {
		if err := d.startEntry(e); err != nil {
			return errors.Trace(err)
		}
		g.Go(func() error { return d.waitFor(ctx, "http://"+e.operator+"/v1/live") })
	}
	return errors.Annotate(g.Wait(), "an entry instance does not answer")
}

func (d *demo) startEntry(e entrySpec) error {
	s := static.Default()
	s.ID, s.Zone = e.id, e.zone
	s.Listen = static.Addresses{Caller: e.caller, Peer: e.peer, Operator: e.operator}
	s.Platform.Endpoints = []string{d.platformURL}
	for _, o := range d.entries {
		if o.id != e.id {
			s.Neighbours = append(s.Neighbours, o.peer)
		}
	}
	data, err := yaml.Marshal(s)
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(d.work, e.id+".yaml")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return errors.Trace(err)
	}
	if err := d.list(api.Instance{ID: e.id, Kind: api.KindEntry, Zone: e.zone, State: api.InstanceLive, Peer: e.peer}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(d.procs.start(e.id, "banyandeald", "--settings", path))
}

// waitFor calls a URL until it answers 200.
func (d *demo) waitFor(ctx context.Context, url string) error {
	return d.until(ctx, startLimit, "answer from "+url, func() bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		res, err := d.http.Do(req)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// until polls a condition.
func (d *demo) until(ctx context.Context, limit time.Duration, what string, ok func() bool) error {
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			return errors.Errorf("no %s within %s; see the logs in %s", what, limit, d.work)
		}
		if err := pause(ctx, startPoll); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func pause(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// list puts an instance into the platform's list, unlist takes it out.
func (d *demo) list(in api.Instance) error {
	return d.admin(http.MethodPut, "/admin/instances/"+in.ID, in)
}

func (d *demo) unlist(id string) error {
	return d.admin(http.MethodDelete, "/admin/instances/"+id, nil)
}

func (d *demo) admin(method, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequest(method, d.adminURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	res, err := d.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusNoContent {
		return errors.Errorf("%s %s: status %d", method, path, res.StatusCode)
	}
	return nil
}
