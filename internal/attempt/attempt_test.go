package attempt

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/standin/heldport"
)

// handler serves one request on a raw connection. n is the number of the request
// on the server and k its number on the connection, both counted from 1. The
// connection is closed if keep is false.
type handler func(c net.Conn, r *http.Request, n, k int) (keep bool)

// rawServer reads requests from a TCP listener without http.Server, so that it can
// violate the protocol in any way.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func startRawServer(t *testing.T, h handler) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{listener: l}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { s.serveConn(c, h) })
		}
	})
	return s
}

func (s *rawServer) serveConn(c net.Conn, h handler) {
	defer c.Close()
	in := bufio.NewReader(c)
	for k := 1; ; k++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(b))
		n := len(s.requests)
		s.mu.Unlock()
		if !h(c, r, n, k) {
			return
		}
	}
}

func (s *rawServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *rawServer) client(t *testing.T, cfg Config) *Client {
	cfg.Address = s.listener.Addr().String()
	c := New(cfg)
	t.Cleanup(c.Close)
	return c
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func writeRaw(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// dropAfterFirst responds to the first request. It reads all later requests and
// closes their connections without a response.
func dropAfterFirst(c net.Conn, _ *http.Request, n, _ int) bool {
	return n == 1 && writeRaw(c, okResponse)
}

// dropAll closes the connection of each request without a response.
func dropAll(net.Conn, *http.Request, int, int) bool { return false }

func droppedRequests() []*Request {
	keys := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	return []*Request{
		{Method: "GET", Path: "/", Idempotent: true},
		{Method: "GET", Path: "/", Header: keys},
		{Method: "POST", Path: "/", Header: keys},
		{Method: "POST", Path: "/", Header: keys, Body: []byte("loan")},
		{Method: "POST", Path: "/", Body: []byte("loan")},
		{Method: "PUT", Path: "/", Header: keys, Body: []byte("loan")},
	}
}

// TestOwnRefusalCountsAsRun guards against a status by which a backend server fails a request that
// it has run, and that is taken for a refusal, so that the request runs again. Callers go by the
// outcome, which is done.
func TestOwnRefusalCountsAsRun(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		s := startRawServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			return writeRaw(c, fmt.Sprintf("HTTP/1.1 %d Failed\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", status))
		})
		reply := s.client(t, Config{}).Do(testContext(t), &Request{Method: http.MethodPost, Path: "/", Body: []byte("loan")})
		require.Equal(t, outcome.Done, reply.Outcome)
		require.Equal(t, status, reply.Status)
		require.False(t, reply.Shed)
		require.Equal(t, 1, s.requestCount())
	}
}

// TestDroppedRequestIsNotResent guards against a request that runs twice because
// the client sends it again after the server has closed its connection.
func TestDroppedRequestIsNotResent(t *testing.T) {
	for i, r := range droppedRequests() {
		t.Run(fmt.Sprintf("%d %s new connection", i, r.Method), func(t *testing.T) {
			s := startRawServer(t, dropAll)
			reply := s.client(t, Config{}).Do(testContext(t), r)
			require.Equal(t, outcome.Unknown, reply.Outcome)
			require.True(t, reply.ConnectionLost)
			require.Equal(t, 1, s.requestCount())
		})
		t.Run(fmt.Sprintf("%d %s reused connection", i, r.Method), func(t *testing.T) {
			s := startRawServer(t, dropAfterFirst)
			c := s.client(t, Config{NonIdempotentMaxIdle: time.Minute, IdleTimeout: time.Minute})
			require.Equal(t, outcome.Done, c.Do(testContext(t), &Request{Method: "GET", Path: "/"}).Outcome)
			reply := c.Do(testContext(t), r)
			require.Equal(t, outcome.Unknown, reply.Outcome)
			require.True(t, reply.ConnectionLost)
			require.Equal(t, 2, s.requestCount())
		})
	}
}

// TestPlainTransportResends shows that http.Transport resends a request to the
// server of TestDroppedRequestIsNotResent, so that the server would detect a
// resend by the package.
func TestPlainTransportResends(t *testing.T) {
	s := startRawServer(t, dropAfterFirst)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	url := "http://" + s.listener.Addr().String() + "/"
	resp, err := client.Get(url)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	req, err := http.NewRequest("POST", url, strings.NewReader("loan"))
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	_, err = client.Do(req)
	require.Error(t, err)
	require.Equal(t, 3, s.requestCount(), "the first request, the request under test and its resend")
}

func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		want      outcome.Outcome
		kind      outcome.Kind
		body      string
	}{
		{"length", okResponse, outcome.Done, "", "ok"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", outcome.Done, "", "ok"},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", outcome.Done, "", ""},
		{"error status", "HTTP/1.1 500 Oops\r\nContent-Length: 1\r\n\r\nx", outcome.Done, "", "x"},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"no end marker", "HTTP/1.1 200 OK\r\n\r\nok", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"garbage", "\x00\x01\x02\r\n\r\n", outcome.Unknown, outcome.KindBackendLost, ""},
		{"large header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", outcome.Unknown, outcome.KindBackendLost, ""},
		{"half a header", "HTTP/1.1 200 OK\r\nContent-", outcome.Unknown, outcome.KindBackendLost, ""},
		{"shed", "HTTP/1.1 503 Busy\r\nBanyandeal-Not-Run: true\r\nContent-Length: 0\r\n\r\n", outcome.NotRun, outcome.KindNoCapacity, ""},
		{"no final status", "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, outcome.KindBackendLost, ""},
		{"switched protocols", "HTTP/1.1 101 Go\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nraw", outcome.Unknown, outcome.KindBackendLost, ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok", outcome.Unknown, outcome.KindBackendLost, ""},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", outcome.Done, "", "ok"},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok0\r\n\r\n", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"cut trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"503 that ran", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", outcome.Done, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startRawServer(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
				writeRaw(conn, c.raw)
				return false
			})
			reply := s.client(t, Config{}).Do(testContext(t), &Request{Method: "POST", Path: "/x?y=1", Body: []byte("b")})
			require.Equal(t, c.want, reply.Outcome)
			require.Equal(t, c.body, string(reply.Body))
			if c.kind != "" {
				require.Equal(t, c.kind, reply.Err.Kind)
			}
			require.Equal(t, 1, s.requestCount())
		})
	}
}

func TestLargeResponseStreams(t *testing.T) {
	const size = 200 << 10
	for _, sent := range []int{size, size - 1} {
		s := startRawServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			return writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))) && sent == size
		})
		reply := s.client(t, Config{}).Do(testContext(t), &Request{Method: "GET", Path: "/"})
		require.NotNil(t, reply.Stream)
		got, err := io.ReadAll(reply.Stream)
		require.Len(t, got, sent)
		if sent < size {
			var e *outcome.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, outcome.KindTruncatedResponse, e.Kind)
		} else {
			require.NoError(t, err)
		}
		require.NoError(t, reply.Stream.Close())
	}
}

func TestUnreadStreamClosesItsConnection(t *testing.T) {
	s := startRawServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		return writeRaw(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1_000_000))
	})
	c := s.client(t, Config{})
	reply := c.Do(testContext(t), &Request{Method: "GET", Path: "/"})
	require.NoError(t, reply.Stream.Close())
	require.Zero(t, c.pool.open, "a connection with an unread part of a response is not reused")
}

func TestDrainingHeader(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Busy\r\nBanyandeal-Not-Run: true"} {
		s := startRawServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			return writeRaw(c, "HTTP/1.1 "+status+"\r\nBanyandeal-Draining: true\r\nContent-Length: 0\r\n\r\n")
		})
		require.True(t, s.client(t, Config{}).Do(testContext(t), &Request{Method: "GET", Path: "/"}).Draining)
	}
}

func TestNotSent(t *testing.T) {
	refusing, err := heldport.Hold("127.0.0.1:0")
	require.NoError(t, err)
	defer refusing.Release()
	c := New(Config{Address: refusing.Address()})
	reply := c.Do(testContext(t), &Request{Method: "POST", Path: "/"})
	require.Equal(t, outcome.NotRun, reply.Outcome)
	require.Equal(t, outcome.KindBackendLost, reply.Err.Kind)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reply = c.Do(ctx, &Request{Method: "POST", Path: "/"})
	require.Equal(t, outcome.NotRun, reply.Outcome)
	require.Equal(t, outcome.KindCancelled, reply.Err.Kind)
	require.Equal(t, outcome.KindBadRequest, c.Do(testContext(t), &Request{Method: "GET", Path: "x"}).Err.Kind)
}

// waitForClose keeps a connection open without sending a byte until the other end
// closes it.
func waitForClose(c net.Conn) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

func TestCancellationAndDeadlineReachTheServer(t *testing.T) {
	arrived, closed := make(chan string, 1), make(chan struct{})
	s := startRawServer(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		arrived <- r.Header.Get(HeaderDeadline)
		waitForClose(c)
		close(closed)
		return false
	})
	c := s.client(t, Config{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	replies := make(chan *Reply, 1)
	go func() { replies <- c.Do(ctx, &Request{Method: "POST", Path: "/"}) }()
	require.Regexp(t, `^(1[0-9]{4}|20000)$`, <-arrived)
	cancel()
	reply := <-replies
	require.Equal(t, outcome.Unknown, reply.Outcome)
	require.Equal(t, outcome.KindCancelled, reply.Err.Kind)
	<-closed
}

// TestResponsesMatchTheirRequests guards against a response that is returned for
// another request on a reused connection. It sends many concurrent requests over few
// connections. The server delays, truncates or drops some responses, and some
// requests are cancelled.
func TestResponsesMatchTheirRequests(t *testing.T) {
	const workers, each = 8, 100
	var s *rawServer
	late := make(chan struct{}, workers*each)
	s = startRawServer(t, func(c net.Conn, r *http.Request, n, _ int) bool {
		body := r.Header.Get("Body")
		switch n % 11 {
		case 1:
			return false
		case 2:
			writeRaw(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"+body)
			return false
		case 3:
			<-late
		}
		return writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	})
	c := s.client(t, Config{MaxConns: workers + 1})
	replies := make([]*Reply, workers*each)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w * each; i < (w+1)*each; i++ {
				ctx, cancel := context.WithCancel(testContext(t))
				if i%5 == 0 {
					go cancel()
				}
				late <- struct{}{}
				body := fmt.Sprintf("request %d", i)
				replies[i] = c.Do(ctx, &Request{Method: "POST", Path: "/", Header: http.Header{"Body": {body}}, Body: []byte(body)})
				cancel()
			}
		})
	}
	wg.Wait()
	arrived := map[string]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.requests {
		arrived[b.Header.Get("Body")]++
	}
	for i, r := range replies {
		body := fmt.Sprintf("request %d", i)
		require.LessOrEqual(t, arrived[body], 1)
		switch r.Outcome {
		case outcome.Done:
			require.Equal(t, body, string(r.Body))
		case outcome.NotRun:
			require.Zero(t, arrived[body])
		}
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s := startRawServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		arrived <- struct{}{}
		<-release
		return writeRaw(c, okResponse)
	})
	c := s.client(t, Config{MaxConns: 3})
	replies := make(chan *Reply, 2)
	for range 2 {
		go func() { replies <- c.Do(testContext(t), &Request{Method: "GET", Path: "/"}) }()
		<-arrived
	}
	reply := c.Do(testContext(t), &Request{Method: "GET", Path: "/"})
	require.Equal(t, outcome.NotRun, reply.Outcome)
	require.Equal(t, outcome.KindNoCapacity, reply.Err.Kind)
	close(release)
	for range 2 {
		require.Equal(t, outcome.Done, (<-replies).Outcome)
	}
}

// inMemory runs the test in a synctest bubble. The connections of the client are
// pipes to a server with the given handler.
func inMemory(t *testing.T, h handler, cfg Config, test func(t *testing.T, s *rawServer, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		s := &rawServer{}
		cfg.Dial = func(context.Context, string, string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			go s.serveConn(serverEnd, h)
			return clientEnd, nil
		}
		cfg.Address = "192.0.2.1:80"
		c := New(cfg)
		test(t, s, c)
		c.Close()
		synctest.Wait()
	})
}

func TestStalledConnectionIsClosed(t *testing.T) {
	// Each connection stalls after its first response.
	stallSecond := func(c net.Conn, r *http.Request, _, k int) bool {
		if k == 2 {
			return waitForClose(c)
		}
		time.Sleep(time.Second / 2)
		return writeRaw(c, okResponse)
	}
	inMemory(t, stallSecond, Config{}, func(t *testing.T, s *rawServer, c *Client) {
		get := func() {
			require.Equal(t, outcome.Done, c.Do(t.Context(), &Request{Method: "GET", Path: "/"}).Outcome)
		}
		var both sync.WaitGroup
		both.Go(get)
		both.Go(get)
		both.Wait()
		start := time.Now()
		reply := c.Do(t.Context(), &Request{Method: "POST", Path: "/", Body: []byte("loan")})
		require.Equal(t, outcome.Unknown, reply.Outcome)
		require.True(t, reply.Stalled)
		require.LessOrEqual(t, time.Since(start), DefaultProgressTimeout+DefaultCheckTimeout)
		require.Zero(t, c.pool.open, "the other connection, which is idle, is closed too")
		get()
		require.Equal(t, []string{"", "", "loan", "", ""}, s.bodies, "the fourth request is the check")
	})
}

func TestStalledStreamEndsWithError(t *testing.T) {
	stall := func(c net.Conn, _ *http.Request, n, _ int) bool {
		if n > 1 {
			return writeRaw(c, okResponse)
		}
		writeRaw(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
		return waitForClose(c)
	}
	inMemory(t, stall, Config{}, func(t *testing.T, _ *rawServer, c *Client) {
		reply := c.Do(t.Context(), &Request{Method: "GET", Path: "/"})
		got, err := io.ReadAll(reply.Stream)
		require.Len(t, got, 100_000)
		require.ErrorContains(t, err, "stalled")
		require.NoError(t, reply.Stream.Close())
	})
}

func TestSlowBackendIsNotStalled(t *testing.T) {
	// The check over a new connection gets no response either, so the backend
	// server is slow and the connection has not stalled.
	slow := func(c net.Conn, r *http.Request, _, _ int) bool {
		if r.URL.Path == "/health" {
			return waitForClose(c)
		}
		time.Sleep(3 * DefaultProgressTimeout)
		return writeRaw(c, okResponse)
	}
	inMemory(t, slow, Config{CheckPath: "/health"}, func(t *testing.T, _ *rawServer, c *Client) {
		require.Equal(t, outcome.Done, c.Do(t.Context(), &Request{Method: "POST", Path: "/"}).Outcome)
	})
}

func TestIdleTimeouts(t *testing.T) {
	ok := func(c net.Conn, r *http.Request, _, k int) bool {
		return writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", k))
	}
	inMemory(t, ok, Config{}, func(t *testing.T, _ *rawServer, c *Client) {
		numberOnConn := func(idempotent bool) string {
			return string(c.Do(t.Context(), &Request{Method: "POST", Path: "/", Idempotent: idempotent}).Body)
		}
		require.Equal(t, "1", numberOnConn(false))
		require.Equal(t, "2", numberOnConn(false))
		time.Sleep(DefaultNonIdempotentMaxIdle + time.Millisecond)
		require.Equal(t, "3", numberOnConn(true), "an idempotent request may reuse a connection that was idle for longer")
		time.Sleep(DefaultNonIdempotentMaxIdle + time.Millisecond)
		require.Equal(t, "1", numberOnConn(false), "a request that is not idempotent gets a new connection")
		time.Sleep(DefaultIdleTimeout + time.Millisecond)
		synctest.Wait()
		require.Zero(t, c.pool.open)
		require.Equal(t, "1", numberOnConn(true))
	})
}

func BenchmarkDo(b *testing.B) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	url := "http://" + l.Addr().String() + "/"
	b.Run("attempt", func(b *testing.B) {
		c := New(Config{Address: l.Addr().String()})
		defer c.Close()
		for b.Loop() {
			if c.Do(context.Background(), &Request{Method: "GET", Path: "/"}).Outcome != outcome.Done {
				b.Fatal("the outcome of an attempt is not Done")
			}
		}
	})
	b.Run("plain transport", func(b *testing.B) {
		t := &http.Transport{}
		defer t.CloseIdleConnections()
		for b.Loop() {
			req, _ := http.NewRequest("GET", url, nil)
			resp, err := t.RoundTrip(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}
