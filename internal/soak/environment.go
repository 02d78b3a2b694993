package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/store"
	"github.com/banyandeal/banyandeal/platform"
)

// host is the host of all routes.
const host = "soak.example"

// Layout of the estate.
var (
	zones    = []string{"east-a", "east-b", "west-a", "west-b"}
	regionOf = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}
)

const (
	backendsPerZone = 2
	callerPort      = 8144
	readyPort       = 8140
	directoryPort   = 8143
	peerPort        = 7660
	// graceTime is how long an instance may take to stop, startTime to be ready.
	graceTime = 6 * time.Second
	startTime = 5 * time.Second
	// drainTime is how long after its notice a backend server may get requests,
	// configTime how long a configuration may take to be in force.
	drainTime  = 2500 * time.Millisecond
	configTime = 2500 * time.Millisecond
)

// estate is the system under test with what is outside of it.
type estate struct {
	work, program string
	// run tells the names of this run from those of others on the machine.
	run       string
	store     *store.Store
	instances []*instance

	mu       sync.Mutex
	backends []*node
	// former holds the backend servers that have been replaced.
	former  []*node
	version int
	// routes holds the prefixes that were added, by the time of the version.
	routes map[string]time.Time
	names  int
}

// node is a backend server behind a proxy.
type node struct {
	*registered.Backend
	proxy *faultproxy.Proxy
	// drained is when it reported that it leaves; zero before.
	drained time.Time
}

// instance is a process of the system; its store is reached through a proxy.
type instance struct {
	name, zone, ip string
	settings       string
	storeProxy     *faultproxy.Proxy
	log            *os.File
	// busy is held by the step that does something to the process.
	busy sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// expected is set while the process may end.
	expected bool
	done     chan struct{}
	// failure is how it ended although it should not have.
	failure error
}

// estates numbers the estates of this process, for addresses of their own.
var estates atomic.Uint32

func newEstate(work, program string) (*estate, error) {
	number := estates.Add(1)
	e := &estate{
		work: work, program: program, run: fmt.Sprintf("%d-%d", os.Getpid(), number), store: store.New(), routes: map[string]time.Time{},
	}
	for n, zone := range zones {
		p, err := faultproxy.New(e.store.Address())
		if err != nil {
			return nil, errors.Trace(err)
		}
		e.instances = append(e.instances, &instance{
			name: fmt.Sprintf("front-%s", zone), zone: zone, storeProxy: p,
			ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, number%250+1, n+1),
		})
	}
	for _, zone := range zones {
		for range backendsPerZone {
			if err := e.addBackend(zone); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	e.configure("")
	return e, nil
}

func (e *estate) addBackend(zone string) error {
	p, err := faultproxy.New("")
	if err != nil {
		return errors.Trace(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.names++
	b := registered.StartBackend(e.store, registered.Start{
		Name: fmt.Sprintf("i-%s-%d", e.run, e.names), Zone: zone, Service: "shop", Advertise: p.Address(), Work: 10 * time.Millisecond,
	})
	p.SetTarget(b.Address())
	e.backends = append(e.backends, &node{Backend: b, proxy: p})
	return nil
}

// configure writes a new version; a prefix adds a route.
func (e *estate) configure(prefix string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	if prefix != "" {
		e.routes[prefix] = time.Now()
	}
	rules := []any{rule("/read/", "safe"), rule("/write/", "unsafe")}
	for p := range e.routes {
		rules = append(rules, rule(p, "safe"))
	}
	e.store.Put("op", "config", map[string]any{
		"version":   fmt.Sprintf("%08x", e.version),
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

// drain lets a backend server report that it leaves, and leave a while later; a
// new one takes its place. It does nothing for one that has left.
func (e *estate) drain(n *node) error {
	if !e.retire(n) {
		return nil
	}
	n.Report("draining", 0)
	time.AfterFunc(drainTime+time.Second, n.Leave)
	return e.addBackend(n.Zone)
}

// retire moves a backend server to the former ones and reports whether it was not
// there yet.
func (e *estate) retire(n *node) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.backends, n)
	if i < 0 {
		return false
	}
	n.drained = time.Now()
	e.backends = slices.Delete(e.backends, i, i+1)
	e.former = append(e.former, n)
	return true
}

// settingsText is the settings file of an instance.
func (e *estate) settingsText(i *instance) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "node_name: %q\nip: %q\nzone: %q\nregion: %q\nzones:\n", i.name, i.ip, i.zone, regionOf[i.zone])
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: %q\n", z, regionOf[z])
	}
	fmt.Fprintf(&b, "listen:\n  front: %q\n  ready: %q\n  directory: %q\n", i.address(callerPort), i.address(readyPort), i.address(directoryPort))
	fmt.Fprintf(&b, "inner_ports: [%d, %d]\nlimits: {memory_mb: 284}\n", peerPort, peerPort)
	fmt.Fprintf(&b, "bounds: [\"contact_s=4\", \"grace_s=%.0f\", \"ttl_max_s=5\", \"retry_budget_ratio=0.2\", \"retry_budget_slack=60\", \"budget_window_s=10\", \"cold_overshoot=1.5\", \"cold_slack=5\"]\n", graceTime.Seconds())
	fmt.Fprintf(&b, "platform: {address: %q, history_s: 20}\n", i.storeProxy.Address())
	return b.String()
}

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// start runs the process.
func (e *estate) start(i *instance) error {
	i.settings = filepath.Join(e.work, i.name+".yaml")
	if err := os.WriteFile(i.settings, []byte(e.settingsText(i)), 0o600); err != nil {
		return errors.Annotate(err, "write settings")
	}
	if i.log == nil {
		log, err := os.Create(filepath.Join(e.work, i.name+".log"))
		if err != nil {
			return errors.Annotate(err, "open a log")
		}
		i.log = log
	}
	cmd := exec.Command(e.program, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+i.settings)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "start %s", e.program)
	}
	i.mu.Lock()
	i.cmd, i.expected, i.done = cmd, false, make(chan struct{})
	done := i.done
	i.mu.Unlock()
	go i.watch(cmd, done)
	return nil
}

// watch waits for the end of the process.
func (i *instance) watch(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.expected && i.failure == nil {
		i.failure = errors.Errorf("%s ended by itself: %v", i.name, err)
	}
	close(done)
}

// signal sends a signal to the process that this soak has started.
func (i *instance) signal(s syscall.Signal, ends bool) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expected = i.expected || ends
	// A process that has just ended needs no signal.
	_ = i.cmd.Process.Signal(s)
	return i.done
}

// stop ends the process by SIGTERM and reports one that outlives its grace time.
func (i *instance) stop() error {
	done := i.signal(syscall.SIGTERM, true)
	select {
	case <-done:
		return nil
	case <-time.After(graceTime + time.Second):
		<-i.signal(syscall.SIGKILL, true)
		return errors.Errorf("%s outlives its grace time of %s", i.name, graceTime)
	}
}

func (i *instance) kill() { <-i.signal(syscall.SIGKILL, true) }

// ready reports whether the instance says that it is ready.
func (i *instance) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.address(readyPort)+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (e *estate) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTime)
	for _, i := range e.instances {
		for !i.ready(ctx) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return errors.Errorf("%s is not ready within %s", i.name, startTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends everything that the estate has started.
func (e *estate) close() {
	for _, i := range e.instances {
		i.mu.Lock()
		running := i.cmd != nil
		i.mu.Unlock()
		if running {
			i.kill()
			_ = i.log.Close()
		}
		i.storeProxy.Close()
	}
	for _, n := range append(e.backends, e.former...) {
		n.Stop()
		n.proxy.Close()
	}
	e.store.Close()
}
