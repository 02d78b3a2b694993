package relay

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/juju/errors"
)

// The header of a yamux frame: version, type, flags, stream and length.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	// frameTypeData is the type of frames whose length is that of the bytes that follow.
	// In other frames it is a value.
	frameTypeData = 0
	// maxFrameBytes is the largest frame, which fills the window of a stream.
	maxFrameBytes = 256 << 10
)

// frameConn is a connection whose Read returns no byte of a yamux frame before the whole
// frame has arrived. While yamux reads the rest of a frame it holds a lock that the reads
// of the stream wait for, without regard to their deadlines.
type frameConn struct {
	net.Conn
	// frame holds the frames that were received, ready what is left of the newest.
	frame, ready []byte
}

// newFrameConn returns a frameConn that reads from nc.
func newFrameConn(nc net.Conn) *frameConn { return &frameConn{Conn: nc} }

// Read implements net.Conn. yamux reads from one goroutine only.
func (c *frameConn) Read(p []byte) (int, error) {
	if len(c.ready) == 0 {
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	return n, nil
}

// receive receives the next frame.
func (c *frameConn) receive() error {
	c.frame = append(c.frame[:0], make([]byte, frameHeaderBytes)...)
	if _, err := io.ReadFull(c.Conn, c.frame); err != nil {
		return err
	}
	length := 0
	if c.frame[frameTypeOffset] == frameTypeData {
		length = int(binary.BigEndian.Uint32(c.frame[frameLengthOffset:]))
	}
	if length > maxFrameBytes {
		return errors.Errorf("a frame of %d bytes, %d allowed; the sender may run another version", length, maxFrameBytes)
	}
	c.frame = append(c.frame, make([]byte, length)...)
	if _, err := io.ReadFull(c.Conn, c.frame[frameHeaderBytes:]); err != nil {
		return err
	}
	c.ready = c.frame
	return nil
}
