// Command leaving shows what becomes of the requests of clients that have sent many safe requests
// on one connection and close it before the first answer.
package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/caller"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/review/rig"
)

const (
	// ordinary clients send one request at a time. A fifth of all clients have depth requests on
	// their connection; these leave.
	ordinary = 16
	deep     = 4
	depth    = 14
	// work, timeout, deadline and leaveAfter (half the objective) are those of the site's third
	// kind of request.
	work       = 1600 * time.Millisecond
	timeout    = 2.5
	objective  = 1.0
	deadline   = 8 * time.Second
	leaveAfter = 500 * time.Millisecond
	// troubleAt and troubleFor are when clients leave.
	troubleAt  = 8 * time.Second
	troubleFor = 5500 * time.Millisecond
	length     = 20 * time.Second
	// slack is the time that the rule allows after the close.
	slack = 500 * time.Millisecond
	// few is how many requests may arrive later than that; share is the part of the requests that
	// servers may still be at work on, of minimum or more.
	few     = 5
	share   = 0.25
	minimum = 20
)

type observer struct {
	rig *rig.Rig
	mu  sync.Mutex
	// closed holds when the client of a request closed its connection before the answer.
	closed map[string]time.Time
	sent   int
	served int
}

func main() {
	r := rig.New()
	code := run(r)
	r.Close()
	os.Exit(code)
}

func run(r *rig.Rig) int {
	r.PutConfig(7, rig.Route{Prefix: "/lohu930/", Kind: "safe", Service: "wuno96b", TimeoutS: timeout, TargetS: objective, MaxAttempts: 2})
	for _, z := range []string{"bud-a", "bud-b", "deb-a"} {
		r.AddBackends(8, registered.Start{Zone: z, Service: "wuno96b", Work: work})
	}
	instances := []*rig.Instance{r.AddInstance("bud-a"), r.AddInstance("bud-a")}
	r.AwaitReady()
	time.Sleep(4 * time.Second)
	o := &observer{rig: r, closed: map[string]time.Time{}}
	began := time.Now()
	var all sync.WaitGroup
	for n := range ordinary + deep {
		all.Go(func() { o.client(n, instances[n%len(instances)].Addr(rig.FrontPort), began) })
	}
	all.Wait()
	time.Sleep(3 * time.Second)
	return o.judge()
}

// client sends requests until the end, on new connections.
func (o *observer) client(n int, address string, began time.Time) {
	requests := 1
	if n >= ordinary {
		requests = depth
	}
	for time.Since(began) < length {
		nc, err := rig.Dial(address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		inTrouble := time.Since(began) >= troubleAt && time.Since(began) < troubleAt+troubleFor
		o.use(n, nc, requests, rig.Trouble() && inTrouble && requests > 1)
		_ = nc.Close()
		time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
	}
}

// use sends requests at once and reads the answers, or closes the connection after leaveAfter.
func (o *observer) use(n int, nc net.Conn, requests int, leaves bool) {
	var ids []string
	for range requests {
		id := rig.NewID()
		ids = append(ids, id)
		text := caller.Request{Path: "/lohu930/" + id, Host: rig.Host, Timeout: deadline}.Encode(id)
		if _, err := io.WriteString(nc, text); err != nil {
			return
		}
		o.rig.Note("client %d: sends %s", n, id)
	}
	o.mu.Lock()
	o.sent += requests
	o.mu.Unlock()
	if leaves {
		time.Sleep(leaveAfter)
		_ = nc.Close()
		o.rig.Note("client %d: closes its connection", n)
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, id := range ids {
			o.closed[id] = time.Now()
		}
		return
	}
	br := bufio.NewReader(nc)
	for _, id := range ids {
		_ = nc.SetReadDeadline(time.Now().Add(deadline))
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			o.rig.Note("client %d: %s ends with %v", n, id, err)
			return
		}
		o.rig.Note("client %d: %s gets %d", n, id, resp.StatusCode)
		if resp.StatusCode == http.StatusOK {
			o.mu.Lock()
			o.served++
			o.mu.Unlock()
		}
	}
}

// judge applies the rule GONE to what the servers have seen.
func (o *observer) judge() int {
	late, long, atWork := 0, 0, 0
	arrivals := o.rig.Arrivals()
	for id, closed := range o.closed {
		for _, a := range arrivals[id] {
			after := a.At.Sub(closed)
			if after > slack {
				late++
				o.rig.Print("GONE: %s reached a server %.3f s after its client had closed the connection", id, after.Seconds())
				continue
			}
			if a.At.Add(work).Before(closed.Add(slack)) {
				continue
			}
			long++
			if !endedEarly(a) {
				atWork++
				o.rig.Note("GONE: a server ran %s to its end, %.3f s after its client had closed the connection", id, a.At.Add(work).Sub(closed).Seconds())
			}
		}
	}
	o.rig.Print("%d requests, %d served; of %d requests whose client left, %d reached a server over 0.5 s later; servers would have been at work on %d others over 0.5 s later, and ran %d of them to the end",
		o.sent, o.served, len(o.closed), late, long, atWork)
	switch {
	case o.served < 50:
		return rig.CantRun
	case late > few, long >= minimum && float64(atWork) > share*float64(long):
		return rig.Broken
	}
	return rig.Held
}

// endedEarly reports whether the connection of a run ended before the run did.
func endedEarly(a *registered.Arrival) bool {
	select {
	case <-a.Gone:
		return true
	default:
		return false
	}
}
