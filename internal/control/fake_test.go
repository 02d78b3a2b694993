package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/keys"
	"github.com/banyandeal/banyandeal/internal/links"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/pool"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// epoch is the time at which the tests start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// noDial fails every connection with a timeout, as a network partition does.
func noDial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.Timeoutf("dial")
}

// newTestControl returns the control state of instance e1 in zone a, which can
// reach no other instance. The control goroutine does not run; tests call its
// functions directly.
func newTestControl(t *testing.T, set func(*static.Settings)) *Control {
	settings := static.Settings{ID: "e1", Zone: "a", Timing: static.Timing{
		HeartbeatInterval: time.Second, ConfigPollInterval: time.Second, ListPollInterval: time.Second, DelistAfter: time.Minute,
	}}
	if set != nil {
		set(&settings)
	}
	self := instance("e1", 1, "a")
	store, err := platform.New([]string{"http://127.0.0.1:1"}, platform.Options{})
	require.NoError(t, err)
	peers := peer.NewClient(nil)
	peers.Dial = noDial
	c := New(Deps{
		Settings: settings, Self: self, Platform: store, Peers: peers, Links: links.New(), ComputePlacement: placement.Compute,
		Pool:   pool.New(balance.LeastLoaded, func(pool.Result) {}),
		Keeper: keys.NewKeeper(once.Config{Self: homeOf(self), MaxKeyTTL: time.Hour, ClaimTTL: time.Minute}, nil),
		Guard:  quarantine.NewGuard("e1", noDial, nil), Metrics: telemetry.NewMetrics(), Log: zerolog.Nop(), Dial: noDial,
	}, epoch)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); c.io.Wait(); peers.Close() })
	c.Bind(ctx)
	return c
}

// instance returns an instance whose addresses are derived from its ID.
func instance(id string, incarnation uint64, zone string) membership.Instance {
	return membership.Instance{
		Identity: membership.Identity{ID: id, Incarnation: incarnation}, Zone: zone,
		Caller: id + ":80", Peer: id + ":90", Operator: id + ":91",
	}
}

// heartbeatOf returns the heartbeat of an instance that carries the given
// records.
func heartbeatOf(t *testing.T, in membership.Instance, version uint64, global, local []refresh.Record) *peerpb.Exchange {
	self, err := instanceRecord(in)
	require.NoError(t, err)
	return &peerpb.Exchange{
		From: &peerpb.Identity{Id: in.ID, Incarnation: in.Incarnation}, Zone: in.Zone, Self: encodeRecord(self),
		ConfigVersion: version, Global: encodeRefresh(refresh.Message{Records: global}), Local: encodeRefresh(refresh.Message{Records: local}),
	}
}

// goneRecord returns the record that declares an instance gone.
func goneRecord(t *testing.T, in membership.Instance) refresh.Record {
	in.State = membership.Gone
	rec, err := instanceRecord(in)
	require.NoError(t, err)
	return rec
}
