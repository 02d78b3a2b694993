package ingress

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangupInterval is the time between checks for a close by a caller whose requests are not read
// at the moment.
const hangupInterval = 50 * time.Millisecond

// hasHungUp reports whether the other side has closed a connection, also while bytes before the
// close are unread. It does not block. It is false for connections that are no sockets.
func hasHungUp(nc net.Conn) bool {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&ended != 0
	})
	return err == nil && hungUp
}
