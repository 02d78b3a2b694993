package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	standin "github.com/banyandeal/banyandeal/internal/standin/caller"
)

const (
	// callersPerZoneInstance is the number of callers for each instance of a zone.
	callersPerZoneInstance = 12
	objectCount            = 24
	lookupInterval         = 2 * time.Second
	connectTimeout         = time.Second
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 2 * time.Second
	// meanIdleTime is the mean wait between two requests of a caller.
	meanIdleTime = 25 * time.Millisecond
	// writeShare is the share of the requests that are not idempotent.
	writeShare = 0.4
	// requestsPerConn is the number of requests that a caller sends on a connection.
	requestsPerConn = 25
)

// record describes a request as its caller observed it.
type record struct {
	id, method, path, body string
	// key is that of an account that changes; empty stands for the one that stays.
	key string
	// instance is the address of the instance that the request was sent to.
	instance       string
	sent           time.Time
	latency        time.Duration
	status         int
	response       string
	hasServerStamp bool
	// statesLimit is set if the response states a request limit.
	statesLimit bool
	// pipelined is set if the request was sent before the responses to earlier ones of its
	// connection.
	pipelined bool
	err       error
}

// callerGroup is the group of all callers with the records of their requests.
type callerGroup struct {
	environment *environment

	mu      sync.Mutex
	records []record
	lastID  int
}

func (c *callerGroup) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("soak-%s-%d", c.environment.runID, c.lastID)
}

func (c *callerGroup) addRecord(r record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

// run lets all callers send requests until ctx is done.
func (c *callerGroup) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for n := range callersPerZoneInstance * len(c.environment.instances) / len(zones) {
		all.Go(func() {
			caller := &caller{callerGroup: c, rng: rand.New(rand.NewPCG(seed, uint64(n))), zone: zones[n%len(zones)]}
			caller.run(ctx)
		})
	}
	all.Wait()
}

// caller sends one request after the other over persistent connections.
type caller struct {
	callerGroup *callerGroup
	rng         *rand.Rand
	zone        string

	addresses    []string
	lookedUpAt   time.Time
	conn         net.Conn
	reader       *bufio.Reader
	address      string
	requestsLeft int
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.refreshAddresses(ctx)
		if !c.connect() {
			time.Sleep(meanIdleTime)
			continue
		}
		wait := c.request()
		time.Sleep(wait + time.Duration(c.rng.ExpFloat64()*float64(meanIdleTime)))
	}
}

// refreshAddresses looks up the addresses to connect to if the last response is
// older than lookupInterval. It closes the current connection if its address is no
// longer among them.
func (c *caller) refreshAddresses(ctx context.Context) {
	if time.Since(c.lookedUpAt) < lookupInterval {
		return
	}
	i := c.callerGroup.environment.anyInstance(c.rng)
	addresses, err := resolve(ctx, i, c.zone)
	if err != nil {
		return
	}
	c.addresses, c.lookedUpAt = addresses, time.Now()
	for _, a := range addresses {
		if a == c.address {
			return
		}
	}
	c.closeConn()
}

// resolve queries the directory of an instance for the addresses for callers in a
// zone.
func resolve(ctx context.Context, i *instance, zone string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
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
		return nil, errors.Errorf("the directory of %s returned status %d", i.name, resp.StatusCode)
	}
	return body.Addrs, errors.Trace(json.NewDecoder(resp.Body).Decode(&body))
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect establishes a connection if none is usable, and reports whether there is
// one.
func (c *caller) connect() bool {
	if c.conn != nil && c.requestsLeft > 0 {
		return true
	}
	c.closeConn()
	if len(c.addresses) == 0 {
		return false
	}
	c.address = c.addresses[c.rng.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.requestsLeft = conn, bufio.NewReader(conn), requestsPerConn
	return true
}

// request sends one request and returns the Retry-After delay of the response, or 0.
func (c *caller) request() time.Duration {
	r := c.newRequest()
	c.requestsLeft--
	_ = c.conn.SetDeadline(time.Now().Add(callerTimeout + time.Second))
	r.sent = time.Now()
	_, err := io.WriteString(c.conn, formatRequest(r, fmt.Sprint(c.rng.IntN(objectCount))))
	var retryAfter time.Duration
	if err == nil {
		retryAfter, err = c.readResponse(&r)
	}
	r.latency, r.err = time.Since(r.sent), err
	c.callerGroup.addRecord(r)
	if err != nil {
		c.closeConn()
	}
	return retryAfter
}

func (c *caller) newRequest() record {
	r := record{id: c.callerGroup.nextID(), method: http.MethodGet, instance: c.address}
	switch {
	case c.rng.Float64() < writeShare:
		r.method, r.path, r.body = http.MethodPost, "/write/"+r.id, "body of "+r.id
	case c.rng.Float64() < routeShare:
		r.path = c.callerGroup.environment.anyRoute(c.rng) + r.id
	default:
		r.path = "/read/" + r.id
	}
	return r
}

// formatRequest returns the request as HTTP/1.1 text.
func formatRequest(r record, object string) string {
	request := standin.Request{Method: r.method, Path: r.path, Host: host, Body: r.body, Object: object, Key: cmp.Or(r.key, steadyKey), Timeout: callerTimeout}
	return request.Encode(r.id)
}

// readResponse reads the response and returns its Retry-After delay, or 0.
func (c *caller) readResponse(r *record) (retryAfter time.Duration, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	body, err := io.ReadAll(resp.Body)
	r.status, r.response, r.hasServerStamp = resp.StatusCode, string(body), resp.Header.Get(standin.HeaderStamp) != ""
	r.statesLimit = resp.Header.Get("Server-Limit") != ""
	if resp.Close {
		c.requestsLeft = 0
	}
	if seconds, convErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); convErr == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return retryAfter, errors.Trace(err)
}
