package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	callers     = 12
	objects     = 24
	lookupTime  = 2 * time.Second
	connectTime = time.Second
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 2 * time.Second
	// idleMean is the mean wait between two requests of a caller.
	idleMean = 25 * time.Millisecond
	// writeShare is the part of the requests that are not idempotent.
	writeShare = 0.4
	// requestsPerConn is how many requests a caller sends on a connection.
	requestsPerConn = 25
)

// record is what a caller knows of a request.
type record struct {
	id, method, path, body string
	// instance is the address that it was sent to.
	instance string
	sent     time.Time
	took     time.Duration
	status   int
	answer   string
	stamped  bool
	err      error
}

// crowd is all callers with what they have seen.
type crowd struct {
	estate *estate

	mu      sync.Mutex
	records []record
	ids     int
}

func (c *crowd) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	return fmt.Sprintf("soak-%s-%d", c.estate.run, c.ids)
}

func (c *crowd) note(r record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

// run lets all callers send until ctx ends.
func (c *crowd) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() {
			caller := &caller{crowd: c, rng: rand.New(rand.NewPCG(seed, uint64(n))), zone: zones[n%len(zones)]}
			caller.run(ctx)
		})
	}
	all.Wait()
}

// caller sends one request after the other on connections that it keeps.
type caller struct {
	crowd *crowd
	rng   *rand.Rand
	zone  string

	addresses []string
	asked     time.Time
	conn      net.Conn
	reader    *bufio.Reader
	address   string
	left      int
}

func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.lookUp(ctx)
		if !c.connect() {
			time.Sleep(idleMean)
			continue
		}
		wait := c.request()
		time.Sleep(wait + time.Duration(c.rng.ExpFloat64()*float64(idleMean)))
	}
}

// lookUp asks an instance where to connect, when the last answer is old.
func (c *caller) lookUp(ctx context.Context) {
	if time.Since(c.asked) < lookupTime {
		return
	}
	i := c.crowd.estate.instances[c.rng.IntN(len(zones))]
	addresses, err := resolve(ctx, i, c.zone)
	if err != nil {
		return
	}
	c.addresses, c.asked = addresses, time.Now()
	for _, a := range addresses {
		if a == c.address {
			return
		}
	}
	c.hangUp()
}

// resolve asks the directory of an instance.
func resolve(ctx context.Context, i *instance, zone string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	url := fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", i.address(directoryPort), host, regionOf[zone], zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addrs []string `json:"addrs"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the directory of %s answered %d", i.name, resp.StatusCode)
	}
	return body.Addrs, errors.Trace(json.NewDecoder(resp.Body).Decode(&body))
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect reports whether there is a connection.
func (c *caller) connect() bool {
	if c.conn != nil && c.left > 0 {
		return true
	}
	c.hangUp()
	if len(c.addresses) == 0 {
		return false
	}
	c.address = c.addresses[c.rng.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", c.address, connectTime)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.left = conn, bufio.NewReader(conn), requestsPerConn
	return true
}

// request sends one request and returns how long to wait before the next.
func (c *caller) request() time.Duration {
	r := c.compose()
	c.left--
	_ = c.conn.SetDeadline(time.Now().Add(callerPatience + time.Second))
	r.sent = time.Now()
	_, err := io.WriteString(c.conn, text(r, fmt.Sprint(c.rng.IntN(objects))))
	var again time.Duration
	if err == nil {
		again, err = c.read(&r)
	}
	r.took, r.err = time.Since(r.sent), err
	c.crowd.note(r)
	if err != nil {
		c.hangUp()
	}
	return again
}

func (c *caller) compose() record {
	r := record{id: c.crowd.nextID(), method: http.MethodGet, instance: c.address}
	switch {
	case c.rng.Float64() < writeShare:
		r.method, r.path, r.body = http.MethodPost, "/write/"+r.id, "body of "+r.id
	case c.rng.Float64() < 0.2:
		r.path = c.crowd.estate.anyRoute(c.rng) + r.id
	default:
		r.path = "/read/" + r.id
	}
	return r
}

// anyRoute returns the prefix of a route that was added, or of the first one.
func (e *estate) anyRoute(rng *rand.Rand) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := rng.IntN(len(e.routes) + 1)
	for p := range e.routes {
		if n == 0 {
			return p
		}
		n--
	}
	return "/read/"
}

func text(r record, object string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Banyandeal-Request-Id: %s\r\n", r.method, r.path, host, r.id)
	fmt.Fprintf(&b, "X-Banyandeal-Deadline-Ms: %d\r\nCookie: X-Banyandeal-Affinity-Key=%s\r\n", callerPatience.Milliseconds(), object)
	if r.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// read takes the answer and returns when to come back if it says so.
func (c *caller) read(r *record) (again time.Duration, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	body, err := io.ReadAll(resp.Body)
	r.status, r.answer, r.stamped = resp.StatusCode, string(body), resp.Header.Get("X-Banyandeal-Server-Stamp") != ""
	if resp.Close {
		c.left = 0
	}
	if seconds, convErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); convErr == nil {
		again = time.Duration(seconds * float64(time.Second))
	}
	return again, errors.Trace(err)
}
