package memory

import (
	"bytes"
	"io"
)

// pieceBytes is the size of the pieces of a body of unknown length. Only the first ones are
// smaller.
const pieceBytes = 256 << 10

// Body is the body of a request in pieces, in their order; nil if there is none.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() int {
	n := 0
	for _, piece := range b {
		n += len(piece)
	}
	return n
}

// Bytes returns the body in one piece, which is a copy if it has several.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// ReadBody reads r to its end, up to limit bytes, into memory that it takes from the account.
// length is that of the body, or -1. A body of unknown length is read into pieces, so that it needs
// no more room than the same body with a length. Errors: as those of ReadAll.
func ReadBody(a *Account, r io.Reader, length, limit int64) (Body, error) {
	if length >= 0 {
		body, err := ReadAll(a, r, length, limit)
		if err != nil {
			return nil, err
		}
		return Body{body}, nil
	}
	var body Body
	taken, size := int64(0), int64(0)
	for next := int64(firstBytes); ; next = min(pieceBytes, 2*next) {
		if err := a.Grow(next); err != nil {
			a.Give(taken)
			return nil, err
		}
		taken += next
		piece := make([]byte, next)
		n, err := fill(r, piece)
		body, size = append(body, piece[:n]), size+int64(n)
		switch {
		case size > limit:
			a.Give(taken)
			return nil, ErrTooLong
		case err == io.EOF:
			return body, nil
		case err != nil:
			a.Give(taken)
			return nil, err
		}
	}
}

// fill reads until piece is full. Its error is that of r, io.EOF only at the end of the body.
func fill(r io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		m, err := r.Read(piece[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
