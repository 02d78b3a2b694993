// Package heldport keeps TCP ports of stand-ins and tests bound while nothing listens on
// them, so that no other process gets them and answers there.
package heldport

import (
	"cmp"
	"context"
	"net"
	"strconv"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Free reports whether another process could get a port, which is neither held nor listened
// on then.
func Free(address string) bool {
	l, err := withoutReuse.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// withoutReuse listens without SO_REUSEADDR, with which ports that are held can be had.
var withoutReuse = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) })
	return cmp.Or(err, failed)
}}

// Port is a port that is bound and refuses connections unless a listener is open on it.
type Port struct {
	fd      int
	address string
}

// Hold binds a port of an IPv4 address without listening on it; port 0 chooses an unused
// one. While the port is held, net.Listen can open a listener on it, also repeatedly.
func Hold(address string) (*Port, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotate(err, "opening a socket")
	}
	p := &Port{fd: fd}
	if err := p.bind(tcp); err != nil {
		p.Release()
		return nil, errors.Annotatef(err, "holding %s", address)
	}
	return p, nil
}

// bind binds the socket of p and sets its address.
func (p *Port) bind(tcp *net.TCPAddr) error {
	// The port may have connections that have not quite ended.
	if err := unix.SetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return errors.Trace(err)
	}
	if err := unix.Bind(p.fd, &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}); err != nil {
		return errors.Trace(err)
	}
	bound, err := unix.Getsockname(p.fd)
	if err != nil {
		return errors.Trace(err)
	}
	p.address = net.JoinHostPort(tcp.IP.String(), strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	return nil
}

// Address returns host:port.
func (p *Port) Address() string { return p.address }

// Release gives the port free. It does nothing if p is nil.
func (p *Port) Release() {
	if p != nil {
		_ = unix.Close(p.fd)
	}
}

// Kept is the port of a listener that closes and opens again. It is held from the first
// Listen to Release, so that it is free at no moment between. The zero value holds nothing;
// it isn't safe for concurrent use.
type Kept struct{ port *Port }

// Listen opens a listener on the port that is held, or else on address, whose port it
// holds from now on.
func (k *Kept) Listen(address string) (net.Listener, error) {
	if k.port == nil {
		port, err := Hold(address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		k.port = port
	}
	l, err := net.Listen("tcp", k.port.Address())
	return l, errors.Annotatef(err, "listening on %s", k.port.Address())
}

// Release gives the port free.
func (k *Kept) Release() {
	k.port.Release()
	k.port = nil
}
