package faultnet

import (
	"net"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// heldPort is a port that is bound and refuses connections, so that no other process gets it
// and answers there.
type heldPort struct{ fd int }

// holdPort binds a port of an IPv4 address without listening on it.
func holdPort(address string) (*heldPort, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotate(err, "opening a socket")
	}
	held := &heldPort{fd: fd}
	// The port may have connections that have not quite ended.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())})
	}
	if err != nil {
		held.release()
		return nil, errors.Annotatef(err, "holding %s", address)
	}
	return held, nil
}

// release gives the port free. It does nothing if h is nil.
func (h *heldPort) release() {
	if h != nil {
		_ = unix.Close(h.fd)
	}
}
