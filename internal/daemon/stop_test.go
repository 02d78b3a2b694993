package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/control"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

type peerHandler func() (*peerpb.Reply, io.ReadCloser)

func (h peerHandler) ServeCall(context.Context, *peerpb.Call, io.Reader) (*peerpb.Reply, io.ReadCloser) {
	return h()
}

// The planned shutdown must wait for the replies to requests that other instances
// forwarded to this one, as for the responses to callers, before it closes their
// sessions.
func TestShutdownWaitsForForwardedRequests(t *testing.T) {
	l, err := net.Listen("tcp", benchLoopback)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	began, stopping := make(chan struct{}), make(chan struct{})
	payload := make([]byte, 300_000)
	peers := peer.NewServer(peerHandler(func() (*peerpb.Reply, io.ReadCloser) {
		close(began)
		<-stopping
		return &peerpb.Reply{}, io.NopCloser(bytes.NewReader(payload))
	}))
	go func() { _ = peers.Serve(l) }()
	client := peer.NewClient(nil)
	defer client.Close()
	got := make(chan int, 1)
	go func() {
		_, body, err := client.Call(context.Background(), l.Addr().String(), &peerpb.Call{}, nil)
		if err != nil {
			got <- -1
			return
		}
		data, _ := io.ReadAll(body)
		got <- len(data)
	}()
	<-began
	d := &Daemon{control: control.New(control.Deps{}, time.Now()), log: zerolog.Nop(), killed: make(chan struct{})}
	callers := &http.Server{}
	callers.RegisterOnShutdown(func() { close(stopping) })
	d.drainRequests(callers, peers)
	peers.Close()
	require.Equal(t, len(payload), <-got)
}
