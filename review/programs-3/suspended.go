package main

import (
	"syscall"
	"time"
)

// suspended is the case of a region of two machines, of which one is removed and the other one is
// suspended before it has found that out. Only machines of other regions, which nothing has harmed, are asked for addresses.
func suspended(w *world) (string, error) {
	const (
		after      = 2500 * time.Millisecond
		suspension = 4 * time.Second
		length     = 10 * time.Second
	)
	proxies := w.useProxies()
	defer proxies.close()
	w.store.configure(1, []string{"scoring"}, []route{{prefix: "/look/", kind: "safe", service: "scoring", timeout: 1200 * time.Millisecond, attempts: 2}})
	if _, err := w.addUpstream(&upstream{id: "i-1", zone: "bud-a", service: "scoring", slots: 3, work: 20 * time.Millisecond}); err != nil {
		return "", err
	}
	if err := w.begin("bud-a", "bud-b", "deb-a", "deb-b", "pec-a", "pec-b"); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	gone := map[*instance]time.Time{}
	if w.trouble {
		other := w.instances[5]
		gone[w.instances[4]] = w.remove(proxies, w.instances[4])
		time.Sleep(after)
		if err := w.suspend(other); err != nil {
			return "", err
		}
		resumed := time.AfterFunc(suspension, func() { w.resume(other) })
		defer resumed.Stop()
	}
	var answers []lookup
	for _, a := range w.watchLookups("pec-a", gone, length) {
		if regionOf[a.from.zone] != "pecs" {
			answers = append(answers, a)
		}
	}
	return w.judgeLookups(answers, gone)
}

// suspend stops the process of a machine; its connections stay as they are.
func (w *world) suspend(i *instance) error {
	w.log.event("suspended", map[string]any{"instance": i.name})
	return i.cmd.Process.Signal(syscall.SIGSTOP)
}

// resume lets the process of a machine go on.
func (w *world) resume(i *instance) {
	_ = i.cmd.Process.Signal(syscall.SIGCONT)
	w.log.event("resumed", map[string]any{"instance": i.name})
}
