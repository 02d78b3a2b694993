package peer

import (
	"bufio"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

const (
	// maxMessageBytes is the maximum size of one message on a stream.
	maxMessageBytes = 4 << 20
	// frameDataBytes is the maximum number of body bytes in one Frame.
	frameDataBytes = 32 << 10
	// streamBufferBytes is the size of a stream's read and write buffers.
	streamBufferBytes = 4 << 10
)

// ErrTruncatedBody is returned by a body reader if the stream ended before the
// end frame. The bytes read until then are not the whole body.
var ErrTruncatedBody = errors.New("body ended before its end frame; discard the bytes read so far")

var unmarshal = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}

func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return errors.Trace(err)
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	return errors.Trace(unmarshal.UnmarshalFrom(r, m))
}

// writeBody writes the body as frames. If reading the body fails, no end frame
// is written, so that the receiver sees a truncated body.
func writeBody(w io.Writer, body io.Reader) error {
	if body == nil {
		return writeMessage(w, &peerpb.Frame{End: true})
	}
	buf := make([]byte, frameDataBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := writeMessage(w, &peerpb.Frame{Data: buf[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return writeMessage(w, &peerpb.Frame{End: true})
		}
		if err != nil {
			return errors.Annotate(err, "failed to read the body to send")
		}
	}
}

// bodyReader reads a body from its frames, up to the end frame.
type bodyReader struct {
	r       *bufio.Reader
	pending []byte
	ended   bool
}

// Read implements io.Reader. It returns ErrTruncatedBody if the stream ends
// before the end frame.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		var f peerpb.Frame
		if err := readMessage(b.r, &f); err != nil {
			return 0, ErrTruncatedBody
		}
		b.pending, b.ended = f.Data, f.End
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}
