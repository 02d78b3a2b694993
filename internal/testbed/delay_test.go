package testbed

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDelayBetween(t *testing.T) {
	entry := func(region, zone, n int) netip.Addr { return netip.MustParseAddr(entryIP(region, zone, n)) }
	for _, c := range []struct {
		a, b netip.Addr
		want time.Duration
	}{
		{entry(0, 0, 0), entry(0, 0, 1), 0},
		{entry(0, 0, 0), entry(0, 1, 0), zoneDelay},
		{entry(0, 0, 0), entry(1, 2, 0), regionDelay},
		{callerIP(1), entry(1, 2, 0), callerDelay},
		{callerIP(0), entry(1, 2, 0), callerDelay + regionDelay},
		{netip.MustParseAddr("127.0.0.1"), entry(1, 2, 0), 0},
	} {
		require.Equal(t, c.want, delayBetween(c.a, c.b), "%s to %s", c.a, c.b)
		require.Equal(t, c.want, delayBetween(c.b, c.a), "%s to %s", c.b, c.a)
	}
}
