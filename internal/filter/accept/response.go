package accept

import (
	"encoding/json"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// writeTimeout is how long one write of a response to the caller may take.
const writeTimeout = 10 * time.Second

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Outcome string `json:"outcome"`
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// RetryAfterMS is the time in milliseconds after which the caller should
	// retry; 0 if a retry does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, e *outcome.Error) {
	ExtendWriteDeadline(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(filter.HeaderOutcome, e.Outcome.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	// Write errors are ignored: the caller is gone and cannot read the error.
	_ = json.NewEncoder(w).Encode(ErrorBody{
		Outcome: e.Outcome.String(), Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
}

// writeResponse writes resp, the response to a request with the method, and closes
// it. The headers in instanceHeader override those of resp. An error means that
// the caller did not receive the complete response.
func writeResponse(w http.ResponseWriter, method string, instanceHeader http.Header, resp *filter.Response) error {
	defer resp.Close()
	header := w.Header()
	maps.Copy(header, resp.Header)
	filter.StripHopByHop(header)
	if _, ok := header["Content-Type"]; !ok {
		// A nil value prevents net/http from setting a detected content type.
		header["Content-Type"] = nil
	}
	maps.Copy(header, instanceHeader)
	header.Set(filter.HeaderOutcome, outcome.Done.String())
	if length := contentLength(method, resp); length != "" {
		header.Set("Content-Length", length)
	}
	ExtendWriteDeadline(w)
	w.WriteHeader(resp.Status)
	if resp.Stream == nil {
		_, err := newDeadlineWriter(w).Write(resp.Body)
		return errors.Annotate(err, "response was not delivered completely")
	}
	_, err := io.Copy(newDeadlineWriter(w), resp.Stream)
	return errors.Annotate(err, "response was not delivered completely")
}

// contentLength returns the Content-Length of a response, or "" if it has none. The
// Content-Length of a response to HEAD is that of the response to GET, as the
// backend server declared it.
func contentLength(method string, resp *filter.Response) string {
	switch {
	case method == http.MethodHead:
		return resp.Header.Get("Content-Length")
	case resp.Stream == nil:
		return strconv.Itoa(len(resp.Body))
	case resp.Length >= 0:
		return strconv.FormatInt(resp.Length, 10)
	}
	return ""
}

// ExtendWriteDeadline sets the deadline of writes to w to writeTimeout from now. It
// does nothing if w does not support deadlines.
func ExtendWriteDeadline(w http.ResponseWriter) {
	// Without a deadline, a write still fails when the connection does.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// deadlineWriter sets a deadline of writeTimeout for each write.
type deadlineWriter struct {
	w   io.Writer
	ctl *http.ResponseController
}

func newDeadlineWriter(w http.ResponseWriter) *deadlineWriter {
	return &deadlineWriter{w, http.NewResponseController(w)}
}

// Write implements io.Writer.
func (p *deadlineWriter) Write(b []byte) (int, error) {
	// Without a deadline, a write still fails when the connection does.
	_ = p.ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	return p.w.Write(b)
}
