package main

import (
	"fmt"
	"time"
)

// cold is the case of an upstream that crashes and is back, cold, under the id that it had, while
// the store is down.
func cold(w *world) (string, error) {
	const service, down = "scoring", 7 * time.Second
	// "Well above" the 2.7 requests a second that a cold upstream tolerates: four times as many.
	const crashesCold = 11
	w.store.configure(1, []string{service}, []route{
		{prefix: "/look/", kind: "safe", service: service, timeout: 1200 * time.Millisecond, attempts: 2},
		{prefix: "/decide/", kind: "unsafe", service: service, timeout: 1500 * time.Millisecond, attempts: 1},
	})
	for n, zone := range []string{"bud-a", "bud-b", "bud-a"} {
		if _, err := w.addUpstream(&upstream{id: fmt.Sprintf("i-%d", n+1), zone: zone, service: service, slots: 3, work: 100 * time.Millisecond, crashesCold: crashesCold}); err != nil {
			return "", err
		}
	}
	if err := w.begin("bud-a", "bud-b"); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	for _, i := range w.instances {
		w.clients.load(stop, i, "GET", "/look/", 13, 24, 3*time.Second)
		w.clients.load(stop, i, "POST", "/decide/", 6, 24, 4*time.Second)
	}
	time.Sleep(8 * time.Second)
	u := w.upstreams[0]
	if w.trouble {
		w.store.setDown(true)
		time.AfterFunc(down, func() { w.store.setDown(false) })
	}
	time.Sleep(500 * time.Millisecond)
	u.crash()
	time.Sleep(downTime)
	if err := u.start(true); err != nil {
		return "", err
	}
	time.Sleep(9 * time.Second)
	close(stop)
	sent := map[string]time.Time{}
	status := map[string]int{}
	for _, a := range w.clients.attempts() {
		sent[a.id], status[a.id] = a.sent, a.status
	}
	const allowed = coldPerSecond*1.5 + 5
	most, lost := 0, 0
	var cold []arrival
	for _, a := range u.arrived() {
		if !a.cold {
			continue
		}
		cold = append(cold, a)
		if a.method == "POST" && status[a.id] != 200 {
			lost++
		}
	}
	for first, from := range cold {
		n := 0
		for _, a := range cold[first:] {
			// Counted are requests that were sent and arrived inside the second.
			if a.at.Sub(from.at) < time.Second && sent[a.id].After(from.at.Add(-time.Millisecond)) {
				n++
			}
		}
		most = max(most, n)
	}
	fmt.Printf("%d requests reached the cold upstream, %d of them within one second; %.2f are allowed; %d unsafe ones were lost there\n", len(cold), most, allowed, lost)
	w.log.event("count", map[string]any{"cold": len(cold), "most_in_a_second": most, "allowed": allowed, "unsafe_lost": lost})
	if float64(most) > allowed {
		return fmt.Sprintf("FAILBACK: %d requests within one second at a cold upstream, %.2f are allowed", most, allowed), nil
	}
	return "", nil
}
