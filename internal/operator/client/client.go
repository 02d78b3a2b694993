// Package client is the client of the operator API of instances.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// maxResponseBytes is the maximum size of a response.
const maxResponseBytes = 16 << 20

// Unreachable is returned if an instance gave no usable response in time.
type Unreachable struct {
	// Addr is the queried address. Listener names the listener that it belongs
	// to: operator or caller.
	Addr, Listener string
	Cause          error
}

// Error implements error.
func (e *Unreachable) Error() string {
	return fmt.Sprintf("instance at %s gives no answer: %v; check that it runs and that the address is its %s listener", e.Addr, e.Cause, e.Listener)
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Client queries instances over HTTP. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New returns a client that waits for each response for at most timeout.
func New(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConns: maxConcurrentQueries}}, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns a part of the status of the instance at the operator address,
// which is host:port or a base URL. The part is operator.PartSelf, PartWork, or
// empty for all of the status. Errors: Unreachable.
func (c *Client) Status(ctx context.Context, addr, part string) (operator.Status, error) {
	path := "/v1/status"
	if part != "" {
		path += "?part=" + part
	}
	var status operator.Status
	if err := c.get(ctx, addr, path, &status); err != nil {
		return status, err
	}
	if status.Instance == "" { // the HTTP server responds, but the control state does not
		return status, errors.Trace(&Unreachable{Addr: addr, Listener: "operator", Cause: errors.New("the status is empty")})
	}
	return status, nil
}

// Spans returns the spans of one trace that the instance holds. Errors:
// Unreachable.
func (c *Client) Spans(ctx context.Context, addr, traceID string) ([]trace.Span, error) {
	var spans []trace.Span
	return spans, c.get(ctx, addr, "/v1/trace/"+url.PathEscape(traceID), &spans)
}

// Roots returns the instance's most recent root spans, newest first. Errors:
// Unreachable.
func (c *Client) Roots(ctx context.Context, addr string) ([]trace.Span, error) {
	var spans []trace.Span
	return spans, c.get(ctx, addr, "/v1/trace", &spans)
}

func (c *Client) get(ctx context.Context, addr, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.fetch(ctx, BaseURL(addr)+path, out); err != nil {
		return errors.Trace(&Unreachable{Addr: addr, Listener: "operator", Cause: UnwrapURLError(err)})
	}
	return nil
}

func (c *Client) fetch(ctx context.Context, target string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Trace(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out)
}

// UnwrapURLError returns the cause of err without the method and URL that the HTTP
// client puts before it.
func UnwrapURLError(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// BaseURL returns the base URL of an address given as host:port or as a URL.
func BaseURL(addr string) string {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	return strings.TrimSuffix(addr, "/")
}
