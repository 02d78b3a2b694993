package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// step is something that happens to the estate. It returns what went wrong with
// what it started.
type step struct {
	name string
	do   func(ctx context.Context, e *estate, rng *rand.Rand) error
}

// planned holds what operators do, and unplanned what merely happens. Steps of
// each overlap.
var (
	planned = []step{
		{"restart an instance", restart},
		{"restart an instance", restart},
		{"reload settings", reload},
		{"change the configuration", change},
		{"change the configuration", change},
		{"drain a backend server", drain},
		{"evacuate a zone", evacuate},
	}
	unplanned = []step{
		{"kill an instance", kill},
		{"kill all instances", killAll},
		{"pause an instance", pause},
		{"harm the way of an instance to the store", harmStore},
		{"harm the way of all instances to the store", harmAllStores},
		{"trouble the store", troubleStore},
		{"forget the history of the store", compact},
		{"harm the way to a backend server", harmBackend},
		{"a backend server treats requests badly", misbehave},
		{"a backend server ends", crash},
		{"restart an instance", restart},
		{"change the configuration", change},
	}
)

// short returns a time between a part of d and d.
func short(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration((0.3 + 0.7*rng.Float64()) * float64(d))
}

// sleep waits, less if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (e *estate) anyInstance(rng *rand.Rand) *instance {
	return e.instances[rng.IntN(len(e.instances))]
}

func (e *estate) anyBackend(rng *rand.Rand) *node {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.backends[rng.IntN(len(e.backends))]
}

// claim gives a step an instance for itself, nil if another step has it.
func (i *instance) claim() bool { return i.busy.TryLock() }

func restart(ctx context.Context, e *estate, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.claim() {
		return nil
	}
	defer i.busy.Unlock()
	stopped := i.stop()
	sleep(ctx, short(rng, 500*time.Millisecond))
	if err := e.start(i); err != nil {
		return err
	}
	return stopped
}

func kill(ctx context.Context, e *estate, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.claim() {
		return nil
	}
	defer i.busy.Unlock()
	i.kill()
	sleep(ctx, short(rng, 2*time.Second))
	return e.start(i)
}

func killAll(ctx context.Context, e *estate, rng *rand.Rand) error {
	var mine []*instance
	for _, i := range e.instances {
		if i.claim() {
			defer i.busy.Unlock()
			i.kill()
			mine = append(mine, i)
		}
	}
	sleep(ctx, short(rng, time.Second))
	for _, i := range mine {
		if err := e.start(i); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, e *estate, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.claim() {
		return nil
	}
	defer i.busy.Unlock()
	i.signal(syscall.SIGSTOP, false)
	sleep(ctx, short(rng, 3*time.Second))
	i.signal(syscall.SIGCONT, false)
	return nil
}

func reload(_ context.Context, e *estate, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.claim() {
		return nil
	}
	defer i.busy.Unlock()
	i.signal(syscall.SIGHUP, false)
	return nil
}

func change(_ context.Context, e *estate, rng *rand.Rand) error {
	e.configure(fmt.Sprintf("/added-%d/", rng.Uint32()))
	return nil
}

func drain(_ context.Context, e *estate, rng *rand.Rand) error { return e.drain(e.anyBackend(rng)) }

func evacuate(ctx context.Context, e *estate, rng *rand.Rand) error {
	key := "evacuate/" + zones[rng.IntN(len(zones))]
	e.store.Put("op", key, map[string]any{})
	sleep(ctx, short(rng, 4*time.Second))
	e.store.Remove("op", key)
	return nil
}

var harms = []faultproxy.Harm{faultproxy.Refuse, faultproxy.Delay, faultproxy.OneWay, faultproxy.Hold, faultproxy.Silent}

func harm(ctx context.Context, rng *rand.Rand, proxies ...*faultproxy.Proxy) {
	h := harms[rng.IntN(len(harms))]
	for _, p := range proxies {
		p.Set(h)
	}
	sleep(ctx, short(rng, 4*time.Second))
	for _, p := range proxies {
		p.Set(faultproxy.None)
	}
}

func harmStore(ctx context.Context, e *estate, rng *rand.Rand) error {
	harm(ctx, rng, e.anyInstance(rng).storeProxy)
	return nil
}

func harmAllStores(ctx context.Context, e *estate, rng *rand.Rand) error {
	var all []*faultproxy.Proxy
	for _, i := range e.instances {
		all = append(all, i.storeProxy)
	}
	harm(ctx, rng, all...)
	return nil
}

func troubleStore(ctx context.Context, e *estate, rng *rand.Rand) error {
	troubles := []store.Trouble{store.Refuse, store.Hang, store.LoseAnswer, store.NoChanges}
	trouble := troubles[rng.IntN(len(troubles))]
	e.store.SetTrouble(always(trouble))
	sleep(ctx, short(rng, 3*time.Second))
	e.store.SetTrouble(always(store.None))
	return nil
}

func always(t store.Trouble) func(*http.Request) store.Trouble {
	return func(*http.Request) store.Trouble { return t }
}

func compact(_ context.Context, e *estate, _ *rand.Rand) error {
	e.store.Compact()
	return nil
}

func harmBackend(ctx context.Context, e *estate, rng *rand.Rand) error {
	harm(ctx, rng, e.anyBackend(rng).proxy)
	return nil
}

func misbehave(ctx context.Context, e *estate, rng *rand.Rand) error {
	acts := []registered.Act{
		registered.Shed, registered.LoseAnswer, registered.CutAnswer, registered.Fail, registered.ExtraFirst, registered.ExtraAfter, registered.Unstamped,
	}
	n, act, share := e.anyBackend(rng), acts[rng.IntN(len(acts))], 2+rng.IntN(8)
	count := 0
	// The backend server calls it under its lock.
	n.SetAct(func(*registered.Arrival) registered.Act {
		count++
		if count%share == 0 {
			return act
		}
		return registered.Run
	})
	sleep(ctx, short(rng, 4*time.Second))
	n.SetAct(func(*registered.Arrival) registered.Act { return registered.Run })
	return nil
}

// crash ends a backend server; its entry stays for a while, and another one takes
// its place.
func crash(ctx context.Context, e *estate, rng *rand.Rand) error {
	n := e.anyBackend(rng)
	n.proxy.Set(faultproxy.Refuse)
	sleep(ctx, short(rng, 3*time.Second))
	n.proxy.Set(faultproxy.None)
	return e.drain(n)
}
