package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// attempt is a request of a client, sent once.
type attempt struct {
	id, method, path string
	body             []byte
	chunked          bool
	deadline         time.Duration
	// header is a line of a header besides those of PROTOCOL.md, without its end; may be empty.
	header string
	// readRate bounds how fast the response is read, in bytes per second; 0 is no bound.
	readRate int
}

// result is what a client has seen.
type result struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	sent    time.Time
	latency time.Duration
}

var lastID atomic.Int64

// newID returns an id of an attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5000000000000000+lastID.Add(1)) }

// do sends an attempt on a new connection and reads the response.
func do(address string, a attempt) result {
	res := result{sent: time.Now()}
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = nc.Close() }()
	exchange(nc, bufio.NewReader(nc), a, true, &res)
	return res
}

// exchange sends an attempt on a connection and reads the response.
func exchange(nc net.Conn, br *bufio.Reader, a attempt, last bool, res *result) {
	_ = nc.SetDeadline(time.Now().Add(a.deadline))
	go func() { _ = writeRequest(nc, a, last) }()
	resp, err := http.ReadResponse(br, &http.Request{Method: a.method})
	if err == nil {
		res.status, res.header = resp.StatusCode, resp.Header
		var r io.Reader = resp.Body
		if a.readRate > 0 {
			r = &slowReader{r: resp.Body, rate: a.readRate}
		}
		res.body, err = io.ReadAll(r)
	}
	res.err, res.latency = err, time.Since(res.sent)
}

// keptConn is a connection that a client keeps for many requests.
type keptConn struct {
	address string
	nc      net.Conn
	br      *bufio.Reader
}

// do sends an attempt on the kept connection, or on a new one if there is none.
func (k *keptConn) do(a attempt) result {
	res := result{sent: time.Now()}
	if k.nc == nil {
		dialer := net.Dialer{Timeout: time.Second, Control: setSmallWindow}
		nc, err := dialer.Dial("tcp", k.address)
		if err != nil {
			res.err = err
			return res
		}
		k.nc, k.br = nc, bufio.NewReader(nc)
	}
	exchange(k.nc, k.br, a, false, &res)
	if res.err != nil || res.header.Get("Connection") == "close" {
		k.close()
	}
	return res
}

// windowBytes is the size of the receive buffer of a kept connection: windows are small
// (DEPLOY.md), so that a client that does not read blocks the writer.
const windowBytes = 32 << 10

// setSmallWindow sets the receive buffer of a socket before it connects.
func setSmallWindow(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
	})
	return errors.Join(controlErr, err)
}

func (k *keptConn) close() {
	if k.nc != nil {
		_ = k.nc.Close()
		k.nc = nil
	}
}

// slowReader reads at a rate.
type slowReader struct {
	r    io.Reader
	rate int
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p[:min(len(p), max(1, s.rate/20))])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(s.rate))
	return n, err
}

// writeRequest writes an attempt.
func writeRequest(w io.Writer, a attempt, last bool) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.method, a.path, host, headerID, a.id, headerDeadline, a.deadline.Milliseconds())
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if a.header != "" {
		b.WriteString(a.header + "\r\n")
	}
	switch {
	case a.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case len(a.body) > 0:
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n\r\n")
	default:
		b.WriteString("\r\n")
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		return err
	}
	if !a.chunked {
		_, err := w.Write(a.body)
		return err
	}
	const chunk = 64 << 10
	for rest := a.body; len(rest) > 0; {
		n := min(chunk, len(rest))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}
