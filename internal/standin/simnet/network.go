// Package simnet is a network on loopback between named nodes of one process.
// Its links can be cut and healed, its nodes frozen, resumed and killed, and
// its open connections silenced while new ones work. Bytes that are written
// while a connection is held arrive when it is let go, as TCP would have it.
package simnet

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
)

// ErrKilled is the error of a node that was killed.
var ErrKilled = errors.New("the node was killed")

// pair is two nodes in order of their names.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// Network is safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// nodes holds the node of each address.
	nodes  map[string]string
	cut    map[pair]bool
	frozen map[string]bool
	killed map[string]bool
	conns  map[*conn]struct{}
	// listeners holds the open listeners of each node.
	listeners map[string][]net.Listener
	// links holds the outgoing link of each node whose rate is limited.
	links map[string]*link
	// changed is closed and replaced at each change of the faults.
	changed chan struct{}
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		nodes: map[string]string{}, cut: map[pair]bool{}, frozen: map[string]bool{}, killed: map[string]bool{},
		conns: map[*conn]struct{}{}, listeners: map[string][]net.Listener{}, links: map[string]*link{}, changed: make(chan struct{}),
	}
}

// Name gives an address (host:port) to a node.
func (n *Network) Name(node, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

// SetRate limits the outgoing link of a node, which all of its connections share.
// A rate of 0 ends the limit. What was kept while a connection was held is sent
// outside the limit.
func (n *Network) SetRate(node string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if bytesPerSecond <= 0 {
		delete(n.links, node)
		return
	}
	n.links[node] = &link{bytesPerSecond: bytesPerSecond}
}

// linkOf returns the outgoing link of a node, or nil if its rate is not limited.
func (n *Network) linkOf(node string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[node]
}

// Cut holds what passes between two nodes until Heal.
func (n *Network) Cut(a, b string) { n.change(func() { n.cut[pairOf(a, b)] = true }) }

// Heal ends a cut.
func (n *Network) Heal(a, b string) { n.change(func() { delete(n.cut, pairOf(a, b)) }) }

// HealAll ends every cut.
func (n *Network) HealAll() { n.change(func() { clear(n.cut) }) }

// Freeze holds all that passes a node until Thaw; its sockets stay open.
func (n *Network) Freeze(node string) { n.change(func() { n.frozen[node] = true }) }

// Thaw ends a freeze.
func (n *Network) Thaw(node string) { n.change(func() { delete(n.frozen, node) }) }

// Silence holds the connections for good that are open now between two nodes,
// and returns their number. New ones work.
func (n *Network) Silence(a, b string) int {
	count := 0
	n.change(func() {
		for c := range n.conns {
			if c.to != "" && pairOf(c.owner, c.to) == pairOf(a, b) {
				c.silent = true
				count++
			}
		}
	})
	return count
}

// Kill closes every listener and connection of a node. It opens no new ones
// until Revive.
func (n *Network) Kill(node string) {
	n.mu.Lock()
	n.killed[node] = true
	listeners := n.listeners[node]
	delete(n.listeners, node)
	var open []*conn
	for c := range n.conns {
		if c.owner == node {
			open = append(open, c)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range open {
		c.abort()
	}
}

// Revive lets a killed node open listeners and connections again.
func (n *Network) Revive(node string) { n.change(func() { delete(n.killed, node) }) }

func (n *Network) change(f func()) {
	n.mu.Lock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
	var open []*conn
	for c := range n.conns {
		if !n.holds(c) {
			open = append(open, c)
		}
	}
	n.mu.Unlock()
	for _, c := range open {
		c.flush()
	}
}

// holds reports whether a connection is held; n.mu is locked.
func (n *Network) holds(c *conn) bool {
	return c.silent || n.killed[c.owner] || n.frozen[c.owner] || c.to != "" && n.cut[pairOf(c.owner, c.to)]
}

// held reports whether a connection is held, and a channel that is closed at
// the next change.
func (n *Network) held(c *conn) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holds(c), n.changed
}

// Dial returns the dialer of a node. A dial over a cut waits until it is healed
// or its context ends.
func (n *Network) Dial(node string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := n.reachable(ctx, node, address); err != nil {
			return nil, err
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, node, address)
	}
}

func (n *Network) reachable(ctx context.Context, node, address string) error {
	for {
		n.mu.Lock()
		killed := n.killed[node]
		blocked := n.frozen[node] || n.cut[pairOf(node, n.nodes[address])]
		changed := n.changed
		n.mu.Unlock()
		switch {
		case killed:
			return ErrKilled
		case !blocked:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}

// wrap takes a connection of a node in; address is that of its other end, or
// empty for an accepted one.
func (n *Network) wrap(raw net.Conn, node, address string) (net.Conn, error) {
	c := newConn(n, raw, node)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed[node] {
		_ = raw.Close()
		return nil, ErrKilled
	}
	c.to = n.nodes[address]
	n.conns[c] = struct{}{}
	return c, nil
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// Listen returns the function by which a node listens. The bound addresses
// belong to the node.
func (n *Network) Listen(node string) func(network, address string) (net.Listener, error) {
	return func(network, address string) (net.Listener, error) {
		raw, err := net.Listen(network, address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.nodes[raw.Addr().String()] = node
		n.listeners[node] = append(n.listeners[node], raw)
		return &listener{Listener: raw, net: n, node: node}, nil
	}
}

// listener accepts the connections of one node.
type listener struct {
	net.Listener
	net  *Network
	node string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.net.wrap(raw, l.node, "")
}
