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

// endlessBody is a body that never ends and signals when it is closed.
type endlessBody struct{ closed chan struct{} }

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
func (z endlessBody) Close() error             { close(z.closed); return nil }

// closeWait is well below the timeout after which yamux drops a closed stream.
const closeWait = 3 * time.Second

// A reply body must be closed soon after its receiver has closed it or cancelled
// the call. Otherwise the server blocks on writing it and keeps resources, such
// as a slot of a backend server, occupied.
func TestAbandonedReplyBodyIsClosed(t *testing.T) {
	for name, leave := range map[string]func(cancel func(), out io.Closer){
		"closed":    func(_ func(), out io.Closer) { out.Close() },
		"cancelled": func(cancel func(), _ io.Closer) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			body := endlessBody{make(chan struct{})}
			addr := serve(t, func(context.Context, *peerpb.Call, io.Reader) (*peerpb.Reply, io.ReadCloser) {
				return &peerpb.Reply{}, body
			})
			c := peer.NewClient(nil)
			defer c.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			_, out, err := c.Call(ctx, addr, forwardCall("r1"), nil)
			require.NoError(t, err)
			_, err = io.ReadFull(out, make([]byte, 100_000))
			require.NoError(t, err)
			leave(cancel, out)
			select {
			case <-body.closed:
			case <-time.After(closeWait):
				t.Fatal("the reply body is still open after the receiver abandoned it")
			}
			out.Close()
		})
	}
}

// A receiver that stops reading one reply must not block the other calls of the
// session.
func TestSlowReaderDoesNotBlockOtherCalls(t *testing.T) {
	addr := serve(t, func(_ context.Context, call *peerpb.Call, _ io.Reader) (*peerpb.Reply, io.ReadCloser) {
		if call.GetForward().RequestId == "large" {
			return &peerpb.Reply{}, endlessBody{make(chan struct{})}
		}
		return &peerpb.Reply{}, nil
	})
	c := peer.NewClient(nil)
	defer c.Close()
	_, large, err := c.Call(t.Context(), addr, forwardCall("large"), nil)
	require.NoError(t, err)
	for range 100 {
		_, out, err := c.Call(t.Context(), addr, forwardCall("small"), nil)
		require.NoError(t, err)
		require.NoError(t, out.Close())
	}
	require.NoError(t, large.Close())
}
