package ingress

import "time"

// halfCloser is a connection whose write side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// endWriting closes the write side of the connection and lets the reader take no more requests.
//
// Closing a connection with unread bytes would reset it, and so would bytes that arrive after
// the close: the caller would lose what it has not read yet of the last response. So the
// connection lingers: the reader discards what arrives until the caller closes it too. broken is
// set if nothing more can reach the caller.
func (c *conn) endWriting(broken bool) {
	half, ok := c.net.(halfCloser)
	if ok {
		// An error means that the connection has ended already, which the reader finds too.
		_ = half.CloseWrite()
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.ended = true
	c.lingerUntil = now
	until := c.lastWrite.Add(lingerTimeout)
	if ok && !broken && until.After(now) && c.server.beginLinger() {
		c.lingers = true
		c.lingerUntil = until
	}
	_ = c.net.SetReadDeadline(c.lingerUntil)
}

// discard reads and drops what arrives until the connection may be closed. It returns false if
// the caller closes it before.
func (c *conn) discard() (open bool) {
	var buf [512]byte
	for c.setDiscard() {
		if _, err := c.net.Read(buf[:]); err != nil && !isTimeout(err) {
			return false
		}
	}
	return true
}

// setDiscard sets the read deadline of a reader that discards. It returns false if the
// connection may be closed.
func (c *conn) setDiscard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		// The end of writing sets the deadline.
		_ = c.net.SetReadDeadline(time.Time{})
		return true
	}
	_ = c.net.SetReadDeadline(c.lingerUntil)
	return time.Now().Before(c.lingerUntil)
}

// beginLinger counts a connection that lingers, unless there are too many.
func (s *Server) beginLinger() bool {
	select {
	case s.lingering <- struct{}{}:
		return true
	default:
		return false
	}
}

// endLinger counts the end of a connection that has lingered.
func (s *Server) endLinger() { <-s.lingering }
