package ingress

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// writeTimeout is the time in which a caller must take minWriteProgress bytes of a
	// response, or the rest of it.
	writeTimeout = 10 * time.Second
	// minWriteProgress is in bytes.
	minWriteProgress = 4 << 10
	// headBytes is the usual size of the head of a response, at most.
	headBytes = 512
	// maxCopiedBody bounds the bodies that are copied behind their head, so that both take
	// one write, in bytes.
	maxCopiedBody = 16 << 10
)

// writeAll writes p to a caller, however slowly the caller reads it. It fails with a timeout
// if the caller stops reading.
func writeAll(nc net.Conn, p []byte) error {
	for {
		_ = nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := nc.Write(p)
		if n < minWriteProgress || !isTimeout(err) {
			return err
		}
		p = p[n:]
	}
}

func (c *conn) writeResponse(resp *Response, head, last bool) error {
	var b bytes.Buffer
	b.Grow(headBytes + min(len(resp.Body), maxCopiedBody))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(resp.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(resp.Status))
	b.WriteString("\r\n")
	if err := resp.Header.Write(&b); err != nil {
		return errors.Trace(err)
	}
	bodyless := resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	if !bodyless && (!head || resp.Header.Get("Content-Length") == "") {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(resp.Body)))
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	body := resp.Body
	if head {
		body = nil
	}
	if len(body) <= maxCopiedBody {
		b.Write(body)
		body = nil
	}
	if err := writeAll(c.net, b.Bytes()); err != nil || body == nil {
		return errors.Trace(err)
	}
	return errors.Trace(writeAll(c.net, body))
}
