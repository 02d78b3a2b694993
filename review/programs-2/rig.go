package main

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

const (
	host         = "review.example"
	service      = "scoring"
	callerPort   = 8144
	readyPort    = 8140
	lookupPort   = 8143
	peerPort     = 7660
	contact      = 4 * time.Second
	memoryMB     = 284
	startTimeout = 10 * time.Second
)

// The headers of PROTOCOL.md.
const (
	headerID       = "X-Banyandeal-Request-Id"
	headerDeadline = "X-Banyandeal-Deadline-Ms"
	headerExpect   = "X-Banyandeal-Expect-Instance"
	headerStamp    = "X-Banyandeal-Server-Stamp"
	headerNotRun   = "X-Banyandeal-Not-Run"
	headerLoad     = "X-Banyandeal-Server-Load"
	headerInstance = "X-Banyandeal-Instance-Id"
)

// rig is a small deployment: a store, instances and upstreams on loopback.
type rig struct {
	dir, program string
	trouble      bool
	store        *store.Store
	instances    []*instance
	upstreams    []*upstream
	record       *recorder
	// linkMbps is the rate of the link of an instance.
	linkMbps float64

	mu     sync.Mutex
	byName map[string]*instance
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// newRig opens the record of a case and starts the store.
func newRig(caseDir string, trouble bool) (*rig, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/banyandeald")
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir: dir, program: program, trouble: trouble, store: store.New(), record: &recorder{file: f, began: time.Now()},
		linkMbps: 1000, byName: map[string]*instance{},
	}
	r.store.Rewrite(r.throughLink)
	return r, nil
}

// throughLink returns a row of an instance with the address of its link in place of its own, so
// that others reach it through the link.
func (r *rig) throughLink(row store.Row) store.Row {
	r.mu.Lock()
	i := r.byName[row.Key]
	r.mu.Unlock()
	if i == nil || row.Deleted {
		return row
	}
	own, link := strconv.Quote(i.address(peerPort)), strconv.Quote(i.peers.Address())
	row.Value = bytes.ReplaceAll(row.Value, []byte(own), []byte(link))
	return row
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, i := range r.instances {
		i.kill()
		i.peers.Close()
	}
	for _, u := range r.upstreams {
		u.stop()
	}
	r.store.Close()
	_ = os.RemoveAll(r.dir)
}

// route is a route of the manifest, to service.
type route struct {
	prefix, kind string
	timeoutS     float64
	maxAttempts  int
}

// configure writes the manifest.
func (r *rig) configure(routes ...route) {
	var rules []map[string]any
	for n, x := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprint("r-", n), "kind": x.kind, "target_latency_s": x.timeoutS / 2, "priority": 1, "sticky": false,
			"match":  map[string]any{"prefix": x.prefix},
			"action": map[string]any{"service": service, "timeout_s": x.timeoutS, "max_attempts": x.maxAttempts, "home_regions": []string{}},
		})
	}
	r.store.Put("op", "config", map[string]any{
		"version":   "00000007",
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 390, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 2.7,
		}},
	})
}

// instance is a process of the system.
type instance struct {
	name, zone, ip, settings string
	cmd                      *exec.Cmd
	// peers is the link by which other instances reach this one.
	peers  *faultproxy.Proxy
	exited chan struct{}
	mu     sync.Mutex
	// killedFor says why the rig killed the process as the platform does; empty if it did not.
	killedFor string
	peakMB    float64
}

func (i *instance) address(port int) string { return net.JoinHostPort(i.ip, strconv.Itoa(port)) }

// regionOf are the zones of the deployment and their regions.
var regionOf = map[string]string{"bud-a": "budapest", "bud-b": "budapest"}

// addInstance starts an instance in a zone.
func (r *rig) addInstance(zone string) error {
	n := len(r.instances) + 1
	i := &instance{
		name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone,
		ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250+1, n),
	}
	peers, err := faultproxy.New(i.address(peerPort))
	if err != nil {
		return err
	}
	i.peers = peers
	i.peers.SetRate(r.linkMbps)
	r.mu.Lock()
	r.byName[i.name] = i
	r.mu.Unlock()
	i.settings = filepath.Join(r.dir, i.name+".yaml")
	if err := os.WriteFile(i.settings, []byte(r.settingsOf(i)), 0o600); err != nil {
		return err
	}
	r.instances = append(r.instances, i)
	return r.restart(i)
}

// restart starts the process of an instance.
func (r *rig) restart(i *instance) error {
	logFile, err := os.OpenFile(filepath.Join(r.dir, i.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	i.exited = exited
	i.cmd = exec.Command(r.program, "platform")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BANYANDEAL_SETTINGS=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = logFile, logFile
	if err := i.cmd.Start(); err != nil {
		return err
	}
	cmd := i.cmd
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

// settingsOf returns the settings file of an instance, as DEPLOY.md shows it.
func (r *rig) settingsOf(i *instance) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name: %q\nrole: \"steer\"\nmachine_class: \"front\"\nserves: [\"front\", \"directory\"]\nip: %q\nzone: %q\nregion: %q\nzones:\n", i.name, i.ip, i.zone, regionOf[i.zone])
	for zone, region := range regionOf {
		fmt.Fprintf(&b, "  %s: %q\n", zone, region)
	}
	fmt.Fprintf(&b, "listen:\n  front: %q\n  ready: %q\n  directory: %q\ninner_ports: [%d, %d]\n", i.address(callerPort), i.address(readyPort), i.address(lookupPort), peerPort, peerPort+15)
	fmt.Fprintf(&b, "limits: {cpu_share: 0.32, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: %.1f, disk_mb: 0}\n", memoryMB, r.linkMbps)
	b.WriteString("bounds: [\"contact_s=4\", \"grace_s=6\", \"ttl_max_s=5\", \"retry_budget_ratio=0.2\", \"budget_window_s=10\", \"retry_budget_slack=62\", \"cold_overshoot=1.5\", \"cold_slack=5\"]\n")
	fmt.Fprintf(&b, "platform: {address: %q, form: \"table\", history_s: 20}\n", r.store.Address())
	return b.String()
}

func (i *instance) kill() {
	_ = i.cmd.Process.Kill()
	<-i.exited
}

// running reports whether the process has not ended.
func (i *instance) running() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until all instances are ready.
func (r *rig) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, i := range r.instances {
		for !i.ready() {
			if time.Now().After(end) || !i.running() {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The members of the deployment know each other within a second.
	time.Sleep(2 * time.Second)
	return nil
}

func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lookUp returns the addresses that the directory of an instance names.
func (i *instance) lookUp(region, zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", i.address(lookupPort), host, region, zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	return answer.Addresses, json.NewDecoder(resp.Body).Decode(&answer)
}

// watchMemory kills an instance whose process exceeds memory_mb, as the platform does.
func (r *rig) watchMemory(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, i := range r.instances {
			mb, ok := residentMB(i.cmd.Process.Pid)
			if !ok || !i.running() {
				continue
			}
			if n%50 == 0 {
				r.record.line("platform: %s has %.0f MB", i.name, mb)
			}
			i.mu.Lock()
			i.peakMB = max(i.peakMB, mb)
			exceeds := mb > memoryMB && i.killedFor == ""
			if exceeds {
				i.killedFor = fmt.Sprintf("%.0f MB of memory, memory_mb is %d", mb, memoryMB)
			}
			i.mu.Unlock()
			if exceeds {
				r.record.line("platform: %s is killed: %s", i.name, i.killedFor)
				_ = i.cmd.Process.Kill()
			}
		}
	}
}

// residentMB returns the memory of a process in MB.
func residentMB(pid int) (float64, bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 3 {
		return 0, false
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), err == nil
}

// upstream is a stand-in upstream behind a proxy. It follows PROTOCOL.md.
type upstream struct {
	id      string
	zone    string
	proxy   *faultproxy.Proxy
	server  *http.Server
	record  *recorder
	slots   chan struct{}
	queue   chan struct{}
	mu      sync.Mutex
	runs    map[string]int
	handler func(u *upstream, w http.ResponseWriter, r *http.Request)
}

// addUpstream starts an upstream. handler runs a request that has a slot.
func (r *rig) addUpstream(zone string, slots int, handler func(u *upstream, w http.ResponseWriter, req *http.Request)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p, err := faultproxy.New(l.Addr().String())
	if err != nil {
		return err
	}
	u := &upstream{
		id: fmt.Sprintf("i-%d-%d", os.Getpid(), len(r.upstreams)+1), zone: zone, proxy: p, record: r.record,
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+9), runs: map[string]int{}, handler: handler,
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	r.upstreams = append(r.upstreams, u)
	r.report(u, "ready")
	return nil
}

// report writes the entry of an upstream to the store.
func (r *rig) report(u *upstream, state string) {
	r.store.Put("servers", u.id, map[string]any{
		"address": u.proxy.Address(), "born": r.record.began.UnixMilli(),
		"info":   map[string]any{"service": service, "version": "v1", "zone": u.zone, "slots": cap(u.slots)},
		"status": map[string]any{"state": state, "seq": 1, "cold_left_s": 0},
	})
}

func (u *upstream) stop() {
	_ = u.server.Close()
	u.proxy.Close()
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerInstance, u.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if id != "" {
		w.Header().Set(headerID, id)
	}
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case u.queue <- struct{}{}:
		defer func() { <-u.queue }()
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	waiting := max(0, len(u.queue)-len(u.slots))
	w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(u.slots), waiting, cap(u.slots)))
	w.Header().Set(headerStamp, "stamp."+id)
	u.handler(u, w, r)
}

// runsOf returns how often all upstreams have run a request.
func (r *rig) runsOf(id string) int {
	n := 0
	for _, u := range r.upstreams {
		u.mu.Lock()
		n += u.runs[id]
		u.mu.Unlock()
	}
	return n
}

// partition cuts instances off from all upstreams: their open connections are reset and new ones
// are refused.
func (r *rig) partition(cut ...*instance) {
	for _, u := range r.upstreams {
		u.proxy.SetPart(faultproxy.Refuse, func(client, proxy string) bool {
			return slices.ContainsFunc(cut, func(i *instance) bool { return i.hasSocket(client, proxy) })
		})
	}
	for _, i := range cut {
		r.record.line("partition: %s reaches no upstream from now on", i.name)
	}
}

// heal ends a partition.
func (r *rig) heal() {
	for _, u := range r.upstreams {
		u.proxy.SetPart(faultproxy.None, nil)
	}
	r.record.line("partition: over")
}

// hasSocket reports whether the process of the instance has a connection.
func (i *instance) hasSocket(local, remote string) bool {
	inode := socketInode(local, remote)
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", i.cmd.Process.Pid))
	return err == nil && inode != "" && slices.ContainsFunc(files, func(f string) bool {
		target, err := os.Readlink(f)
		return err == nil && target == "socket:["+inode+"]"
	})
}

// socketInode returns the inode of a connection on loopback, empty if it is not found.
func socketInode(local, remote string) string {
	wanted := []byte(" " + tableAddress(local) + " " + tableAddress(remote) + " ")
	for range 3 {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return ""
		}
		_, line, found := bytes.Cut(table, wanted)
		if !found {
			continue
		}
		line, _, _ = bytes.Cut(line, []byte("\n"))
		// The state, the queues, the timer, retransmits, owner and timeout come before the inode.
		const inodeField = 6
		if fields := bytes.Fields(line); len(fields) > inodeField {
			return string(fields[inodeField])
		}
	}
	return ""
}

// tableAddress returns an IPv4 address as the kernel's table writes it.
func tableAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return ""
	}
	ip := parsed.Addr().As4()
	slices.Reverse(ip[:])
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip[:])), parsed.Port())
}

// summary writes a value as JSON to the record and to the standard output.
func (r *rig) summary(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		raw = []byte(err.Error())
	}
	r.record.line("summary: %s", raw)
	fmt.Println(string(raw))
}

// ended returns how many processes have ended, and the most memory that each has held.
func (r *rig) ended() (int, map[string]string) {
	n, peaks := 0, map[string]string{}
	for _, i := range r.instances {
		i.mu.Lock()
		peaks[i.name] = fmt.Sprintf("%.0f MB", i.peakMB)
		if i.killedFor != "" || !i.running() {
			n++
		}
		i.mu.Unlock()
	}
	return n, peaks
}
