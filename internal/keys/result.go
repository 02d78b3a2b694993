package keys

import (
	"context"
	"io"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// resultOf returns the result of a run or of a forwarded attempt.
func resultOf(a *filter.Response, err error) once.Result {
	if err != nil {
		e := outcome.AsError(err)
		return once.Result{Outcome: e.Outcome, Err: e, BodyDropped: e.Outcome == outcome.Done}
	}
	return once.Result{Outcome: outcome.Done, Status: a.Status, Header: a.Header, Body: a.Body}
}

// replyOf returns the reply to an attempt for a result.
func replyOf(res once.Result) reply {
	if res.Outcome != outcome.Done {
		if res.Err == nil {
			res.Err = outcome.UnknownError(outcome.KindInternal, "the request ended without a response or an error")
		}
		return reply{err: res.Err}
	}
	if res.BodyDropped {
		return reply{err: &outcome.Error{
			Outcome: outcome.Done, Kind: outcome.KindResponseDropped,
			Message: "the request was run once, but its response is too large to be stored for a resend",
			Remedy:  "ask the service for the result",
		}}
	}
	return reply{response: &filter.Response{Status: res.Status, Header: res.Header, Body: res.Body, Length: int64(len(res.Body))}}
}

// cancelOnClose is a stream that calls cancel when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (s *cancelOnClose) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
