package edgetest

import (
	"fmt"
	"sync"
	"testing"
)

// fleet is an Environment with backend servers and instances in all zones. Its routes are
// /read/, which is idempotent, and /write/, which is not.
type fleet struct {
	*Environment
	backends []*Backend

	mu        sync.Mutex
	instances []*Instance
}

// startFleet starts backend servers, each as start says, and an instance in each of the
// zones. The test's cleanup stops them.
func startFleet(t *testing.T, backends int, start Start, instanceZones ...string) *fleet {
	f := &fleet{Environment: New(t)}
	f.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"}, Route{Prefix: "/write/", Kind: "unsafe", Service: "shop"})
	for n := range backends {
		start.Name, start.Zone, start.Service = fmt.Sprint("i-", n), []string{"a1", "a2", "b1"}[n%3], "shop"
		f.backends = append(f.backends, f.Backend(start))
	}
	for n, zone := range instanceZones {
		f.instances = append(f.instances, f.Instance(fmt.Sprint("instance-", n), zone))
	}
	t.Cleanup(func() {
		for _, i := range f.instances {
			i.Stop()
		}
	})
	return f
}

// instance returns the n-th instance, counted round and round.
func (f *fleet) instance(n int) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[n%len(f.instances)]
}

// replaceInstance stops the n-th instance and starts another one in its zone.
func (f *fleet) replaceInstance(n int) {
	old := f.instance(n)
	started := f.Instance(old.Settings.Instance+"-new", old.Settings.Zone)
	f.mu.Lock()
	f.instances[n] = started
	f.mu.Unlock()
	old.Stop()
	<-old.Done
}
