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
	rosterInterval = 250 * time.Millisecond
	// proofTimeout is how long a suspect may take to accept a connection.
	proofTimeout = 500 * time.Millisecond
	// rejoinWait is how long the own row may be missing before it is written
	// again.
	rejoinWait = time.Second
)

// roster maintains the members' table: it removes the rows of dead instances and
// writes the own row again when it was removed by mistake.
type roster struct {
	daemon  *Daemon
	mu      sync.Mutex
	tracker *presence.Tracker
	// missing is since when the own row is not in the view.
	missing time.Time
}

func newRoster(d *Daemon) *roster { return &roster{daemon: d, tracker: presence.New()} }

// heard takes in that an instance has asked this one.
func (r *roster) heard(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordContact(instance, time.Now())
}

// run works until ctx ends.
func (r *roster) run(ctx context.Context) {
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.daemon.directory.Stopping() {
			return
		}
		members := r.region()
		r.daemon.switches.Members(members)
		r.daemon.places.Members(members)
		for _, m := range r.suspects(members) {
			r.examine(ctx, m)
		}
		r.rejoin(ctx, members)
	}
}

// region returns the instances of the own region.
func (r *roster) region() []traffic.Member {
	s := r.daemon.settings
	var members []traffic.Member
	for _, m := range r.daemon.control.View().Members {
		if s.RegionOf[m.Zone] == s.Region {
			members = append(members, m)
		}
	}
	return members
}

func (r *roster) suspects(members []traffic.Member) []traffic.Member {
	byName, names := map[string]traffic.Member{}, []string{}
	for _, m := range members {
		if m.Name != r.daemon.settings.Instance {
			byName[m.Name] = m
			names = append(names, m.Name)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var suspects []traffic.Member
	for _, name := range r.tracker.Suspects(names, r.daemon.switches.Reads(), time.Now()) {
		suspects = append(suspects, byName[name])
	}
	return suspects
}

// examine removes the row of a suspect that takes no connection.
func (r *roster) examine(ctx context.Context, m traffic.Member) {
	nc, err := net.DialTimeout("tcp", m.Callers, proofTimeout)
	if err == nil {
		_ = nc.Close()
		r.heard(m.Name)
		return
	}
	log := r.daemon.log.Warn().Str("event", "instance_dead").Str("dead", m.Name).AnErr("probe", err)
	if err := r.daemon.register.Evict(ctx, m); err != nil {
		log.AnErr("evict", err).Msg("its row stays for now")
		return
	}
	log.Msg("its row was removed")
}

// rejoin writes the own row again when it is missing.
func (r *roster) rejoin(ctx context.Context, members []traffic.Member) {
	for _, m := range members {
		if m.Name == r.daemon.settings.Instance {
			r.missing = time.Time{}
			return
		}
	}
	if r.missing.IsZero() {
		r.missing = time.Now()
	}
	if time.Since(r.missing) < rejoinWait {
		return
	}
	r.missing = time.Time{}
	if err := r.daemon.register.Join(ctx); err != nil {
		r.daemon.log.Warn().Str("event", "rejoin_failed").Err(err).Msg("")
	}
}
