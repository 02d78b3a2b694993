// Package static holds the settings of one daemon: its addresses, zone,
// platform endpoints, limits and logs. They are read once at start and never
// change; what may change while the daemon runs is the estate.
package static

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// Defaults of settings that a file, flag or variable may leave out.
const (
	DefaultPlatformTimeout    = 500 * time.Millisecond
	DefaultConfigPollInterval = 500 * time.Millisecond
	DefaultListPollInterval   = time.Second
	DefaultTickInterval       = 100 * time.Millisecond
	DefaultHeartbeatInterval  = 500 * time.Millisecond
	DefaultShutdownMargin     = 2 * time.Second
	DefaultDelistAfter        = time.Minute
	DefaultMaxInFlight        = 4096
	DefaultMaxHeaderBytes     = 32 << 10
	DefaultBodyMemory         = 64 << 20
	DefaultReadHeaderTimeout  = 2 * time.Second
	DefaultReadTimeout        = 10 * time.Second
	DefaultTraceSpans         = 4096
	DefaultLogLevel           = "info"
	DefaultPolicy             = PolicySteered
)

// Policies of a daemon.
const (
	// PolicySteered places by capacity, balances by load and bounds retries.
	PolicySteered = "steered"
	// PolicyBaseline is what the other is measured against: fixed weights, a
	// random backend server, retries without a budget. Caps are kept by both.
	PolicyBaseline = "baseline"
)

// Settings are the settings of one daemon.
type Settings struct {
	// ID names the instance; it is the id in the platform's instance list.
	ID string `yaml:"id"`
	// Zone is the availability zone that the instance runs in.
	Zone string `yaml:"zone"`
	// Listen holds the addresses that the listeners bind.
	Listen Addresses `yaml:"listen"`
	// Advertise holds the addresses that others use; Listen where empty.
	Advertise Addresses `yaml:"advertise"`
	Platform  Platform  `yaml:"platform"`
	// Neighbours are peer addresses to ask when the platform does not answer.
	Neighbours []string `yaml:"neighbours"`
	// Policy is PolicySteered or, for measurements only, PolicyBaseline. All
	// instances of an estate have the same.
	Policy string `yaml:"policy"`
	Limits Limits `yaml:"limits"`
	Timing Timing `yaml:"timing"`
	Trace  Trace  `yaml:"trace"`
	Log    Log    `yaml:"log"`
}

// Addresses are host:port pairs with an IP host.
type Addresses struct {
	// Caller takes look-ups and requests over HTTP.
	Caller string `yaml:"caller"`
	// Peer takes sessions of other instances.
	Peer string `yaml:"peer"`
	// Operator takes status, readiness and metrics requests over HTTP.
	Operator string `yaml:"operator"`
}

// Platform tells where the platform is.
type Platform struct {
	// Endpoints are base URLs; the first that answers is used.
	Endpoints []string `yaml:"endpoints"`
	// Timeout bounds one call.
	Timeout time.Duration `yaml:"timeout"`
}

// Limits bound what callers and peers can make the daemon hold.
type Limits struct {
	// MaxInFlight is the most caller requests in progress.
	MaxInFlight int `yaml:"max_in_flight"`
	// MaxHeaderBytes is the most bytes of one request's header.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// BodyMemory is the most bytes of request bodies held at once.
	BodyMemory int64 `yaml:"body_memory"`
	// ReadHeaderTimeout and ReadTimeout end a caller that writes too slowly.
	ReadHeaderTimeout time.Duration `yaml:"read_header_timeout"`
	ReadTimeout       time.Duration `yaml:"read_timeout"`
}

// Timing holds the periods of the daemon.
type Timing struct {
	// TickInterval is the period of the control loop.
	TickInterval time.Duration `yaml:"tick"`
	// HeartbeatInterval is the period of messages to relays.
	HeartbeatInterval time.Duration `yaml:"heartbeat"`
	// ConfigPollInterval and ListPoll are the periods at which a relay reads the
	// configuration head and the instance list.
	ConfigPollInterval time.Duration `yaml:"config_poll"`
	ListPollInterval   time.Duration `yaml:"list_poll"`
	// ShutdownMargin is added to the longest look-up TTL at a planned stop.
	ShutdownMargin time.Duration `yaml:"stop_margin"`
	// DelistAfter is how long an instance must be absent from the platform's
	// lists to count as dead; it must exceed the most that the list can lag.
	DelistAfter time.Duration `yaml:"delist_after"`
}

// Trace tells where spans go.
type Trace struct {
	// File receives one JSON line per span; empty keeps them in memory only.
	File string `yaml:"file"`
	// Spans is how many spans memory holds.
	Spans int `yaml:"spans"`
}

// Log tells what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Default returns settings with every optional value filled in.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: DefaultPlatformTimeout},
		Policy:   DefaultPolicy,
		Limits: Limits{
			MaxInFlight: DefaultMaxInFlight, MaxHeaderBytes: DefaultMaxHeaderBytes, BodyMemory: DefaultBodyMemory,
			ReadHeaderTimeout: DefaultReadHeaderTimeout, ReadTimeout: DefaultReadTimeout,
		},
		Timing: Timing{
			TickInterval: DefaultTickInterval, HeartbeatInterval: DefaultHeartbeatInterval, ConfigPollInterval: DefaultConfigPollInterval,
			ListPollInterval: DefaultListPollInterval, ShutdownMargin: DefaultShutdownMargin, DelistAfter: DefaultDelistAfter,
		},
		Trace: Trace{Spans: DefaultTraceSpans},
		Log:   Log{Level: DefaultLogLevel},
	}
}

// Load reads the settings file over the defaults. Unknown fields and duplicate
// keys are errors. The result is not validated yet, so that flags and
// variables can be laid over it.
func Load(path string) (Settings, error) {
	s := Default()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Annotatef(err, "settings file %s can't be read; give its path with --settings", path)
	}
	return s, Decode(data, &s)
}

// Decode lays the YAML document over s.
func Decode(data []byte, s *Settings) error {
	if len(strings.TrimSpace(string(data))) == 0 {
		return nil
	}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return errors.Annotate(err, "settings don't decode; correct the field named here (docs/OPERATIONS.md lists them)")
	}
	return nil
}

// FieldError is a setting that can't be used.
type FieldError struct {
	Field   string
	Problem string
	Remedy  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("setting %s: %s; %s", e.Field, e.Problem, e.Remedy)
}

// Validate checks the settings and fills in what derives from others. All
// faults are returned together.
func (s *Settings) Validate() error {
	var faults []error
	bad := func(field, problem, remedy string) {
		faults = append(faults, &FieldError{field, problem, remedy})
	}
	if s.ID == "" {
		bad("id", "is empty", "name the instance as the platform's list does")
	}
	if s.Zone == "" {
		bad("zone", "is empty", "name the availability zone of the instance")
	}
	s.validateAddresses(bad)
	if len(s.Platform.Endpoints) == 0 {
		bad("platform.endpoints", "is empty", "give at least one base URL of the platform")
	}
	for _, n := range s.Neighbours {
		if !isAddrPort(n) {
			bad("neighbours", strconv.Quote(n)+" is no IP:port", "give the peer address of an instance")
		}
	}
	s.validateNumbers(bad)
	if s.Policy != PolicySteered && s.Policy != PolicyBaseline {
		bad("policy", strconv.Quote(s.Policy)+" is no policy", "use steered, or baseline for measurements")
	}
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		bad("log.level", strconv.Quote(s.Log.Level)+" is no level", "use debug, info, warn or error")
	}
	return joinFaults(faults)
}

func (s *Settings) validateAddresses(bad func(field, problem, remedy string)) {
	for _, a := range []struct {
		name              string
		listen, advertise *string
	}{
		{"caller", &s.Listen.Caller, &s.Advertise.Caller},
		{"peer", &s.Listen.Peer, &s.Advertise.Peer},
		{"operator", &s.Listen.Operator, &s.Advertise.Operator},
	} {
		if !isAddrPort(*a.listen) {
			bad("listen."+a.name, strconv.Quote(*a.listen)+" is no IP:port", "give the address to bind")
		}
		if *a.advertise == "" {
			*a.advertise = *a.listen
		}
		if !isAddrPort(*a.advertise) {
			bad("advertise."+a.name, strconv.Quote(*a.advertise)+" is no IP:port", "give the address that others use")
		}
	}
}

func (s *Settings) validateNumbers(bad func(field, problem, remedy string)) {
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"platform.timeout", s.Platform.Timeout}, {"timing.tick", s.Timing.TickInterval},
		{"timing.heartbeat", s.Timing.HeartbeatInterval}, {"timing.config_poll", s.Timing.ConfigPollInterval},
		{"timing.list_poll", s.Timing.ListPollInterval}, {"timing.stop_margin", s.Timing.ShutdownMargin}, {"timing.delist_after", s.Timing.DelistAfter},
		{"limits.read_header_timeout", s.Limits.ReadHeaderTimeout}, {"limits.read_timeout", s.Limits.ReadTimeout},
	} {
		if d.value <= 0 {
			bad(d.name, d.value.String()+" is not positive", "give a duration such as 500ms")
		}
	}
	for _, n := range []struct {
		name  string
		value int64
	}{
		{"limits.max_in_flight", int64(s.Limits.MaxInFlight)}, {"limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes)},
		{"limits.body_memory", s.Limits.BodyMemory}, {"trace.spans", int64(s.Trace.Spans)},
	} {
		if n.value <= 0 {
			bad(n.name, strconv.FormatInt(n.value, 10)+" is not positive", "give a positive number")
		}
	}
}

func isAddrPort(s string) bool {
	host, _, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	if host == "" {
		return true
	}
	_, err = netip.ParseAddr(host)
	return err == nil
}

func joinFaults(faults []error) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.Error()
	}
	return errors.New(strings.Join(lines, "\n"))
}
