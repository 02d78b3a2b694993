package testbed

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config"
)

func TestPortsOfARunningDemoAreLeftAlone(t *testing.T) {
	load := func() (dir string, taken string) {
		dir = t.TempDir()
		require.NoError(t, os.CopyFS(dir, os.DirFS("../../examples/tiszahid")))
		e, err := movePorts(dir)
		require.NoError(t, err)
		again, err := config.Load(dir)
		require.NoError(t, err)
		require.Equal(t, e, again)
		return dir, e.Services[0].Backends[0].Address
	}
	_, first := load()
	ln, err := net.Listen("tcp", first)
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	_, second := load()
	require.NotEqual(t, first, second)
}

func TestShiftPorts(t *testing.T) {
	require.Equal(t, `address: "127.0.0.1:21400", 10.0.0.0/24: 5/s`,
		string(shiftPorts([]byte(`address: "127.0.0.1:21000", 10.0.0.0/24: 5/s`), 400)))
}

func TestSlowDown(t *testing.T) {
	require.Equal(t, "{mean_time: 60ms, hedge_after: 480ms, deadline: 2s}",
		string(slowDown([]byte("{mean_time: 15ms, hedge_after: 120ms, deadline: 2s}"), 4)))
}
