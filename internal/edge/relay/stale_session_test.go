package relay

import (
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/platform"
)

// proxy passes connections on to target. Those opened before stale is set pass nothing any more
// once it is, as after a cut during which TCP has backed off. rate, if set, bounds what the
// target sends, in bytes per second.
func proxy(t *testing.T, target string, stale *atomic.Bool, rate int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			old := !stale.Load()
			pass := func(to, from net.Conn, rate int) {
				buf := make([]byte, 4<<10)
				for {
					n, err := from.Read(buf)
					if err != nil {
						return
					}
					for old && stale.Load() {
						time.Sleep(10 * time.Millisecond)
					}
					if rate > 0 {
						time.Sleep(time.Second * time.Duration(n) / time.Duration(rate))
					}
					if _, err := to.Write(buf[:n]); err != nil {
						return
					}
				}
			}
			go pass(out, in, 0)
			go pass(in, out, rate)
		}
	}()
	return l.Addr().String()
}

type anyAssigner struct{}

func (anyAssigner) Assign(admission.PlacementRequest, uint64) ([]assign.Entry, bool) {
	return nil, true
}
func (anyAssigner) Adopt([]assign.Entry) bool { return true }

func serve(t *testing.T, r *feeds.Replica) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		_ = NewServer(r, NewClient("leader", &net.Dialer{}), anyAssigner{}, nil, func(string) {}).Serve(t.Context(), l)
	}()
	return l.Addr().String()
}

// TestPlacesLeaveStaleSession guards against placements that are never obtained because the
// session to the leader passes nothing any more, while new connections do.
func TestPlacesLeaveStaleSession(t *testing.T) {
	var stale atomic.Bool
	r := feeds.NewReplica()
	r.Reset(platform.TableOperator, nil, at(1))
	address := proxy(t, serve(t, r), &stale, 0)
	c := NewClient("one", &net.Dialer{})
	ask := func() error {
		_, err := c.Places(t.Context(), address, admission.PlacementRequest{}, 0, nil, time.Second)
		return err
	}
	require.NoError(t, ask())
	stale.Store(true)
	require.NoError(t, c.Check(t.Context(), address, 0, nil), "the leader can be reached")
	for range 5 {
		if ask() == nil {
			return
		}
	}
	require.Fail(t, "five calls in a row failed on the stale session")
}

// TestProgressingTransferArrives guards against a transfer that ends though it makes progress,
// because it takes longer than transferTimeout: 300 kB without a pause at 25 kB/s.
func TestProgressingTransferArrives(t *testing.T) {
	t.Parallel()
	value := make([]byte, 300_000)
	_, _ = io.ReadFull(rand.NewChaCha8([32]byte{1}), value)
	r := feeds.NewReplica()
	r.Reset("t", []platform.Row{{Table: "t", Key: "k", Value: value, Version: 1}}, at(1))
	var never atomic.Bool
	address := proxy(t, serve(t, r), &never, 25_000)
	start := time.Now()
	_, _, err := NewClient("one", &net.Dialer{}).Source(address).Rows(t.Context(), "t")
	require.NoError(t, err, "after %v", time.Since(start))
}
