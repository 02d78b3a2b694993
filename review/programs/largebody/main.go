// Command largebody shows what becomes of the requests at an instance while clients upload bodies
// that the manifest allows. It ends a process that exceeds memory_mb, as the platform does.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/caller"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/review/rig"
)

const (
	clients  = 12
	work     = 640 * time.Millisecond
	timeout  = 1.2
	deadline = 3 * time.Second
	zone     = "bud-a"
	// uploadAt is when the uploads begin, uploadEvery the time between two of one client.
	uploadAt    = 8 * time.Second
	uploadEvery = 2 * time.Second
	// largeBody is max_body_bytes of the manifest, smallBody the size of an ordinary body.
	largeBody = 67108864
	smallBody = 24000
	length    = 30 * time.Second
	// maxLost is what the rule LOST allows a machine in touch.
	maxLost = 3
)

// uploaders is the number of clients with large bodies.
var uploaders = 1

type request struct {
	id          string
	sent, ended time.Time
	reused      bool
	status      int
	err         error
}

type observer struct {
	rig  *rig.Rig
	mu   sync.Mutex
	seen []*request
}

func main() {
	if n, err := strconv.Atoi(os.Getenv("UPLOADERS")); err == nil {
		uploaders = n
	}
	r := rig.New()
	code := run(r)
	r.Close()
	os.Exit(code)
}

func run(r *rig.Rig) int {
	r.PutConfig(7,
		rig.Route{Prefix: "/lohu930/", Kind: "safe", Service: "huvo11a", TimeoutS: timeout, TargetS: 0.5, MaxAttempts: 2},
		rig.Route{Prefix: "/pufi791/", Kind: "unsafe", Service: "huvo11a", TimeoutS: 1.5, TargetS: 0.6, MaxAttempts: 2})
	for _, z := range []string{"bud-a", "bud-b", "deb-a"} {
		r.AddBackends(6, registered.Start{Zone: z, Service: "huvo11a", Work: work})
	}
	a := r.AddInstance(zone)
	r.AwaitReady()
	time.Sleep(4 * time.Second)
	o := &observer{rig: r}
	end := time.Now().Add(length)
	stop := make(chan struct{})
	var all, watch sync.WaitGroup
	killed := 0
	watch.Go(func() { killed = o.watch(a, stop) })
	for n := range clients {
		all.Go(func() { o.client(n, a, end) })
	}
	for n := range uploaders {
		all.Go(func() { o.uploader(n, a, end) })
	}
	all.Wait()
	close(stop)
	watch.Wait()
	return o.judge(killed)
}

// watch ends a process that exceeds its memory, and starts it again. It returns how often.
func (o *observer) watch(i *rig.Instance, stop chan struct{}) int {
	killed, most := 0, 0
	for {
		select {
		case <-stop:
			o.rig.Print("the most memory that %s had was %d MB", i.Name, most)
			return killed
		case <-time.After(5 * time.Millisecond):
		}
		mb := residentMB(i.Pid())
		most = max(most, mb)
		if mb <= rig.MemoryMB {
			continue
		}
		o.rig.Print("platform: %s has %d MB, over memory_mb = %d; kills it", i.Name, mb, rig.MemoryMB)
		i.Signal(syscall.SIGKILL)
		<-i.Done()
		killed++
		time.Sleep(300 * time.Millisecond)
		i.Start()
	}
}

// residentMB returns the anonymous memory of a process that is resident: program text and
// libraries do not count.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// client sends one safe request after the other on a connection that it keeps.
func (o *observer) client(n int, i *rig.Instance, end time.Time) {
	var nc net.Conn
	var br *bufio.Reader
	for time.Now().Before(end) {
		reused := nc != nil
		if nc == nil {
			var err error
			if nc, err = rig.Dial(i.Addr(rig.FrontPort)); err != nil {
				nc = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(nc)
		}
		q := &request{id: rig.NewID(), sent: time.Now(), reused: reused}
		text := caller.Request{Path: "/lohu930/" + q.id, Host: rig.Host, Timeout: deadline}.Encode(q.id)
		o.exchange(fmt.Sprintf("client %d", n), nc, br, q, []byte(text))
		if q.err != nil {
			_ = nc.Close()
			nc = nil
		}
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	}
}

// uploader sends a request with a large body every so often, on a new connection each.
func (o *observer) uploader(n int, i *rig.Instance, end time.Time) {
	size := smallBody
	if rig.Trouble() {
		size = largeBody
	}
	if mb, err := strconv.Atoi(os.Getenv("SIZE_MB")); err == nil && rig.Trouble() {
		size = mb << 20
	}
	body := bytes.Repeat([]byte("x"), size)
	time.Sleep(uploadAt)
	for time.Now().Before(end) {
		next := time.Now().Add(uploadEvery)
		if nc, err := rig.Dial(i.Addr(rig.FrontPort)); err == nil {
			q := &request{id: rig.NewID(), sent: time.Now()}
			head := fmt.Sprintf("POST /pufi791/%s HTTP/1.1\r\nHost: %s\r\nX-Banyandeal-Request-Id: %s\r\nX-Banyandeal-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", q.id, rig.Host, q.id, size)
			o.exchange(fmt.Sprintf("uploader %d (%d bytes)", n, size), nc, bufio.NewReader(nc), q, append([]byte(head), body...))
			_ = nc.Close()
		}
		time.Sleep(time.Until(next))
	}
}

// exchange sends a request and reads the answer.
func (o *observer) exchange(who string, nc net.Conn, br *bufio.Reader, q *request, text []byte) {
	o.mu.Lock()
	o.seen = append(o.seen, q)
	o.mu.Unlock()
	o.rig.Note("%s: sends %s, kept connection: %v", who, q.id, q.reused)
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	_, q.err = nc.Write(text)
	if q.err == nil {
		var resp *http.Response
		if resp, q.err = http.ReadResponse(br, nil); q.err == nil {
			_, q.err = io.ReadAll(resp.Body)
			q.status = resp.StatusCode
		}
	}
	q.ended = time.Now()
	o.rig.Note("%s: %s ends with %d %v after %.3f s", who, q.id, q.status, q.err, q.ended.Sub(q.sent).Seconds())
}

func (o *observer) judge(killed int) int {
	arrivals := o.rig.Arrivals()
	served, lost := 0, 0
	for _, q := range o.seen {
		if q.err == nil && q.status == http.StatusOK {
			served++
		}
		if q.err != nil && q.reused && len(arrivals[q.id]) > 0 && q.ended.Sub(q.sent) < time.Duration(timeout*float64(time.Second)) {
			lost++
			o.rig.Print("LOST: %s, sent on a kept connection, reached a server; the connection ended without an answer after %.3f s: %v", q.id, q.ended.Sub(q.sent).Seconds(), q.err)
		}
	}
	o.rig.Print("%d requests, %d served, the process ended %d times, %d lost", len(o.seen), served, killed, lost)
	switch {
	case served < 50:
		return rig.CantRun
	case lost > maxLost:
		return rig.Broken
	}
	return rig.Held
}
