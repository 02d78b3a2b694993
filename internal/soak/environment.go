package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
	"github.com/banyandeal/banyandeal/internal/standin/store"
	"github.com/banyandeal/banyandeal/platform"
)

// host is the host name of all routes.
const host = "soak.example"

// Zones of the environment and their regions.
var (
	zones    = []string{"east-a", "east-b", "west-a", "west-b"}
	regionOf = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}
)

const (
	backendsPerZone = 2
	callerPort      = 8144
	readyPort       = 8140
	directoryPort   = 8143
	peerPort        = 7660
	// gracePeriod is how long an instance may take to stop. startTimeout is how long it
	// may take to become ready.
	gracePeriod  = 6 * time.Second
	startTimeout = 5 * time.Second
	// maxDrainDelay is how long a backend server may still get requests after it
	// reported that it was draining. maxConfigDelay is how long a configuration may
	// take to be in force.
	maxDrainDelay  = 2500 * time.Millisecond
	maxConfigDelay = 2500 * time.Millisecond
)

// environment is the system under test together with its stand-ins.
type environment struct {
	workDir, program string
	plan             *plan
	created          time.Time
	// progress receives a line for each fault at a role.
	progress io.Writer
	// runID distinguishes the names of this run from those of other runs on the
	// machine.
	runID     string
	store     *store.Store
	instances []*instance

	mu       sync.Mutex
	backends []*backendServer
	// retired holds the backend servers that have been replaced.
	retired []*backendServer
	version int
	// routes holds all routes that were ever added, by prefix; prefixes are those in the
	// configuration, in its order, removed those that were removed.
	routes            map[string]*route
	prefixes, removed []string
	backendCount      int
	// evacuations holds all evacuations, unstable the times in which the store was unstable.
	evacuations []*evacuation
	unstable    []*span
	// partition is the one of now, without harm if there is none; partitions holds all.
	partition  *partition
	partitions []*partition
	accounts   *accounts
	// starts counts the starts of processes.
	starts int
}

// partition is a time in which some instances reached no backend server.
type partition struct {
	harm      faultproxy.Harm
	instances []*instance
	// from is when it began, to when it ended; zero before.
	from, to time.Time
}

// backendServer is a stand-in backend server behind a proxy.
type backendServer struct {
	*registered.Backend
	proxy *faultproxy.Proxy
	// drainStarted is when the server was replaced, just before it reports that it is
	// draining; zero before.
	drainStarted time.Time
}

// instance is a process of the system. It reaches the store through a proxy, and other
// instances reach it through another one.
type instance struct {
	name, zone, ip        string
	size                  size
	settingsPath          string
	storeProxy, peerProxy *faultproxy.Proxy
	logFile               *os.File
	// busy is held by the step that operates on the process.
	busy sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exitExpected is set while the process is allowed to exit.
	exitExpected bool
	done         chan struct{}
	// interruptions holds when the process was started or got a signal that ends, pauses or
	// continues it.
	interruptions []time.Time
	// gone holds the times in which the instance was killed, had ended or had no power.
	gone []span
	// unexpectedExit describes an exit of the process that was not expected.
	unexpectedExit error
}

// environmentCount numbers the environments of this process, so that each has
// addresses of its own.
var environmentCount atomic.Uint32

func newEnvironment(workDir string, opts Options) (*environment, error) {
	number := environmentCount.Add(1)
	e := &environment{partition: &partition{},
		workDir: workDir, program: opts.Program, plan: opts.Plan.plan(), created: time.Now(), progress: opts.Progress,
		runID: fmt.Sprintf("%d-%d", os.Getpid(), number), store: store.New(), routes: map[string]*route{}, accounts: newAccounts(),
	}
	rng := rand.New(rand.NewPCG(opts.Seed, uint64(len(sizes))<<24))
	for n := range opts.InstancesPerZone * len(zones) {
		zone := zones[n%len(zones)]
		i := &instance{
			name: instanceName(zone, n/len(zones)), zone: zone,
			ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, number%250+1, n+1),
		}
		if e.plan.hasSizes {
			i.size = sizes[rng.IntN(len(sizes))]
		}
		if err := i.openProxies(e.store.Address()); err != nil {
			return nil, errors.Trace(err)
		}
		e.instances = append(e.instances, i)
	}
	e.store.Rewrite(e.usePeerProxy)
	for _, zone := range zones {
		for range backendsPerZone {
			if err := e.addBackend(zone); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	e.configure(nil, nil)
	return e, nil
}

// openProxies opens the proxies of an instance. They have the rate of its link.
func (i *instance) openProxies(storeAddress string) (err error) {
	if i.storeProxy, err = faultproxy.New(storeAddress); err != nil {
		return errors.Trace(err)
	}
	if i.peerProxy, err = faultproxy.New(i.address(peerPort)); err != nil {
		return errors.Trace(err)
	}
	i.storeProxy.SetRate(i.size.linkMbps)
	i.peerProxy.SetRate(i.size.linkMbps)
	return nil
}

// instanceName returns the name of the n-th instance of a zone.
func instanceName(zone string, n int) string {
	if n == 0 {
		return "front-" + zone
	}
	return fmt.Sprintf("front-%s-%d", zone, n)
}

func (e *environment) addBackend(zone string) error {
	p, err := faultproxy.New("")
	if err != nil {
		return errors.Trace(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backendCount++
	b := registered.StartBackend(e.store, registered.Start{
		Name: fmt.Sprintf("i-%s-%d", e.runID, e.backendCount), Zone: zone, Service: "shop", Advertise: p.Address(), Work: 10 * time.Millisecond,
		Body: responseBody, Act: crashAct, Down: crashDowntime, QueueWait: crashQueueWait,
		OnCrash: p.Stop, OnRestart: p.Start,
	})
	p.SetTarget(b.Address())
	p.SetPart(e.partition.harm, e.partition.affects)
	e.backends = append(e.backends, &backendServer{Backend: b, proxy: p})
	return nil
}

// drainBackend makes a backend server report that it is draining, and removes it a while
// later. A new backend server replaces it. drainBackend does nothing for a server that has
// been replaced already.
func (e *environment) drainBackend(n *backendServer) error {
	if !e.retire(n) {
		return nil
	}
	n.Report("draining", 0)
	time.AfterFunc(maxDrainDelay+time.Second, n.Leave)
	return e.addBackend(n.Zone)
}

// retire moves a backend server to the retired ones. It returns false if the server
// has been retired already.
func (e *environment) retire(n *backendServer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.backends, n)
	if i < 0 {
		return false
	}
	n.drainStarted = time.Now()
	e.backends = slices.Delete(e.backends, i, i+1)
	e.retired = append(e.retired, n)
	return true
}

// settingsText returns the content of the settings file of an instance.
func (e *environment) settingsText(i *instance) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "node_name: %q\nip: %q\nzone: %q\nregion: %q\nzones:\n", i.name, i.ip, i.zone, regionOf[i.zone])
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: %q\n", z, regionOf[z])
	}
	fmt.Fprintf(&b, "listen:\n  front: %q\n  ready: %q\n  directory: %q\n", i.address(callerPort), i.address(readyPort), i.address(directoryPort))
	fmt.Fprintf(&b, "inner_ports: [%d, %d]\nlimits: {memory_mb: 284, link_mbps: %g, cpu_share: %g, cores: 1}\n", peerPort, peerPort, i.size.linkMbps, i.size.cpuShare)
	fmt.Fprintf(&b, "bounds: [\"contact_s=4\", \"grace_s=%.0f\", \"ttl_max_s=5\", \"retry_budget_ratio=0.2\", \"retry_budget_slack=60\", \"budget_window_s=10\", \"cold_overshoot=1.5\", \"cold_slack=5\", \"quota_window_s=%g\", \"quota_overshoot=%g\", \"quota_slack=%d\"]\n", gracePeriod.Seconds(), quotaWindow.Seconds(), quotaOvershoot, quotaSlack)
	fmt.Fprintf(&b, "platform: {address: %q, history_s: 20}\n", i.storeProxy.Address())
	return b.String()
}

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// start starts the process of an instance.
func (e *environment) start(i *instance) error {
	i.settingsPath = filepath.Join(e.workDir, i.name+".yaml")
	if err := os.WriteFile(i.settingsPath, []byte(e.settingsText(i)), 0o600); err != nil {
		return errors.Annotate(err, "write the settings file")
	}
	if i.logFile == nil {
		logFile, err := os.Create(filepath.Join(e.workDir, i.name+".log"))
		if err != nil {
			return errors.Annotate(err, "create the log file")
		}
		i.logFile = logFile
	}
	if err := i.recordReturn(); err != nil {
		return errors.Trace(err)
	}
	cmd := exec.Command(e.program, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+i.settingsPath)
	cmd.Stdout, cmd.Stderr = i.logFile, i.logFile
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "start %s", e.program)
	}
	i.mu.Lock()
	i.cmd, i.exitExpected, i.done = cmd, false, make(chan struct{})
	i.interruptions = append(i.interruptions, time.Now())
	done := i.done
	i.mu.Unlock()
	go i.watch(cmd, done)
	e.mu.Lock()
	e.starts++
	e.mu.Unlock()
	return nil
}

// watch waits for the process to exit and records an exit that was not expected.
func (i *instance) watch(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.exitExpected && i.unexpectedExit == nil {
		i.unexpectedExit = errors.Errorf("%s exited unexpectedly: %v", i.name, err)
	}
	close(done)
}

// signal sends a signal to the process, which this soak has started. It returns a
// channel that is closed when the process has exited. ends means that the signal
// may end the process.
func (i *instance) signal(s syscall.Signal, ends bool) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.exitExpected = i.exitExpected || ends
	if s != syscall.SIGHUP {
		i.interruptions = append(i.interruptions, time.Now())
	}
	// Signal fails if the process has already exited, which then needs no signal.
	_ = i.cmd.Process.Signal(s)
	return i.done
}

// stop ends the process by SIGTERM. It kills a process that exceeds its grace period
// and returns an error.
func (i *instance) stop() error {
	done := i.signal(syscall.SIGTERM, true)
	select {
	case <-done:
		i.recordExit()
		return nil
	case <-time.After(gracePeriod + time.Second):
		i.kill()
		return errors.Errorf("%s did not stop within its grace period of %s", i.name, gracePeriod)
	}
}

func (i *instance) kill() {
	<-i.signal(syscall.SIGKILL, true)
	i.recordExit()
}

// ready reports whether the instance reports that it is ready.
func (i *instance) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.address(readyPort)+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready, at most startTimeout in total.
func (e *environment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, i := range e.instances {
		for !i.ready(ctx) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return errors.Errorf("%s did not become ready within %s", i.name, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close stops everything that the environment has started.
func (e *environment) close() {
	for _, i := range e.instances {
		i.mu.Lock()
		running := i.cmd != nil
		i.mu.Unlock()
		if running {
			i.kill()
			_ = i.logFile.Close()
		}
		i.storeProxy.Close()
		i.peerProxy.Close()
	}
	for _, n := range append(e.backends, e.retired...) {
		n.Stop()
		n.proxy.Close()
	}
	e.store.Close()
}
