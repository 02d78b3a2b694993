package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/tree"
	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/standin/store"
	"github.com/banyandeal/banyandeal/internal/wait"
)

// membersTable is the table of the store with a row for each instance.
const membersTable = "members"

const (
	// minRoleFault and maxRoleFault bound how long an instance at a role is gone.
	minRoleFault = 3 * time.Second
	maxRoleFault = 20 * time.Second
	// changeLead bounds how long a change of the configuration is on its way when a fault
	// begins.
	changeLead = 600 * time.Millisecond
	// secondFaultGap is the time between two faults that follow each other while the first
	// lasts.
	secondFaultGap = time.Second
)

// size is what the settings of an instance say of its machine.
type size struct {
	// linkMbps is the rate of the link in Mbit/s, cpuShare the share of a core; 0 if not
	// stated.
	linkMbps, cpuShare float64
}

// sizes are those of real machines.
var sizes = []size{{linkMbps: 10, cpuShare: 0.16}, {linkMbps: 200, cpuShare: 0.8}}

// role selects an instance by its place in the tree of its region. It returns "" if there
// is none.
type role struct {
	name string
	pick func(e *environment, t *tree.Tree) string
}

var roles = []role{
	{"root", func(_ *environment, t *tree.Tree) string { return nth(t, 0) }},
	{"second", func(_ *environment, t *tree.Tree) string { return nth(t, 1) }},
	{"parent", func(_ *environment, t *tree.Tree) string { return innerParent(t) }},
	{"writer", func(e *environment, _ *tree.Tree) string { return e.lastWriter() }},
}

func nth(t *tree.Tree, n int) string {
	if order := t.Order(); n < len(order) {
		return order[n]
	}
	return ""
}

// innerParent returns the first instance below the root that has children.
func innerParent(t *tree.Tree) string {
	for n, name := range t.Order() {
		if n > 0 && len(t.Children(name)) > 0 {
			return name
		}
	}
	return ""
}

// lastWriter returns the name of the instance that wrote to the store last, or "" if its
// connection is closed.
func (e *environment) lastWriter() string {
	address := e.store.LastWriter()
	for _, i := range e.instances {
		if i.storeProxy.Carries(address) {
			return i.name
		}
	}
	return ""
}

// tree returns the tree of the instances of a region that are not gone.
func (e *environment) tree(region string) *tree.Tree {
	var nodes []tree.Node
	for _, r := range e.store.Rows(membersTable) {
		i := e.instanceByName(r.Key)
		if i == nil || regionOf[i.zone] != region || i.goneAt(time.Now()) {
			continue
		}
		var row struct {
			Capacity float64 `json:"capacity"`
		}
		// A row without a capacity counts as the daemon counts it.
		_ = json.Unmarshal(r.Value, &row)
		nodes = append(nodes, tree.Node{Name: i.name, Zone: i.zone, Capacity: row.Capacity})
	}
	return tree.New(region, nodes)
}

func (e *environment) instanceByName(name string) *instance {
	for _, i := range e.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// usePeerProxy returns a row of the members' table with the address of the proxy for
// traffic from other instances.
func (e *environment) usePeerProxy(r store.Row) store.Row {
	i := e.instanceByName(r.Key)
	if r.Table != membersTable || r.Deleted || i == nil {
		return r
	}
	var row map[string]json.RawMessage
	if json.Unmarshal(r.Value, &row) != nil {
		return r
	}
	row["peer"] = json.RawMessage(fmt.Sprintf("%q", i.peerProxy.Address()))
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	r.Value = value
	return r
}

// injectRoleFault makes one or two instances at roles of a region fail, alone, at once or
// one after the other, in most cases while changes of the configuration are on their way.
func injectRoleFault(ctx context.Context, e *environment, rng *rand.Rand) error {
	region := regionOf[zones[rng.IntN(len(zones))]]
	var all sync.WaitGroup
	defer all.Wait()
	changes := []func(context.Context, *environment, *rand.Rand) error{nil, changeLargeConfig, changeConfigRapidly}
	if change := changes[rng.IntN(len(changes))]; change != nil {
		changeRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		all.Go(func() { _ = change(ctx, e, changeRNG) })
		wait.Sleep(ctx, randomDuration(rng, changeLead))
	}
	first, second := newRoleFault(rng), newRoleFault(rng)
	switch rng.IntN(4) {
	case 0:
		return first.execute(ctx, e, region)
	case 1:
		return first.executeWith(ctx, e, region, second, 0)
	case 2:
		return first.executeWith(ctx, e, region, second, secondFaultGap)
	default:
		if err := first.execute(ctx, e, region); err != nil {
			return err
		}
		return second.execute(ctx, e, region)
	}
}

// roleFault is a fault of the instance that has a role when the fault begins.
type roleFault struct {
	role   role
	how    failure
	length time.Duration
}

// failure is a way in which an instance fails and comes back.
type failure struct {
	name string
	// begin and end change the process and its links.
	begin func(i *instance)
	end   func(e *environment, i *instance) error
}

var failures = []failure{
	{"dark", (*instance).darken, func(e *environment, i *instance) error {
		i.kill()
		i.peerProxy.Set(faultproxy.None)
		i.storeProxy.Set(faultproxy.None)
		return e.start(i)
	}},
	{"killed", (*instance).kill, (*environment).start},
	{
		"frozen", func(i *instance) { i.signal(syscall.SIGSTOP, false) },
		func(_ *environment, i *instance) error { i.signal(syscall.SIGCONT, false); return nil },
	},
}

func newRoleFault(rng *rand.Rand) roleFault {
	return roleFault{
		role: roles[rng.IntN(len(roles))], how: failures[rng.IntN(len(failures))],
		length: minRoleFault + time.Duration(rng.Float64()*float64(maxRoleFault-minRoleFault)),
	}
}

// execute makes the instance fail that has the role now, and lets it come back.
func (f roleFault) execute(ctx context.Context, e *environment, region string) error {
	i := e.instanceByName(f.role.pick(e, e.tree(region)))
	if i == nil || !i.tryLock() {
		return nil
	}
	defer i.busy.Unlock()
	_, _ = fmt.Fprintf(e.progress, "%6.1f s  %s: %s of %s, %s for %.1f s\n", time.Since(e.created).Seconds(), i.name, f.role.name, region, f.how.name, f.length.Seconds())
	f.how.begin(i)
	wait.Sleep(ctx, f.length)
	return f.how.end(e, i)
}

// executeWith also executes a second fault, a while after this one began.
func (f roleFault) executeWith(ctx context.Context, e *environment, region string, second roleFault, gap time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- f.execute(ctx, e, region) }()
	wait.Sleep(ctx, gap)
	err := second.execute(ctx, e, region)
	if firstErr := <-failed; firstErr != nil {
		return firstErr
	}
	return err
}

// darken makes the instance behave as one without power: its process does nothing, its
// connections to other instances and the store hang, and new ones get no response.
func (i *instance) darken() {
	i.signal(syscall.SIGSTOP, false)
	i.peerProxy.Set(faultproxy.Dark)
	i.storeProxy.Set(faultproxy.Dark)
	i.recordGone()
}

// injectPeerLinkFault delays or resets the connections to an instance from others.
func injectPeerLinkFault(ctx context.Context, e *environment, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.tryLock() {
		return nil
	}
	defer i.busy.Unlock()
	harms := []faultproxy.Harm{faultproxy.Delay, faultproxy.Refuse}
	i.recordInterruption()
	i.peerProxy.Set(harms[rng.IntN(len(harms))])
	wait.Sleep(ctx, randomDuration(rng, time.Second))
	i.peerProxy.Set(faultproxy.None)
	i.recordInterruption()
	return nil
}
