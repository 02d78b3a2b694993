package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// leaving is the case of an upstream whose leaving an instance has passed on in an answer that it
// had from another instance.
func leaving(w *world) (string, error) {
	const (
		service    = "scoring"
		partition  = 5500 * time.Millisecond
		storeDown  = 4500 * time.Millisecond
		drainDelay = 2500 * time.Millisecond
	)
	w.store.configure(1, []string{service}, []route{
		{prefix: "/look/", kind: "safe", service: service, timeout: 1200 * time.Millisecond, attempts: 2},
	})
	var isCut atomic.Bool
	for n, zone := range []string{"bud-a", "bud-b", "bud-a"} {
		u := &upstream{id: fmt.Sprintf("i-%d", n+1), zone: zone, service: service, slots: 5, work: 100 * time.Millisecond}
		u.ownerOf = func(client, server string) string { return ownerOf(w.instances, client, server) }
		u.cut = func(owner string) bool { return isCut.Load() && owner == w.instances[0].name }
		if _, err := w.addUpstream(u); err != nil {
			return "", err
		}
	}
	if err := w.begin("bud-a", "bud-b"); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	w.clients.load(stop, w.instances[0], "GET", "/look/", 30, 24, 3*time.Second)
	w.clients.load(stop, w.instances[1], "GET", "/look/", 10, 24, 3*time.Second)
	time.Sleep(8 * time.Second)
	u := w.upstreams[0]
	if w.trouble {
		isCut.Store(true)
		w.log.event("partition", map[string]any{"instance": w.instances[0].name, "on": true})
		for _, other := range w.upstreams {
			other.resetOf(w.instances[0].name)
		}
		time.AfterFunc(partition, func() {
			isCut.Store(false)
			w.log.event("partition", map[string]any{"instance": w.instances[0].name, "on": false})
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.store.setDown(true)
		time.AfterFunc(storeDown, func() { w.store.setDown(false) })
	}
	time.Sleep(200 * time.Millisecond)
	u.leave()
	time.Sleep(7 * time.Second)
	close(stop)
	// passed holds when each instance first passed on an answer that says so.
	passed, sent := map[string]time.Time{}, map[string]time.Time{}
	for _, a := range w.clients.attempts() {
		sent[a.id] = a.sent
		if a.leaving == "" {
			continue
		}
		if first, known := passed[a.instance]; !known || a.answered.Before(first) {
			passed[a.instance] = a.answered
		}
	}
	for name, at := range passed {
		w.log.event("passed on", map[string]any{"instance": name, "first": w.log.since(at)})
	}
	if w.trouble && passed[w.instances[0].name].IsZero() {
		return "", fmt.Errorf("the partitioned instance passed on no answer that says leaving")
	}
	late := 0
	for _, a := range u.arrived() {
		first, told := passed[a.from]
		if told && sent[a.id].Sub(first) > drainDelay {
			late++
			w.log.event("late", map[string]any{"id": a.id, "from": a.from, "arrived": w.log.since(a.at), "sent": w.log.since(sent[a.id])})
		}
	}
	fmt.Printf("%d requests reached the leaving upstream later than %s after the sender had passed on an answer with Server-Leaving\n", late, drainDelay)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d late requests", late), nil
	}
	return "", nil
}
