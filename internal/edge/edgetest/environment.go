// Package edgetest runs entry instances inside a test process, against stand-ins
// for the platform's store and for backend servers.
package edgetest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/daemon"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/internal/standin/caller"
	"github.com/banyandeal/banyandeal/internal/standin/heldport"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// Host is the host name of all routes.
const Host = "shop.example"

// Route is a route of the configuration.
type Route struct {
	// Prefix is the path prefix. Kind is "safe" for idempotent requests, else
	// "unsafe". Service is the target of a route without a split.
	Prefix, Kind, Service string
	// Split maps the services of a split to their weights.
	Split map[string]float64
	// TimeoutS is the timeout in seconds; 0 stands for 2 s. ObjectiveS is the
	// latency objective in seconds; 0 stands for 1 s.
	TimeoutS, ObjectiveS float64
	// Attempts is the maximum number of attempts, at least 2.
	Attempts int
	// HomeRegions holds the only regions that may run the requests, if any.
	HomeRegions []string
	// Public is set if requests need no key of an account.
	Public bool
}

// Account is a client account of the configuration.
type Account struct {
	Name string
	Keys []string
	// PerSecond and Burst are its quota; a PerSecond of 0 is none.
	PerSecond, Burst float64
	// HomeRegions holds the only regions that may run its requests, if any.
	HomeRegions []string
}

// encode returns the account as the operator writes it.
func (a Account) encode() map[string]any {
	return map[string]any{"name": a.Name, "api_keys": a.Keys, "priority": 1, "rate_per_s": a.PerSecond, "burst": a.Burst, "home_regions": a.HomeRegions}
}

// Environment is a store with the instances and backend servers that use it.
type Environment struct {
	t *testing.T
	// Store is the stand-in for the platform's store.
	Store *store.Store
	// version is the version of the last configuration.
	version int
	// MaxBodyBytes is the bound on request bodies of the next configuration, 1 MiB at least.
	MaxBodyBytes int
	// Accounts holds the client accounts of the next configuration.
	Accounts []Account
	// ids counts the request ids.
	ids atomic.Int64
}

// New starts an Environment without instances and backend servers. The test's
// cleanup stops it.
func New(t *testing.T) *Environment {
	s := store.New()
	t.Cleanup(s.Close)
	return &Environment{t: t, Store: s}
}

// Configure writes a new version of the configuration to the store.
func (e *Environment) Configure(routes ...Route) {
	e.version++
	rules, names := []any{}, map[string]bool{}
	for _, r := range routes {
		action := map[string]any{"timeout_s": orDefault(r.TimeoutS, 2), "max_attempts": max(2, r.Attempts), "home_regions": r.HomeRegions}
		if len(r.Split) > 0 {
			var split []any
			for service, weight := range r.Split {
				split = append(split, map[string]any{"service": service, "weight": weight})
				names[service] = true
			}
			action["split"] = split
		} else {
			action["service"] = r.Service
			names[r.Service] = true
		}
		rules = append(rules, map[string]any{
			"name": "r" + r.Prefix, "kind": r.Kind, "target_latency_s": orDefault(r.ObjectiveS, 1), "priority": 1, "sticky": true, "public": r.Public,
			"match": map[string]any{"prefix": r.Prefix}, "action": action,
		})
	}
	var clusters []any
	for name := range names {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/health", "max_conns": 100, "cold_start_s": 3, "cold_per_s": 2})
	}
	accounts := []any{}
	for _, a := range e.Accounts {
		accounts = append(accounts, a.encode())
	}
	e.Store.Put("op", "config", map[string]any{
		"tenants":   accounts,
		"version":   fmt.Sprintf("%08x", e.version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": max(1<<20, e.MaxBodyBytes), "header_timeout_s": 1, "idle_timeout_s": 5},
		"listeners": []any{map[string]any{"host": Host, "rules": rules}}, "clusters": clusters,
	})
}

func orDefault(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

// Backend starts and registers a backend server. The test's cleanup stops it.
func (e *Environment) Backend(options Start) *Backend {
	b := registered.StartBackend(e.Store, options)
	e.t.Cleanup(b.Stop)
	return b
}

// Instance is a running entry instance.
type Instance struct {
	// Settings holds the start settings of the instance.
	Settings *traffic.Settings
	// Stop begins the planned shutdown.
	Stop context.CancelFunc
	// Done is closed when the instance has stopped.
	Done    chan struct{}
	metrics *metrics.Metrics
	// dialer opens the connections to backend servers.
	dialer *backendDialer
}

// StoreCalls returns how many calls the instance has made to the store, by operation and
// table, such as "changes_servers".
func (i *Instance) StoreCalls() map[string]int {
	return parseStoreCalls(i.metricsText())
}

// metricsText returns the metrics of the instance in text format.
func (i *Instance) metricsText() string {
	recorder := httptest.NewRecorder()
	i.metrics.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	return recorder.Body.String()
}

// counter returns the value of a metric of the instance, 0 if there is none.
func (i *Instance) counter(name string) int {
	m := regexp.MustCompile(`(?m)^banyandeal_` + name + ` (\d+)$`).FindStringSubmatch(i.metricsText())
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(m[1])
	return n
}

// parseStoreCalls returns the calls to the store that metrics in text format tell of.
func parseStoreCalls(text string) map[string]int {
	calls := map[string]int{}
	for _, m := range storeCallMetric.FindAllStringSubmatch(text, -1) {
		calls[m[1]], _ = strconv.Atoi(m[2])
	}
	return calls
}

// storeCallMetric matches the metric of one operation and table.
var storeCallMetric = regexp.MustCompile(`(?m)^banyandeal_store_calls_(\w+)_total (\d+)$`)

// RegionOf maps the availability zones of every Environment to their regions.
var RegionOf = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// Instance starts an entry instance and waits until it is ready.
func (e *Environment) Instance(name, zone string) *Instance {
	i := e.startInstance(name, zone)
	require.Eventually(e.t, i.Ready, 5*time.Second, 5*time.Millisecond)
	return i
}

// startInstance starts an entry instance without waiting until it is ready. The
// test's cleanup stops it.
func (e *Environment) startInstance(name, zone string) *Instance {
	return e.startInstanceAt(name, zone, e.Store.Address())
}

// startInstanceAt starts an entry instance that reaches the store at an address, as
// startInstance does.
func (e *Environment) startInstanceAt(name, zone, storeAddress string) *Instance {
	return e.startInstanceWith(name, zone, func(s *traffic.Settings) { s.Store.Address = storeAddress })
}

// startInstanceWith starts an entry instance whose settings change adapts, as startInstance does.
func (e *Environment) startInstanceWith(name, zone string, change func(*traffic.Settings)) *Instance {
	ports := holdPorts(e.t, 4)
	peer := netip.MustParseAddrPort(ports[3].Address())
	s := &traffic.Settings{
		Instance: name, Zone: zone, Region: RegionOf[zone], RegionOf: RegionOf, IP: peer.Addr().String(), PeerPort: int(peer.Port()),
		Listen: traffic.Listen{Callers: ports[0].Address(), Ready: ports[1].Address(), Directory: ports[2].Address()},
		Store:  traffic.Store{Address: e.Store.Address()},
		Bounds: traffic.Bounds{
			DeadInstanceListing: 4 * time.Second, GracePeriod: 4 * time.Second, MaxTTL: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 60,
			RetryWindow: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5,
			Quota: traffic.QuotaBounds{Window: time.Second, Overshoot: 0.1, Slack: 4},
		},
	}
	change(s)
	log := zerolog.New(zerolog.TestWriter{T: discardLogs{}})
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{Settings: s, Stop: cancel, Done: make(chan struct{}), metrics: metrics.New(), dialer: &backendDialer{}}
	network := daemon.NewNetwork()
	network.Backends = i.dialer
	d := daemon.New(s, log, i.metrics, network, random.Unpredictable())
	go func() {
		defer close(i.Done)
		// An error means a listener that cannot be opened or has failed.
		if err := d.Run(ctx); err != nil {
			e.t.Errorf("instance %s has ended: %v", name, err)
		}
	}()
	e.t.Cleanup(func() {
		cancel()
		<-i.Done
	})
	return i
}

// discardLogs drops log lines, because instances may log after the end of their
// test.
type discardLogs struct{}

func (discardLogs) Log(...any)          {}
func (discardLogs) Logf(string, ...any) {}
func (discardLogs) Helper()             {}

// holdPorts returns n distinct ports that nobody else gets before the end of the test.
func holdPorts(t *testing.T, n int) []*heldport.Port {
	var ports []*heldport.Port
	for range n {
		p, err := heldport.Hold("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(p.Release)
		ports = append(ports, p)
	}
	return ports
}

// Ready reports whether the readiness check of the instance succeeds.
func (i *Instance) Ready() bool {
	resp, err := http.Get("http://" + i.Settings.Listen.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Addresses returns the addresses that the instance lists for callers of an
// availability zone, or nil if the lookup fails.
func (i *Instance) Addresses(zone string) []string {
	resp, err := http.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", i.Settings.Listen.Directory, Host, RegionOf[zone], zone))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addrs
}

// CallerRequest is a request of a caller.
type CallerRequest struct {
	// Method is the HTTP method, GET if empty. Path is the request target. Body
	// is the request body. Object is the affinity key, if any.
	Method, Path, Body, Object string
	// Key is the key of the caller's account, if any. Header holds further header lines.
	Key, Header string
	// DeadlineMs is the caller's timeout in milliseconds; 0 sends none.
	DeadlineMs int
}

// CallerResponse is the response to a CallerRequest.
type CallerResponse struct {
	// ID is the id of the request.
	ID string
	// Status is the HTTP status.
	Status int
	// Header holds the response headers.
	Header http.Header
	// Body is the response body.
	Body string
	// ClosesConnection is set when the connection closes after the response.
	ClosesConnection bool
	// Err is set when the connection ended without a complete response.
	Err error
}

// NewID returns a request id that is unique in the Environment.
func (e *Environment) NewID() string { return fmt.Sprintf("id-%d", e.ids.Add(1)) }

// Encode returns the request with the given id in HTTP/1.1 format.
func (c CallerRequest) Encode(id string) string {
	return caller.Request{
		Method: c.Method, Path: c.Path, Host: Host, Body: c.Body, Object: c.Object, Key: c.Key, Header: c.Header, Timeout: time.Duration(c.DeadlineMs) * time.Millisecond,
	}.Encode(id)
}

// Do sends a request on a new connection and reads the response.
func (e *Environment) Do(i *Instance, c CallerRequest) CallerResponse {
	id := e.NewID()
	nc, err := net.Dial("tcp", i.Settings.Listen.Callers)
	if err != nil {
		return CallerResponse{ID: id, Err: err}
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, c.Encode(id)); err != nil {
		return CallerResponse{ID: id, Err: err}
	}
	r := ReadCallerResponse(bufio.NewReader(nc))
	r.ID = id
	return r
}

// ReadCallerResponse reads one response, without its ID.
func ReadCallerResponse(br *bufio.Reader) CallerResponse {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return CallerResponse{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return CallerResponse{Status: resp.StatusCode, Header: resp.Header, Body: string(body), ClosesConnection: resp.Close, Err: err}
}
