package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/wait"
)

const (
	// minLargeConfig and maxLargeConfig bound the routes that one step adds. maxRoutes
	// bounds all added routes, so that the configuration fits into one call of the store.
	minLargeConfig = 10
	maxLargeConfig = 3000
	maxRoutes      = 3000
	// maxLargeChanges bounds the changes in a row of one step.
	maxLargeChanges = 4
	// maxChangeGap bounds the time between two of them.
	maxChangeGap = 1500 * time.Millisecond
	// stormTime bounds the duration of a storm of changes, stormGap the time between two.
	stormTime = 8 * time.Second
	stormGap  = 400 * time.Millisecond
	// checkedTime is how long requests can show that a change is in force, after the time
	// that it may take.
	checkedTime = time.Second
	// routeShare is the share of the reads that go to routes that were added or removed,
	// removedShare the share of those that go to removed ones.
	routeShare   = 0.2
	removedShare = 0.2
)

// route describes when a route was part of the configuration.
type route struct {
	// added is when the store had confirmed the configuration that adds the route.
	added time.Time
	// removing is when the configuration that removes it was sent, removed when the store
	// had confirmed that; both are zero before.
	removing, removed time.Time
}

// configure writes a new version of the configuration, which adds and removes routes.
func (e *environment) configure(add, remove []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	for _, p := range remove {
		e.routes[p].removing = time.Now()
	}
	gone := map[string]bool{}
	for _, p := range remove {
		gone[p] = true
	}
	var kept []string
	for _, p := range e.prefixes {
		if !gone[p] {
			kept = append(kept, p)
		}
	}
	e.prefixes = append(kept, add...)
	e.removed = append(e.removed, remove...)
	e.writeConfig()
	for _, p := range add {
		e.routes[p] = &route{added: time.Now()}
	}
	for _, p := range remove {
		e.routes[p].removed = time.Now()
	}
}

// writeConfig writes the configuration with the current routes. The caller holds e.mu.
func (e *environment) writeConfig() {
	rules := []any{rule("/read/", "safe"), rule("/write/", "unsafe")}
	for _, p := range e.prefixes {
		rules = append(rules, rule(p, "safe"))
	}
	e.store.Put("op", "config", map[string]any{
		"version":   fmt.Sprintf("%08x", e.version),
		"tenants":   e.accounts.encode(),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 2, "idle_timeout_s": 10},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  []any{map[string]any{"name": "shop", "health_path": "/health", "max_conns": 200, "cold_start_s": 1, "cold_per_s": 20}},
	})
}

func rule(prefix, kind string) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "kind": kind, "target_latency_s": 0.5, "priority": 1, "sticky": true,
		"match":  map[string]any{"prefix": prefix},
		"action": map[string]any{"service": "shop", "timeout_s": 1.5, "max_attempts": 2},
	}
}

func randomPrefix(rng *rand.Rand) string { return fmt.Sprintf("/added-%016x/", rng.Uint64()) }

// anyRoute returns the prefix of a random route that was added, or of one that was
// removed; /read/ if there is none.
func (e *environment) anyRoute(rng *rand.Rand) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.removed) > 0 && rng.Float64() < removedShare {
		return e.removed[rng.IntN(len(e.removed))]
	}
	if n := rng.IntN(len(e.prefixes) + 1); n < len(e.prefixes) {
		return e.prefixes[n]
	}
	return "/read/"
}

// routeOf returns the route that was added for a path, or false if the path belongs to a
// route that exists from the start.
func (e *environment) routeOf(path string) (route, bool) {
	end := strings.Index(path[1:], "/")
	if end < 0 {
		return route{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.routes[path[:end+2]]
	if !ok {
		return route{}, false
	}
	return *r, true
}

// configViolation describes how a request was handled by a configuration that was no longer
// in force, or not yet. It returns "" if the request was handled as it may be.
func configViolation(e *environment, r record, faultsBegin time.Time) string {
	bound := e.bindsConfig(r, faultsBegin)
	rt, added := e.routeOf(r.path)
	switch {
	case r.status < http.StatusMultipleChoices:
		if bound && !rt.removed.IsZero() && r.sent.After(rt.removed.Add(maxConfigDelay)) {
			return fmt.Sprintf("%s to %s was served %s after its route was removed: %s", r.id, r.instance, r.sent.Sub(rt.removed), r.path)
		}
	case !added:
		return fmt.Sprintf("%s to %s got unexpected status %d: %s", r.id, r.instance, r.status, r.path)
	case !rt.removing.IsZero() && r.sent.Add(r.latency).After(rt.removing):
	case bound && r.sent.After(rt.added.Add(maxConfigDelay)):
		return fmt.Sprintf("%s to %s got status %d %s after its route was added: %s", r.id, r.instance, r.status, r.sent.Sub(rt.added), r.path)
	}
	return ""
}

// bindsConfig reports whether the instance of a request must have the configuration in
// time: before the first faults, and later if it is in touch.
func (e *environment) bindsConfig(r record, faultsBegin time.Time) bool {
	return r.sent.Before(faultsBegin) || e.inTouch(r.instance, r.sent, r.sent.Add(r.latency))
}

// inTouch reports whether the instance with the given address was in touch at a time and
// undisturbed until another. Plans that disturb the store leave nobody in touch.
func (e *environment) inTouch(address string, at, until time.Time) bool {
	return e.plan.storeIsCalm && !e.interrupted(address, at.Add(-contact), until)
}

// changeLargeConfig adds up to maxLargeConfig routes in one or several changes in a row,
// and removes them later.
func changeLargeConfig(ctx context.Context, e *environment, rng *rand.Rand) error {
	var added []string
	for range 1 + rng.IntN(maxLargeChanges) {
		prefixes := e.newPrefixes(rng)
		e.configure(prefixes, nil)
		added = append(added, prefixes...)
		wait.Sleep(ctx, randomDuration(rng, maxChangeGap))
	}
	wait.Sleep(ctx, maxConfigDelay+checkedTime)
	for len(added) > 0 {
		n := len(added)
		if rng.IntN(2) == 0 {
			n = (n + 1) / 2
		}
		e.configure(nil, added[:n])
		added = added[n:]
		wait.Sleep(ctx, randomDuration(rng, maxChangeGap))
	}
	wait.Sleep(ctx, maxConfigDelay+checkedTime)
	return nil
}

// newPrefixes returns the prefixes of a random number of routes, as many of them few as
// many.
func (e *environment) newPrefixes(rng *rand.Rand) []string {
	n := int(minLargeConfig * math.Pow(maxLargeConfig/minLargeConfig, rng.Float64()))
	e.mu.Lock()
	n = min(n, maxRoutes-len(e.prefixes))
	e.mu.Unlock()
	var prefixes []string
	for range n {
		prefixes = append(prefixes, randomPrefix(rng))
	}
	return prefixes
}

// changeConfigRapidly adds a route and removes the one before, again and again.
func changeConfigRapidly(ctx context.Context, e *environment, rng *rand.Rand) error {
	end := time.Now().Add(randomDuration(rng, stormTime))
	var before []string
	for time.Now().Before(end) && ctx.Err() == nil {
		next := []string{randomPrefix(rng)}
		e.configure(next, before)
		before = next
		wait.Sleep(ctx, randomDuration(rng, stormGap))
	}
	return nil
}
