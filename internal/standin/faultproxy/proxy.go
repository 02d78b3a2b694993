// Package faultproxy relays TCP connections on loopback and harms them: it
// refuses and resets them, delays their bytes, drops those of one direction, or
// lets open ones fall silent while new ones work. It can bound the rate of the bytes
// and behave as a machine without power, to which no connection can be opened.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/heldport"
)

// Harm is what happens to connections.
type Harm uint8

// Harms. Silent holds for the connections that are open when it begins, the
// others for all while they last.
const (
	None Harm = iota
	// Refuse closes new connections at once and resets the open ones.
	Refuse
	// Delay holds back each piece by delayTime.
	Delay
	// OneWay drops what the target sends.
	OneWay
	// Hold lets nothing pass and closes nothing.
	Hold
	// Silent makes the open connections carry nothing for good.
	Silent
	// Dark lets nothing pass, and attempts to open a connection get no response.
	Dark
	// RefuseNew closes new connections at once, while the open ones live on.
	RefuseNew
)

const (
	// listenHost is not the source address of connections on loopback, so that these do
	// not take the port of a proxy that is stopped.
	listenHost  = "127.0.0.2"
	delayTime   = 80 * time.Millisecond
	dialTimeout = time.Second
	pieceBytes  = 16 << 10
	// backlog is the length of the queue of connections that are not yet accepted.
	backlog = 128
	// fillTimeout is how long a connection may take that fills the queue. One that takes
	// longer shows that the queue is full.
	fillTimeout = 50 * time.Millisecond
	// maxFillers bounds the connections that fill the queue.
	maxFillers = 8
)

// Proxy relays the connections to its address to a target. It is safe for
// concurrent use.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	// held keeps the port while the proxy is stopped.
	held   *heldport.Port
	closed bool
	target string
	harm   Harm
	open   map[*link]struct{}
	// fillers holds the connections that fill the queue while the harm is Dark.
	fillers []net.Conn
	// there and back bound the rate of each direction over all connections.
	there, back limiter
	// part is the harm for the connections from some addresses, beside that for all.
	part   Harm
	partOf func(client, proxy string) bool
	// accepted counts the connections that were accepted.
	accepted atomic.Int64
}

// link is a connection and its continuation to the target.
type link struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// New opens a proxy on loopback. An empty target is set later; connections are
// reset until then.
func New(target string) (*Proxy, error) {
	held, err := heldport.Hold(listenHost + ":0")
	if err != nil {
		return nil, errors.Annotate(err, "open a proxy")
	}
	l, err := net.Listen("tcp", held.Address())
	if err != nil {
		held.Release()
		return nil, errors.Annotate(err, "open a proxy")
	}
	p := &Proxy{address: held.Address(), held: held, target: target, listener: l, open: map[*link]struct{}{}}
	go p.accept(l)
	return p, nil
}

// Address returns host:port.
func (p *Proxy) Address() string { return p.address }

// SetTarget sets where new connections go.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		p.held.Release()
	}
	_ = p.listener.Close()
	p.mu.Unlock()
	p.Set(Refuse)
}

// SetRate bounds the bytes of each direction, summed over all connections, to a rate in
// Mbit/s; 0 removes the bound.
func (p *Proxy) SetRate(mbps float64) {
	p.there.set(mbps)
	p.back.set(mbps)
}

// Carries reports whether an open connection reaches the target from the given address.
func (p *Proxy) Carries(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		if l.far.LocalAddr().String() == address {
			return true
		}
	}
	return false
}

// Stop resets the open connections and stops listening, as a process that ends does.
func (p *Proxy) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for l := range p.open {
		l.reset()
	}
}

// Start listens again after Stop. It fails while another process has the port.
func (p *Proxy) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Annotate(err, "open a proxy again")
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// Set begins a harm in place of the one before.
func (p *Proxy) Set(h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.harm
	p.harm = h
	if h == Dark {
		p.darken()
	} else if before == Dark {
		p.lighten()
	}
	for l := range p.open {
		switch h {
		case Refuse:
			l.reset()
		case Silent:
			l.mu.Lock()
			l.silent = true
			l.mu.Unlock()
		}
	}
	if h == Silent {
		p.harm = None
	}
}

// SetPart begins a harm for the connections that of returns true for, by the addresses of the
// client and of the proxy, in place of the one before. It is Refuse, RefuseNew, Silent, which holds for new connections
// too, or None.
func (p *Proxy) SetPart(h Harm, of func(client, proxy string) bool) {
	p.mu.Lock()
	p.part, p.partOf = h, of
	var open []*link
	for l := range p.open {
		open = append(open, l)
	}
	p.mu.Unlock()
	if h != Refuse && h != Silent {
		return
	}
	for _, l := range open {
		if of(addressesOf(l.near)) {
			l.harm(h)
		}
	}
}

// addressesOf returns the addresses of the client and of the proxy of a connection.
func addressesOf(near net.Conn) (client, proxy string) {
	return near.RemoteAddr().String(), near.LocalAddr().String()
}

// partOn returns the harm for the connection of a client.
func (p *Proxy) partOn(near net.Conn) Harm {
	p.mu.Lock()
	h, of := p.part, p.partOf
	p.mu.Unlock()
	if h == None || !of(addressesOf(near)) {
		return None
	}
	return h
}

// harm resets or silences the connection.
func (l *link) harm(h Harm) {
	if h == Silent {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.silent = true
		return
	}
	l.reset()
}

// darken fills the queue of connections, so that the kernel drops further attempts to
// open one. The caller holds p.mu.
func (p *Proxy) darken() {
	p.setBacklog(0)
	before := p.accepted.Load()
	for n := range maxFillers {
		c, err := net.DialTimeout("tcp", p.address, fillTimeout)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, c)
		// accept takes the first one, if it waits for a connection, and then stops; the
		// queue has its place again.
		for end := time.Now().Add(dialTimeout); n == 0 && p.accepted.Load() == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

// lighten ends darken. The caller holds p.mu.
func (p *Proxy) lighten() {
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	p.setBacklog(backlog)
}

// setBacklog changes the length of the queue of connections that are not yet accepted.
func (p *Proxy) setBacklog(length int) {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	// The listener is closed if this fails.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
}

func (p *Proxy) current() Harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *Proxy) destination() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *Proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		for p.current() == Dark {
			time.Sleep(fillTimeout)
		}
		go p.relay(near)
	}
}

func (p *Proxy) relay(near net.Conn) {
	part := p.partOn(near)
	if p.current() == Refuse || part == Refuse || part == RefuseNew {
		(&link{near: near}).reset()
		return
	}
	far, err := net.DialTimeout("tcp", p.destination(), dialTimeout)
	if err != nil {
		(&link{near: near}).reset()
		return
	}
	l := &link{near: near, far: far, silent: part == Silent}
	p.mu.Lock()
	p.open[l] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(l, far, near, false) })
	both.Go(func() { p.carry(l, near, far, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, l)
	p.mu.Unlock()
}

// carry passes the bytes of one direction on until an end closes.
func (p *Proxy) carry(l *link, to, from net.Conn, back bool) {
	defer l.close()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && p.passes(l, back) {
			if back {
				p.back.wait(n)
			} else {
				p.there.wait(n)
			}
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passes waits out a delay or a hold and reports whether a piece is passed on.
func (p *Proxy) passes(l *link, back bool) bool {
	for {
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		switch h := p.current(); {
		case silent, h == OneWay && back:
			return false
		case h == Delay:
			time.Sleep(delayTime)
			return true
		case h == Hold, h == Dark:
			time.Sleep(delayTime)
		default:
			return true
		}
	}
}

func (l *link) close() {
	_ = l.near.Close()
	if l.far != nil {
		_ = l.far.Close()
	}
}

// reset closes both ends without the usual goodbye.
func (l *link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	l.close()
}
