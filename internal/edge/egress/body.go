package egress

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/edge/memory"
)

const (
	// MaxResponseBytes bounds the body of a response, which is held in memory.
	MaxResponseBytes = 16 << 20
	// maxProbeBytes bounds the body of the response to a health check.
	maxProbeBytes = 64 << 10
	// maxTrustedBytes bounds the length in the head of a response for which memory is taken at
	// once. It may not be true.
	maxTrustedBytes = 1 << 20
	// maxFramedBytes bounds a body as it is framed, in chunks or not.
	maxFramedBytes = 2 * MaxResponseBytes
)

// readBody reads the body of the response to r.
func readBody(r *Request, head *http.Response) ([]byte, error) {
	body, err := memory.ReadAll(r.Memory, head.Body, trustedLength(head), r.maxBody())
	if err == memory.ErrTooLong {
		return nil, errors.Errorf("the response body is longer than %d bytes", r.maxBody())
	}
	return body, err
}

// trustedLength returns the length of the body, -1 if it is not known or very large.
func trustedLength(head *http.Response) int64 {
	if head.ContentLength > maxTrustedBytes {
		return -1
	}
	return head.ContentLength
}

// maxBody returns the largest size of the body of the response.
func (r *Request) maxBody() int64 {
	if r.probe {
		return maxProbeBytes
	}
	return MaxResponseBytes
}
