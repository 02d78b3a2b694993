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

// writeProgress is how long a caller may take to accept one piece of an
// answer.
const writeProgress = 10 * time.Second

// ErrorBody is the body of an answer that comes from the system itself.
type ErrorBody struct {
	Outcome string `json:"outcome"`
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// RetryAfterMS is 0 when coming back does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// WriteError answers a caller with an error of the system.
func WriteError(w http.ResponseWriter, e *outcome.Error) {
	ExtendWriteDeadline(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(filter.HeaderOutcome, e.Outcome.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	// A caller that is gone does not read its error.
	_ = json.NewEncoder(w).Encode(ErrorBody{
		Outcome: e.Outcome.String(), Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
}

// deliver writes the answer to the caller of a request with the method, under
// the headers that this instance adds. An error means that the caller did not
// get it whole.
func deliver(w http.ResponseWriter, method string, own http.Header, a *filter.Response) error {
	defer a.Close()
	h := w.Header()
	maps.Copy(h, a.Header)
	filter.StripHopByHop(h)
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing.
		h["Content-Type"] = nil
	}
	maps.Copy(h, own)
	h.Set(filter.HeaderOutcome, outcome.Done.String())
	if length := lengthOf(method, a); length != "" {
		h.Set("Content-Length", length)
	}
	ExtendWriteDeadline(w)
	w.WriteHeader(a.Status)
	if a.Stream == nil {
		_, err := newProgressWriter(w).Write(a.Body)
		return errors.Annotate(err, "answer was not delivered")
	}
	_, err := io.Copy(newProgressWriter(w), a.Stream)
	return errors.Annotate(err, "answer was not delivered")
}

// lengthOf returns the Content-Length of an answer, empty for none. In answers
// to HEAD it is that of the answer to GET, as the backend server declared it.
func lengthOf(method string, a *filter.Response) string {
	switch {
	case method == http.MethodHead:
		return a.Header.Get("Content-Length")
	case a.Stream == nil:
		return strconv.Itoa(len(a.Body))
	case a.Length >= 0:
		return strconv.FormatInt(a.Length, 10)
	}
	return ""
}

// ExtendWriteDeadline gives the caller writeProgress to accept what is written next.
func ExtendWriteDeadline(w http.ResponseWriter) {
	// A writer without deadlines still fails when the connection does.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeProgress))
}

// progressWriter gives the caller writeProgress for each piece.
type progressWriter struct {
	w   io.Writer
	ctl *http.ResponseController
}

func newProgressWriter(w http.ResponseWriter) *progressWriter {
	return &progressWriter{w, http.NewResponseController(w)}
}

// Write implements io.Writer.
func (p *progressWriter) Write(b []byte) (int, error) {
	// A writer without deadlines still fails when the connection does.
	_ = p.ctl.SetWriteDeadline(time.Now().Add(writeProgress))
	return p.w.Write(b)
}
