package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/store"
	"github.com/banyandeal/banyandeal/internal/wait"
)

// step is an operation on the environment or a fault in it.
type step struct {
	name string
	// execute executes the step. Its error describes what went wrong with what the step
	// started.
	execute func(ctx context.Context, e *environment, rng *rand.Rand) error
}

// plan is a choice of steps. Those of either list overlap.
type plan struct {
	// planned are operations of operators. faults are faults, and operations that may
	// coincide with them.
	planned, faults []step
	// storeIsCalm is set if no step and nothing else disturbs the store, so that instances
	// are in touch beside faults of others.
	storeIsCalm bool
	// storeResponds is set if the store is never down or slow and loses no response, so that
	// instances that are undisturbed themselves must follow evacuations.
	storeResponds bool
	// storeRollsBack is set if the store comes back from older copies all the time.
	storeRollsBack bool
	// hasSizes is set if the machines of the instances have sizes. Their links have these
	// rates; their processors are only stated.
	hasSizes bool
}

// PlanName is the name of a plan.
type PlanName string

// Plans.
const (
	// Mixed has faults everywhere.
	Mixed PlanName = "mixed"
	// Roles has faults of instances with a role in their region and large configurations.
	Roles PlanName = "roles"
	// Evacuations has evacuated zones beside faults of instances with a role, and a store
	// that drops its history, is read behind or comes back from an older copy.
	Evacuations PlanName = "evacuations"
	// Partitions has instances that reach no backend server, while callers, the store and other
	// instances reach them.
	Partitions PlanName = "partitions"
)

// Valid reports whether a plan has the name.
func (n PlanName) Valid() bool {
	return n == Mixed || n == Roles || n == Evacuations || n == Partitions
}

func (n PlanName) plan() *plan {
	switch n {
	case Roles:
		return &plan{planned: append(slices.Clone(plannedSteps), rolePlannedSteps...), faults: roleSteps, storeIsCalm: true, storeResponds: true, hasSizes: true}
	case Evacuations:
		return &plan{planned: evacuationPlannedSteps, faults: evacuationSteps, storeResponds: true, hasSizes: true}
	case Partitions:
		return &plan{planned: plannedSteps, faults: partitionSteps, storeIsCalm: true, storeResponds: true, hasSizes: true}
	}
	return &plan{planned: plannedSteps, faults: faultSteps, storeRollsBack: true}
}

var (
	plannedSteps = []step{
		{"restart an instance", restart},
		{"restart an instance", restart},
		{"reload settings", reload},
		{"change the configuration", changeConfig},
		{"change the configuration", changeConfig},
		{"drain a backend server", drainBackend},
		{"evacuate a zone", evacuate},
	}
	rolePlannedSteps = []step{
		{"change a large configuration", changeLargeConfig},
		{"change the configuration rapidly", changeConfigRapidly},
	}
	roleSteps = []step{
		{"inject a fault at a role", injectRoleFault},
		{"inject a fault at a role", injectRoleFault},
		{"inject a fault at a role", injectRoleFault},
		{"change a large configuration", changeLargeConfig},
		{"change the configuration rapidly", changeConfigRapidly},
		{"inject a fault between instances", injectPeerLinkFault},
		{"drain a backend server", drainBackend},
		{"restart an instance", restart},
	}
	evacuationPlannedSteps = []step{
		{"evacuate a zone", evacuate},
		{"evacuate a zone", evacuate},
		{"restart an instance", restart},
		{"change the configuration", changeConfig},
	}
	evacuationSteps = []step{
		{"evacuate a zone", evacuate},
		{"evacuate a zone", evacuate},
		{"drop the history while reads are behind", lagWholeReads},
		{"drop the history while reads are behind", lagWholeReads},
		{"let the store come back from an older copy", rollBackOnce},
		{"inject a fault at a role", injectRoleFault},
		{"inject a fault between instances", injectPeerLinkFault},
		{"drain a backend server", drainBackend},
		{"restart an instance", restart},
	}
	partitionSteps = []step{
		{"partition instances from the backend servers", partitionInstances},
		{"partition instances from the backend servers", partitionInstances},
		{"drain a backend server", drainBackend},
		{"evacuate a zone", evacuate},
		{"change the configuration", changeConfig},
		{"restart an instance", restart},
	}
	faultSteps = []step{
		{"kill an instance", kill},
		{"kill all instances", killAll},
		{"pause an instance", pause},
		{"inject a fault between an instance and the store", injectStoreLinkFault},
		{"inject a fault between all instances and the store", injectAllStoreLinkFaults},
		{"inject a fault in the store", injectStoreFault},
		{"compact the history of the store", compactStore},
		{"inject a fault between the instances and a backend server", injectBackendLinkFault},
		{"inject a fault in a backend server", injectBackendFault},
		{"crash a backend server", crashBackend},
		{"restart an instance", restart},
		{"change the configuration", changeConfig},
	}
)

// randomDuration returns a random duration between 0.3 d and d.
func randomDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration((0.3 + 0.7*rng.Float64()) * float64(d))
}

func (e *environment) anyInstance(rng *rand.Rand) *instance {
	return e.instances[rng.IntN(len(e.instances))]
}

func (e *environment) anyBackend(rng *rand.Rand) *backendServer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.backends[rng.IntN(len(e.backends))]
}

// tryLock reserves the instance for a step. It returns false if another step has
// reserved it.
func (i *instance) tryLock() bool { return i.busy.TryLock() }

func restart(ctx context.Context, e *environment, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.tryLock() {
		return nil
	}
	defer i.busy.Unlock()
	stopped := i.stop()
	wait.Sleep(ctx, randomDuration(rng, 500*time.Millisecond))
	if err := e.start(i); err != nil {
		return err
	}
	return stopped
}

func kill(ctx context.Context, e *environment, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.tryLock() {
		return nil
	}
	defer i.busy.Unlock()
	i.kill()
	wait.Sleep(ctx, randomDuration(rng, 2*time.Second))
	return e.start(i)
}

func killAll(ctx context.Context, e *environment, rng *rand.Rand) error {
	var locked []*instance
	for _, i := range e.instances {
		if i.tryLock() {
			defer i.busy.Unlock()
			i.kill()
			locked = append(locked, i)
		}
	}
	wait.Sleep(ctx, randomDuration(rng, time.Second))
	for _, i := range locked {
		if err := e.start(i); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, e *environment, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.tryLock() {
		return nil
	}
	defer i.busy.Unlock()
	i.signal(syscall.SIGSTOP, false)
	wait.Sleep(ctx, randomDuration(rng, 3*time.Second))
	i.signal(syscall.SIGCONT, false)
	return nil
}

func reload(_ context.Context, e *environment, rng *rand.Rand) error {
	i := e.anyInstance(rng)
	if !i.tryLock() {
		return nil
	}
	defer i.busy.Unlock()
	i.signal(syscall.SIGHUP, false)
	return nil
}

func changeConfig(_ context.Context, e *environment, rng *rand.Rand) error {
	e.configure([]string{randomPrefix(rng)}, nil)
	return nil
}

func drainBackend(_ context.Context, e *environment, rng *rand.Rand) error {
	return e.drainBackend(e.anyBackend(rng))
}

var linkFaults = []faultproxy.Harm{faultproxy.Refuse, faultproxy.Delay, faultproxy.OneWay, faultproxy.Hold, faultproxy.Silent}

func injectLinkFault(ctx context.Context, rng *rand.Rand, proxies ...*faultproxy.Proxy) {
	h := linkFaults[rng.IntN(len(linkFaults))]
	for _, p := range proxies {
		p.Set(h)
	}
	wait.Sleep(ctx, randomDuration(rng, 4*time.Second))
	for _, p := range proxies {
		p.Set(faultproxy.None)
	}
}

func injectStoreLinkFault(ctx context.Context, e *environment, rng *rand.Rand) error {
	injectLinkFault(ctx, rng, e.anyInstance(rng).storeProxy)
	return nil
}

func injectAllStoreLinkFaults(ctx context.Context, e *environment, rng *rand.Rand) error {
	var all []*faultproxy.Proxy
	for _, i := range e.instances {
		all = append(all, i.storeProxy)
	}
	injectLinkFault(ctx, rng, all...)
	return nil
}

func injectStoreFault(ctx context.Context, e *environment, rng *rand.Rand) error {
	troubles := []store.Trouble{store.Refuse, store.Hang, store.LoseAnswer, store.NoChanges}
	trouble := troubles[rng.IntN(len(troubles))]
	e.store.SetTrouble(always(trouble))
	wait.Sleep(ctx, randomDuration(rng, 3*time.Second))
	e.store.SetTrouble(always(store.None))
	return nil
}

func always(t store.Trouble) func(*http.Request) store.Trouble {
	return func(*http.Request) store.Trouble { return t }
}

func compactStore(_ context.Context, e *environment, _ *rand.Rand) error {
	e.store.Compact()
	return nil
}

func injectBackendLinkFault(ctx context.Context, e *environment, rng *rand.Rand) error {
	injectLinkFault(ctx, rng, e.anyBackend(rng).proxy)
	return nil
}

func injectBackendFault(ctx context.Context, e *environment, rng *rand.Rand) error {
	acts := []registered.Act{
		registered.Shed, registered.LoseAnswer, registered.CutAnswer, registered.Fail, registered.ExtraFirst, registered.ExtraAfter, registered.Unstamped,
		registered.Own503, registered.Own429, registered.Own408, registered.Own421, registered.BareOwn503, registered.BareOwn429, registered.RawAnswer,
	}
	n, act, period := e.anyBackend(rng), acts[rng.IntN(len(acts))], 2+rng.IntN(8)
	count := 0
	// The backend server calls this function under its own lock.
	n.SetAct(func(*registered.Arrival) registered.Act {
		count++
		if count%period == 0 {
			return act
		}
		return registered.Run
	})
	wait.Sleep(ctx, randomDuration(rng, 4*time.Second))
	n.SetAct(func(*registered.Arrival) registered.Act { return registered.Run })
	return nil
}

// crashBackend makes a backend server unreachable. Its entry in the store stays for
// a while; then another backend server replaces it.
func crashBackend(ctx context.Context, e *environment, rng *rand.Rand) error {
	n := e.anyBackend(rng)
	n.proxy.Set(faultproxy.Refuse)
	wait.Sleep(ctx, randomDuration(rng, 3*time.Second))
	n.proxy.Set(faultproxy.None)
	return e.drainBackend(n)
}
