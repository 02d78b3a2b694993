// Command pipelined shows what becomes of the requests of clients that send further safe requests
// before the first has been answered, on open connections of an instance that gets SIGTERM.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/caller"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/review/rig"
)

const (
	clients = 6
	// period is the time between two requests of a client. It is shorter than a run, so that a
	// client has two or three requests on its connection at a time, at most maxOpen.
	period  = 250 * time.Millisecond
	maxOpen = 4
	// work, timeout and deadline are those of the site's first kind of request.
	work     = 640 * time.Millisecond
	timeout  = 1.2
	deadline = 3 * time.Second
	zone     = "bud-a"
	// termAfter is when the SIGTERM comes, just after the clients have asked the directory.
	termAfter = 12300 * time.Millisecond
	length    = 21 * time.Second
	// lateAfter is the time after SIGTERM from which the slowness of a server excuses nothing.
	lateAfter = 3 * time.Second
)

// request is one request as its client saw it.
type request struct {
	id, address string
	client      int
	sent, ended time.Time
	status      int
	complete    bool
	err         error
	afterClose  bool
	wrong       bool
}

type observer struct {
	rig  *rig.Rig
	mu   sync.Mutex
	seen []*request
}

func (o *observer) add(q *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen = append(o.seen, q)
}

func main() {
	r := rig.New()
	code := run(r)
	r.Close()
	os.Exit(code)
}

func run(r *rig.Rig) int {
	r.PutConfig(7, rig.Route{Prefix: "/lohu930/", Kind: "safe", Service: "huvo11a", TimeoutS: timeout, TargetS: 0.5, MaxAttempts: 2})
	for _, z := range []string{"bud-a", "bud-b", "deb-a"} {
		r.AddBackends(4, registered.Start{Zone: z, Service: "huvo11a", Work: work})
	}
	a, b := r.AddInstance(zone), r.AddInstance(zone)
	r.AddInstance("bud-b")
	r.AwaitReady()
	time.Sleep(2 * time.Second)
	o := &observer{rig: r}
	began := time.Now()
	end := began.Add(length)
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() { o.client(n, began, end, a, b) })
	}
	var term time.Time
	if rig.Trouble() {
		time.Sleep(time.Until(began.Add(termAfter)))
		term = time.Now()
		a.Term()
		<-a.Done()
		time.Sleep(300 * time.Millisecond)
		a.Start()
	}
	all.Wait()
	return o.judge(term, a)
}

// client asks the directory, keeps the answer three times as long as it says, and sends a request
// each period on one open connection to an address of it, whether the one before has been answered
// or not.
func (o *observer) client(n int, began, end time.Time, directories ...*rig.Instance) {
	c := &client{observer: o, n: n, directories: directories, held: began}
	// Clients do not send at the same moment.
	time.Sleep(time.Duration(n) * period / clients)
	for time.Now().Before(end) {
		c.refresh()
		if len(c.addresses) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		address := c.addresses[rand.IntN(len(c.addresses))]
		nc, err := rig.Dial(address)
		if err != nil {
			o.rig.Note("client %d: cannot connect to %s: %v", n, address, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.use(nc, address, end)
		_ = nc.Close()
	}
}

// client is the state of one client.
type client struct {
	observer    *observer
	n           int
	directories []*rig.Instance
	addresses   []string
	// held is until when the answer of the directory is kept.
	held time.Time
}

// refresh asks the directory if the last answer is too old.
func (c *client) refresh() {
	if time.Now().Before(c.held) {
		return
	}
	addresses, ttl, err := resolve(c.directories)
	if err != nil {
		return
	}
	c.addresses = addresses
	for !time.Now().Before(c.held) {
		c.held = c.held.Add(3 * ttl)
	}
	c.observer.rig.Note("client %d: the directory names %v for %v", c.n, addresses, ttl)
}

func resolve(directories []*rig.Instance) (addresses []string, ttl time.Duration, err error) {
	for _, d := range directories {
		if addresses, ttl, err = d.Resolve(zone); err == nil {
			return addresses, ttl, nil
		}
	}
	return nil, 0, err
}

// use sends requests on one connection until a time, or until the directory does not name its
// address any more, then waits for the answers that are due.
func (c *client) use(nc net.Conn, address string, end time.Time) {
	o, n := c.observer, c.n
	var mu sync.Mutex
	var open []*request
	sending := true
	stop := func() { mu.Lock(); sending = false; mu.Unlock() }
	var sender sync.WaitGroup
	sender.Go(func() {
		for time.Now().Before(end) {
			c.refresh()
			mu.Lock()
			if !sending || !slices.Contains(c.addresses, address) {
				sending = false
				mu.Unlock()
				return
			}
			if len(open) < maxOpen {
				q := &request{id: rig.NewID(), address: address, client: n, sent: time.Now()}
				o.add(q)
				open = append(open, q)
				o.rig.Note("client %d: sends %s to %s, %d open", n, q.id, address, len(open))
				text := caller.Request{Path: "/lohu930/" + q.id, Host: rig.Host, Object: fmt.Sprint(rand.IntN(24)), Timeout: deadline}.Encode(q.id)
				_, _ = io.WriteString(nc, text)
			}
			mu.Unlock()
			time.Sleep(period)
		}
		stop()
	})
	defer sender.Wait()
	defer stop()
	br := bufio.NewReader(nc)
	for {
		mu.Lock()
		if len(open) == 0 {
			if !sending {
				mu.Unlock()
				return
			}
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			continue
		}
		q := open[0]
		mu.Unlock()
		_ = nc.SetReadDeadline(q.sent.Add(deadline + 500*time.Millisecond))
		resp, err := http.ReadResponse(br, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		mu.Lock()
		q.ended = time.Now()
		if err != nil {
			sending = false
			for _, x := range open {
				x.err, x.ended = err, time.Now()
				o.rig.Note("client %d: %s to %s ends without an answer after %.3f s: %v", n, x.id, address, x.ended.Sub(x.sent).Seconds(), err)
			}
			mu.Unlock()
			return
		}
		open = open[1:]
		q.status, q.complete = resp.StatusCode, true
		if q.status == http.StatusOK && string(body) != "answer to "+q.id {
			q.wrong = true
		}
		o.rig.Note("client %d: %s gets %d after %.3f s, connection close: %v", n, q.id, q.status, q.ended.Sub(q.sent).Seconds(), resp.Close)
		if resp.Close {
			sending = false
			for _, x := range open {
				// They count as not read.
				x.afterClose, x.ended = true, time.Now()
			}
			mu.Unlock()
			return
		}
		mu.Unlock()
	}
}

// judge applies the rule LOST to what the clients and the backend servers have seen.
func (o *observer) judge(term time.Time, stopped *rig.Instance) int {
	arrivals := o.rig.Arrivals()
	lost, served, wrong, early := 0, 0, 0, 0
	for _, q := range o.seen {
		switch {
		case q.wrong:
			wrong++
		case q.complete && q.status == http.StatusOK:
			served++
		}
		passed := arrivals[q.id]
		if q.err == nil || q.afterClose || len(passed) == 0 {
			continue
		}
		age := q.ended.Sub(q.sent)
		if age >= time.Duration(timeout*float64(time.Second)) || age >= deadline {
			continue
		}
		sinceTerm := q.sent.Sub(term)
		excused := !term.IsZero() && sinceTerm <= lateAfter
		if excused {
			early++
			continue
		}
		lost++
		o.rig.Print("LOST: %s of client %d, sent to %s %.3f s after its SIGTERM, reached a server %.3f s later; the connection ended without an answer %.3f s after it was sent: %v",
			q.id, q.client, q.address, sinceTerm.Seconds(), passed[0].At.Sub(q.sent).Seconds(), age.Seconds(), q.err)
	}
	o.rig.Print("%d requests, %d served, %d lost, %d lost but excused, %d wrong answers", len(o.seen), served, lost, early, wrong)
	switch {
	case served < 50:
		return rig.CantRun
	case lost > 0 || wrong > 0:
		return rig.Broken
	}
	return rig.Held
}
