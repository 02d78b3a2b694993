package membership

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// recordingLeaders counts the orders that it gets and keeps the last.
type recordingLeaders struct {
	calls     int
	order     []string
	addresses map[string]string
}

// Members implements Leaders.
func (l *recordingLeaders) Members(order []string, addresses map[string]string) {
	l.calls++
	l.order, l.addresses = order, addresses
}

// respondingChecker is a Checker to which all instances respond.
type respondingChecker struct{}

// Check implements Checker.
func (respondingChecker) Check(context.Context, string, time.Duration, *peers.Findings) error {
	return nil
}

// table returns a members' table of 8 regions of 3 zones each.
func table(count int) []traffic.Member {
	var members []traffic.Member
	for i := range count {
		name := fmt.Sprintf("front-%04d", i)
		members = append(members, traffic.Member{Name: name, Zone: fmt.Sprint("zone-", i%24), Peer: "peer of " + name, Incarnation: 1, RowVersion: uint64(i + 1)})
	}
	return members
}

// newMonitor returns the monitor of the first instance of a table.
func newMonitor(members *[]traffic.Member, leaders Leaders) *Monitor {
	settings := &traffic.Settings{RegionOf: map[string]string{}}
	for i := range 24 {
		settings.RegionOf[fmt.Sprint("zone-", i)] = fmt.Sprint("region-", i%8)
	}
	return New(Config{
		Settings: settings, Self: (*members)[0], Members: func() []traffic.Member { return *members },
		Checker: respondingChecker{}, Leaders: leaders, Log: zerolog.Nop(),
	})
}

// TestLeadersFollowMembers guards against a leader that is called at an address that it
// has left, or that is chosen from an old table.
func TestLeadersFollowMembers(t *testing.T) {
	members, leaders := table(48), &recordingLeaders{}
	m := newMonitor(&members, leaders)
	m.step(t.Context())
	m.step(t.Context())
	require.Len(t, leaders.order, 6)
	require.Equal(t, 1, leaders.calls, "an order that is the same")

	moved := table(48)
	moved[8].Peer = "another address"
	members = moved
	m.step(t.Context())
	require.Equal(t, "another address", leaders.addresses["front-0008"])

	members = moved[:40]
	m.step(t.Context())
	require.Len(t, leaders.order, 5)

	m.ReaderFailed("front-0008", &relay.UnreachableError{Address: "another address", Cause: syscall.ECONNREFUSED})
	m.step(t.Context())
	require.NotContains(t, leaders.order, "front-0008")
}

// BenchmarkStepAtRest measures a step of the monitor at the size of docs/CAPACITY.md.
func BenchmarkStepAtRest(b *testing.B) {
	for _, count := range []int{24, 600, 6300} {
		b.Run(fmt.Sprint(count, " members"), func(b *testing.B) {
			members := table(count)
			m := newMonitor(&members, &recordingLeaders{})
			b.ReportAllocs()
			for b.Loop() {
				m.step(b.Context())
			}
		})
	}
}
