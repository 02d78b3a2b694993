// Package daemon runs an entry instance on the users' platform. The instance follows
// the store, responds to lookups and readiness checks, and forwards requests to
// backend servers.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/edge/accept"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/directory"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/eventlog"
	"github.com/banyandeal/banyandeal/internal/edge/evidence"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/filter/accesslog"
	"github.com/banyandeal/banyandeal/internal/edge/filter/account"
	"github.com/banyandeal/banyandeal/internal/edge/filter/dispatch"
	"github.com/banyandeal/banyandeal/internal/edge/filter/expire"
	"github.com/banyandeal/banyandeal/internal/edge/filter/identify"
	"github.com/banyandeal/banyandeal/internal/edge/filter/match"
	"github.com/banyandeal/banyandeal/internal/edge/filter/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/filter/refusal"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/handover"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/limits"
	"github.com/banyandeal/banyandeal/internal/edge/membership"
	"github.com/banyandeal/banyandeal/internal/edge/memory"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/places"
	"github.com/banyandeal/banyandeal/internal/edge/quota"
	"github.com/banyandeal/banyandeal/internal/edge/reach"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/restarts"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// shutdownAcceptPeriod is how long an instance that shuts down accepts new
	// connections from callers that still use its address from an earlier lookup.
	shutdownAcceptPeriod = 2200 * time.Millisecond
	// stoppingRetryAfter is how long a caller waits that reached an instance just before its
	// exit. Other instances serve it at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// exitMargin is the part of the operator's grace period that is kept for the exit
	// of the process.
	exitMargin = 400 * time.Millisecond
	// sweepInterval is the time between checks for idle connections.
	sweepInterval = 2 * time.Second
	// restCheckInterval is the time between checks for rests that are over.
	restCheckInterval = 200 * time.Millisecond
	// maxPeerLines bounds the lines per second about other instances.
	maxPeerLines = 20
	// maxAcceptLines bounds the lines per second about connections that were not accepted.
	maxAcceptLines = 1
	// maxCallerConns bounds the number of concurrent connections of callers.
	maxCallerConns = 2000
	// httpHeaderTimeout bounds the time in which the headers of a lookup or a
	// readiness check must arrive.
	httpHeaderTimeout = 3 * time.Second
)

// initialLimits are the limits before the first configuration has been received.
var initialLimits = traffic.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	Provisional: true,
}

// Daemon is one entry instance.
type Daemon struct {
	settings       *traffic.Settings
	log            zerolog.Logger
	metrics        *metrics.Metrics
	network        Network
	control        *control.Control
	directory      *directory.Directory
	ingress        *ingress.Server
	registration   *feeds.Registration
	store          *platform.Store
	replica        *feeds.Replica
	client         *relay.Client
	sourceSelector *feeds.SourceSelector
	membership     *membership.Monitor
	places         *places.Places
	pool           *egress.Pool
	budget         *memory.Budget
	reach          *reach.Watch
	restarts       *restarts.Checker
	// handovers holds sessions of their own: those of the feeds close with a change of source.
	handovers   *relay.Client
	quotas      *quota.Keeper
	taker       *handover.Taker
	evidence    *evidence.Sharer
	limitSharer *limits.Sharer
	decider     *dispatch.Decider
}

// peerAddress returns the address on which the instance listens for other instances.
func peerAddress(s *traffic.Settings) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// New returns an instance with the given settings, which draws its numbers from r. The instance
// does not listen before Run.
func New(s *traffic.Settings, log zerolog.Logger, m *metrics.Metrics, n Network, r *random.Source) *Daemon {
	d := &Daemon{settings: s, log: log, metrics: m, network: n, store: platform.NewStoreWithTransport("http://"+s.Store.Address, n.Store)}
	d.store.CountCalls(func(op platform.Operation, table string) { m.Add("store_calls_"+string(op)+"_"+table, 1) })
	d.control = control.New(endObserver{d}, d.operatorReadAt, log)
	d.control.OnInForce = func(k control.Kind, delay time.Duration) {
		m.Observe("update_delay_seconds_"+k.String(), delay.Seconds())
		if k == control.KindMembers {
			d.sourceSelector.MembersKnown()
		}
	}
	d.directory = directory.New(d.control, s, func(instance string) bool { return d.membership.IsGone(instance) }, r)
	d.reach = reach.New(d.control.View, func() { d.decider.Forgive() }, r, boundedLog(log, m, maxPeerLines), m)
	d.restarts = &restarts.Checker{
		View: d.control.View, Table: func() restarts.Table { return d.decider }, Prober: func() restarts.Prober { return d.pool },
		StoreReadAt: d.operatorReadAt, StoreLost: func() bool { return !d.replica.IsCurrent(platform.TableOperator) },
	}
	pool := egress.NewPool(platform.HeaderRequestID, n.Backends, connectionObserver{d.reach, d.restarts})
	d.pool = pool
	d.registerGauges(pool)
	client := relay.NewClient(s.Instance, n.Peers)
	d.client = client
	d.replica = feeds.NewReplica()
	d.metrics.RegisterGauge("config_age_seconds", d.configAge)
	for table, name := range map[string]string{platform.TableOperator: "operator", platform.TableBackends: "backends", feeds.TableMembers: "members"} {
		d.metrics.RegisterGauge("table_age_seconds_"+name, func() float64 { return age(d.replica.StoreReadAt(table)) })
	}
	limitChanges := &limitReporter{log: boundedLog(log, m, maxLimitLines), metrics: m}
	decider := dispatch.NewDecider(s, d.control, d.store.ClockZero, limitChanges, r)
	d.decider = decider
	d.limitSharer = limits.New(decider, d.store, d.isRoot, r, log)
	d.metrics.RegisterGauge("limited_backends", func() float64 { return float64(decider.LimitedBackends()) })
	// Placements have sessions of their own, since a change of the feeds' source closes its.
	d.places = places.New(s.Instance, s.Region, decider, relay.NewClient(s.Instance, n.Peers), d.store, log)
	self := traffic.Member{
		Name: s.Instance, Zone: s.Zone, Callers: s.Listen.Callers, Peer: peerAddress(s),
		Capacity: s.RelayCapacity(), Incarnation: time.Now().UnixNano(),
	}
	d.registration = feeds.NewRegistration(d.store, self, log)
	d.membership = membership.New(membership.Config{
		Settings: s, Self: self, Members: func() []traffic.Member { return d.control.View().Members }, Stopping: d.directory.Stopping,
		TablesRead:   func() time.Time { return d.sourceSelector.ConfigReadAt() },
		Registration: d.registration, Checker: client, Leaders: d.places, Log: boundedLog(log, m, maxPeerLines),
		FindingsChanged: func() { d.replica.Interrupt(platform.TableOperator) },
	})
	client.ShareFindings(d.membership)
	d.sourceSelector = feeds.NewSourceSelector(d.store, client, d.membership, r, log)
	verdicts := &verdictReporter{log: boundedLog(log, m, maxVerdictLines), metrics: m}
	d.evidence = evidence.New(d.store, n.Backends.DialContext, d.isRoot, verdicts, r, log)
	guard := d.evidence.Guard()
	d.handovers = relay.NewClient(s.Instance, n.Peers)
	d.quotas = quota.NewKeeper(s, d.control.View, relay.NewClient(s.Instance, n.Peers), m)
	handler := gateway.New(d.control,
		accesslog.New(log, m), refusal.Filter{}, identify.Filter{}, match.Filter{ConfigReadAt: d.sourceSelector.ConfigReadAt}, d.accountFilter(), quarantine.Filter{Guard: guard}, expire.Filter{},
		quota.Filter{Keeper: d.quotas}, handover.NewFilter(s, d.reach, d.handovers, m),
		dispatch.New(pool, decider, d.places, guard, dispatch.Hooks{Confirm: d.restarts.Confirm, OnIsolated: verdicts.isolated, TableReadAt: d.operatorReadAt, Isolated: d.reach.Isolated}))
	d.budget = newBudget(s, boundedLog(log, m, maxMemoryLines), m)
	d.taker = handover.NewTaker(handler, d.reach, d.control.View, d.directory.Stopping, d.budget, m)
	d.ingress = ingress.New(handler, d.reject, d.limits, d.budget, maxCallerConns)
	return d
}

// connectionObserver implements egress.Observer.
type connectionObserver struct {
	*reach.Watch
	restarts *restarts.Checker
}

// Broken implements egress.Observer.
func (o connectionObserver) Broken(b *traffic.Backend) { o.restarts.Broken(b) }

// boundedLog returns a log that writes at most the given number of lines per second and
// counts the others.
func boundedLog(log zerolog.Logger, m *metrics.Metrics, lines uint32) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: lines, Period: time.Second, NextSampler: dropCounter{metrics: m}})
}

// dropCounter is a sampler that drops all lines and counts them.
type dropCounter struct{ metrics *metrics.Metrics }

// Sample implements zerolog.Sampler.
func (d dropCounter) Sample(zerolog.Level) bool {
	d.metrics.Add("log_dropped", 1)
	return false
}

// registerGauges registers the gauges whose values other components hold.
func (d *Daemon) registerGauges(pool *egress.Pool) {
	d.metrics.RegisterGauge("backend_connections_opened", func() float64 { return float64(pool.Stats().Dialed) })
	d.metrics.RegisterGauge("backend_connections_reused", func() float64 { return float64(pool.Stats().Reused) })
	d.metrics.RegisterGauge("answers_to_other_requests", func() float64 { return float64(pool.Stats().Mismatched) })
	d.metrics.RegisterGauge("config_version", func() float64 {
		if c := d.control.View().Config; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	d.metrics.RegisterGauge("instances", func() float64 { return float64(len(d.control.View().Members)) })
}

// isRoot reports whether this instance is the one that reads the store for its region.
func (d *Daemon) isRoot() bool { return d.membership.IsRoot() }

// configAge returns the seconds since the configuration was last found to be in force, -1
// before the first time.
func (d *Daemon) configAge() float64 { return age(d.sourceSelector.ConfigReadAt()) }

// age returns the seconds since at, -1 for the zero time.
func age(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Seconds()
}

// operatorReadAt returns when the store's response arrived by which the operator's table is
// known.
func (d *Daemon) operatorReadAt() time.Time { return d.replica.StoreReadAt(platform.TableOperator) }

// accountFilter returns the filter that finds the client accounts of requests.
func (d *Daemon) accountFilter() account.Filter {
	return account.Filter{ConfigReadAt: d.sourceSelector.ConfigReadAt, ConfirmedAt: d.operatorReadAt, RevocationTime: d.settings.Bounds.RevocationTime}
}

// limits returns the limits of the current configuration.
func (d *Daemon) limits() traffic.Limits {
	if c := d.control.View().Config; c != nil {
		return c.Limits
	}
	return initialLimits
}

// reject returns the response to a request that was not passed to the filters and counts it.
func (d *Daemon) reject(r ingress.Rejection) *ingress.Response {
	d.metrics.RecordRequest("", "", "", string(r.Reason), r.Status, 0)
	switch r.Reason {
	case ingress.ReasonProvisional:
		return match.NoConfig()
	case ingress.ReasonStopping:
		return gateway.UnavailableResponse(stoppingRetryAfter, "the instance is stopping; send the request to another one")
	case ingress.ReasonMemory:
		return gateway.UnavailableResponse(memoryRetryAfter, "the instance holds too many large bodies; come back later")
	case ingress.ReasonTooLarge:
		return gateway.ErrorResponse(r.Status, "the body does not fit into the memory of an instance; send it in smaller parts")
	}
	return gateway.ErrorResponse(r.Status, "the request cannot be read: "+http.StatusText(r.Status))
}

// Run serves until ctx is done, then shuts down and lets the requests in flight finish.
// It returns an error if a listener cannot be opened or fails.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := d.listen(d.settings.Listen.Callers)
	if err != nil {
		return errors.Annotate(err, "listen for callers; check listen.front")
	}
	failed := make(chan error, 4)
	if err := d.serveHTTP(failed); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.serveRelay(background, failed); err != nil {
		return err
	}
	d.startBackground(background)
	go func() { failed <- d.ingress.Serve(callers) }()
	d.log.Info().Str("event", "start").Str("zone", d.settings.Zone).Str("callers", d.settings.Listen.Callers).Msg("")
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	d.shutdown(callers)
	return nil
}

// startBackground starts the control goroutine, the feeds and the other background
// tasks. They run until ctx is done.
func (d *Daemon) startBackground(ctx context.Context) {
	go d.control.Run(ctx)
	for _, f := range feeds.New(d.sourceSelector, d.replica, d.control.Push, d.evidence.Receive, d.limitSharer.Receive, d.log) {
		go f.Run(ctx)
	}
	go d.sweep(ctx)
	go d.expireRests(ctx)
	go d.reach.Run(ctx, d.pool)
	go d.restarts.Run(ctx)
	go d.places.Run(ctx)
	go d.evidence.Run(ctx)
	go d.limitSharer.Run(ctx)
	go func() {
		if err := d.registration.Join(ctx); err != nil {
			d.log.Warn().Str("event", "join_ended").Err(err).Msg("")
			return
		}
		d.membership.Run(ctx)
	}()
}

// sweep closes idle connections to backend servers until ctx is done.
func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.CloseExpired(now)
		}
	}
}

// expireRests ends the rests of backend servers until ctx is done.
func (d *Daemon) expireRests(ctx context.Context) {
	ticker := time.NewTicker(restCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.decider.ExpireRests()
		}
	}
}

// serveRelay serves the instances that read the store's tables or the placements from
// this instance. A failure of the listener is sent to failed.
func (d *Daemon) serveRelay(ctx context.Context, failed chan<- error) error {
	l, err := d.listen(peerAddress(d.settings))
	if err != nil {
		return errors.Annotate(err, "listen for other instances; check ip and inner_ports")
	}
	server := relay.NewServer(d.replica, d.client, d.places, d.taker, d.membership.Contact)
	server.LendFrom(d.quotas)
	go func() { failed <- server.Serve(ctx, l) }()
	return nil
}

// serveHTTP serves lookups, readiness checks and metrics. A failure of a listener is
// sent to failed.
func (d *Daemon) serveHTTP(failed chan<- error) error {
	handlers := map[string]http.Handler{}
	ready, lookups := http.NewServeMux(), http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, d.directory.Ready)
	lookups.HandleFunc("GET "+platform.PathResolve, d.directory.Resolve)
	handlers[d.settings.Listen.Ready] = ready
	handlers[d.settings.Listen.Directory] = lookups
	if d.settings.Listen.Metrics != "" {
		handlers[d.settings.Listen.Metrics] = d.metrics
	}
	for address, h := range handlers {
		l, err := d.listen(address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s; check the listen settings", address)
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout}
		go func() { failed <- server.Serve(l) }()
	}
	return nil
}

// listen opens a listener that goes on while the machine cannot take connections.
func (d *Daemon) listen(address string) (net.Listener, error) {
	l, err := d.network.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	log := boundedLog(d.log, d.metrics, maxAcceptLines)
	return accept.Retrying(l, func(err error) {
		d.metrics.Add("accept_errors", 1)
		log.Warn().Str("event", "accept_failed").Str("address", address).Err(err).Msg("a connection could not be accepted; the listener tries again")
	}), nil
}

// shutdown removes the instance from lookups and from the members' table, accepts
// connections for another shutdownAcceptPeriod, and waits until the requests in flight
// have finished or the grace period is nearly over.
func (d *Daemon) shutdown(callers net.Listener) {
	began := time.Now()
	d.log.Info().Str("event", "stopping").Msg("")
	d.directory.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Bounds.GracePeriod-exitMargin)
	defer cancel()
	go func() {
		if err := d.registration.Leave(ctx); err != nil {
			d.log.Warn().Str("event", "leave_failed").Err(err).Msg("the row of this instance cannot be removed; another instance will remove it")
		}
	}()
	// What is sent later could not be finished before the exit.
	d.ingress.Stop(began.Add(d.settings.Bounds.GracePeriod / 2))
	select {
	case <-time.After(min(shutdownAcceptPeriod, d.settings.Bounds.GracePeriod/2)):
	case <-ctx.Done():
	}
	_ = callers.Close()
	d.ingress.Wait(ctx)
	d.taker.Wait(ctx)
	d.log.Info().Str("event", "stopped").Dur("took", time.Since(began)).Msg("")
}

// Main runs an instance with the settings file at path until ctx is done. It writes the
// log to w. A value received from reload makes it check the settings file.
func Main(ctx context.Context, path string, reload <-chan os.Signal, w io.Writer) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	m := metrics.New()
	LimitRuntime(s)
	log, flush := eventlog.New(w, s.Instance, func(n int) { m.Add("log_dropped", n) })
	defer flush()
	go watchReload(path, reload, log)
	return New(s, log, m, NewNetwork(), random.Unpredictable()).Run(ctx)
}

// watchReload checks the settings file each time a value is received from reload, so
// that the log shows an invalid file before the next restart. The settings themselves
// take effect only at a restart.
func watchReload(path string, reload <-chan os.Signal, log zerolog.Logger) {
	for range reload {
		if _, err := platform.LoadSettings(path); err != nil {
			log.Error().Str("event", "reload_failed").Err(err).Msg("the settings file is invalid; the settings in use stay in effect")
			continue
		}
		log.Info().Str("event", "reload").Msg("")
	}
}
