package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// lookup is an answer of the directory.
type lookup struct {
	at    time.Time
	from  *instance
	names []string
}

// resolve asks an instance for the addresses of a host.
func resolve(from *instance, zone string) (addresses []string, err error) {
	q := url.Values{"name": {host}, "region": {regionOf[zone]}, "zone": {zone}}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + from.address(directoryPort) + "/resolve?" + q.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}

// peerProxies puts each instance behind a proxy for the other ones, by the rows of the table in
// which instances name themselves. A proxy can behave as a machine without power.
type peerProxies struct {
	mu    sync.Mutex
	byRow map[string]*faultproxy.Proxy
}

// useProxies puts all instances that start from now on behind proxies.
func (w *world) useProxies() *peerProxies {
	p := &peerProxies{byRow: map[string]*faultproxy.Proxy{}}
	w.store.Rewrite(p.rewrite)
	return p
}

func (p *peerProxies) close() {
	for _, proxy := range p.byRow {
		proxy.Close()
	}
}

func (p *peerProxies) rewrite(r store.Row) store.Row {
	if r.Table != "members" || r.Deleted {
		return r
	}
	row := map[string]json.RawMessage{}
	if json.Unmarshal(r.Value, &row) != nil {
		return r
	}
	var target string
	for name, value := range row {
		if name != "Peer" && name != "peer" || json.Unmarshal(value, &target) != nil {
			continue
		}
		p.mu.Lock()
		proxy := p.byRow[r.Key]
		if proxy == nil {
			var err error
			if proxy, err = faultproxy.New(target); err != nil {
				p.mu.Unlock()
				return r
			}
			p.byRow[r.Key] = proxy
		}
		p.mu.Unlock()
		row[name], _ = json.Marshal(proxy.Address())
	}
	r.Value, _ = json.Marshal(row)
	return r
}

// remove takes a machine away for good, without SIGTERM: its process ends, and nothing that is sent to
// it gets an answer.
func (w *world) remove(p *peerProxies, i *instance) time.Time {
	p.mu.Lock()
	proxy := p.byRow[i.name]
	p.mu.Unlock()
	if proxy != nil {
		proxy.Set(faultproxy.Dark)
	}
	_ = i.cmd.Process.Signal(syscall.SIGKILL)
	<-i.done
	w.log.event("removed", map[string]any{"instance": i.name})
	return time.Now()
}

// removed is the case of machines of a region that are removed one after the other, each shortly
// before it would have removed the row of the first one.
func removed(w *world) (string, error) {
	const length = 10 * time.Second
	proxies := w.useProxies()
	defer proxies.close()
	w.store.configure(1, []string{"scoring"}, []route{{prefix: "/look/", kind: "safe", service: "scoring", timeout: 1200 * time.Millisecond, attempts: 2}})
	if _, err := w.addUpstream(&upstream{id: "i-1", zone: "deb-a", service: "scoring", slots: 3, work: 20 * time.Millisecond}); err != nil {
		return "", err
	}
	if err := w.begin("deb-a", "deb-a", "deb-a", "deb-b", "bud-a", "bud-b"); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	gone := map[*instance]time.Time{}
	if w.trouble {
		for _, next := range []struct {
			after    time.Duration
			instance *instance
		}{{0, w.instances[0]}, {3600 * time.Millisecond, w.instances[1]}, {2500 * time.Millisecond, w.instances[3]}} {
			time.Sleep(next.after)
			gone[next.instance] = w.remove(proxies, next.instance)
		}
	}
	return w.judgeLookups(w.watchLookups("deb-a", gone, length), gone)
}

// watchLookups asks each instance that is not gone, again and again for a while, for the addresses
// for clients of a zone.
func (w *world) watchLookups(zone string, gone map[*instance]time.Time, length time.Duration) []lookup {
	const every = 100 * time.Millisecond
	var mu sync.Mutex
	var answers []lookup
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for _, i := range w.instances {
		if !gone[i].IsZero() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; time.Now().Before(end); time.Sleep(every) {
				names, err := resolve(i, zone)
				if err != nil {
					continue
				}
				mu.Lock()
				answers = append(answers, lookup{at: time.Now(), from: i, names: names})
				mu.Unlock()
				w.log.event("look-up", map[string]any{"from": i.name, "addrs": names})
			}
		}()
	}
	wg.Wait()
	return answers
}

// judgeLookups returns how the answers of instances in touch broke the rule.
func (w *world) judgeLookups(answers []lookup, gone map[*instance]time.Time) (string, error) {
	const (
		limit   = 7 * time.Second
		allowed = 3
	)
	late, latest := 0, 0.0
	for _, a := range answers {
		for i, at := range gone {
			if since := a.at.Sub(at); since > limit && slices.Contains(a.names, i.address(callerPort)) && len(a.names) > 1 {
				late++
				latest = max(latest, since.Seconds())
				w.log.event("late", map[string]any{"from": a.from.name, "names": i.name, "gone_for_s": since.Seconds()})
				break
			}
		}
	}
	fmt.Printf("%d of %d answers of the directory named a machine later than %s after it was removed, up to %.1f s\n", late, len(answers), limit, latest)
	if late > allowed {
		return fmt.Sprintf("DRAIN: %d answers named a machine that was removed", late), nil
	}
	return "", nil
}
