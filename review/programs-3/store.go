package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// host is the host of all routes.
const host = "shop.example"

// platformStore is the project's stand-in of the platform's store, which can be down.
type platformStore struct {
	*store.Store
	down atomic.Bool
	log  *record
}

func newPlatformStore(log *record) *platformStore {
	return &platformStore{Store: store.New(), log: log}
}

// setDown takes the store away, as `platform_down` with `silent` does, or brings it back.
func (s *platformStore) setDown(down bool) {
	s.down.Store(down)
	s.SetTrouble(func(*http.Request) store.Trouble {
		if s.down.Load() {
			return store.Hang
		}
		return store.None
	})
	s.log.event("store", map[string]any{"down": down})
}

// route is one rule of the manifest.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
	attempts              int
}

// configure writes a manifest, as PROTOCOL.md lays it out.
func (s *platformStore) configure(version int, services []string, routes []route) {
	var rules, clusters []any
	for n, r := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "kind": r.kind, "target_latency_s": 0.6, "priority": 1, "sticky": true,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_s": r.timeout.Seconds(), "max_attempts": r.attempts, "home_regions": []string{}},
		})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health_path": healthPath, "max_conns": 390, "cold_start_s": coldStart.Seconds(), "cold_per_s": coldPerSecond})
	}
	s.Put("op", "config", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  clusters,
	})
	s.log.event("manifest", map[string]any{"version": version})
}

// record writes what happens as lines of JSON.
type record struct {
	began time.Time
	mu    sync.Mutex
	lines [][]byte
}

func newRecord() *record { return &record{began: time.Now()} }

// since returns the seconds since the beginning.
func (r *record) since(t time.Time) float64 { return float64(t.Sub(r.began).Milliseconds()) / 1000 }

func (r *record) event(what string, fields map[string]any) {
	fields["at"], fields["what"] = r.since(time.Now()), what
	line, err := json.Marshal(fields)
	if err != nil {
		line = fmt.Appendf(nil, "%q", err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}
