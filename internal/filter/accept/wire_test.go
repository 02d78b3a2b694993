package accept_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error   { close(l.done); return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowErrorReaderTimesOut: the connection of a caller that does not read its
// error response is closed after a timeout.
func TestSlowErrorReaderTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		l := &singleConnListener{make(chan net.Conn, 1), make(chan struct{})}
		l.conns <- server
		srv := &http.Server{Handler: newHandler(echo)}
		go func() { _ = srv.Serve(l) }()
		_, err := io.WriteString(client, "GET /nope/x HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(time.Minute)
		_, err = client.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		srv.Close()
		synctest.Wait()
	})
}

// TestResponseWithoutBodyKeepsContentLength: a caller's cache uses the
// Content-Length of a response to HEAD as the length of the stored response.
// Responses with status 204 and 304 have no Content-Length.
func TestResponseWithoutBodyKeepsContentLength(t *testing.T) {
	cases := []struct {
		method string
		status int
		sent   string
		want   []string
	}{
		{"HEAD", 200, "1234", []string{"1234"}},
		{"HEAD", 200, "", nil},
		{"GET", 304, "1234", nil},
		{"GET", 304, "", nil},
		{"GET", 204, "", nil},
		{"GET", 200, "1234", []string{"0"}},
	}
	for _, c := range cases {
		header := http.Header{"Etag": {"v"}}
		if c.sent != "" {
			header.Set("Content-Length", c.sent)
		}
		h := newHandler(func(context.Context, *filter.Request) (*filter.Response, error) {
			return &filter.Response{Status: c.status, Header: header}, nil
		})
		srv := httptest.NewServer(h)
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, c.method+" /scoring/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		raw, err := io.ReadAll(conn)
		require.NoError(t, err)
		var got []string
		for line := range strings.SplitSeq(string(raw), "\r\n") {
			if length, ok := strings.CutPrefix(line, "Content-Length: "); ok {
				got = append(got, length)
			}
		}
		require.Equal(t, c.want, got, "%+v: %s", c, raw)
		conn.Close()
		srv.Close()
	}
}

// TestInstanceHeadersAreNotOverwritten: headers of a backend server, or of a
// response stored for another attempt, must not override the headers that this
// instance sets.
func TestInstanceHeadersAreNotOverwritten(t *testing.T) {
	h := newHandler(func(context.Context, *filter.Request) (*filter.Response, error) {
		header := http.Header{filter.HeaderRequestID: {"other"}, "Traceparent": {"other"}, filter.HeaderOutcome: {"not-run"}}
		return &filter.Response{Status: 200, Header: header, Body: []byte("<html>")}, nil
	})
	h.Leaving = func() bool { return true }
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/scoring/x", nil))
	require.Equal(t, "close", w.Header().Get("Connection"), "an instance that shuts down asks the caller to close the connection")
	require.Equal(t, "done", w.Header().Get(filter.HeaderOutcome))
	require.NotEqual(t, "other", w.Header().Get(filter.HeaderRequestID))
	require.NotEqual(t, "other", w.Header().Get("Traceparent"))
	require.Empty(t, w.Header().Get("Content-Type"), "a Content-Type that the backend server did not send is not detected from the body")
}

// TestAmbiguousRequestsAreRejected: a request that the caller, the instance and
// the backend server could interpret differently must not reach a backend server.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for _, c := range []struct{ method, target, proto string }{
		{"GET", "/scoring/files/../decisions", "HTTP/1.1"},
		{"GET", "/scoring/files/%2e%2E/decisions", "HTTP/1.1"},
		{"GET", "/scoring/files%2F..%2fdecisions", "HTTP/1.1"},
		{"GET", "/scoring/./decisions", "HTTP/1.1"},
		{"GET", "/scoring/files%5c..%5cdecisions", "HTTP/1.1"},
		{"CONNECT", "/scoring/x", "HTTP/1.1"},
		{"TRACE", "/scoring/x", "HTTP/1.1"},
		{"GET", "/scoring/x", "HTTP/1.0"},
	} {
		w := httptest.NewRecorder()
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(c.method + " " + c.target + " " + c.proto + "\r\nHost: a\r\n\r\n")))
		require.NoError(t, err)
		newHandler(echo).ServeHTTP(w, r)
		require.Equal(t, 400, w.Code, "%v", c)
		require.Equal(t, "not-run", w.Header().Get(filter.HeaderOutcome))
		require.Contains(t, w.Body.String(), string(outcome.KindBadRequest))
	}
}

func TestPathsAreForwardedUnchanged(t *testing.T) {
	var path string
	h := newHandler(func(_ context.Context, r *filter.Request) (*filter.Response, error) {
		path = r.Path
		return &filter.Response{Status: 200, Header: http.Header{}}, nil
	})
	for target, want := range map[string]string{
		"/scoring/a%2Fb//c/?q=../x":    "/a%2Fb//c/?q=../x",
		"http://any/scoring/..a/b..":   "/..a/b..",
		"/scoring":                     "/",
		"/scoring//elsewhere.example/": "//elsewhere.example/",
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n")))
		require.NoError(t, err)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		require.Equal(t, 200, w.Code)
		require.Equal(t, want, path)
	}
}
