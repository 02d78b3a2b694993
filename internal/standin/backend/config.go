package backend

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// Kinds of distributions of the service time.
const (
	Constant    = "constant"
	Uniform     = "uniform"
	Exponential = "exponential"
)

// maxTail bounds exponential service times, as a multiple of the mean.
const maxTail = 10

// Config sets up one backend server. It can be read from YAML.
type Config struct {
	Name string `yaml:"name"`
	// Address to listen on; port 0 is chosen by the system.
	Address string `yaml:"address"`
	// Slots is how many requests are worked on at once, Queue how many may
	// wait for a slot; further ones are shed.
	Slots int `yaml:"slots"`
	Queue int `yaml:"queue"`
	// Mean is the mean service time, Kind its distribution: constant (default),
	// uniform from 0 to twice the mean, or exponential. Seed drives it.
	Mean time.Duration `yaml:"mean"`
	Kind string        `yaml:"kind"`
	Seed uint64        `yaml:"seed"`
	// The first ColdRequests, and all within ColdTime of the start, take
	// ColdFactor times as long.
	ColdRequests int           `yaml:"cold_requests"`
	ColdTime     time.Duration `yaml:"cold_time"`
	ColdFactor   float64       `yaml:"cold_factor"`
	// DrainGrace is how long new work is still taken after draining began.
	DrainGrace time.Duration `yaml:"drain_grace"`
	// CrashPath crashes the backend server on requests whose URL contains it.
	CrashPath string `yaml:"crash_path"`
	// RestartAfter opens a crashed backend server again; 0 is never.
	RestartAfter time.Duration `yaml:"restart_after"`
}

// Group is the form of a group file.
type Group struct {
	Backends []Config `yaml:"backends"`
}

// ReadGroup decodes a group file strictly.
func ReadGroup(r io.Reader) (Group, error) {
	var g Group
	if err := yaml.NewDecoder(r, yaml.Strict()).Decode(&g); err != nil {
		return Group{}, errors.Annotate(err, "decoding a group of backend servers")
	}
	seen := map[string]bool{}
	for _, c := range g.Backends {
		if c.Name == "" || c.Slots < 1 || seen[c.Name] {
			return Group{}, errors.NotValidf("backend server %q: it needs a name of its own and at least one slot, it", c.Name)
		}
		seen[c.Name] = true
	}
	return g, nil
}

// serviceTime draws how long requests take.
type serviceTime struct {
	cfg     Config
	started time.Time

	mu     sync.Mutex
	rng    *rand.Rand
	served int
}

func newServiceTime(cfg Config) *serviceTime {
	return &serviceTime{cfg: cfg, started: time.Now(), rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

func (s *serviceTime) next() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	d := s.draw()
	cold := s.served <= s.cfg.ColdRequests || time.Since(s.started) < s.cfg.ColdTime
	if cold && s.cfg.ColdFactor > 0 {
		d = time.Duration(float64(d) * s.cfg.ColdFactor)
	}
	return d
}

func (s *serviceTime) draw() time.Duration {
	mean := float64(s.cfg.Mean)
	switch s.cfg.Kind {
	case Uniform:
		return time.Duration(2 * mean * s.rng.Float64())
	case Exponential:
		return time.Duration(mean * min(s.rng.ExpFloat64(), maxTail))
	}
	return s.cfg.Mean
}
