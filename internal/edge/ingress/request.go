package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/edge/memory"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// unreadable returns the Rejection of a request that cannot be read.
func unreadable(status int) *Rejection {
	return &Rejection{Status: status, Reason: ReasonUnreadable}
}

// tooLarge returns the Rejection of a request that exceeds the limits.
func tooLarge(status int, limits traffic.Limits) *Rejection {
	if limits.Provisional {
		return &Rejection{Status: http.StatusServiceUnavailable, Reason: ReasonProvisional}
	}
	return unreadable(status)
}

// noMemory returns the Rejection of a request whose body does not fit into memory.
func noMemory(err *memory.Error) *Rejection {
	if err.TooLarge {
		return &Rejection{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge}
	}
	return &Rejection{Status: http.StatusServiceUnavailable, Reason: ReasonMemory}
}

// requestReader reads the requests of a connection.
type requestReader struct {
	net net.Conn
	// limited bounds what br reads from net.
	limited *io.LimitedReader
	br      *bufio.Reader
}

func newRequestReader(nc net.Conn) *requestReader {
	limited := &io.LimitedReader{R: nc, N: bufferBytes}
	return &requestReader{net: nc, limited: limited, br: bufio.NewReaderSize(limited, bufferBytes)}
}

// bound bounds the head that is read next. What is buffered counts.
func (r *requestReader) bound(limits traffic.Limits) {
	r.limited.N = int64(limits.HeaderBytes) + requestLineAllowance - int64(r.br.Buffered())
}

// read reads one complete request, whose body the account holds. last is set when the
// connection is to close after the response. A request without a Rejection is complete.
func (r *requestReader) read(limits traffic.Limits, account *memory.Account) (request *Request, last bool, rejection *Rejection) {
	r.bound(limits)
	began := time.Now()
	_ = r.net.SetReadDeadline(began.Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(r.br)
	switch {
	case err != nil && r.limited.N <= 0:
		return nil, true, tooLarge(http.StatusRequestHeaderFieldsTooLarge, limits)
	case err != nil && time.Since(began) >= limits.HeaderTimeout:
		return nil, true, unreadable(http.StatusRequestTimeout)
	case err != nil:
		return nil, true, unreadable(http.StatusBadRequest)
	}
	body, rejection := r.readBody(req, limits, account)
	if rejection != nil {
		return nil, true, rejection
	}
	return &Request{
		Method: req.Method, Target: originForm(req.RequestURI), Host: req.Host, Header: req.Header,
		Body: body, Memory: account, Received: time.Now(),
	}, req.Close, nil
}

// originForm returns the path and query of a request target, unchanged. A target in absolute
// form names the host before them.
func originForm(target string) string {
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute || strings.HasPrefix(target, "/") {
		return target
	}
	begin := strings.IndexAny(rest, "/?")
	switch {
	case begin < 0:
		return "/"
	case rest[begin] == '?':
		return "/" + rest[begin:]
	}
	return rest[begin:]
}

// readBody reads the body of a request.
func (r *requestReader) readBody(req *http.Request, limits traffic.Limits, account *memory.Account) (memory.Body, *Rejection) {
	switch {
	case req.ContentLength > limits.BodyBytes:
		return nil, tooLarge(http.StatusRequestEntityTooLarge, limits)
	case req.Body == http.NoBody:
		return nil, nil
	}
	body := &bodyReader{requestReader: r, req: req, idle: limits.IdleTimeout}
	r.limited.N = limits.BodyBytes*2 + bufferBytes
	held, err := memory.ReadBody(account, body, req.ContentLength, limits.BodyBytes)
	var full *memory.Error
	switch {
	case err == memory.ErrTooLong:
		return nil, tooLarge(http.StatusRequestEntityTooLarge, limits)
	case errors.As(err, &full):
		return nil, noMemory(full)
	case isTimeout(err):
		return nil, unreadable(http.StatusRequestTimeout)
	case err != nil:
		return nil, unreadable(http.StatusBadRequest)
	}
	return held, nil
}

// bodyReader reads a body. Its first read, which comes once there is room for the body, asks the
// caller for it.
type bodyReader struct {
	*requestReader
	req   *http.Request
	idle  time.Duration
	asked bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		_ = b.net.SetReadDeadline(time.Now().Add(b.idle))
		if b.req.Header.Get("Expect") != "" {
			if _, err := b.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return 0, err
			}
		}
	}
	return b.req.Body.Read(p)
}
