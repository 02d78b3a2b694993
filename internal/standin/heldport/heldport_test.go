package heldport

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestHeldPortIsKept guards against tests in which another process gets a port before its
// owner listens on it, or after the owner has stopped to.
func TestHeldPortIsKept(t *testing.T) {
	p, err := Hold("127.0.0.1:0")
	require.NoError(t, err)
	noReuse := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) })
	}}
	for range 2 {
		_, err = noReuse.Listen(t.Context(), "tcp", p.Address())
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		_, err = net.Dial("tcp", p.Address())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		l, err := net.Listen("tcp", p.Address())
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
	p.Release()
	l, err := noReuse.Listen(t.Context(), "tcp", p.Address())
	require.NoError(t, err)
	require.NoError(t, l.Close())
}
