package accept_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/filter/accept"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/telemetry"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// newHandler returns a handler that allows one request in progress and 32 bytes of
// bodies, for a service that allows bodies of 16 bytes.
func newHandler(next filter.HandlerFunc) *accept.Handler {
	e := &estate.Estate{Services: []estate.Service{{Name: "scoring", Deadline: time.Second, MaxBody: 16}}}
	return &accept.Handler{
		Estate: func() *estate.Estate { return e }, Next: next, Region: func() string { return "budapest" }, Leaving: func() bool { return false },
		Metrics: telemetry.NewMetrics(), Recorder: trace.NewRecorder("a", 16, nil),
		InFlight: semaphore.NewWeighted(1), BodyBytes: semaphore.NewWeighted(32),
	}
}

func echo(_ context.Context, r *filter.Request) (*filter.Response, error) {
	return &filter.Response{Status: 200, Body: r.Body, Header: http.Header{}}, nil
}

func TestInvalidRequestIsRejected(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		kind                     outcome.Kind
	}{
		{"unknown service", "GET", "/nope/x", "", nil, 404, outcome.KindUnknownService},
		{"no service", "GET", "/", "", nil, 404, outcome.KindUnknownService},
		{"large body", "POST", "/scoring/x", strings.Repeat("a", 17), nil, 413, outcome.KindTooLarge},
		{"malformed deadline", "GET", "/scoring/x", "", http.Header{filter.HeaderDeadline: {"soon"}}, 400, outcome.KindBadRequest},
		{"negative deadline", "GET", "/scoring/x", "", http.Header{filter.HeaderDeadline: {"-5"}}, 400, outcome.KindBadRequest},
	}
	h := newHandler(echo)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for k, v := range c.header {
				r.Header[k] = v
			}
			h.ServeHTTP(w, r)
			require.Equal(t, c.status, w.Code)
			require.Equal(t, "not-run", w.Header().Get(filter.HeaderOutcome))
			var body accept.ErrorBody
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			require.Equal(t, string(c.kind), body.Kind)
			require.NotEmpty(t, body.Remedy)
		})
	}
	require.Equal(t, "1", h.Metrics.Counters.Get("accept.too_large").String())
}

func TestOverloadedInstanceRejectsImmediatelyAndRecovers(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	h := newHandler(func(ctx context.Context, r *filter.Request) (*filter.Response, error) {
		close(entered)
		<-release
		return echo(ctx, r)
	})
	first := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(first, httptest.NewRequest("GET", "/scoring/x", nil))
	}()
	<-entered
	second := httptest.NewRecorder()
	h.ServeHTTP(second, httptest.NewRequest("GET", "/scoring/x", nil))
	require.Equal(t, 503, second.Code)
	require.Equal(t, "1", second.Header().Get("Retry-After"))
	close(release)
	<-done
	require.Equal(t, 200, first.Code)
	require.True(t, h.InFlight.TryAcquire(1))
}

// TestRejectionWithKeyHasUnknownOutcome: an instance that rejects a request
// before the authority of its key has received it cannot know whether another
// attempt has run.
func TestRejectionWithKeyHasUnknownOutcome(t *testing.T) {
	h := newHandler(echo)
	h.InFlight = semaphore.NewWeighted(0)
	send := func(header http.Header) (accept.ErrorBody, http.Header) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest("POST", "/scoring/x", strings.NewReader("loan"))
		r.Header = header
		h.ServeHTTP(w, r)
		var body accept.ErrorBody
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
		require.Equal(t, body.Outcome, w.Header().Get(filter.HeaderOutcome))
		return body, w.Header()
	}
	body, _ := send(http.Header{})
	require.Equal(t, "not-run", body.Outcome)
	body, header := send(http.Header{filter.HeaderIdempotencyKey: {"k"}})
	require.Equal(t, "unknown", body.Outcome)
	require.Contains(t, body.Remedy, "same key")
	require.Equal(t, "1", header.Get("Retry-After"))
	h.InFlight = semaphore.NewWeighted(1)
	body, _ = send(http.Header{filter.HeaderIdempotencyKey: {"k"}, filter.HeaderDeadline: {"soon"}})
	require.Equal(t, "unknown", body.Outcome)
	require.Equal(t, "bad_request", body.Kind)
}

// TestTruncatedStreamAbortsConnection: a caller must not mistake a truncated
// response for a complete one, even if its length was not declared.
func TestTruncatedStreamAbortsConnection(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		h := newHandler(func(context.Context, *filter.Request) (*filter.Response, error) {
			body := io.MultiReader(strings.NewReader("half"), failingReader{})
			return &filter.Response{Status: 200, Header: http.Header{}, Stream: io.NopCloser(body), Length: length}, nil
		})
		srv := httptest.NewServer(h)
		resp, err := http.Get(srv.URL + "/scoring/x")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		require.Error(t, err)
		srv.Close()
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /scoring/x HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /scoring/%2e%2e HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"))
	f.Add([]byte("GET  HTTP/9\r\n\r\n"))
	f.Add([]byte("POST /scoring/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nBanyandeal-Deadline: 1\r\nIdempotency-Key: \x01\r\n\r\nabcd"))
	f.Fuzz(func(t *testing.T, data []byte) {
		srv := httptest.NewServer(newHandler(echo))
		defer srv.Close()
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		conn.Write(data)
		conn.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, conn)
		conn.Close()
		resp, err := http.Get(srv.URL + "/scoring/x")
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, 200, resp.StatusCode)
	})
}
