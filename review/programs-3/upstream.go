package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	// The figures of the services of tiszahid-hitel.
	coldStart     = 3 * time.Second
	coldPerSecond = 2.7
	// heartbeat is the time between two reports to the store.
	heartbeat = 1500 * time.Millisecond
	// downTime is how long a crashed upstream is away.
	downTime = time.Second
)

// arrival is a request that has reached an upstream.
type arrival struct {
	id, method, target string
	at                 time.Time
	from               string
	born               int64
	cold, run, leaving bool
}

// upstream is a server that registers itself in the store, with slots and a short queue.
type upstream struct {
	id, zone, service string
	slots             int
	work              time.Duration
	store             *platformStore
	log               *record
	// cut reports whether a connection is cut off; nil if none is.
	cut func(owner string) bool
	// ownerOf names the instance that has opened a connection.
	ownerOf func(client, server string) string
	// crashesCold is how many requests within a second crash it while it is cold; 0 if none do.
	// It is then back, cold again, after downTime.
	crashesCold int

	mu        sync.Mutex
	address   string
	listener  net.Listener
	conns     map[net.Conn]string
	born      time.Time
	seq       int
	coldUntil time.Time
	state     string
	leaving   bool
	busy      int
	arrivals  []arrival
	stopped   bool
}

// start opens the upstream and registers it. A cold one has started during traffic.
func (u *upstream) start(cold bool) error {
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return nil
	}
	address := u.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		u.mu.Unlock()
		return err
	}
	u.address, u.listener, u.conns = l.Addr().String(), l, map[net.Conn]string{}
	u.born, u.seq, u.state, u.coldUntil = time.Now(), 0, "ready", time.Time{}
	if cold {
		u.coldUntil = u.born.Add(coldStart)
	}
	born := u.born
	u.mu.Unlock()
	u.log.event("upstream starts", map[string]any{"id": u.id, "address": u.address, "cold": cold})
	go u.report(born)
	go u.serve(l)
	return nil
}

// report writes the entry of this start until it ends. A report that the store doesn't take comes
// again soon.
func (u *upstream) report(born time.Time) {
	for {
		u.mu.Lock()
		if u.stopped || u.born != born {
			u.mu.Unlock()
			return
		}
		u.mu.Unlock()
		if u.store.down.Load() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		u.write()
		time.Sleep(heartbeat)
	}
}

// write writes the entry once.
func (u *upstream) write() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	u.store.Put("servers", u.id, map[string]any{
		"address": u.address, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": u.state, "seq": u.seq, "cold_left_s": max(0, time.Until(u.coldUntil).Seconds())},
	})
}

// crash ends the process: its connections are reset and new ones refused.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.born.IsZero() {
		return
	}
	_ = u.listener.Close()
	for nc := range u.conns {
		reset(nc)
	}
	u.born, u.busy = time.Time{}, 0
	u.log.event("upstream crashes", map[string]any{"id": u.id})
}

// stop ends the upstream for good.
func (u *upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	_ = u.listener.Close()
	for nc := range u.conns {
		_ = nc.Close()
	}
}

// leave lets the upstream say in all answers that it leaves, and in its entry once the store takes
// that.
func (u *upstream) leave() {
	u.mu.Lock()
	u.leaving, u.state = true, "draining"
	u.mu.Unlock()
	u.log.event("upstream leaves", map[string]any{"id": u.id})
}

// resetOf resets the connections of an instance.
func (u *upstream) resetOf(owner string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for nc, of := range u.conns {
		if of == owner {
			reset(nc)
		}
	}
}

func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

func (u *upstream) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go u.conn(nc)
	}
}

func (u *upstream) conn(nc net.Conn) {
	owner := ""
	if u.ownerOf != nil {
		owner = u.ownerOf(nc.RemoteAddr().String(), nc.LocalAddr().String())
	}
	if u.cut != nil && u.cut(owner) {
		reset(nc)
		return
	}
	u.mu.Lock()
	u.conns[nc] = owner
	u.mu.Unlock()
	defer func() {
		_ = nc.Close()
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, nc)
	}()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !u.handle(nc, br, r, owner) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays.
func (u *upstream) handle(nc net.Conn, br *bufio.Reader, r *http.Request, owner string) bool {
	id := r.Header.Get("X-Banyandeal-Request-Id")
	if expected := r.Header.Get("X-Banyandeal-Expect-Instance"); expected != "" && expected != u.id {
		fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Banyandeal-Request-Id: %s\r\nX-Banyandeal-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, u.id)
		return true
	}
	u.mu.Lock()
	born, cold, leaving, busy := u.born, time.Now().Before(u.coldUntil), u.leaving, u.busy
	coldMillis := max(0, time.Until(u.coldUntil).Milliseconds())
	if id == "" {
		u.mu.Unlock()
		u.log.event("health", map[string]any{"id": u.id, "cold_ms": coldMillis})
		status := "200 OK"
		if leaving {
			status = "503 Service Unavailable"
		}
		fmt.Fprintf(nc, "HTTP/1.1 %s\r\nX-Banyandeal-Instance-Id: %s\r\nX-Banyandeal-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", status, u.id, coldMillis)
		return true
	}
	runs := busy < u.slots*4
	u.arrivals = append(u.arrivals, arrival{
		id: id, method: r.Method, target: r.RequestURI, at: time.Now(), from: owner, born: born.UnixMilli(), cold: cold, run: runs, leaving: leaving,
	})
	if runs {
		u.busy++
	}
	overloaded := cold && u.crashesCold > 0 && u.arrivedWithin(time.Second) >= u.crashesCold
	u.mu.Unlock()
	u.log.event("arrival", map[string]any{"upstream": u.id, "id": id, "target": r.RequestURI, "from": owner, "cold": cold, "leaving": leaving, "run": runs})
	if overloaded {
		u.crash()
		time.AfterFunc(downTime, func() { _ = u.start(true) })
		return false
	}
	if !runs {
		fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Banyandeal-Request-Id: %s\r\nX-Banyandeal-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	_ = nc.SetReadDeadline(time.Now().Add(u.work))
	_, err := br.Peek(1)
	_ = nc.SetReadDeadline(time.Time{})
	u.mu.Lock()
	if u.born == born {
		u.busy--
	}
	busy, leaving = u.busy, u.leaving
	u.mu.Unlock()
	if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
		return false
	}
	extra := ""
	if leaving {
		extra = "Server-Leaving: 1\r\n"
	}
	body := "answer to " + id
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Banyandeal-Request-Id: %s\r\nX-Banyandeal-Server-Stamp: %s.%s\r\nX-Banyandeal-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
		id, u.id, id, min(busy, u.slots), u.slots, extra, len(body), body)
	return true
}

// arrivedWithin returns how many requests have arrived lately at this start. The caller holds mu.
func (u *upstream) arrivedWithin(d time.Duration) int {
	n := 0
	for _, a := range u.arrivals {
		if a.born == u.born.UnixMilli() && time.Since(a.at) < d {
			n++
		}
	}
	return n
}

// arrived returns what has arrived.
func (u *upstream) arrived() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}
