package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

type handlerFunc func(ctx context.Context, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser)

func (f handlerFunc) ServeCall(ctx context.Context, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser) {
	return f(ctx, call, body)
}

func serve(t *testing.T, h handlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer(h)
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return l.Addr().String()
}

func forwardCall(id string) *peerpb.Call {
	return &peerpb.Call{Call: &peerpb.Call_Forward{Forward: &peerpb.Forward{RequestId: id}}}
}

// truncatedReader returns an error after its bytes, as the body of a truncated
// backend response does.
type truncatedReader struct{ r io.Reader }

func (c truncatedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestCallTransfersBodiesInBothDirections(t *testing.T) {
	addr := serve(t, func(_ context.Context, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser) {
		data, _ := io.ReadAll(body)
		return &peerpb.Reply{Reply: &peerpb.Reply_Forward{Forward: &peerpb.ForwardReply{RequestId: call.GetForward().RequestId}}},
			io.NopCloser(bytes.NewReader(append(data, data...)))
	})
	c := peer.NewClient(nil)
	defer c.Close()
	large := bytes.Repeat([]byte("x"), 300_000)
	for _, body := range [][]byte{nil, []byte("a"), large} {
		reply, out, err := c.Call(context.Background(), addr, forwardCall("r1"), bytes.NewReader(body))
		require.NoError(t, err)
		require.Equal(t, "r1", reply.GetForward().RequestId)
		got, err := io.ReadAll(out)
		require.NoError(t, err)
		require.Len(t, got, 2*len(body))
		require.NoError(t, out.Close())
	}
}

func TestTruncatedBodyReturnsError(t *testing.T) {
	addr := serve(t, func(context.Context, *peerpb.Call, io.Reader) (*peerpb.Reply, io.ReadCloser) {
		return &peerpb.Reply{}, io.NopCloser(truncatedReader{bytes.NewReader([]byte("half"))})
	})
	c := peer.NewClient(nil)
	defer c.Close()
	_, out, err := c.Call(context.Background(), addr, forwardCall("r1"), nil)
	require.NoError(t, err)
	defer out.Close()
	_, err = io.ReadAll(out)
	require.ErrorIs(t, err, peer.ErrTruncatedBody)
}

func TestCancelReachesHandler(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(ctx context.Context, _ *peerpb.Call, _ io.Reader) (*peerpb.Reply, io.ReadCloser) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return &peerpb.Reply{}, nil
	})
	c := peer.NewClient(nil)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, _, err := c.Call(ctx, addr, forwardCall("r1"), nil)
	var cerr *peer.CallError
	require.True(t, errors.As(err, &cerr))
	require.Equal(t, peer.MaybeSent, cerr.Sent)
	<-cancelled
}

func TestConnectionRefusedReportsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	c := peer.NewClient(nil)
	defer c.Close()
	// The second call fails with the remembered error of the first dial, which
	// says nothing about a process that may have started since then.
	for _, refused := range []bool{true, false} {
		_, _, err = c.Call(context.Background(), addr, forwardCall("r1"), nil)
		var cerr *peer.CallError
		require.True(t, errors.As(err, &cerr))
		require.Equal(t, peer.NotSent, cerr.Sent)
		require.Equal(t, refused, cerr.Refused)
	}
}

func FuzzServerStream(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{3, 10, 1, 0, 2, 16, 1})
	f.Add(bytes.Repeat([]byte{0xff}, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		addr := serve(t, func(context.Context, *peerpb.Call, io.Reader) (*peerpb.Reply, io.ReadCloser) {
			return &peerpb.Reply{}, nil
		})
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		conn.Write(data)
		conn.Close()
		c := peer.NewClient(nil)
		defer c.Close()
		_, out, err := c.Call(context.Background(), addr, forwardCall("r1"), nil)
		require.NoError(t, err)
		require.NoError(t, out.Close())
	})
}

func TestClientDialsFromLocalIP(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, local := range []string{"127.2.1.1", "0.0.0.0"} {
		c := peer.NewClient(net.ParseIP(local))
		go c.Call(context.Background(), ln.Addr().String(), forwardCall("r1"), nil)
		conn, err := ln.Accept()
		require.NoError(t, err)
		from := conn.RemoteAddr().(*net.TCPAddr).IP.String()
		require.Equal(t, map[string]string{"127.2.1.1": "127.2.1.1", "0.0.0.0": "127.0.0.1"}[local], from)
		conn.Close()
		c.Close()
	}
}

// Drain must wait until the reply of a call in progress has been sent, so that a
// subsequent Close doesn't truncate it.
func TestDrainWaitsForReplies(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	began, release := make(chan struct{}), make(chan struct{})
	s := peer.NewServer(handlerFunc(func(context.Context, *peerpb.Call, io.Reader) (*peerpb.Reply, io.ReadCloser) {
		close(began)
		<-release
		return &peerpb.Reply{}, io.NopCloser(bytes.NewReader(make([]byte, 300_000)))
	}))
	defer s.Close()
	go s.Serve(l)
	require.NoError(t, s.Drain(t.Context()), "Drain must return at once without calls in progress")
	c := peer.NewClient(nil)
	defer c.Close()
	got := make(chan int, 1)
	go func() {
		_, out, err := c.Call(context.Background(), l.Addr().String(), forwardCall("r1"), nil)
		if err != nil {
			got <- -1
			return
		}
		data, _ := io.ReadAll(out)
		got <- len(data)
	}()
	<-began
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.Drain(ended), context.Canceled)
	close(release)
	require.NoError(t, s.Drain(t.Context()))
	s.Close()
	require.Equal(t, 300_000, <-got)
}
