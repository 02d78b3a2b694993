package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that sends everything back.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// trip sends a byte and reports whether it came back in time.
func trip(c net.Conn, limit time.Duration) bool {
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// carries dials address and reports whether a byte comes back. The reset of a
// refused connection can reach the dial itself, so a failed dial counts as a
// connection that carried nothing.
func carries(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	return trip(c, time.Second)
}

func TestHarms(t *testing.T) {
	p, err := New(echo(t))
	require.NoError(t, err)
	defer p.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	old := dial()
	require.True(t, trip(old, time.Second))
	began := time.Now()
	p.Set(Delay)
	require.True(t, trip(old, time.Second))
	require.Greater(t, time.Since(began), 2*delayTime)
	p.Set(OneWay)
	require.False(t, trip(old, 50*time.Millisecond))
	p.Set(Hold)
	require.False(t, trip(dial(), 50*time.Millisecond))
	p.Set(Silent)
	require.False(t, trip(old, 50*time.Millisecond))
	require.True(t, trip(dial(), time.Second), "new connections work")
	p.Set(Refuse)
	require.False(t, carries(p.Address()))
	p.Set(None)
	require.True(t, trip(dial(), time.Second))
}
