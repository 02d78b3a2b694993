// Package edgetest starts entry instances of the users' platform inside a test,
// against stand-ins for the store and for backend servers.
package edgetest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/daemon"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// Host is the host of all routes.
const Host = "shop.example"

// Route is a route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	Split                 map[string]float64
	TimeoutS, ObjectiveS  float64
	Attempts              int
	Homes                 []string
}

// Estate is a store with instances and backend servers.
type Estate struct {
	t       *testing.T
	Store   *store.Store
	version int
	ids     atomic.Int64
}

// New starts a store.
func New(t *testing.T) *Estate {
	s := store.New()
	t.Cleanup(s.Close)
	return &Estate{t: t, Store: s}
}

// Configure writes a new version of the configuration.
func (e *Estate) Configure(routes ...Route) {
	e.version++
	rules, names := []any{}, map[string]bool{}
	for _, r := range routes {
		action := map[string]any{"timeout_s": or(r.TimeoutS, 2), "max_attempts": max(2, r.Attempts), "home_regions": r.Homes}
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
			"name": "r" + r.Prefix, "kind": r.Kind, "target_latency_s": or(r.ObjectiveS, 1), "priority": 1, "sticky": true,
			"match": map[string]any{"prefix": r.Prefix}, "action": action,
		})
	}
	var clusters []any
	for name := range names {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/health", "max_conns": 100, "cold_start_s": 3, "cold_per_s": 2})
	}
	e.Store.Put("op", "config", map[string]any{
		"version":   fmt.Sprintf("%08x", e.version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 1, "idle_timeout_s": 5},
		"listeners": []any{map[string]any{"host": Host, "rules": rules}}, "clusters": clusters,
	})
}

func or(value, other float64) float64 {
	if value == 0 {
		return other
	}
	return value
}

// Backend starts a backend server.
func (e *Estate) Backend(start Start) *Backend {
	b := registered.StartBackend(e.Store, start)
	e.t.Cleanup(b.Stop)
	return b
}

// Instance is a running entry instance.
type Instance struct {
	Settings *traffic.Settings
	Stop     context.CancelFunc
	Done     chan struct{}
}

// RegionOf maps the zones of every estate.
var RegionOf = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// Instance starts an entry instance and waits until it is ready.
func (e *Estate) Instance(name, zone string) *Instance {
	i := e.start(name, zone)
	require.Eventually(e.t, i.Ready, 5*time.Second, 5*time.Millisecond)
	return i
}

func (e *Estate) start(name, zone string) *Instance {
	ports := freePorts(e.t, 4)
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[n]) }
	s := &traffic.Settings{
		Instance: name, Zone: zone, Region: RegionOf[zone], RegionOf: RegionOf, IP: "127.0.0.1", PeerPort: ports[3],
		Listen: traffic.Listen{Callers: address(0), Ready: address(1), Directory: address(2)},
		Store:  traffic.Store{Address: e.Store.Address()},
		Bounds: traffic.Bounds{
			DeadInstanceListing: 4 * time.Second, GracePeriod: 4 * time.Second, MaxTTL: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 60,
			RetryWindow: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5,
		},
	}
	log := zerolog.New(zerolog.TestWriter{T: quiet{}})
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{Settings: s, Stop: cancel, Done: make(chan struct{})}
	d := daemon.New(s, log, metrics.New())
	go func() {
		defer close(i.Done)
		_ = d.Run(ctx)
	}()
	e.t.Cleanup(func() {
		cancel()
		<-i.Done
	})
	return i
}

// quiet drops log lines; instances may log after their test.
type quiet struct{}

func (quiet) Log(...any)          {}
func (quiet) Logf(string, ...any) {}
func (quiet) Helper()             {}

func freePorts(t *testing.T, n int) []int {
	var ports []int
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports
}

// Ready reports whether the instance says that it is ready.
func (i *Instance) Ready() bool {
	resp, err := http.Get("http://" + i.Settings.Listen.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Addresses asks the directory for the callers' addresses of a zone.
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

// Call is one request of a caller.
type Call struct {
	Method, Path, Body, Object string
	DeadlineMs                 int
}

// Reply is what a caller gets.
type Reply struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	// Closes tells that the connection ends behind the answer.
	Closes bool
	// Err is set when the connection ended without a whole answer.
	Err error
}

// NewID returns an id that no other request has.
func (e *Estate) NewID() string { return fmt.Sprintf("id-%d", e.ids.Add(1)) }

// Text returns the bytes of a request.
func (c Call) Text(id string) string {
	var b strings.Builder
	method := c.Method
	if method == "" {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Banyandeal-Request-Id: %s\r\n", method, c.Path, Host, id)
	if c.Object != "" {
		fmt.Fprintf(&b, "Cookie: X-Banyandeal-Affinity-Key=%s\r\n", c.Object)
	}
	if c.DeadlineMs > 0 {
		fmt.Fprintf(&b, "X-Banyandeal-Deadline-Ms: %d\r\n", c.DeadlineMs)
	}
	if c.Body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n" + c.Body)
	return b.String()
}

// Do sends one request on a new connection.
func (e *Estate) Do(i *Instance, c Call) Reply {
	id := e.NewID()
	nc, err := net.Dial("tcp", i.Settings.Listen.Callers)
	if err != nil {
		return Reply{ID: id, Err: err}
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, c.Text(id)); err != nil {
		return Reply{ID: id, Err: err}
	}
	r := ReadReply(bufio.NewReader(nc))
	r.ID = id
	return r
}

// ReadReply reads one answer.
func ReadReply(br *bufio.Reader) Reply {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Closes: resp.Close, Err: err}
}
