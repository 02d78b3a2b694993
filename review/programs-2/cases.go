package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
)

// answer is an upstream's handler: it reads the request, works for a while and succeeds.
func answer(work time.Duration, body []byte) func(*upstream, http.ResponseWriter, *http.Request) {
	return func(_ *upstream, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		_, _ = w.Write(body)
	}
}

// start starts upstreams, so many in each of the two zones, and instances, so many by zone.
func (r *rig) start(instances map[string]int, upstreams, slots int, handler func(*upstream, http.ResponseWriter, *http.Request), routes ...route) error {
	r.configure(routes...)
	for range upstreams {
		for _, zone := range []string{"bud-a", "bud-b"} {
			if err := r.addUpstream(zone, slots, handler); err != nil {
				return err
			}
		}
	}
	for _, zone := range []string{"bud-a", "bud-b"} {
		for range instances[zone] {
			if err := r.addInstance(zone); err != nil {
				return err
			}
		}
	}
	return r.awaitReady()
}

// runRefused: upstreams fail part of the requests that they run, with status 503.
func runRefused(r *rig) (bool, error) {
	const requests, failEach = 60, 4
	var mu sync.Mutex
	n := 0
	fails := func(u *upstream, w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		n++
		failed := r.trouble && n%failEach == 0
		mu.Unlock()
		r.record.line("upstream %s has run %s, fails it: %v", u.id, req.Header.Get(headerID), failed)
		if failed {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(w, "done")
	}
	if err := r.start(map[string]int{"bud-a": 1, "bud-b": 1}, 2, 3, fails, route{"/decide/", "unsafe", 1.5, 2}); err != nil {
		return false, err
	}
	refusedRuns, ok, repeated := 0, 0, 0
	for k := range requests {
		path := fmt.Sprint("/decide/", k)
		runs := 0
		// Clients retry once, after a promise only.
		for range 2 {
			a := attempt{id: newID(), method: http.MethodPost, path: path, body: []byte("approve"), deadline: 4 * time.Second}
			res := do(r.instances[k%2].address(callerPort), a)
			ran := r.runsOf(a.id)
			runs += ran
			r.record.line("client: %s %s status %d, stamp %q, error %v; runs %d", a.id, path, res.status, res.header.Get(headerStamp), res.err, ran)
			promise := slices.Contains([]int{408, 421, 429, 503}, res.status)
			if promise && ran > 0 {
				refusedRuns++
			}
			if res.status == 200 {
				ok++
			}
			if !promise {
				break
			}
		}
		if runs > 1 {
			repeated++
		}
	}
	r.summary(map[string]any{"decisions": requests, "answered 200": ok, "attempts answered with a promise though they ran": refusedRuns, "decisions that ran again for it": repeated})
	return refusedRuns > 0, nil
}

// tally counts first tries.
type tally struct{ all, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.all)) }

// runOpaqueHeader: an instance is cut off from all upstreams while one in ten clients sends a
// header with a byte beyond ASCII.
func runOpaqueHeader(r *rig) (bool, error) {
	const (
		cutLength = 10 * time.Second
		interval  = 20 * time.Millisecond
	)
	if err := r.start(map[string]int{"bud-a": 2, "bud-b": 2}, 4, 6, answer(60*time.Millisecond, []byte("file")),
		route{"/file/", "safe", 1.2, 2}, route{"/decide/", "unsafe", 1.5, 2}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	cut := r.instances[0]
	began := time.Now()
	var counted struct{ cutPlain, cutOpaque, otherPlain, otherOpaque tally }
	// brokenOff counts the requests that an upstream had begun to run and whose client got no
	// answer of it.
	brokenOff := map[string]int{}
	send := func(i *instance, n int, counts bool) {
		defer wg.Done()
		a := attempt{id: newID(), method: http.MethodGet, path: fmt.Sprint("/file/", n), deadline: 3 * time.Second}
		if n%3 == 0 {
			a.method, a.path, a.body, a.deadline = http.MethodPost, fmt.Sprint("/decide/", n), []byte("approve"), 4*time.Second
		}
		opaque := n%10 == 0 && os.Getenv("OPAQUE") != "0"
		if opaque {
			a.header = "X-Office: P\xe9cs"
		}
		res := do(i.address(callerPort), a)
		ran := r.runsOf(a.id)
		r.record.line("client: %s %s to %s, header beyond ASCII %v: status %d error %v runs %d body %q", a.id, a.method, i.name, opaque, res.status, res.err, ran, bytes.TrimSpace(res.body))
		if !counts {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		t := &counted.otherPlain
		switch {
		case i == cut && opaque:
			t = &counted.cutOpaque
		case i == cut:
			t = &counted.cutPlain
		case opaque:
			t = &counted.otherOpaque
		}
		t.all++
		if res.err == nil && res.status == 200 {
			t.served++
		} else if ran > 0 {
			brokenOff[fmt.Sprintf("%s, status %d", a.method, res.status)]++
		}
	}
	cutBegan := false
	for n := 0; ; n++ {
		now := time.Since(began)
		if now > time.Second && !cutBegan {
			cutBegan = true
			if r.trouble {
				r.partition(cut)
			}
		}
		if now > time.Second+cutLength {
			break
		}
		// A request counts if it ends in the time of the rule, too.
		counts := now > time.Second+contact && now < time.Second+cutLength-2*time.Second
		for _, i := range r.instances {
			wg.Add(1)
			go send(i, n, counts)
		}
		time.Sleep(interval)
	}
	r.heal()
	wg.Wait()
	theirs := tally{counted.cutPlain.all + counted.cutOpaque.all, counted.cutPlain.served + counted.cutOpaque.served}
	others := tally{counted.otherPlain.all + counted.otherOpaque.all, counted.otherPlain.served + counted.otherOpaque.served}
	all := theirs.all + others.all
	broken := theirs.share() < others.share()*2/3 && float64(theirs.all-theirs.served) > 10+float64(all)/50
	r.summary(map[string]any{
		"at the cut machine":              fmt.Sprintf("%d of %d served; ASCII only %d of %d, the rest %d of %d", theirs.served, theirs.all, counted.cutPlain.served, counted.cutPlain.all, counted.cutOpaque.served, counted.cutOpaque.all),
		"run by an upstream, answer lost": brokenOff,
		"at the others":                   fmt.Sprintf("%d of %d served; ASCII only %d of %d, the rest %d of %d", others.served, others.all, counted.otherPlain.served, counted.otherPlain.all, counted.otherOpaque.served, counted.otherOpaque.all),
	})
	return broken, nil
}

// runChunked: clients send large bodies in chunks, within the limits of the manifest.
func runChunked(r *rig) (bool, error) {
	const requests, bodyBytes = 30, 40 << 20
	if err := r.start(map[string]int{"bud-a": 1, "bud-b": 1}, 1, 3, answer(0, []byte("stored")), route{"/store/", "unsafe", 20, 2}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go r.watchMemory(stop)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	denied, ok := 0, 0
	for n := range requests {
		a := attempt{id: newID(), method: http.MethodPost, path: fmt.Sprint("/store/", n), body: body, chunked: r.trouble, deadline: 20 * time.Second}
		res := do(r.instances[n%2].address(callerPort), a)
		r.record.line("client: %s, %d bytes, in chunks %v: status %d error %v body %q runs %d", a.id, len(a.body), a.chunked, res.status, res.err, bytes.TrimSpace(res.body), r.runsOf(a.id))
		switch {
		case res.status == 200:
			ok++
		case res.status >= 300 && res.status < 500 && res.status != 408 && res.status != 421 && res.status != 429 && res.header.Get(headerStamp) == "":
			denied++
		}
	}
	for _, i := range r.instances {
		r.record.line("%s held %.0f MB at its peak", i.name, i.peakMB)
	}
	r.summary(map[string]any{"requests": requests, "answered 200": ok, "ended with a 4xx of the machine": denied})
	return float64(denied) > 5+float64(requests)/500, nil
}

// runHandoverMemory: an instance is cut off from all upstreams for some seconds, while its clients
// read large responses slowly.
func runHandoverMemory(r *rig) (bool, error) {
	const (
		clients   = 40
		interval  = 320 * time.Millisecond
		cutLength = 6 * time.Second
		bodyBytes = 12 << 20
	)
	large, small := bytes.Repeat([]byte("x"), bodyBytes), []byte("statement")
	handler := func(u *upstream, w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/archive/") {
			answer(50*time.Millisecond, large)(u, w, req)
			return
		}
		answer(20*time.Millisecond, small)(u, w, req)
	}
	if err := r.start(map[string]int{"bud-a": 2, "bud-b": 2}, 4, 6, handler, route{"/archive/", "safe", 4, 2}, route{"/file/", "safe", 2, 2}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go r.watchMemory(stop)
	cut := r.instances[0]
	if r.trouble {
		r.partition(cut)
		time.AfterFunc(cutLength, r.heal)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	count, lost := map[string]int{}, 0
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := &keptConn{address: cut.address(callerPort)}
			defer k.close()
			// The connection is kept: it has carried a request before.
			first := k.do(attempt{id: newID(), method: http.MethodGet, path: fmt.Sprint("/file/", c), deadline: 3 * time.Second})
			a := attempt{id: newID(), method: http.MethodGet, path: fmt.Sprint("/archive/", c), deadline: 25 * time.Second, readRate: 800 << 10}
			res := k.do(a)
			ran := r.runsOf(a.id)
			r.record.line("client: %s after a first request with status %d: status %d, %d of %d bytes, error %v, runs %d", a.id, first.status, res.status, len(res.body), bodyBytes, res.err, ran)
			mu.Lock()
			defer mu.Unlock()
			count[fmt.Sprintf("status %d, whole %v", res.status, res.err == nil)]++
			if first.status == 200 && res.err != nil && ran > 0 && res.latency < a.deadline {
				lost++
			}
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	ended, peaks := r.ended()
	r.summary(map[string]any{"answers": count, "peaks": peaks, "processes that ended": ended, "passed on from a kept connection, which closed without the whole answer": lost})
	return lost > 3, nil
}

// goneAfter is how long after its end an instance may still be named in look-ups: contact_s and 3 s.
const goneAfter = contact + 3*time.Second

// runLookups: the instances of two regions of three, half of all, lose power and don't come back.
func runLookups(r *rig) (bool, error) {
	const (
		length   = 13 * time.Second
		interval = 100 * time.Millisecond
		steady   = 4 * time.Second
	)
	regionOf = map[string]string{"bud-a": "budapest", "bud-b": "budapest", "deb-a": "debrecen", "deb-b": "debrecen", "pec-a": "pecs", "pec-b": "pecs"}
	r.configure(route{"/file/", "safe", 1.2, 2})
	zones := slices.Sorted(maps.Keys(regionOf))
	for _, zone := range zones {
		if err := r.addUpstream(zone, 3, answer(10*time.Millisecond, []byte("file"))); err != nil {
			return false, err
		}
	}
	for _, zone := range append(zones, "bud-a", "bud-b") {
		if err := r.addInstance(zone); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(steady)
	gone := map[string]bool{}
	var running []*instance
	for _, i := range r.instances {
		if regionOf[i.zone] == "budapest" || !r.trouble {
			running = append(running, i)
			continue
		}
		i.peers.Set(faultproxy.Dark)
		_ = i.cmd.Process.Kill()
		gone[i.address(callerPort)] = true
		r.record.line("%s loses power", i.name)
	}
	began := time.Now()
	late, all, newest := 0, 0, time.Duration(0)
	for n := 0; time.Since(began) < length; n++ {
		for k, zone := range zones {
			i := running[(n+k)%len(running)]
			named, err := i.lookUp(regionOf[zone], zone)
			age := time.Since(began)
			r.record.line("client of %s: look-up at %s, %.1f s after: %v, error %v", zone, i.name, age.Seconds(), named, err)
			all++
			namesGone := slices.ContainsFunc(named, func(address string) bool { return gone[address] })
			if namesGone && slices.ContainsFunc(named, func(address string) bool { return !gone[address] }) {
				newest = age
				if age > goneAfter {
					late++
				}
			}
		}
		time.Sleep(interval)
	}
	r.summary(map[string]any{
		"look-ups": all, "that name a machine gone for over 7 s beside a running one": late,
		"the newest that names one": fmt.Sprintf("%.1f s after its end", newest.Seconds()),
	})
	return late > 3, nil
}
