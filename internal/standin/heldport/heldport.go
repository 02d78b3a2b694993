// Package heldport keeps TCP ports of stand-ins and tests bound while nothing listens on
// them, so that no other process gets them and answers there.
package heldport

import (
	"net"
	"strconv"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

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
