// Package daemon runs an entry instance on the users' platform: it follows the
// store, answers look-ups and readiness checks, and forwards requests.
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

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/directory"
	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/eventlog"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/filter/accesslog"
	"github.com/banyandeal/banyandeal/internal/edge/filter/dispatch"
	"github.com/banyandeal/banyandeal/internal/edge/filter/expire"
	"github.com/banyandeal/banyandeal/internal/edge/filter/identify"
	"github.com/banyandeal/banyandeal/internal/edge/filter/match"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/places"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// leaveTime is how long a stopping instance takes new connections from
	// callers that still hold its address.
	leaveTime = 2200 * time.Millisecond
	// exitMargin is what is left of the grace time at the exit.
	exitMargin = 400 * time.Millisecond
	// sweepInterval is the time between looks at unused connections.
	sweepInterval = 2 * time.Second
	// maxCallerConns bounds the connections of callers.
	maxCallerConns = 2000
	// httpHeaderTimeout bounds the heads of look-ups and readiness checks.
	httpHeaderTimeout = 3 * time.Second
)

// startLimits hold until a configuration has arrived.
var startLimits = traffic.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Daemon is one entry instance.
type Daemon struct {
	settings  *traffic.Settings
	log       zerolog.Logger
	metrics   *metrics.Metrics
	control   *control.Control
	directory *directory.Directory
	ingress   *ingress.Server
	register  *feeds.Registration
	store     *platform.Store
	replica   *feeds.Replica
	switches  *feeds.SourceSelector
	roster    *roster
	places    *places.Places
	pool      *egress.Pool
}

func peerAddress(s *traffic.Settings) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// New builds an instance from its settings.
func New(s *traffic.Settings, log zerolog.Logger, m *metrics.Metrics) *Daemon {
	d := &Daemon{settings: s, log: log, metrics: m, control: control.New(log), store: platform.NewStore(s.Store.Address)}
	d.directory = directory.New(d.control, s)
	pool := egress.NewPool(platform.HeaderRequestID)
	d.pool = pool
	d.publish(pool)
	client := relay.NewClient(s.Instance)
	d.replica = feeds.NewReplica()
	d.switches = feeds.NewSourceSelector(s.Instance, s.Region, d.store, client, log)
	desk := dispatch.NewDesk(s, d.control)
	d.places = places.New(s.Instance, s.Region, desk, client, d.store, log)
	handler := gateway.New(d.control,
		accesslog.New(log, m), identify.Filter{}, match.Filter{}, expire.Filter{},
		dispatch.New(pool, desk, d.places))
	d.ingress = ingress.New(handler, d.refuse, d.limits, maxCallerConns)
	d.roster = newRoster(d)
	d.register = &feeds.Registration{Store: d.store, Log: log, Self: traffic.Member{
		Name: s.Instance, Zone: s.Zone, Callers: s.Listen.Callers, Peer: peerAddress(s), Incarnation: time.Now().UnixNano(),
	}}
	return d
}

// publish adds the figures that others keep.
func (d *Daemon) publish(pool *egress.Pool) {
	d.metrics.Gauge("backend_connections_opened", func() float64 { return float64(pool.Stats().Dialed) })
	d.metrics.Gauge("backend_connections_reused", func() float64 { return float64(pool.Stats().Reused) })
	d.metrics.Gauge("answers_to_other_requests", func() float64 { return float64(pool.Stats().Foreign) })
	d.metrics.Gauge("config_version", func() float64 {
		if c := d.control.View().Config; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	d.metrics.Gauge("instances", func() float64 { return float64(len(d.control.View().Members)) })
}

func (d *Daemon) limits() traffic.Limits {
	if c := d.control.View().Config; c != nil {
		return c.Limits
	}
	return startLimits
}

// refuse answers a request that could not be read.
func (d *Daemon) refuse(status int) *ingress.Answer {
	d.metrics.Request("", "", "", "unreadable", status, 0)
	return gateway.Final(status, "the request cannot be read: "+http.StatusText(status))
}

// Run serves until ctx ends, then finishes what is in flight.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Listen.Callers)
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
	d.follow(background)
	go func() { failed <- d.ingress.Serve(callers) }()
	d.log.Info().Str("event", "start").Str("zone", d.settings.Zone).Str("callers", d.settings.Listen.Callers).Msg("")
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	d.stop(callers)
	return nil
}

// follow starts the control goroutine and what feeds it.
func (d *Daemon) follow(ctx context.Context) {
	go d.control.Run(ctx)
	for _, f := range feeds.New(d.switches, d.replica, d.control.Push, d.log) {
		go f.Run(ctx)
	}
	go d.sweep(ctx)
	go d.places.Run(ctx)
	go func() {
		if err := d.register.Join(ctx); err != nil {
			d.log.Warn().Str("event", "join_ended").Err(err).Msg("")
			return
		}
		d.roster.run(ctx)
	}()
}

// sweep closes connections that have been unused for too long.
func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.Sweep(now)
		}
	}
}

// serveRelay answers the instances that read the store through this one.
func (d *Daemon) serveRelay(ctx context.Context, failed chan<- error) error {
	l, err := net.Listen("tcp", peerAddress(d.settings))
	if err != nil {
		return errors.Annotate(err, "listen for other instances; check ip and inner_ports")
	}
	server := relay.NewServer(d.replica, d.places, d.roster.heard)
	go func() { failed <- server.Serve(ctx, l) }()
	return nil
}

// serveHTTP serves look-ups and readiness checks.
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
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s; check the listen settings", address)
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout}
		go func() { failed <- server.Serve(l) }()
	}
	return nil
}

// stop leaves the look-up answers, serves callers that still come, and
// finishes what is in flight.
func (d *Daemon) stop(callers net.Listener) {
	began := time.Now()
	d.log.Info().Str("event", "stopping").Msg("")
	d.directory.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Bounds.Grace-exitMargin)
	defer cancel()
	go func() {
		if err := d.register.Leave(ctx); err != nil {
			d.log.Warn().Str("event", "leave_failed").Err(err).Msg("the row of this instance stays until another removes it")
		}
	}()
	d.ingress.Stop()
	select {
	case <-time.After(min(leaveTime, d.settings.Bounds.Grace/2)):
	case <-ctx.Done():
	}
	_ = callers.Close()
	d.ingress.Wait(ctx)
	d.log.Info().Str("event", "stopped").Dur("took", time.Since(began)).Msg("")
}

// Main runs an instance with the settings file at path, logging to w.
func Main(ctx context.Context, path string, reload <-chan os.Signal, w io.Writer) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	m := metrics.New()
	log, flush := eventlog.New(w, s.Instance, func(n int) { m.Add("log_dropped", n) })
	defer flush()
	go watchReload(path, reload, log)
	return New(s, log, m).Run(ctx)
}

// watchReload checks the settings file when the operator says that it has
// changed. Addresses hold until a restart.
func watchReload(path string, reload <-chan os.Signal, log zerolog.Logger) {
	for range reload {
		if _, err := platform.LoadSettings(path); err != nil {
			log.Error().Str("event", "reload_failed").Err(err).Msg("the settings in use stay")
			continue
		}
		log.Info().Str("event", "reload").Msg("")
	}
}
