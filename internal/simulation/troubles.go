package simulation

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/simnet"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// kinds maps the kinds of troubles to what they do. Each returns when its trouble is over.
var kinds = map[string]func(e *Estate, t Entry){
	"node_kill": (*Estate).killInstances, "node_cut": (*Estate).cutInstances, "roll_term": (*Estate).rollInstances,
	"node_freeze": (*Estate).holdInstances, "srv_crash": (*Estate).crashBackends, "release": (*Estate).release,
	"config_change": (*Estate).changeConfig, "config_storm": (*Estate).stormConfig, "big_config": (*Estate).growConfig,
	"evacuate": (*Estate).evacuate, "platform_down": (*Estate).storeDown, "platform_lost": (*Estate).storeLosesAnswers,
	"platform_compact": (*Estate).storeDropsHistory, "poison": (*Estate).sendCrashing,
	"limit": (*Estate).limitBackends, "srv_grey": (*Estate).failRuns,
}

// planned holds the kinds that are planned work.
var planned = map[string]bool{
	"config_change": true, "config_storm": true, "big_config": true, "evacuate": true, "release": true, "roll_term": true,
}

// hows holds the words that the setting how of a kind may have. Those of planned work that say
// what happens anyway are ignored.
var hows = map[string]string{
	"node_kill": "power reader leader", "node_cut": "all servers reset refuse reader leader", "node_freeze": "reader leader",
	"config_change": "route", "evacuate": "warm", "platform_down": "silent busy nodes older reader leader", "poison": "deadly",
	"srv_grey": "500 503 429 408 421 000",
}

// Times of planned work.
const (
	// drainTime is how long a backend server that leaves runs on.
	drainTime = 3 * time.Second
	// rewriteDelay is how long after the return of an older store its writers write again.
	rewriteDelay = 500 * time.Millisecond
	// crashInterval is the time between two sends of a crashing request.
	crashInterval = 400 * time.Millisecond
)

// has reports whether the settings of an entry contain a word.
func (t Entry) has(word string) bool { return slices.Contains(strings.Fields(t.How), word) }

// number returns how many of n things an entry is for.
func (t Entry) number(n int, share float64) int {
	if t.Count > 0 {
		return min(n, t.Count)
	}
	if t.Share > 0 {
		share = t.Share
	}
	return max(1, min(n, int(share*float64(n)+0.5)))
}

// chosen returns the instances that an entry is for: the reader first if it says so.
func (e *Estate) chosen(t Entry, share float64) []*instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := slices.Clone(e.instances)
	e.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if t.has("reader") || t.has("leader") {
		reader, _, _ := net.SplitHostPort(e.store.LastWriter())
		slices.SortStableFunc(all, func(a, b *instance) int {
			switch reader {
			case a.node():
				return -1
			case b.node():
				return 1
			}
			return 0
		})
	}
	return all[:t.number(len(all), share)]
}

// disturb records that an instance is disturbed for a time, and for contact after it.
func (e *Estate) disturb(i *instance, from, to time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed.Disturbed[i.node()] = append(e.observed.Disturbed[i.node()], Span{From: from, To: to})
}

// untilReady waits until an instance is ready, and returns when it was.
func (e *Estate) untilReady(i *instance) time.Time {
	client := &http.Client{Transport: &http.Transport{DialContext: e.callers.DialContext, DisableKeepAlives: true}, Timeout: time.Second}
	for range 50 {
		resp, err := client.Get("http://" + i.address(readyPort) + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

func (e *Estate) killInstances(t Entry) {
	for _, i := range e.chosen(t, 0.1) {
		e.work.Go(func() {
			i.life <- struct{}{}
			defer func() { <-i.life }()
			from := time.Now()
			e.disturb(i, from, from.Add(t.length()+contact))
			if t.has("power") {
				e.net.PowerOff(i.node())
			} else {
				i.kill()
			}
			time.Sleep(t.length())
			i.kill()
			e.net.PowerOn(i.node())
			i.start()
			e.disturb(i, from, e.untilReady(i))
		})
	}
}

func (e *Estate) holdInstances(t Entry) {
	for _, i := range e.chosen(t, 0.1) {
		e.work.Go(func() {
			i.life <- struct{}{}
			defer func() { <-i.life }()
			from := time.Now()
			e.disturb(i, from, from.Add(t.length()))
			e.net.PowerOff(i.node())
			time.Sleep(t.length())
			e.net.PowerOn(i.node())
		})
	}
}

func (e *Estate) rollInstances(t Entry) {
	for _, i := range e.chosen(t, 1) {
		e.work.Go(func() {
			i.life <- struct{}{}
			defer func() { <-i.life }()
			from := time.Now()
			e.disturb(i, from, from.Add(gracePeriod+contact))
			i.stop()
			select {
			case <-i.done:
			case <-time.After(gracePeriod):
			}
			i.process.Kill()
			i.start()
			e.disturb(i, from, e.untilReady(i))
		})
		time.Sleep(seconds(t.GapS))
	}
}

// partition is a cut between some instances and all backend servers.
type partition struct {
	instances []*instance
	cut       simnet.Cut
}

// cutFrom sets the cut between the instances and a backend server.
func (p *partition) cutFrom(e *Estate, b *backend, c simnet.Cut) {
	for _, i := range p.instances {
		e.net.SetCut(i.node(), b.node, c)
	}
}

func (e *Estate) cutInstances(t Entry) {
	if t.has("servers") {
		e.partitionInstances(t)
		return
	}
	from, chosen := time.Now(), e.chosen(t, 0.1)
	for _, i := range chosen {
		e.disturb(i, from, from.Add(t.length()))
		e.cutFromSystem(i, simnet.CutSilent)
	}
	time.Sleep(t.length())
	for _, i := range chosen {
		e.cutFromSystem(i, simnet.NoCut)
	}
}

// cutFromSystem cuts an instance off from the other instances and the store, both ways.
func (e *Estate) cutFromSystem(i *instance, c simnet.Cut) {
	e.net.SetCut(i.node(), storeNode, c)
	for _, other := range e.instances {
		if other != i {
			e.net.SetCut(i.node(), other.node(), c)
			e.net.SetCut(other.node(), i.node(), c)
		}
	}
}

// partitionInstances cuts instances off from all backend servers. They are in touch meanwhile.
func (e *Estate) partitionInstances(t Entry) {
	p := &partition{instances: e.chosen(t, 0.1), cut: simnet.CutSilent}
	switch {
	case t.has("reset"):
		p.cut = simnet.CutReset
	case t.has("refuse"):
		p.cut = simnet.CutNew
	}
	span := Span{From: time.Now(), To: time.Now().Add(t.length())}
	e.mu.Lock()
	if len(e.partitions) > 0 || len(p.instances) == len(e.instances) {
		// Overlapping ones would end each other.
		e.mu.Unlock()
		return
	}
	e.partitions = append(e.partitions, p)
	e.setPartition(p, p.cut)
	observed := Partition{Span: span}
	for _, i := range p.instances {
		observed.Instances = append(observed.Instances, i.name)
	}
	e.observed.Partitions = append(e.observed.Partitions, observed)
	e.mu.Unlock()
	time.Sleep(t.length())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partitions = nil
	e.setPartition(p, simnet.NoCut)
}

// setPartition sets the cut between the instances of a partition and all backend servers. The
// caller must hold e.mu.
func (e *Estate) setPartition(p *partition, c simnet.Cut) {
	for _, b := range e.backends {
		p.cutFrom(e, b, c)
	}
}

// chosenBackends returns the backend servers that an entry is for.
func (e *Estate) chosenBackends(t Entry, share float64) []*backend {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := slices.DeleteFunc(slices.Clone(e.backends), func(b *backend) bool { return b.left })
	e.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:t.number(len(all), share)]
}

func (e *Estate) crashBackends(t Entry) {
	for _, b := range e.chosenBackends(t, 0.15) {
		b.Crash()
	}
	time.Sleep(down)
}

// failures maps the words of srv_grey to how backend servers fail requests that they have run.
var failures = map[string]registered.Act{
	"500": registered.Fail, "503": registered.Own503, "429": registered.Own429, "408": registered.Own408, "421": registered.Own421,
	"000": registered.RawAnswer,
}

// failRuns lets backend servers fail one of four requests that they run, by the status that how
// names.
func (e *Estate) failRuns(t Entry) {
	act, ok := failures[t.How]
	if !ok {
		act = registered.Fail
	}
	chosen := e.chosenBackends(t, 0.3)
	for _, b := range chosen {
		n := 0
		// The backend server calls the function under its own lock.
		b.SetAct(func(*registered.Arrival) registered.Act {
			n++
			if n%4 == 0 {
				return act
			}
			return registered.Run
		})
	}
	time.Sleep(t.length())
	for _, b := range chosen {
		b.SetAct(func(*registered.Arrival) registered.Act { return registered.Run })
	}
}

// limitBackends lets backend servers state a limit of x requests a second for a while.
func (e *Estate) limitBackends(t Entry) {
	chosen := e.chosenBackends(t, 0.3)
	limit := strconv.FormatFloat(max(1, t.X), 'f', -1, 64)
	for _, b := range chosen {
		b.SetLimits(limit)
	}
	time.Sleep(t.length())
	for _, b := range chosen {
		b.SetLimits()
	}
}

// release replaces backend servers in turn: the new one starts first, the old one leaves.
func (e *Estate) release(t Entry) {
	for _, b := range e.chosenBackends(t, 0.5) {
		e.startBackend(b.zone)
		time.Sleep(max(seconds(t.GapS), 100*time.Millisecond))
		e.mu.Lock()
		b.left = true
		e.observed.Departures = append(e.observed.Departures, Departure{Backend: b.name, Acked: time.Now()})
		e.mu.Unlock()
		b.Report("draining", 0)
		e.work.Go(func() {
			time.Sleep(drainTime)
			b.Leave()
			time.Sleep(drainTime)
			b.Stop()
		})
	}
}

func (e *Estate) changeConfig(Entry) {
	e.mu.Lock()
	n := len(e.routes)
	e.mu.Unlock()
	e.configure(Route{Prefix: fmt.Sprintf("/added-%d/", n), Idempotent: n%2 == 0})
}

func (e *Estate) stormConfig(t Entry) {
	for end := time.Now().Add(t.length()); time.Now().Before(end); time.Sleep(max(seconds(t.GapS), 50*time.Millisecond)) {
		e.changeConfig(t)
	}
}

func (e *Estate) growConfig(t Entry) {
	e.mu.Lock()
	n := len(e.routes)
	e.mu.Unlock()
	var more []Route
	for k := range max(1, t.Count) {
		more = append(more, Route{Prefix: fmt.Sprintf("/big-%d-%d/", n, k), Idempotent: true})
	}
	e.configure(more...)
}

// evacuate evacuates a zone for a while, unless that one is evacuated.
func (e *Estate) evacuate(t Entry) {
	zone := t.Zone
	if !slices.Contains(zones, zone) {
		zone = zones[0]
	}
	e.mu.Lock()
	busy := slices.ContainsFunc(e.observed.Evacuations, func(ev Evacuation) bool {
		return ev.TakenBack.IsZero() || ev.Zone == zone && time.Since(ev.TakenBack) < contact+evacuationBound
	})
	n := len(e.observed.Evacuations)
	if !busy {
		e.observed.Evacuations = append(e.observed.Evacuations, Evacuation{Zone: zone, Acked: time.Now()})
	}
	e.mu.Unlock()
	if busy {
		return
	}
	e.store.Put("op", "evacuate/"+zone, map[string]any{})
	time.Sleep(t.length())
	e.store.Remove("op", "evacuate/"+zone)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed.Evacuations[n].TakenBack = time.Now()
}

// storeTrouble lets the store treat calls in some way for a time. Troubles that would overlap
// are left out.
func (e *Estate) storeTrouble(t Entry, treat func(r *http.Request) store.Trouble) {
	e.storeTroubleUntil(t, 0, treat, func() {
		e.treatCalls(func(*http.Request) store.Trouble { return store.None })
	})
}

// storeTroubleUntil is storeTrouble with an end of its own, which takes so long.
func (e *Estate) storeTroubleUntil(t Entry, endTakes time.Duration, treat func(r *http.Request) store.Trouble, end func()) {
	e.mu.Lock()
	if e.storeTroubles > 0 {
		e.mu.Unlock()
		return
	}
	e.storeTroubles++
	e.observed.Unstable = append(e.observed.Unstable, Span{From: time.Now(), To: time.Now().Add(t.length() + endTakes)})
	e.mu.Unlock()
	e.treatCalls(treat)
	time.Sleep(t.length())
	end()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeTroubles--
}

// treatCalls sets how the store treats calls. Open ones end.
func (e *Estate) treatCalls(treat func(r *http.Request) store.Trouble) {
	e.store.SetTrouble(treat)
	e.storeHost.ResetConns()
}

func (e *Estate) storeDown(t Entry) {
	trouble := store.Hang
	if t.has("busy") {
		trouble = store.Refuse
	}
	switch {
	case t.has("nodes"):
		e.storeTurnsAway(t, trouble)
	case t.has("older"):
		e.storeComesBackOlder(t)
	default:
		e.storeTrouble(t, func(*http.Request) store.Trouble { return trouble })
	}
}

// storeTurnsAway lets the store treat the calls of some instances in some way, and serve the
// others. For the judge the store is not stable meanwhile.
func (e *Estate) storeTurnsAway(t Entry, trouble store.Trouble) {
	turnedAway := map[string]bool{}
	for _, i := range e.chosen(t, 0.35) {
		turnedAway[i.node()] = true
	}
	e.storeTrouble(t, func(r *http.Request) store.Trouble {
		node, _, _ := net.SplitHostPort(r.RemoteAddr)
		if turnedAway[node] {
			return trouble
		}
		return store.None
	})
}

// defaultCopyAge is the age in seconds of the copy from which a store comes back, if the entry
// doesn't say it.
const defaultCopyAge = 3.0

// storeComesBackOlder takes the store away. It comes back from a copy that is x seconds old, and
// what the operator and the backend servers have lost is written again soon after.
func (e *Estate) storeComesBackOlder(t Entry) {
	if t.X == 0 {
		t.X = defaultCopyAge
	}
	e.storeTroubleUntil(t, rewriteDelay, func(*http.Request) store.Trouble { return store.Hang }, func() {
		lost := e.store.RollbackTo(time.Now().Add(-t.length() - seconds(t.X)))
		e.treatCalls(func(*http.Request) store.Trouble { return store.None })
		time.Sleep(rewriteDelay)
		e.store.WriteAgain(lost)
	})
}

func (e *Estate) storeLosesAnswers(t Entry) {
	n := 0
	e.storeTrouble(t, func(r *http.Request) store.Trouble {
		n++
		if r.Method == http.MethodPost && n%3 == 0 {
			return store.LoseAnswer
		}
		return store.None
	})
}

// storeDropsHistory makes whole reads lag behind, and drops the history.
func (e *Estate) storeDropsHistory(t Entry) {
	e.mu.Lock()
	if e.storeTroubles > 0 {
		e.mu.Unlock()
		return
	}
	e.storeTroubles++
	e.observed.Unstable = append(e.observed.Unstable, Span{From: time.Now(), To: time.Now().Add(t.length())})
	e.mu.Unlock()
	e.store.SetReadLag(seconds(t.X))
	e.store.Compact()
	time.Sleep(t.length())
	e.store.SetReadLag(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeTroubles--
}

// sendCrashing repeats a request that crashes the backend servers that run it.
func (e *Estate) sendCrashing(t Entry) {
	e.mu.Lock()
	e.crashing++
	body := fmt.Sprint(crashBody, e.crashing)
	route := e.routes[e.crashing%2]
	e.mu.Unlock()
	for end := time.Now().Add(t.length()); time.Now().Before(end); time.Sleep(crashInterval) {
		e.mu.Lock()
		i := e.instances[e.rng.IntN(len(e.instances))]
		e.mu.Unlock()
		e.work.Go(func() { e.send(i, route, body, body) })
	}
}
