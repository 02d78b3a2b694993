package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	standin "github.com/banyandeal/banyandeal/internal/standin/caller"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
)

const (
	// pipelinersPerInstance is the number of callers for each instance that send requests
	// before the responses to earlier ones have arrived. Each second one reads large responses
	// slowly.
	pipelinersPerInstance = 2
	// maxPipelinedOpen bounds the requests without a response of such a caller.
	maxPipelinedOpen = 4
	// pipelinedInterval is the time between two of its requests.
	pipelinedInterval = 15 * time.Millisecond
	// largeMarker is the part of a path that asks for a response of largeBytes more.
	largeMarker = "/read/large-"
	largeBytes  = 300_000
	// slowPieces is the number of parts in which a large response is read, and slowPause the
	// time between them.
	slowPieces = 10
	slowPause  = 20 * time.Millisecond
	// slowBufferBytes is the receive buffer of a caller that reads slowly.
	slowBufferBytes = 16 << 10
)

// errBehindClose is the error of a request that was sent behind a response that closes its
// connection. It must not have run.
const errBehindClose = errors.ConstError("the connection closed after an earlier response")

// responseBody returns what backend servers respond.
func responseBody(a *registered.Arrival) string {
	text := "answer to " + a.ID
	if strings.HasPrefix(a.Target, largeMarker) {
		text += strings.Repeat(".", largeBytes)
	}
	return text
}

// pipeline lets callers send requests behind one another until ctx is done. They keep a
// connection until it ends.
func (c *callerGroup) pipeline(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for n := range pipelinersPerInstance * len(c.environment.instances) {
		p := &pipeliner{callerGroup: c, rng: rand.New(rand.NewPCG(seed, pipelinerStream+uint64(n))), slow: n%2 == 1}
		all.Go(func() { p.run(ctx) })
	}
	all.Wait()
}

// pipelinerStream is the first of the streams of random numbers of pipeliners. Those of the
// other callers are below it.
const pipelinerStream = 1 << 32

// pipeliner is one of these callers.
type pipeliner struct {
	callerGroup *callerGroup
	rng         *rand.Rand
	slow        bool

	mu sync.Mutex
	// open holds the requests without a response, in their order.
	open []record
	// ended is set when the connection takes no more requests.
	ended bool
}

func (p *pipeliner) run(ctx context.Context) {
	for ctx.Err() == nil {
		address := p.callerGroup.environment.anyInstance(p.rng).address(callerPort)
		conn, err := net.DialTimeout("tcp", address, connectTimeout)
		if err != nil {
			time.Sleep(meanIdleTime)
			continue
		}
		p.use(ctx, conn, address)
		_ = conn.Close()
	}
}

// use sends requests on a connection until it ends or ctx is done.
func (p *pipeliner) use(ctx context.Context, conn net.Conn, address string) {
	if p.slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(slowBufferBytes)
	}
	p.ended = false
	var receiver sync.WaitGroup
	receiver.Go(func() { p.receive(conn) })
	for ctx.Err() == nil && p.send(conn, address) {
		time.Sleep(time.Duration((0.5 + p.rng.Float64()) * float64(pipelinedInterval)))
	}
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	receiver.Wait()
}

// send sends one more request if few enough are open. It returns false if the connection has
// ended.
func (p *pipeliner) send(conn net.Conn, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := maxPipelinedOpen
	if p.slow {
		limit = 2
	}
	if p.ended || len(p.open) >= limit {
		return !p.ended
	}
	r := record{id: p.callerGroup.nextID(), method: http.MethodGet, instance: address, sent: time.Now(), pipelined: true}
	r.path = "/read/" + r.id
	if p.slow {
		r.path = largeMarker + r.id
	}
	p.open = append(p.open, r)
	_ = conn.SetWriteDeadline(time.Now().Add(callerTimeout))
	// The receiver notices an error too.
	_, _ = io.WriteString(conn, formatRequest(r, fmt.Sprint(p.rng.IntN(objectCount))))
	return true
}

// receive reads responses until the connection ends, and records the requests.
func (p *pipeliner) receive(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 512)
	var err error
	for err == nil {
		r, ok, ended := p.oldest()
		switch {
		case !ok && ended:
			return
		case !ok:
			time.Sleep(time.Millisecond)
			continue
		}
		_ = conn.SetReadDeadline(r.sent.Add(callerTimeout + time.Second))
		closing, readErr := p.read(reader, &r)
		err = readErr
		p.finish(r, err)
		if err == nil && closing {
			err = errBehindClose
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, r := range p.open {
		p.record(r, err)
	}
	p.open = nil
}

// oldest returns the oldest request without a response.
func (p *pipeliner) oldest() (r record, ok, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open) == 0 {
		return record{}, false, p.ended
	}
	return p.open[0], true, p.ended
}

// finish records the end of the oldest request.
func (p *pipeliner) finish(r record, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = p.open[1:]
	p.record(r, err)
}

// record records the end of a request.
func (p *pipeliner) record(r record, err error) {
	r.latency, r.err = time.Since(r.sent), err
	p.callerGroup.addRecord(r)
}

// read reads one response, slowly if it is large. closing is set if it closes the connection.
func (p *pipeliner) read(reader *bufio.Reader, r *record) (closing bool, err error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, errors.Trace(err)
	}
	var body strings.Builder
	for resp.ContentLength > slowPieces && err == nil {
		if _, err = io.CopyN(&body, resp.Body, resp.ContentLength/slowPieces); p.slow {
			time.Sleep(slowPause)
		}
	}
	if err == nil || err == io.EOF {
		_, err = io.Copy(&body, resp.Body)
	}
	r.status, r.response = resp.StatusCode, strings.TrimSuffix(body.String(), strings.Repeat(".", largeBytes))
	r.hasServerStamp = resp.Header.Get(standin.HeaderStamp) != ""
	r.statesLimit = resp.Header.Get("Server-Limit") != ""
	return resp.Close, errors.Trace(err)
}
