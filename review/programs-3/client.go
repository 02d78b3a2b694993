package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and its answer.
type attempt struct {
	id, method, instance string
	sent, answered       time.Time
	status               int
	leaving              string
	stamp                string
	err                  error
}

// clients sends requests, each over a connection of its own.
type clients struct {
	log  *record
	next atomic.Int64
	run  int64

	mu  sync.Mutex
	all []*attempt
	wg  sync.WaitGroup
}

func newClients(log *record) *clients {
	return &clients{log: log, run: rand.Int64N(1 << 30)}
}

// begin notes an attempt that is sent now.
func (c *clients) begin(i *instance, method string) *attempt {
	a := &attempt{id: fmt.Sprintf("%08x%08x", c.run, c.next.Add(1)), method: method, instance: i.name, sent: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
	return a
}

// end notes the end of an attempt.
func (c *clients) end(a *attempt) {
	a.answered = time.Now()
	fields := map[string]any{"id": a.id, "method": a.method, "instance": a.instance, "sent": c.log.since(a.sent), "status": a.status, "stamp": a.stamp, "leaving": a.leaving}
	if a.err != nil {
		fields["error"] = a.err.Error()
	}
	c.log.event("answer", fields)
}

// send sends one request over a new connection and waits for its answer until the client's time
// limit.
func (c *clients) send(i *instance, method, path, object, body string, limit time.Duration) {
	a := c.begin(i, method)
	a.err = c.exchange(a, i.address(callerPort), path, object, body, limit)
	c.end(a)
}

func (c *clients) exchange(a *attempt, address, path, object, body string, limit time.Duration) error {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	_ = nc.SetDeadline(a.sent.Add(limit))
	if err := writeRequest(nc, a, path, object, body, limit); err != nil {
		return err
	}
	return readAnswer(bufio.NewReader(nc), a)
}

// writeRequest writes the request of an attempt.
func writeRequest(nc net.Conn, a *attempt, path, object, body string, limit time.Duration) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Banyandeal-Request-Id: %s\r\nX-Banyandeal-Deadline-Ms: %d\r\n", a.method, path, host, a.id, limit.Milliseconds())
	if object != "" {
		fmt.Fprintf(&b, "Cookie: X-Banyandeal-Affinity-Key=%s\r\n", object)
	}
	if a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(nc, b.String()+"\r\n"+body)
	return err
}

// readAnswer reads the answer to an attempt.
func readAnswer(br *bufio.Reader, a *attempt) error {
	resp, err := http.ReadResponse(br, &http.Request{Method: a.method})
	if err != nil {
		return err
	}
	a.status, a.leaving, a.stamp = resp.StatusCode, resp.Header.Get("Server-Leaving"), resp.Header.Get("X-Banyandeal-Server-Stamp")
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// load sends requests to an instance at a rate until stop is closed, each for one of the objects.
func (c *clients) load(stop <-chan struct{}, i *instance, method, path string, perSecond float64, objects int, limit time.Duration) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			object := fmt.Sprint(n % objects)
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(i, method, path+object, object, "order "+object, limit)
			}()
		}
	}()
}

// attempts returns all attempts. It waits for those that have no answer yet.
func (c *clients) attempts() []*attempt {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}
