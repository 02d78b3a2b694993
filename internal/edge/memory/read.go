package memory

import (
	"io"

	"github.com/juju/errors"
)

const (
	// ErrTooLong is the error of a body that is longer than its bound.
	ErrTooLong = errors.ConstError("the body is longer than its bound")
	// firstBytes is the space that a body of unknown length is read into at first.
	firstBytes = 512
)

// ReadAll reads r to its end, up to limit bytes, into memory that it takes from the account.
// length is that of the body, if it is known and may be trusted, else -1. Errors: *Error,
// ErrTooLong, and those of r; after an error the account holds what it held before.
func ReadAll(a *Account, r io.Reader, length, limit int64) ([]byte, error) {
	// One byte more, so that the end is found without more space.
	size, take := length+1, a.Take
	if length < 0 {
		size, take = firstBytes, a.Grow
	}
	if err := take(size); err != nil {
		return nil, err
	}
	body, err := readInto(a, make([]byte, 0, size), r, limit)
	if err != nil {
		a.Give(int64(cap(body)))
		return nil, err
	}
	return body, nil
}

// readInto reads r behind body, whose capacity the account holds, and returns the buffer that
// it holds in the end.
func readInto(a *Account, body []byte, r io.Reader, limit int64) ([]byte, error) {
	for {
		if len(body) == cap(body) {
			larger, err := grow(a, body)
			if err != nil {
				return body, err
			}
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, ErrTooLong
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// grow returns a copy of body with twice its capacity. Both are held while it is copied.
func grow(a *Account, body []byte) ([]byte, error) {
	size := int64(cap(body))
	if err := a.Grow(2 * size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(body), 2*size)
	copy(larger, body)
	a.Give(size)
	return larger, nil
}
