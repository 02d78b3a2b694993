package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
)

// regress is the case of an instance that can open no connection to upstreams and hands over what
// it can't send on open ones, while the store doesn't answer it and the manifest moves a route.
func regress(w *world) (string, error) {
	const (
		before, after = "documents", "scoring"
		partition     = 5500 * time.Millisecond
		slack         = 250 * time.Millisecond
		// atOnce is the number of clients that send at the same moment. It is more than an instance
		// keeps open connections.
		atOnce = 20
	)
	routes := func(service string) []route {
		return []route{{prefix: "/sign/", kind: "safe", service: service, timeout: time.Second, attempts: 2}}
	}
	w.store.configure(1, []string{before, after}, routes(before))
	var isCut atomic.Bool
	for n, zone := range []string{"bud-a", "bud-b", "pec-a"} {
		for _, service := range []string{before, after} {
			u := &upstream{id: fmt.Sprintf("i-%s-%d", service, n+1), zone: zone, service: service, slots: 12, work: 100 * time.Millisecond}
			u.ownerOf = func(client, server string) string { return ownerOf(w.instances, client, server) }
			u.cut = func(owner string) bool { return isCut.Load() && owner == w.instances[0].name }
			if _, err := w.addUpstream(u); err != nil {
				return "", err
			}
		}
	}
	proxy, err := faultproxy.New(w.store.Address())
	if err != nil {
		return "", err
	}
	defer proxy.Close()
	w.storeOf = func(i *instance) string {
		if i.zone == "pec-b" {
			return proxy.Address()
		}
		return w.store.Address()
	}
	if err := w.begin("pec-b", "bud-a", "bud-b"); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	cutOff := w.instances[0]
	for range atOnce {
		w.clients.load(stop, cutOff, "GET", "/sign/", 3, 6, 2500*time.Millisecond)
	}
	for _, i := range w.instances[1:] {
		w.clients.load(stop, i, "GET", "/sign/", 5, 6, 2500*time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		isCut.Store(true)
		w.log.event("partition", map[string]any{"instance": cutOff.name, "on": true})
		time.AfterFunc(partition, func() {
			isCut.Store(false)
			w.log.event("partition", map[string]any{"instance": cutOff.name, "on": false})
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		proxy.SetPart(faultproxy.Silent, func(string, string) bool { return true })
		w.log.event("store silent", map[string]any{"instance": cutOff.name, "on": true})
		time.AfterFunc(3*time.Second, func() {
			proxy.SetPart(faultproxy.None, nil)
			w.log.event("store silent", map[string]any{"instance": cutOff.name, "on": false})
		})
	}
	time.Sleep(200 * time.Millisecond)
	w.store.configure(2, []string{before, after}, routes(after))
	time.Sleep(5 * time.Second)
	close(stop)
	byID := map[string]*attempt{}
	for _, a := range w.clients.attempts() {
		byID[a.id] = a
	}
	// seen is when an upstream first saw the effect of the new version in a request to the instance.
	var seen time.Time
	for _, u := range w.upstreams {
		for _, a := range u.arrived() {
			if u.service == after && byID[a.id] != nil && byID[a.id].instance == cutOff.name && (seen.IsZero() || a.at.Before(seen)) {
				seen = a.at
			}
		}
	}
	if seen.IsZero() {
		return "", fmt.Errorf("no request to the instance was handled by the new version")
	}
	w.log.event("effect of version 2", map[string]any{"instance": cutOff.name, "seen": w.log.since(seen)})
	late := 0
	for _, u := range w.upstreams {
		for _, a := range u.arrived() {
			sent := byID[a.id]
			if u.service == before && sent != nil && sent.instance == cutOff.name && sent.sent.Sub(seen) > slack {
				late++
				w.log.event("late", map[string]any{"id": a.id, "upstream": u.id, "from": a.from, "sent": w.log.since(sent.sent)})
			}
		}
	}
	fmt.Printf("%d requests to %s were handled by the older version, sent later than %s after an upstream had seen the newer one\n", late, cutOff.name, slack)
	if late > 0 {
		return fmt.Sprintf("CONFIG: %d requests of a machine that regressed", late), nil
	}
	return "", nil
}
