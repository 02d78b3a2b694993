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
	// maxMessage bounds one message on a stream, in bytes.
	maxMessage = 4 << 20
	// frameSize is how many body bytes one Frame carries.
	frameSize = 32 << 10
	// readBuffer is the buffer of one stream's reader, in bytes.
	readBuffer = 4 << 10
)

// ErrTruncatedBody is returned by a body reader whose end frame never came. What was
// read before it is not the whole body.
var ErrTruncatedBody = errors.New("body was cut before its end frame; discard what was read")

var unmarshal = protodelim.UnmarshalOptions{MaxSize: maxMessage}

func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return errors.Trace(err)
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	return errors.Trace(unmarshal.UnmarshalFrom(r, m))
}

// writeBody writes the body as frames; an error of the body is returned before
// an end frame is written, so that the receiver sees a cut body.
func writeBody(w io.Writer, body io.Reader) error {
	if body == nil {
		return writeMessage(w, &peerpb.Frame{End: true})
	}
	buf := make([]byte, frameSize)
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
			return errors.Annotate(err, "body can't be read")
		}
	}
}

// bodyReader reads frames until the end frame.
type bodyReader struct {
	r    *bufio.Reader
	rest []byte
	end  bool
}

// Read implements io.Reader. It returns ErrCutBody when the stream ends before
// the end frame.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.end {
			return 0, io.EOF
		}
		var f peerpb.Frame
		if err := readMessage(b.r, &f); err != nil {
			return 0, ErrTruncatedBody
		}
		b.rest, b.end = f.Data, f.End
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}
