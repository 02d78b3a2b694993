package keys

import (
	"context"
	"io"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// resultOf returns how a run or a forwarded attempt ended.
func resultOf(a *filter.Response, err error) once.Result {
	if err != nil {
		e := outcome.AsError(err)
		return once.Result{Outcome: e.Outcome, Err: e, BodyDropped: e.Outcome == outcome.Done}
	}
	return once.Result{Outcome: outcome.Done, Status: a.Status, Header: a.Header, Body: a.Body}
}

// replyOf returns the answer that a result gives to an attempt.
func replyOf(res once.Result) reply {
	if res.Outcome != outcome.Done {
		if res.Err == nil {
			res.Err = outcome.UnknownError(outcome.KindInternal, "the request ended without a reason")
		}
		return reply{err: res.Err}
	}
	if res.BodyDropped {
		return reply{err: &outcome.Error{
			Outcome: outcome.Done, Kind: outcome.KindResponseDropped,
			Message: "the request was run once, and its answer is too large to be kept for a resend",
			Remedy:  "ask the service for the result",
		}}
	}
	return reply{answer: &filter.Response{Status: res.Status, Header: res.Header, Body: res.Body, Length: int64(len(res.Body))}}
}

// endStream calls end when the stream is closed.
type endStream struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close implements io.Closer.
func (s *endStream) Close() error {
	defer s.end()
	return s.ReadCloser.Close()
}
