// Package static holds the settings of one daemon: its addresses, zone, platform
// endpoints, limits and logging. They are read once at startup and never change.
// Configuration that may change while the daemon runs is part of the estate.
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

// Defaults of settings that the settings file, the flags and the environment
// variables may omit.
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

// Values of Settings.Policy.
const (
	// PolicySteered chooses zones by capacity, balances by load and limits retries.
	PolicySteered = "steered"
	// PolicyBaseline is the reference for measurements of PolicySteered: fixed
	// weights, a random backend server and retries without a budget. Both policies
	// enforce the configured limits.
	PolicyBaseline = "baseline"
)

// Settings are the settings of one daemon.
type Settings struct {
	// ID is the id of the instance in the platform's instance list.
	ID string `yaml:"id"`
	// Zone is the availability zone that the instance runs in.
	Zone string `yaml:"zone"`
	// Listen holds the addresses that the listeners bind.
	Listen Addresses `yaml:"listen"`
	// Advertise holds the addresses that other instances and callers use. An
	// address that is empty defaults to that of Listen.
	Advertise Addresses `yaml:"advertise"`
	// Platform configures access to the platform.
	Platform Platform `yaml:"platform"`
	// Neighbours lists peer addresses to use while the platform is unavailable.
	Neighbours []string `yaml:"neighbours"`
	// Policy is PolicySteered or, for measurements only, PolicyBaseline. All
	// instances of a deployment must have the same policy.
	Policy string `yaml:"policy"`
	// Limits bounds the resources of the daemon.
	Limits Limits `yaml:"limits"`
	// Timing holds the intervals of periodic tasks.
	Timing Timing `yaml:"timing"`
	// Trace configures where spans are stored.
	Trace Trace `yaml:"trace"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// Addresses are host:port pairs with an IP host.
type Addresses struct {
	// Caller accepts lookups and requests over HTTP.
	Caller string `yaml:"caller"`
	// Peer accepts sessions from other instances.
	Peer string `yaml:"peer"`
	// Operator accepts status, readiness and metrics requests over HTTP.
	Operator string `yaml:"operator"`
}

// Platform configures access to the platform.
type Platform struct {
	// Endpoints lists base URLs; the first one that responds is used.
	Endpoints []string `yaml:"endpoints"`
	// Timeout limits the duration of one call.
	Timeout time.Duration `yaml:"timeout"`
}

// Limits bounds the resources that callers and peers can make the daemon use.
type Limits struct {
	// MaxInFlight is the largest number of caller requests in flight.
	MaxInFlight int `yaml:"max_in_flight"`
	// MaxHeaderBytes is the largest size of a request's header in bytes.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// BodyMemory is the largest total size in bytes of the request bodies held at
	// once.
	BodyMemory int64 `yaml:"body_memory"`
	// ReadHeaderTimeout limits the time that a caller takes to send a request's
	// header.
	ReadHeaderTimeout time.Duration `yaml:"read_header_timeout"`
	// ReadTimeout limits the time that a caller takes to send a whole request.
	ReadTimeout time.Duration `yaml:"read_timeout"`
}

// Timing holds the intervals and delays of the daemon.
type Timing struct {
	// TickInterval is the interval of the control loop.
	TickInterval time.Duration `yaml:"tick"`
	// HeartbeatInterval is the interval between messages to relays.
	HeartbeatInterval time.Duration `yaml:"heartbeat"`
	// ConfigPollInterval is the interval at which a relay reads the configuration
	// head.
	ConfigPollInterval time.Duration `yaml:"config_poll"`
	// ListPollInterval is the interval at which a relay reads the instance list.
	ListPollInterval time.Duration `yaml:"list_poll"`
	// ShutdownMargin is added to the longest lookup TTL at a planned shutdown.
	ShutdownMargin time.Duration `yaml:"stop_margin"`
	// DelistAfter is how long an instance must be absent from the platform's lists
	// before it counts as dead. It must exceed the largest lag of the list.
	DelistAfter time.Duration `yaml:"delist_after"`
}

// Trace configures where spans are stored.
type Trace struct {
	// File is the path of a file that receives one JSON line per span. If it is
	// empty, spans are kept in memory only.
	File string `yaml:"file"`
	// Spans is the number of spans kept in memory.
	Spans int `yaml:"spans"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `yaml:"level"`
}

// Default returns settings in which every optional value has its default.
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

// Load reads the settings file and applies it to the defaults. Unknown fields and
// duplicate keys are errors. The result is not validated yet, so that flags and
// environment variables can override it.
func Load(path string) (Settings, error) {
	s := Default()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Annotatef(err, "cannot read settings file %s; set its path with --settings", path)
	}
	return s, Decode(data, &s)
}

// Decode applies the YAML document to s. Fields that the document omits keep their
// values. Unknown fields and duplicate keys are errors.
func Decode(data []byte, s *Settings) error {
	if len(strings.TrimSpace(string(data))) == 0 {
		return nil
	}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return errors.Annotate(err, "cannot decode the settings; correct the field that the error names (docs/OPERATIONS.md lists them)")
	}
	return nil
}

// FieldError reports an invalid setting.
type FieldError struct {
	// Field is the path of the setting, such as "timing.tick".
	Field string
	// Problem describes what is wrong with it.
	Problem string
	// Remedy describes how to correct it.
	Remedy string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("setting %s: %s; %s", e.Field, e.Problem, e.Remedy)
}

// Validate checks the settings and sets empty Advertise addresses to those of
// Listen. The error lists all faults, one a line.
func (s *Settings) Validate() error {
	var faults []error
	addFault := func(field, problem, remedy string) {
		faults = append(faults, &FieldError{field, problem, remedy})
	}
	if s.ID == "" {
		addFault("id", "is empty", "set it to the instance's id in the platform's list")
	}
	if s.Zone == "" {
		addFault("zone", "is empty", "set it to the availability zone of the instance")
	}
	s.validateAddresses(addFault)
	if len(s.Platform.Endpoints) == 0 {
		addFault("platform.endpoints", "is empty", "set at least one base URL of the platform")
	}
	for _, n := range s.Neighbours {
		if !isAddrPort(n) {
			addFault("neighbours", strconv.Quote(n)+" is not an IP:port pair", "use the peer address of an instance")
		}
	}
	s.validateNumbers(addFault)
	if s.Policy != PolicySteered && s.Policy != PolicyBaseline {
		addFault("policy", strconv.Quote(s.Policy)+" is not a policy", "use steered, or baseline for measurements")
	}
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		addFault("log.level", strconv.Quote(s.Log.Level)+" is not a log level", "use debug, info, warn or error")
	}
	return joinFaults(faults)
}

func (s *Settings) validateAddresses(addFault func(field, problem, remedy string)) {
	for _, a := range []struct {
		name              string
		listen, advertise *string
	}{
		{"caller", &s.Listen.Caller, &s.Advertise.Caller},
		{"peer", &s.Listen.Peer, &s.Advertise.Peer},
		{"operator", &s.Listen.Operator, &s.Advertise.Operator},
	} {
		if !isAddrPort(*a.listen) {
			addFault("listen."+a.name, strconv.Quote(*a.listen)+" is not an IP:port pair", "set the address to bind")
		}
		if *a.advertise == "" {
			*a.advertise = *a.listen
		}
		if !isAddrPort(*a.advertise) {
			addFault("advertise."+a.name, strconv.Quote(*a.advertise)+" is not an IP:port pair", "set the address that other instances and callers use")
		}
	}
}

func (s *Settings) validateNumbers(addFault func(field, problem, remedy string)) {
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
			addFault(d.name, d.value.String()+" is not positive", "use a duration such as 500ms")
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
			addFault(n.name, strconv.FormatInt(n.value, 10)+" is not positive", "use a positive number")
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
