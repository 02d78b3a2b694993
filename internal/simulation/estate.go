// Package simulation runs whole estates of entry instances in simulated time: the daemon as it
// ships, on a network in memory, against stand-ins for the store, backend servers, callers and
// the operator. Troubles come from a day; Judge finds the broken rules in what callers, backend
// servers and the operator have seen.
//
// It needs a bubble of testing/synctest, so that it runs in tests only.
package simulation

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/edge/daemon"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/simnet"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// Latencies of the network.
const (
	zoneLatency   = 300 * time.Microsecond
	regionLatency = 25 * time.Millisecond
	longestDetour = 20 * time.Microsecond
)

// Ports of an instance and of the other nodes.
const (
	callerPort    = 8001
	readyPort     = 8002
	directoryPort = 8003
	peerPort      = 8004
	backendPort   = 8401
	storeAddress  = "10.0.0.1:8500"
	storeNode     = "store"
)

// zones are the availability zones of every estate, in two regions.
var (
	zones    = []string{"a1", "a2", "b1", "b2"}
	regionOf = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
)

// bytesPerMbit is the number of bytes in a Mbit.
const bytesPerMbit = 1e6 / 8

const (
	service = "shop"
	host    = "shop.example"
	// work is how long a backend server runs a request, down how long it is away after a crash.
	work = 20 * time.Millisecond
	down = 2500 * time.Millisecond
	// linkMbps is the rate of the link of an instance in Mbit/s, storeMbps that of the store's.
	linkMbps  = 10
	storeMbps = 100
	// startGap separates the starts of instances, whose timers would else end at the same moments.
	startGap = 1371 * time.Microsecond
	// gracePeriod is how long a stopped instance may run on.
	gracePeriod = 6 * time.Second
)

// Estate is a simulated estate.
type Estate struct {
	net   *simnet.Memory
	store *store.Store
	log   *logLines
	seed  uint64

	// storeHost and callers are the processes of the store and of all callers.
	storeHost, callers *simnet.Host
	instances          []*instance
	// work holds the goroutines of troubles and callers.
	work sync.WaitGroup

	// mu guards what follows. Troubles begin and end on goroutines of their own.
	mu       sync.Mutex
	rng      *rand.Rand
	backends []*backend
	observed Observations
	routes   []Route
	version  int
	// partitions are those that last.
	partitions []*partition
	requests   []Request
	// ids counts the requests, storeTroubles the troubles of the store that last.
	ids, storeTroubles int
	// crashing counts the crashing requests.
	crashing int
}

// instance is an entry instance and its processes, one after the other.
type instance struct {
	estate         *Estate
	number         int
	name, zone, ip string
	// starts counts the processes.
	starts uint64

	// life is filled by the trouble that ends and starts processes. A mutex would hold up the
	// simulated time.
	life    chan struct{}
	process *simnet.Host
	stop    context.CancelFunc
	done    chan struct{}
}

// backend is a backend server.
type backend struct {
	*registered.Backend
	name, zone, node string
	// left is set once it leaves.
	left bool
}

// newEstate starts an estate without traffic. log takes the log lines of the instances.
func newEstate(seed uint64, instances, backends int, log *logLines) *Estate {
	e := &Estate{store: store.Unserved(), log: log, seed: seed, rng: rand.New(rand.NewPCG(seed, 1))}
	e.observed.Disturbed = map[string][]Span{}
	e.net = simnet.NewMemory(e.latency)
	e.callers = e.net.Host(callerNode)
	e.serveStore()
	e.configure(Route{Prefix: "/read/", Idempotent: true}, Route{Prefix: "/write/"})
	for n := range backends {
		e.startBackend(zones[n%len(zones)])
	}
	for n := range instances {
		i := &instance{estate: e, number: n, life: make(chan struct{}, 1), name: fmt.Sprint("instance-", n), zone: zones[n%len(zones)], ip: fmt.Sprintf("10.1.%d.%d", n/200, 1+n%200)}
		e.instances = append(e.instances, i)
		i.start()
		time.Sleep(startGap)
	}
	return e
}

// latency returns how long bytes take between two nodes.
func (e *Estate) latency(from, to string) time.Duration {
	if e.regionOfNode(from) == e.regionOfNode(to) {
		return zoneLatency + detour(from, to)
	}
	return regionLatency + detour(from, to)
}

// detour returns by how much the path between two nodes is longer than others. Instances that act
// alike would else send at the same moments.
func detour(from, to string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(from + " " + to))
	return time.Duration(h.Sum32()) % longestDetour
}

// regionOfNode returns the region that a node is named after. The store and the callers are in
// every region.
func (e *Estate) regionOfNode(node string) string {
	for _, zone := range zones {
		if len(node) > len(zone) && node[:len(zone)] == zone {
			return regionOf[zone]
		}
	}
	return ""
}

// serveStore serves the store on its node.
func (e *Estate) serveStore() {
	e.storeHost = e.net.Host(storeNode)
	e.net.SetRate(storeNode, storeMbps*bytesPerMbit)
	l, err := e.storeHost.Listen("tcp", storeAddress)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: e.store.TroubledHandler()}
	go func() { _ = server.Serve(l) }()
}

// node returns the name of the node of an instance.
func (i *instance) node() string { return i.zone + "-" + i.name }

func (i *instance) address(port int) string { return net.JoinHostPort(i.ip, fmt.Sprint(port)) }

// start starts a process of the instance.
func (i *instance) start() {
	e := i.estate
	e.net.SetRate(i.node(), linkMbps*bytesPerMbit)
	i.process = e.net.Host(i.node())
	network := daemon.Network{
		Listen: i.process.Listen, Peers: i.process, Backends: i.process,
		Store: &http.Transport{DialContext: i.process.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second},
	}
	log := e.log.logger(i.name)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	i.stop, i.done = cancel, done
	d := daemon.New(i.settings(), log, metrics.New(), network, i.random())
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			log.Error().Str("event", "ended").Err(errors.Trace(err)).Msg("")
		}
	}()
}

// random returns the source of the next process of the instance.
func (i *instance) random() *random.Source {
	i.starts++
	return random.New(rand.NewPCG(i.estate.seed<<16|uint64(i.number), i.starts))
}

func (i *instance) settings() *traffic.Settings {
	return &traffic.Settings{
		Instance: i.name, Zone: i.zone, Region: regionOf[i.zone], RegionOf: regionOf, IP: i.ip, PeerPort: peerPort,
		Listen: traffic.Listen{Callers: i.address(callerPort), Ready: i.address(readyPort), Directory: i.address(directoryPort)},
		Store:  traffic.Store{Address: storeAddress}, LinkMbps: linkMbps, Cores: 1,
		Bounds: traffic.Bounds{
			DeadInstanceListing: contact, GracePeriod: gracePeriod, MaxTTL: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 60,
			RetryWindow: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5,
		},
	}
}

// kill ends the process of the instance at once.
func (i *instance) kill() {
	i.process.Kill()
	i.stop()
}

// startBackend starts a backend server in a zone.
func (e *Estate) startBackend(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.backends)
	b := &backend{name: fmt.Sprint("i-", n), zone: zone, node: fmt.Sprint(zone, "-backend-", n)}
	for _, p := range e.partitions {
		p.cutFrom(e, b, p.cut)
	}
	b.Backend = registered.StartBackend(e.store, registered.Start{
		Name: b.name, Zone: zone, Service: service, Slots: 8, Work: work, Down: down,
		Address: fmt.Sprintf("10.2.%d.%d:%d", n/200, 1+n%200, backendPort), Listen: e.net.Host(b.node).Listen, Act: act,
	})
	e.backends = append(e.backends, b)
}

// configure writes the next version of the configuration, with more routes.
func (e *Estate) configure(more ...Route) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	for _, r := range more {
		r.Acked = time.Now()
		e.routes = append(e.routes, r)
	}
	var rules []any
	for _, r := range e.routes {
		kind := "unsafe"
		if r.Idempotent {
			kind = "safe"
		}
		rules = append(rules, map[string]any{
			"name": "r" + r.Prefix, "kind": kind, "target_latency_s": 1, "priority": 1, "sticky": true,
			"match":  map[string]any{"prefix": r.Prefix},
			"action": map[string]any{"service": service, "timeout_s": callerTimeout.Seconds(), "max_attempts": maxAttempts},
		})
	}
	e.store.Put("op", "config", map[string]any{
		"version":   fmt.Sprintf("%08x", e.version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 1, "idle_timeout_s": 5},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 100, "cold_start_s": 3, "cold_per_s": 2}},
	})
}

// close ends all processes and waits until they are gone.
func (e *Estate) close() {
	e.work.Wait()
	for _, i := range e.instances {
		e.net.PowerOn(i.node())
		i.stop()
	}
	for _, i := range e.instances {
		<-i.done
		i.process.Kill()
	}
	for _, b := range e.backends {
		b.Stop()
	}
	e.storeHost.Kill()
	// What waits for timers ends.
	time.Sleep(time.Minute)
}
