package peer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// zeros is a body without an end that tells when it is closed.
type zeros struct{ closed chan struct{} }

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
func (z zeros) Close() error             { close(z.closed); return nil }

// leaveTime is well under the time after which yamux gives up a closed stream.
const leaveTime = 3 * time.Second

// TestUnreadAnswerEndsWithItsReader: a large answer whose receiver has left does
// not hold what it comes from, such as a slot of a backend server.
func TestUnreadAnswerEndsWithItsReader(t *testing.T) {
	for name, leave := range map[string]func(cancel func(), out io.Closer){
		"closed":    func(_ func(), out io.Closer) { out.Close() },
		"cancelled": func(cancel func(), _ io.Closer) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			body := zeros{make(chan struct{})}
			addr := serve(t, func(context.Context, *peerpb.Call, io.Reader) (*peerpb.Reply, io.ReadCloser) {
				return &peerpb.Reply{}, body
			})
			c := peer.NewClient(nil)
			defer c.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			_, out, err := c.Call(ctx, addr, forward("r1"), nil)
			require.NoError(t, err)
			_, err = io.ReadFull(out, make([]byte, 100_000))
			require.NoError(t, err)
			leave(cancel, out)
			select {
			case <-body.closed:
			case <-time.After(leaveTime):
				t.Fatal("the body is still open")
			}
			out.Close()
		})
	}
}

// TestSlowReaderHoldsOneStream: a receiver that stops reading one answer does
// not hold up the other calls of the session.
func TestSlowReaderHoldsOneStream(t *testing.T) {
	addr := serve(t, func(_ context.Context, call *peerpb.Call, _ io.Reader) (*peerpb.Reply, io.ReadCloser) {
		if call.GetForward().RequestId == "large" {
			return &peerpb.Reply{}, zeros{make(chan struct{})}
		}
		return &peerpb.Reply{}, nil
	})
	c := peer.NewClient(nil)
	defer c.Close()
	_, large, err := c.Call(t.Context(), addr, forward("large"), nil)
	require.NoError(t, err)
	for range 100 {
		_, out, err := c.Call(t.Context(), addr, forward("small"), nil)
		require.NoError(t, err)
		require.NoError(t, out.Close())
	}
	require.NoError(t, large.Close())
}
