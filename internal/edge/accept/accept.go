// Package accept keeps listeners going while the machine cannot take connections.
package accept

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Waits between two tries to accept a connection. They double with each failure.
const (
	minWait = 5 * time.Millisecond
	maxWait = 500 * time.Millisecond
)

// passing are the errors after which a listener goes on: a lack of descriptors or of memory, and
// a caller that left before its connection was accepted.
var passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO}

// listener tries again after errors that pass.
type listener struct {
	net.Listener
	onError func(error)
}

// Retrying returns a listener whose Accept fails only with errors that end it. onError is told of
// each other one.
func Retrying(l net.Listener, onError func(error)) net.Listener {
	return &listener{Listener: l, onError: onError}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		nc, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return nc, err
		}
		l.onError(err)
		time.Sleep(wait)
	}
}

// passes reports whether a listener goes on after an error.
func passes(err error) bool {
	for _, p := range passing {
		if errors.Is(err, p) {
			return true
		}
	}
	return false
}
