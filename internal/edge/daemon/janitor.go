package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/presence"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	janitorInterval = 250 * time.Millisecond
	// proofTimeout is how long a suspect may take to accept a connection.
	proofTimeout = 500 * time.Millisecond
	// rejoinWait is how long the own row may be missing before it is written
	// again.
	rejoinWait = time.Second
)

// janitor keeps the list of instances true: it removes the rows of dead ones
// and writes the own row again when it was removed by mistake.
type janitor struct {
	daemon  *Daemon
	mu      sync.Mutex
	tracker *presence.Tracker
	// missing is since when the own row is not in the view.
	missing time.Time
}

func newJanitor(d *Daemon) *janitor { return &janitor{daemon: d, tracker: presence.New()} }

// heard takes in that an instance has asked this one.
func (j *janitor) heard(instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tracker.Heard(instance, time.Now())
}

// run works until ctx ends.
func (j *janitor) run(ctx context.Context) {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if j.daemon.directory.Stopping() {
			return
		}
		members := j.region()
		j.daemon.switches.Members(members)
		for _, m := range j.suspects(members) {
			j.examine(ctx, m)
		}
		j.rejoin(ctx, members)
	}
}

// region returns the instances of the own region.
func (j *janitor) region() []traffic.Member {
	s := j.daemon.settings
	var members []traffic.Member
	for _, m := range j.daemon.control.View().Members {
		if s.RegionOf[m.Zone] == s.Region {
			members = append(members, m)
		}
	}
	return members
}

func (j *janitor) suspects(members []traffic.Member) []traffic.Member {
	byName, names := map[string]traffic.Member{}, []string{}
	for _, m := range members {
		if m.Name != j.daemon.settings.Instance {
			byName[m.Name] = m
			names = append(names, m.Name)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	var suspects []traffic.Member
	for _, name := range j.tracker.Suspects(names, j.daemon.switches.Reads(), time.Now()) {
		suspects = append(suspects, byName[name])
	}
	return suspects
}

// examine removes the row of a suspect that takes no connection.
func (j *janitor) examine(ctx context.Context, m traffic.Member) {
	nc, err := net.DialTimeout("tcp", m.Callers, proofTimeout)
	if err == nil {
		_ = nc.Close()
		j.heard(m.Name)
		return
	}
	log := j.daemon.log.Warn().Str("event", "instance_dead").Str("dead", m.Name).AnErr("probe", err)
	if err := j.daemon.register.Evict(ctx, m); err != nil {
		log.AnErr("evict", err).Msg("its row stays for now")
		return
	}
	log.Msg("its row was removed")
}

// rejoin writes the own row again when it is missing.
func (j *janitor) rejoin(ctx context.Context, members []traffic.Member) {
	for _, m := range members {
		if m.Name == j.daemon.settings.Instance {
			j.missing = time.Time{}
			return
		}
	}
	if j.missing.IsZero() {
		j.missing = time.Now()
	}
	if time.Since(j.missing) < rejoinWait {
		return
	}
	j.missing = time.Time{}
	if err := j.daemon.register.Join(ctx); err != nil {
		j.daemon.log.Warn().Str("event", "rejoin_failed").Err(err).Msg("")
	}
}
