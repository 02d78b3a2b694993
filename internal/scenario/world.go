package scenario

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/daemon"
	"github.com/banyandeal/banyandeal/internal/estate"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
	"github.com/banyandeal/banyandeal/internal/standin/simnet"
)

const (
	// platformNode is the name of the platform in the network.
	platformNode = "platform"
	loopback     = "127.0.0.1:0"
	listLag      = 100 * time.Millisecond
	// spareSlots is how many times its declared slots a backend server really
	// has, so that its run log shows when it is sent too much.
	spareSlots = 4
	// applyLimit bounds one change of the configuration.
	applyLimit = 10 * time.Second
	// endLimit bounds the end of killed instances at the end of a scenario.
	endLimit = 20 * time.Second
)

// world is everything that a scenario runs.
type world struct {
	net      *simnet.Network
	platform *platform.Server
	estate   *estate.Estate
	// version is the last one that was applied.
	version   uint64
	backends  map[string]*backend.Server
	faults    map[string]backend.Faults
	instances map[string]*instance
	requests  map[string]*request
	keys      map[string]string
	changes   int
	// settledSince is since when all is settled, as polled; zero if it is not.
	settledSince time.Time
	logs         io.Writer
	sent         sync.WaitGroup
}

// instance is one entry instance.
type instance struct {
	id, zone string
	daemon   *daemon.Daemon
	addr     static.Addresses
	stop     context.CancelFunc
	// ended is closed when Run has returned err.
	ended chan struct{}
	err   error
	down  bool
}

func newWorld(logs io.Writer) (*world, error) {
	w := &world{
		net: simnet.New(), platform: platform.New(platform.Config{Addr: loopback, Admin: loopback, ListLag: listLag}),
		estate: &estate.Estate{Name: "scenario"}, backends: map[string]*backend.Server{}, faults: map[string]backend.Faults{},
		instances: map[string]*instance{}, requests: map[string]*request{}, keys: map[string]string{}, logs: logs,
	}
	if err := w.platform.Open(); err != nil {
		return nil, errors.Trace(err)
	}
	w.net.Name(platformNode, w.platform.URL()[len("http://"):])
	return w, nil
}

// close ends everything that the scenario has started.
func (w *world) close() error {
	for _, f := range w.requests {
		f.cancel()
	}
	for name := range w.backends {
		_ = w.backends[name].SetFaults(backend.Faults{})
	}
	w.net.HealAll()
	var late []string
	for id, in := range w.instances {
		w.net.Thaw(id)
		w.net.Kill(id)
		in.daemon.Kill()
	}
	for id, in := range w.instances {
		select {
		case <-in.ended:
		case <-time.After(endLimit):
			late = append(late, id)
		}
	}
	for _, b := range w.backends {
		b.Close()
	}
	w.platform.Close()
	w.sent.Wait()
	if len(late) > 0 {
		slices.Sort(late)
		return errors.Errorf("instances %v did not end", late)
	}
	return nil
}

// settings are those of an instance, with short periods.
func (w *world) settings(id, zone string) static.Settings {
	s := static.Default()
	s.ID, s.Zone = id, zone
	s.Listen = static.Addresses{Caller: loopback, Peer: loopback, Operator: loopback}
	s.Platform = static.Platform{Endpoints: []string{w.platform.URL()}, Timeout: 300 * time.Millisecond}
	s.Timing = static.Timing{
		TickInterval: 20 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond, ConfigPollInterval: 100 * time.Millisecond,
		ListPollInterval: 100 * time.Millisecond, ShutdownMargin: 100 * time.Millisecond,
		DelistAfter: time.Second,
	}
	s.Log.Level = "debug"
	for _, in := range w.instances {
		if in.id != id {
			s.Neighbours = append(s.Neighbours, in.addr.Peer)
		}
	}
	slices.Sort(s.Neighbours)
	return s
}

// start starts an instance; one that was killed comes back at its address as a
// new incarnation.
func (w *world) start(id, zone string) error {
	s := w.settings(id, zone)
	if old := w.instances[id]; old != nil {
		s.Listen = old.addr
		w.net.Revive(id)
	}
	d, err := daemon.NewWithNetwork(daemon.Network{Listen: w.net.Listen(id), Dial: w.net.Dial(id)}, s, w.logs)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	in := &instance{id: id, zone: zone, daemon: d, addr: d.Addresses(), stop: stop, ended: make(chan struct{})}
	w.instances[id] = in
	w.platform.PutInstance(api.Instance{ID: id, Kind: api.KindEntry, Zone: zone, State: api.InstanceLive, Peer: in.addr.Peer})
	go func() {
		defer close(in.ended)
		in.err = d.Run(ctx)
	}()
	return nil
}

func (w *world) instance(id string) (*instance, error) {
	in := w.instances[id]
	if in == nil {
		return nil, errors.NotFoundf("instance %q", id)
	}
	return in, nil
}

// kill ends an instance without a handover.
func (w *world) kill(id string) error {
	in, err := w.instance(id)
	if err != nil {
		return err
	}
	in.down = true
	w.net.Kill(id)
	in.daemon.Kill()
	return nil
}

// apply puts the estate in force.
func (w *world) apply(opts publish.Options) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), applyLimit)
	defer cancel()
	client, err := api.New([]string{w.platform.URL()}, api.Options{Timeout: time.Second})
	if err != nil {
		return 0, errors.Trace(err)
	}
	w.changes++
	if opts.ChangeID == "" {
		opts.ChangeID = fmt.Sprintf("change-%d", w.changes)
	}
	opts.Now = time.Now()
	res, err := publish.Apply(ctx, client, w.estate, opts)
	if err != nil {
		return 0, err
	}
	w.version = max(w.version, res.Head.Version)
	return res.Head.Version, nil
}

// addBackend opens a backend server and declares it.
func (w *world) addBackend(service, name, zone string, slots, queue int) error {
	b := backend.New(backend.Config{
		Name: name, Address: loopback, Slots: spareSlots * slots, Queue: queue, Mean: time.Millisecond,
	}, nil, nil)
	if err := b.Open(); err != nil {
		return errors.Trace(err)
	}
	w.backends[name] = b
	w.net.Name(name, b.Addr())
	s := w.estate.ServiceOf(service)
	if s == nil {
		return errors.NotFoundf("service %q", service)
	}
	s.Backends = append(s.Backends, estate.Backend{
		Name: name, Site: zone + "-1", Zone: zone, Address: b.Addr(), Slots: slots, MaxConnections: 50,
	})
	slices.SortFunc(s.Backends, func(a, b estate.Backend) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	w.platform.PutInstance(api.Instance{ID: name, Kind: api.KindBackend, Zone: zone, State: api.InstanceLive})
	return nil
}

// blockOf returns the block of callers near the region with the given index.
func blockOf(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), 0, 0}), 16)
}

// debugLogs is where instances log in a debugging run.
func debugLogs() io.Writer {
	if os.Getenv("SCENARIO_LOGS") != "" {
		return os.Stderr
	}
	return io.Discard
}
