// Package daemon assembles the components of an entry instance and runs them until
// its planned shutdown is complete.
package daemon

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/control"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	decidequarantine "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/filter/accept"
	"github.com/banyandeal/banyandeal/internal/filter/identify"
	"github.com/banyandeal/banyandeal/internal/filter/limit"
	filteronce "github.com/banyandeal/banyandeal/internal/filter/once"
	filterquarantine "github.com/banyandeal/banyandeal/internal/filter/quarantine"
	"github.com/banyandeal/banyandeal/internal/filter/route"
	"github.com/banyandeal/banyandeal/internal/forward"
	"github.com/banyandeal/banyandeal/internal/keys"
	"github.com/banyandeal/banyandeal/internal/links"
	"github.com/banyandeal/banyandeal/internal/lookup"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/pool"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/telemetry"
	"github.com/banyandeal/banyandeal/internal/trace"
)

const (
	// minShutdownTimeout is the maximum time for requests to finish after the
	// handover, unless a service's deadline is longer.
	minShutdownTimeout = 30 * time.Second
	// responseMargin is the additional time to send a response that arrives at
	// the deadline of its request.
	responseMargin = time.Second
	// claimTTL is how long a key that a caller chose is kept.
	claimTTL = 10 * time.Minute
	// idleTimeout is the idle timeout of callers' keep-alive connections.
	idleTimeout = time.Minute
)

// Daemon is one entry instance.
type Daemon struct {
	settings static.Settings
	network  Network
	// killed is closed by Kill.
	killed   chan struct{}
	killOnce sync.Once
	log      zerolog.Logger
	metrics  *telemetry.Metrics
	recorder *trace.Recorder
	control  *control.Control
	keeper   *keys.Keeper
	guard    *quarantine.Guard
	pool     *pool.Pool
	links    *links.Gate
	peers    *peer.Client
	platform *platform.Client
	sender   *forward.Sender
	home     once.Home
	policy   policy

	callerListener, peerListener, operatorListener net.Listener
}

// Network opens the listeners and connections of a daemon. Tests use it to inject
// faults. The zero value is the network of the machine.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// ErrKilled is returned by Daemon.Run after Kill.
var ErrKilled = errors.New("the daemon was killed; its keys, backend servers and link rights were not handed over")

// Run runs a daemon until ctx ends and its planned shutdown is complete. It
// publishes the daemon's metrics with expvar, so it can be called only once per
// process.
func Run(ctx context.Context, s static.Settings, logs io.Writer) error {
	d, err := New(s, logs)
	if err != nil {
		return errors.Trace(err)
	}
	expvar.Publish("banyandeal", d.metrics.Counters)
	expvar.Publish("latency", expvar.Func(func() any { return d.metrics.Latencies() }))
	expvar.Publish("headroom", expvar.Func(func() any { return d.control.Headroom() }))
	return d.Run(ctx)
}

// New returns a daemon on the network of the machine. It binds the listeners;
// Daemon.Run serves them.
func New(s static.Settings, logs io.Writer) (*Daemon, error) {
	return NewWithNetwork(Network{}, s, logs)
}

// NewWithNetwork is like New, but uses the network n.
func NewWithNetwork(n Network, s static.Settings, logs io.Writer) (*Daemon, error) {
	peers := peer.NewClient(localIP(s))
	if n.Listen == nil {
		n.Listen = net.Listen
	}
	if n.Dial == nil {
		n.Dial = (&net.Dialer{}).DialContext
	} else {
		peers.Dial = n.Dial
	}
	d := &Daemon{
		settings: s, network: n, killed: make(chan struct{}), log: telemetry.NewLogger(logs, s.Log.Level, s.ID),
		metrics: telemetry.NewMetrics(), links: links.New(), peers: peers, policy: newPolicy(s.Policy),
	}
	var spans io.Writer
	if s.Trace.File != "" {
		f, err := os.OpenFile(s.Trace.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Annotate(err, "trace.file can't be opened; set it to a writable path")
		}
		spans = f
	}
	d.recorder = trace.NewRecorder(s.ID, s.Trace.Spans, spans)
	client, err := platform.New(s.Platform.Endpoints, platform.Options{Timeout: s.Platform.Timeout, Dial: n.Dial})
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.platform = client
	if err := d.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	d.assemble(time.Now())
	return d, nil
}

// localIP returns the address from which sessions to other instances are dialled.
// It is the address of the peer listener, because the advertised address need not
// be bound on this machine.
func localIP(s static.Settings) net.IP {
	host, _, err := net.SplitHostPort(s.Listen.Peer)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// listen binds the listeners. The peer listener is last, because other instances
// consider an instance alive if they can connect to it.
func (d *Daemon) listen() error {
	for _, l := range []struct {
		name, addr string
		advertise  *string
		to         *net.Listener
	}{
		{"caller", d.settings.Listen.Caller, &d.settings.Advertise.Caller, &d.callerListener},
		{"operator", d.settings.Listen.Operator, &d.settings.Advertise.Operator, &d.operatorListener},
		{"peer", d.settings.Listen.Peer, &d.settings.Advertise.Peer, &d.peerListener},
	} {
		ln, err := d.network.Listen("tcp", l.addr)
		if err != nil {
			return errors.Annotatef(err, "listen.%s can't be bound; free the address or set another one", l.name)
		}
		*l.to = ln
		if *l.advertise == "" || *l.advertise == l.addr {
			// If the port is 0, the system has chosen one.
			*l.advertise = ln.Addr().String()
		}
	}
	return nil
}

func (d *Daemon) assemble(now time.Time) {
	s := d.settings
	self := membership.Instance{
		Identity: membership.Identity{ID: s.ID, Incarnation: uint64(now.UnixNano())}, Zone: s.Zone,
		Caller: s.Advertise.Caller, Peer: s.Advertise.Peer, Operator: s.Advertise.Operator,
	}
	d.home = once.Home{Zone: s.Zone, ID: s.ID, Incarnation: self.Incarnation}
	d.guard = quarantine.NewGuard(s.ID, d.network.Dial, func(ns []decidequarantine.Notice) { d.control.SendQuarantineNotices(ns) })
	d.sender = &forward.Sender{
		Client: d.peers, Recorder: d.recorder, Region: d.region, Guard: d.guard,
		ReportUnreachable: func(addr string) { d.control.ReportUnreachable(addr) },
	}
	t := &keyTransport{sender: d.sender, peers: d.peers, platform: d.platform, self: d.home}
	d.keeper = keys.NewKeeper(once.Config{Self: d.home, MaxKeyTTL: estate.MaxKeyTTL, ClaimTTL: claimTTL}, t)
	d.pool = pool.New(d.policy.balance, func(r pool.Result) { d.control.RecordBackendResult(r) })
	d.pool.Dial = d.network.Dial
	d.control = control.New(control.Deps{
		Settings: s, Self: self, Platform: d.platform, Peers: d.peers, Pool: d.pool, Links: d.links,
		ComputePlacement: d.policy.place, Keeper: d.keeper, Guard: d.guard, Metrics: d.metrics, Log: d.log, Dial: d.network.Dial,
	}, now)
	t.control = d.control
}

func (d *Daemon) region() string { return d.control.Snapshot().Region }

// pipeline returns the filter chains of the instance: enter handles requests of
// callers, home handles requests that were forwarded to the authority of their key,
// and run handles requests that are to run in this zone.
func (d *Daemon) pipeline() (enter, home, run filter.Handler) {
	attempt := limit.Handler{Pool: d.pool, Guard: d.guard, Recorder: d.recorder}
	router := route.Filter{
		Policy: d.policy.route, Snapshot: d.control.Snapshot, Sender: d.sender, Slots: d.pool, Links: d.links, RetryBudgets: route.NewRetryBudgets(),
		PeerObservations: route.NewPeerObservations(), Metrics: d.metrics, Recorder: d.recorder,
	}
	run = filter.Chain(attempt, filterquarantine.Filter{Guard: d.guard}, router)
	home = filter.Chain(run, filteronce.Filter{Keeper: d.keeper})
	enter = filter.Chain(home, identify.Filter{Issue: func(r *filter.Request) (string, error) {
		return keys.Issue(d.home, time.Now(), r.Service.KeyTTL)
	}})
	return enter, home, run
}

// Run serves until ctx ends, then performs the planned shutdown and returns. It
// returns ErrKilled after Kill, or the error that ended this incarnation.
func (d *Daemon) Run(ctx context.Context) error {
	enter, home, run := d.pipeline()
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	controlDone := make(chan struct{})
	d.control.Bind(stopped)
	go func() { defer close(controlDone); d.control.Run() }()
	peers := peer.NewServer(&callHandler{control: d.control, recorder: d.recorder, guard: d.guard, home: home, run: run})
	go peers.Serve(d.peerListener)
	callers := d.callerServer(enter)
	go callers.Serve(d.callerListener)
	operators := &http.Server{
		Handler: operator.NewHandler(d.control.Status, d.recorder), ReadHeaderTimeout: d.settings.Limits.ReadHeaderTimeout,
		MaxHeaderBytes: d.settings.Limits.MaxHeaderBytes,
	}
	go operators.Serve(d.operatorListener)
	d.log.Info().Str("zone", d.settings.Zone).Uint64("incarnation", d.home.Incarnation).
		Str("caller", d.settings.Advertise.Caller).Str("peer", d.settings.Advertise.Peer).Msg("started")
	err := d.waitForStop(ctx)
	if errors.Is(err, ErrKilled) {
		callers.Close()
	} else {
		d.drainRequests(callers, peers)
	}
	operators.Close()
	stop()
	<-controlDone
	// The peer listener is closed last: other instances take a refused connection
	// there as evidence that this incarnation has ended.
	d.peerListener.Close()
	peers.Close()
	d.peers.Close()
	d.log.Info().Msg("stopped")
	return errors.Trace(err)
}

// waitForStop returns nil once ctx has ended and the handover of the planned
// shutdown is complete. It returns an error if this incarnation must end before
// that.
func (d *Daemon) waitForStop(ctx context.Context) error {
	select {
	case err := <-d.control.Fatal():
		return err
	case <-d.killed:
		return ErrKilled
	case <-ctx.Done():
	}
	leave, cancel := context.WithCancel(context.Background())
	defer cancel()
	left := make(chan struct{})
	go func() { defer close(left); d.control.Leave(leave) }()
	select {
	case <-left:
		return nil
	case <-d.killed:
		return ErrKilled
	}
}

// Kill makes Run return at once, like a crash of the process: nothing is handed
// over and requests in flight are aborted.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }

// Addresses returns the advertised addresses of the listeners.
func (d *Daemon) Addresses() static.Addresses { return d.settings.Advertise }

// drainRequests waits for the requests of callers and for those that other
// instances forwarded to this one, up to shutdownTimeout or Kill.
func (d *Daemon) drainRequests(callers *http.Server, peers *peer.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), d.shutdownTimeout())
	defer cancel()
	go func() {
		select {
		case <-d.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Error().Err(err).Msg("requests_cut_off")
	}
	if err := peers.Drain(ctx); err != nil {
		d.log.Error().Err(err).Msg("forwarded_requests_cut_off")
	}
}

// shutdownTimeout returns the maximum time for requests to finish after the
// handover. It exceeds the deadline of every service, so that no request in flight
// takes longer.
func (d *Daemon) shutdownTimeout() time.Duration {
	t := minShutdownTimeout
	if e := d.control.Snapshot().Estate; e != nil {
		for i := range e.Services {
			t = max(t, e.Services[i].Deadline+responseMargin)
		}
	}
	return t
}

func (d *Daemon) callerServer(enter filter.Handler) *http.Server {
	l := d.settings.Limits
	lookups := &lookup.Handler{Snapshot: d.control.Snapshot, Metrics: d.metrics}
	requests := &accept.Handler{
		Estate: func() *estate.Estate { return d.control.Snapshot().Estate }, Next: enter, Region: d.region,
		Leaving: func() bool { return d.control.Snapshot().Leaving },
		Metrics: d.metrics, Recorder: d.recorder,
		InFlight: semaphore.NewWeighted(int64(l.MaxInFlight)), BodyBytes: semaphore.NewWeighted(l.BodyMemory),
	}
	return &http.Server{
		Handler: callerHandler(lookups, requests), ReadHeaderTimeout: l.ReadHeaderTimeout, ReadTimeout: l.ReadTimeout,
		MaxHeaderBytes: l.MaxHeaderBytes, IdleTimeout: idleTimeout,
	}
}

// callerHandler dispatches between lookups and requests. http.ServeMux isn't used
// because it redirects paths with an empty segment.
func callerHandler(lookups, requests http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lookup.Path && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
			lookups.ServeHTTP(w, r)
			return
		}
		requests.ServeHTTP(w, r)
	})
}
