package simnet

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Cut is what a cut does to the connections from one node to another.
type Cut int

const (
	// NoCut does nothing.
	NoCut Cut = iota
	// CutSilent holds what connections carry, and new ones do not open, until the cut ends.
	CutSilent
	// CutReset resets open and new connections.
	CutReset
	// CutNew resets new connections; open ones live on.
	CutNew
)

// Memory is a network in memory between named nodes. It needs no sockets, so that it can be
// used in the simulated time of testing/synctest. It is safe for concurrent use.
type Memory struct {
	// latency returns how long bytes take from one node to another.
	latency func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*memoryListener
	// cuts maps a dialing node and the node that it dials to their cut.
	cuts map[[2]string]Cut
	// gone holds the nodes that have lost their power: nothing reaches or leaves them.
	gone map[string]bool
	// links holds the outgoing link of each node whose rate is limited.
	links map[string]*link
	open  map[*memoryPair]bool
	// dials counts the connections that were dialed, by node and address.
	dials map[[2]string]int
	// changed is closed and replaced when cuts or gone change.
	changed chan struct{}
}

// NewMemory returns a network without cuts. latency returns how long bytes take from one node
// to another.
func NewMemory(latency func(from, to string) time.Duration) *Memory {
	return &Memory{
		latency: latency, listeners: map[string]*memoryListener{}, cuts: map[[2]string]Cut{}, gone: map[string]bool{},
		links: map[string]*link{}, open: map[*memoryPair]bool{}, dials: map[[2]string]int{}, changed: make(chan struct{}),
	}
}

// Host is a process on a node of a Memory. It opens listeners and connections.
type Host struct {
	net  *Memory
	node string
	// killed is set for good by Kill.
	killed atomic.Bool
}

// Host returns a new process on the node of the given name.
func (m *Memory) Host(node string) *Host { return &Host{net: m, node: node} }

// SetCut sets the cut of the connections that a node opens to another one; NoCut ends it.
func (m *Memory) SetCut(from, to string, c Cut) {
	m.mu.Lock()
	m.cuts[[2]string{from, to}] = c
	m.wake()
	m.mu.Unlock()
	if c == CutReset {
		m.resetAll(func(p *memoryPair) bool { return p.from == from && p.to == to })
	}
}

// resetAll resets the open connections for which is returns true, the oldest ones of two nodes
// first.
func (m *Memory) resetAll(is func(p *memoryPair) bool) {
	m.mu.Lock()
	var reset []*memoryPair
	for p := range m.open {
		if is(p) {
			reset = append(reset, p)
		}
	}
	m.mu.Unlock()
	slices.SortFunc(reset, (*memoryPair).compare)
	for _, p := range reset {
		p.reset()
	}
}

// SetRate limits the outgoing link of a node; 0 ends the limit.
func (m *Memory) SetRate(node string, bytesPerSecond float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, node)
	if bytesPerSecond > 0 {
		m.links[node] = &link{bytesPerSecond: bytesPerSecond}
	}
}

// PowerOff takes a node away. Others learn nothing of it.
func (m *Memory) PowerOff(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone[node] = true
	m.wake()
}

// PowerOn lets a node that was taken away be reached again.
func (m *Memory) PowerOn(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.gone, node)
	m.wake()
}

// Kill ends the process: its connections are reset and its addresses refuse new ones. What it
// does after that fails.
func (h *Host) Kill() {
	h.killed.Store(true)
	for _, l := range h.listeners() {
		_ = l.Close()
	}
	h.ResetConns()
}

// listeners returns the open listeners of the process in the order of their addresses.
func (h *Host) listeners() []*memoryListener {
	m := h.net
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*memoryListener
	for _, address := range slices.Sorted(maps.Keys(m.listeners)) {
		if l := m.listeners[address]; l.host == h {
			list = append(list, l)
		}
	}
	return list
}

// ResetConns resets the open connections of the process.
func (h *Host) ResetConns() {
	h.net.resetAll(func(p *memoryPair) bool { return p.dialer == h || p.listener == h })
}

// wake tells those that wait of a change. The caller must hold m.mu.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// holds reports whether what passes between the ends of a pair is held, and returns a channel
// that is closed at the next change.
func (m *Memory) holds(p *memoryPair) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone[p.from] || m.gone[p.to] || m.cuts[[2]string{p.from, p.to}] == CutSilent, m.changed
}

// linkOf returns the outgoing link of a node, or nil if its rate is not limited.
func (m *Memory) linkOf(node string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[node]
}

// maxSeparation is more than any separation.
const maxSeparation = time.Microsecond

// separation returns a time below maxSeparation that is the same in each run for the same names.
// It separates what would happen at the same moment, and so in any order.
func separation(names ...any) time.Duration {
	h := fnv.New32a()
	_, _ = fmt.Fprintln(h, names...)
	return time.Duration(h.Sum32()) % maxSeparation
}

// Listen opens a listener at an address.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	m := h.net
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	if h.killed.Load() {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: ErrKilled}
	}
	l := &memoryListener{net: m, host: h, address: address, waiting: make(chan *memoryConn, acceptQueue), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// acceptQueue is the number of connections that wait to be accepted at a listener.
const acceptQueue = 1024

// DialContext opens a connection to an address. Errors: *net.OpError.
func (h *Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := h.dial(ctx, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: memoryAddr(address), Err: err}
	}
	return c, nil
}

func (h *Host) dial(ctx context.Context, address string) (net.Conn, error) {
	m := h.net
	for {
		if h.killed.Load() {
			return nil, ErrKilled
		}
		m.mu.Lock()
		l, changed := m.listeners[address], m.changed
		to := address
		if l != nil {
			to = l.host.node
		}
		cut, gone := m.cuts[[2]string{h.node, to}], m.gone[h.node] || m.gone[to] || m.gone[hostOf(address)]
		m.mu.Unlock()
		if gone || cut == CutSilent {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		number := m.countDial(h.node, address)
		if err := sleep(ctx, m.latency(h.node, to)+m.latency(to, h.node)+separation(h.node, address, number)); err != nil {
			return nil, err
		}
		switch {
		case cut == CutReset || cut == CutNew:
			return nil, syscall.ECONNRESET
		case l == nil:
			return nil, syscall.ECONNREFUSED
		}
		return m.connect(h, l, number)
	}
}

// connect opens a pair of connections between a process and a listener.
func (m *Memory) connect(h *Host, l *memoryListener, number int) (net.Conn, error) {
	p := &memoryPair{net: m, dialer: h, listener: l.host, from: h.node, to: l.host.node, address: l.address, number: number}
	p.separation = separation(p.from, p.to, p.address, p.number)
	there, back := newStream(p, p.from, p.to), newStream(p, p.to, p.from)
	p.dialed = &memoryConn{pair: p, in: back, out: there}
	p.accepted = &memoryConn{pair: p, in: there, out: back}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners[l.address] != l || len(l.waiting) == cap(l.waiting) {
		return nil, syscall.ECONNREFUSED
	}
	m.open[p] = true
	l.waiting <- p.accepted
	return p.dialed, nil
}

// countDial returns how often a node has dialed an address.
func (m *Memory) countDial(node, address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := [2]string{node, address}
	m.dials[key]++
	return m.dials[key]
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// sleep waits for a time, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// memoryListener accepts the connections to one address.
type memoryListener struct {
	net       *Memory
	host      *Host
	address   string
	waiting   chan *memoryConn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The connections that wait to be accepted are reset.
func (l *memoryListener) Close() error {
	l.net.mu.Lock()
	if l.net.listeners[l.address] == l {
		delete(l.net.listeners, l.address)
	}
	l.net.mu.Unlock()
	l.closeOnce.Do(func() { close(l.closed) })
	for {
		select {
		case c := <-l.waiting:
			c.pair.reset()
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }
