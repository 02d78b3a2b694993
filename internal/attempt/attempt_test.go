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
)

// handler serves one request on a raw connection, the n-th of all and the k-th
// of its connection, both from 1. The connection is closed when it returns
// false.
type handler func(c net.Conn, r *http.Request, n, k int) (keep bool)

// rawServer takes requests off a TCP listener without net/http's server, so
// that it can break any rule.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func serve(t *testing.T, h handler) *rawServer {
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
			wg.Go(func() { s.connection(c, h) })
		}
	})
	return s
}

func (s *rawServer) connection(c net.Conn, h handler) {
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

func (s *rawServer) count() int {
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

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func answer(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// dropSecond answers the first request and closes the connection on all later
// ones after it has read them.
func dropSecond(c net.Conn, _ *http.Request, n, _ int) bool {
	return n == 1 && answer(c, okAnswer)
}

// dropAll closes the connection on each request.
func dropAll(net.Conn, *http.Request, int, int) bool { return false }

func requestsToDrop() []*Request {
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

func TestDroppedRequestArrivesOnce(t *testing.T) {
	for i, r := range requestsToDrop() {
		t.Run(fmt.Sprintf("%d %s new connection", i, r.Method), func(t *testing.T) {
			s := serve(t, dropAll)
			reply := s.client(t, Config{}).Do(within(t), r)
			require.Equal(t, outcome.Unknown, reply.Outcome)
			require.True(t, reply.Lost)
			require.Equal(t, 1, s.count())
		})
		t.Run(fmt.Sprintf("%d %s reused connection", i, r.Method), func(t *testing.T) {
			s := serve(t, dropSecond)
			c := s.client(t, Config{UnsafeIdleAge: time.Minute, IdleAge: time.Minute})
			require.Equal(t, outcome.Done, c.Do(within(t), &Request{Method: "GET", Path: "/"}).Outcome)
			reply := c.Do(within(t), r)
			require.Equal(t, outcome.Unknown, reply.Outcome)
			require.True(t, reply.Lost)
			require.Equal(t, 2, s.count())
		})
	}
}

// TestPlainTransportResends shows that the server above sees the resends that
// the package is there to prevent.
func TestPlainTransportResends(t *testing.T) {
	s := serve(t, dropSecond)
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
	require.Equal(t, 3, s.count(), "one request before, one as asked, one resend")
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		want      outcome.Outcome
		kind      outcome.Kind
		body      string
	}{
		{"length", okAnswer, outcome.Done, "", "ok"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", outcome.Done, "", "ok"},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", outcome.Done, "", ""},
		{"error status", "HTTP/1.1 500 Oops\r\nContent-Length: 1\r\n\r\nx", outcome.Done, "", "x"},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"no end marker", "HTTP/1.1 200 OK\r\n\r\nok", outcome.Unknown, outcome.KindTruncatedResponse, ""},
		{"garbage", "\x00\x01\x02\r\n\r\n", outcome.Unknown, outcome.KindBackendLost, ""},
		{"large header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeader) + "\r\n\r\n", outcome.Unknown, outcome.KindBackendLost, ""},
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
			s := serve(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
				answer(conn, c.raw)
				return false
			})
			reply := s.client(t, Config{}).Do(within(t), &Request{Method: "POST", Path: "/x?y=1", Body: []byte("b")})
			require.Equal(t, c.want, reply.Outcome)
			require.Equal(t, c.body, string(reply.Body))
			if c.kind != "" {
				require.Equal(t, c.kind, reply.Err.Kind)
			}
			require.Equal(t, 1, s.count())
		})
	}
}

func TestLargeAnswerStreams(t *testing.T) {
	const size = 200 << 10
	for _, sent := range []int{size, size - 1} {
		s := serve(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			return answer(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))) && sent == size
		})
		reply := s.client(t, Config{}).Do(within(t), &Request{Method: "GET", Path: "/"})
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

func TestStreamThatIsNotRead(t *testing.T) {
	s := serve(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		return answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1_000_000))
	})
	c := s.client(t, Config{})
	reply := c.Do(within(t), &Request{Method: "GET", Path: "/"})
	require.NoError(t, reply.Stream.Close())
	require.Zero(t, c.pool.open, "a connection with the rest of an answer is not used again")
}

func TestDrainingIsSeen(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Busy\r\nBanyandeal-Not-Run: true"} {
		s := serve(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			return answer(c, "HTTP/1.1 "+status+"\r\nBanyandeal-Draining: true\r\nContent-Length: 0\r\n\r\n")
		})
		require.True(t, s.client(t, Config{}).Do(within(t), &Request{Method: "GET", Path: "/"}).Draining)
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c := New(Config{Address: l.Addr().String()})
	reply := c.Do(within(t), &Request{Method: "POST", Path: "/"})
	require.Equal(t, outcome.NotRun, reply.Outcome)
	require.Equal(t, outcome.KindBackendLost, reply.Err.Kind)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reply = c.Do(ctx, &Request{Method: "POST", Path: "/"})
	require.Equal(t, outcome.NotRun, reply.Outcome)
	require.Equal(t, outcome.KindCancelled, reply.Err.Kind)
	require.Equal(t, outcome.KindBadRequest, c.Do(within(t), &Request{Method: "GET", Path: "x"}).Err.Kind)
}

// hold keeps a connection open without a byte until the other end closes it.
func hold(c net.Conn) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

func TestCancellationAndDeadlineArePassedOn(t *testing.T) {
	arrived, closed := make(chan string, 1), make(chan struct{})
	s := serve(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		arrived <- r.Header.Get(HeaderDeadline)
		hold(c)
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

// TestAnswersMatchTheirRequests sends many requests at once over few
// connections, of which the server answers some late, cuts some and drops some,
// and of which some are cancelled.
func TestAnswersMatchTheirRequests(t *testing.T) {
	const workers, each = 8, 100
	var s *rawServer
	late := make(chan struct{}, workers*each)
	s = serve(t, func(c net.Conn, r *http.Request, n, _ int) bool {
		body := r.Header.Get("Body")
		switch n % 11 {
		case 1:
			return false
		case 2:
			answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"+body)
			return false
		case 3:
			<-late
		}
		return answer(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	})
	c := s.client(t, Config{MaxConns: workers + 1})
	replies := make([]*Reply, workers*each)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w * each; i < (w+1)*each; i++ {
				ctx, cancel := context.WithCancel(within(t))
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
	s := serve(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		arrived <- struct{}{}
		<-release
		return answer(c, okAnswer)
	})
	c := s.client(t, Config{MaxConns: 3})
	replies := make(chan *Reply, 2)
	for range 2 {
		go func() { replies <- c.Do(within(t), &Request{Method: "GET", Path: "/"}) }()
		<-arrived
	}
	reply := c.Do(within(t), &Request{Method: "GET", Path: "/"})
	require.Equal(t, outcome.NotRun, reply.Outcome)
	require.Equal(t, outcome.KindNoCapacity, reply.Err.Kind)
	close(release)
	for range 2 {
		require.Equal(t, outcome.Done, (<-replies).Outcome)
	}
}

// inMemory runs the test in a bubble of its own time, with connections that
// are pipes to a server of the handler.
func inMemory(t *testing.T, h handler, cfg Config, test func(t *testing.T, s *rawServer, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		s := &rawServer{}
		cfg.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go s.connection(far, h)
			return near, nil
		}
		cfg.Address = "192.0.2.1:80"
		c := New(cfg)
		test(t, s, c)
		c.Close()
		synctest.Wait()
	})
}

func TestSilentConnectionIsLeft(t *testing.T) {
	// Two connections go silent after their first answers; new ones work.
	silentLater := func(c net.Conn, r *http.Request, _, k int) bool {
		if k == 2 {
			return hold(c)
		}
		time.Sleep(time.Second / 2)
		return answer(c, okAnswer)
	}
	inMemory(t, silentLater, Config{}, func(t *testing.T, s *rawServer, c *Client) {
		get := func() {
			require.Equal(t, outcome.Done, c.Do(t.Context(), &Request{Method: "GET", Path: "/"}).Outcome)
		}
		var both sync.WaitGroup
		both.Go(get)
		both.Go(get)
		both.Wait()
		begin := time.Now()
		reply := c.Do(t.Context(), &Request{Method: "POST", Path: "/", Body: []byte("loan")})
		require.Equal(t, outcome.Unknown, reply.Outcome)
		require.True(t, reply.Silent)
		require.LessOrEqual(t, time.Since(begin), DefaultProgressTimeout+DefaultCheckTimeout)
		require.Zero(t, c.pool.open, "the idle one is closed too")
		get()
		require.Equal(t, []string{"", "", "loan", "", ""}, s.bodies, "the fourth is the check")
	})
}

func TestSilentStreamIsCut(t *testing.T) {
	stall := func(c net.Conn, _ *http.Request, n, _ int) bool {
		if n > 1 {
			return answer(c, okAnswer)
		}
		answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
		return hold(c)
	}
	inMemory(t, stall, Config{}, func(t *testing.T, _ *rawServer, c *Client) {
		reply := c.Do(t.Context(), &Request{Method: "GET", Path: "/"})
		got, err := io.ReadAll(reply.Stream)
		require.Len(t, got, 100_000)
		require.ErrorContains(t, err, "silent")
		require.NoError(t, reply.Stream.Close())
	})
}

func TestSlowBackendIsNotSilent(t *testing.T) {
	// No new connection is answered either, so the backend server is slow.
	slow := func(c net.Conn, r *http.Request, _, _ int) bool {
		if r.URL.Path == "/health" {
			return hold(c)
		}
		time.Sleep(3 * DefaultProgressTimeout)
		return answer(c, okAnswer)
	}
	inMemory(t, slow, Config{CheckPath: "/health"}, func(t *testing.T, _ *rawServer, c *Client) {
		require.Equal(t, outcome.Done, c.Do(t.Context(), &Request{Method: "POST", Path: "/"}).Outcome)
	})
}

func TestIdleConnections(t *testing.T) {
	ok := func(c net.Conn, r *http.Request, _, k int) bool {
		return answer(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", k))
	}
	inMemory(t, ok, Config{}, func(t *testing.T, _ *rawServer, c *Client) {
		nth := func(idempotent bool) string {
			return string(c.Do(t.Context(), &Request{Method: "POST", Path: "/", Idempotent: idempotent}).Body)
		}
		require.Equal(t, "1", nth(false))
		require.Equal(t, "2", nth(false))
		time.Sleep(DefaultUnsafeIdleAge + time.Millisecond)
		require.Equal(t, "3", nth(true), "an idempotent request may take an older connection")
		time.Sleep(DefaultUnsafeIdleAge + time.Millisecond)
		require.Equal(t, "1", nth(false), "another takes a new one")
		time.Sleep(DefaultIdleAge + time.Millisecond)
		synctest.Wait()
		require.Zero(t, c.pool.open)
		require.Equal(t, "1", nth(true))
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
				b.Fatal("not done")
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
