package keys

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// endlessStream is a streamed response that ends when its context ends.
type endlessStream struct {
	ctx    context.Context
	closed chan struct{}
}

func newEndlessStream() *endlessStream { return &endlessStream{closed: make(chan struct{})} }

func (e *endlessStream) Read([]byte) (int, error) {
	<-e.ctx.Done()
	return 0, e.ctx.Err()
}

func (e *endlessStream) Close() error { close(e.closed); return nil }

func (e *endlessStream) handler() filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, _ *filter.Request) (*filter.Response, error) {
		e.ctx = ctx
		return &filter.Response{Status: 200, Stream: e, Length: -1}, nil
	})
}

func request(t *testing.T, service string) *filter.Request {
	key, err := Issue(homeOf("a"), time.Now(), time.Hour)
	require.NoError(t, err)
	return &filter.Request{
		Service: &estate.Service{Name: service}, Method: "POST", Path: "/", Key: key,
		Header: map[string][]string{}, Deadline: time.Now().Add(time.Minute),
	}
}

// TestStreamEndsWhenCallerDisconnects guards against a run that continues to
// stream its response to nobody. A run continues without its caller, but a
// streamed response is not stored, so no other caller can get it.
func TestStreamEndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, body := newCluster("a"), newEndlessStream()
		ctx, disconnect := context.WithCancel(t.Context())
		a, err := g.members["a"].Do(ctx, request(t, "scoring"), 0, body.handler())
		require.NoError(t, err)
		start := time.Now()
		time.AfterFunc(time.Second, disconnect)
		_, err = io.ReadAll(a.Stream)
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, time.Second, time.Since(start))
		require.NoError(t, a.Stream.Close())
		<-body.closed
	})
}

// lateStreamTransport is a Transport whose streamed response arrives after the
// caller has disconnected.
type lateStreamTransport struct {
	fakeTransport
	body *endlessStream
}

func (l lateStreamTransport) Forward(ctx context.Context, _ once.Home, _ *filter.Request) (*filter.Response, bool, bool, error) {
	<-ctx.Done()
	time.Sleep(time.Second)
	return &filter.Response{Status: 200, Stream: l.body, Length: -1}, true, true, nil
}

// TestLateForwardedStreamIsClosed guards against a leaked stream when a forwarded
// response arrives after the caller has disconnected.
func TestLateForwardedStreamIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, body := newCluster("a", "b"), newEndlessStream()
		k := NewKeeper(once.Config{Self: homeOf("b"), MaxKeyTTL: time.Hour, ClaimTTL: time.Hour}, lateStreamTransport{fakeTransport{g, "b"}, body})
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, disconnect)
		_, err := k.Do(ctx, request(t, "scoring"), 0, g.handler())
		require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
		time.Sleep(time.Minute)
		select {
		case <-body.closed:
		default:
			t.Fatal("the stream was not closed")
		}
	})
}

// TestSameKeyForAnotherServiceIsRejected guards against returning the response
// of one service for a request to another service. Requests with the same key,
// path and body to two services are different requests.
func TestSameKeyForAnotherServiceIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster("a")
		r := request(t, "scoring")
		_, err := g.members["a"].Do(t.Context(), r, 0, g.handler())
		require.NoError(t, err)
		other := *r
		other.Service = &estate.Service{Name: "documents"}
		_, err = g.members["a"].Do(t.Context(), &other, 0, g.handler())
		require.Error(t, err)
		require.Equal(t, outcome.KindForeignKey, outcome.AsError(err).Kind)
	})
}

// TestNoAttemptStartsWithoutCaller checks that a started run may not start
// another attempt after its only caller has disconnected, and that a resend of
// the request then runs the key.
func TestNoAttemptStartsWithoutCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster("a")
		r := request(t, "scoring")
		ctx, disconnect := context.WithCancel(t.Context())
		secondAllowed := make(chan bool, 1)
		_, err := g.members["a"].Do(ctx, r, 0, filter.HandlerFunc(func(ctx context.Context, _ *filter.Request) (*filter.Response, error) {
			require.True(t, filter.AttemptPermitted(ctx))
			disconnect()
			time.Sleep(time.Second)
			secondAllowed <- filter.AttemptPermitted(ctx)
			return nil, outcome.NotRunError(outcome.KindCancelled, 0, "cancelled before the run")
		}))
		require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
		time.Sleep(2 * time.Second)
		require.False(t, <-secondAllowed)
		a, err := g.members["a"].Do(t.Context(), r, 0, g.handler())
		require.NoError(t, err)
		require.Equal(t, r.Key, string(a.Body))
	})
}
