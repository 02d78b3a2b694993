// Package forward forwards requests between entry instances. It converts requests
// and responses to and from peer messages, and derives the outcome of a request
// from a failed call.
package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// maxBufferedResponse is the largest response body, in bytes, that is read in full
// before the response is returned.
const maxBufferedResponse = 64 << 10

// peerLostRetryAfter is the delay after which a caller should retry a request that
// another instance did not receive or could not accept.
const peerLostRetryAfter = 500 * time.Millisecond

// Sender sends requests to other instances.
type Sender struct {
	Client   *peer.Client
	Recorder *trace.Recorder
	// Region is the region of this instance.
	Region func() string
	// Guard provides the quarantine notice to forward with a request, and merges
	// the notices in replies.
	Guard *quarantine.Guard
	// ReportUnreachable is called with the peer address of an instance if a request
	// could not be sent to it.
	ReportUnreachable func(addr string)
}

// Target identifies the instance that a request is forwarded to.
type Target struct {
	// Address is the peer address of the instance, host:port.
	Address string
	// ID is the id of the instance.
	ID string
	// Incarnation is the incarnation of the key's home at filter.StageHome. It is
	// 0 at other stages.
	Incarnation uint64
}

// Send forwards the request to an instance, for the given stage, and returns the
// response. The error wraps an *outcome.Error. It is a *NoReplyError if no reply
// arrived: the outcome is not run if nothing was sent, and unknown otherwise.
func (s *Sender) Send(ctx context.Context, to Target, r *filter.Request, stage filter.Stage) (*filter.Response, error) {
	remaining := time.Until(r.Deadline)
	if remaining <= 0 {
		return nil, &NoReplyError{Err: outcome.NotRunError(outcome.KindDeadline, 0, "the deadline passed before the request was forwarded")}
	}
	fp := quarantine.Fingerprint(r)
	call := &peerpb.Call{Call: &peerpb.Call_Forward{Forward: &peerpb.Forward{
		RequestId: r.ID, Service: r.Service.Name, Method: r.Method, Path: r.Path, Headers: ToHeaders(r.Header),
		BodyLength: int64(len(r.Body)), DeadlineMs: max(remaining.Milliseconds(), 1), Key: r.Key, Stage: int32(stage),
		TraceParent: s.Recorder.Inject(ctx), Idempotent: r.Idempotent, Operation: r.Operation,
		To: &peerpb.Identity{Id: to.ID, Incarnation: to.Incarnation}, FromRegion: s.Region(), Caller: r.Caller.String(),
		Hops: int32(r.Hops + 1), Suspicion: quarantine.Encode(s.Guard.Notice(fp)),
	}}}
	reply, body, err := s.Client.Call(ctx, to.Address, call, bodyReader(r.Body))
	if err != nil {
		failed := noReplyError(to, err)
		if !failed.Sent {
			s.ReportUnreachable(to.Address)
		}
		return nil, failed
	}
	if suspicion := reply.GetForward().GetSuspicion(); len(suspicion) > 0 {
		s.Guard.MergeNotices(quarantine.Decode(suspicion))
	}
	response, err := s.response(r, to, reply, body)
	if err != nil {
		body.Close()
		return nil, err
	}
	return response, nil
}

// NoReplyError is the error of a request that got no reply from the instance that
// it was forwarded to.
type NoReplyError struct {
	// Sent is false if no byte of the request left this instance.
	Sent bool
	// Err states the outcome of the request.
	Err *outcome.Error
}

// Error implements error.
func (e *NoReplyError) Error() string { return e.Err.Error() }

// Unwrap returns e.Err.
func (e *NoReplyError) Unwrap() error { return e.Err }

// noReplyError returns the error of a request whose call failed with err.
func noReplyError(to Target, err error) *NoReplyError {
	var cerr *peer.CallError
	if errors.As(err, &cerr) && cerr.Sent == peer.NotSent {
		return &NoReplyError{Err: outcome.NotRunError(outcome.KindPeerLost, peerLostRetryAfter, "instance %s is unreachable: %v", to.ID, cerr.Err)}
	}
	return &NoReplyError{Sent: true, Err: outcome.UnknownError(outcome.KindPeerLost, "the connection to instance %s was lost after the request was sent: %v", to.ID, err)}
}

// response returns the response or the error in a reply. If it returns an error, the
// caller must close body.
func (s *Sender) response(r *filter.Request, to Target, reply *peerpb.Reply, body io.ReadCloser) (*filter.Response, error) {
	f := reply.GetForward()
	if f == nil || f.RequestId != r.ID {
		return nil, outcome.UnknownError(outcome.KindInternal, "instance %s did not reply to this request: %s", to.ID, reply.Error)
	}
	if f.Failure != nil {
		return nil, FromFailure(f.Failure)
	}
	a := &filter.Response{Status: int(f.Status), Header: FromHeaders(f.Headers), Length: f.BodyLength, Backend: f.Backend}
	if f.Streamed {
		a.Stream = body
		return a, nil
	}
	data, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse+1))
	if err != nil || int64(len(data)) != f.BodyLength {
		return nil, outcome.UnknownError(outcome.KindTruncatedResponse, "the response from instance %s was truncated", to.ID)
	}
	a.Body = data
	body.Close()
	return a, nil
}

// ToReply returns the peer message and the body for the response a, or for err if
// it is not nil. r is the request that is replied to.
func ToReply(r *peerpb.Forward, a *filter.Response, err error) (*peerpb.Reply, io.ReadCloser) {
	out := &peerpb.ForwardReply{RequestId: r.RequestId}
	reply := &peerpb.Reply{Reply: &peerpb.Reply_Forward{Forward: out}}
	if err != nil {
		out.Failure = ToFailure(outcome.AsError(err))
		return reply, nil
	}
	out.Status, out.Headers, out.Backend = int32(a.Status), ToHeaders(a.Header), a.Backend
	out.Streamed, out.BodyLength = a.Stream != nil, a.Length
	if a.Stream == nil {
		out.BodyLength = int64(len(a.Body))
	}
	return reply, a.Reader()
}

// ToRequest returns the request in a call. start is the time at which the call
// arrived; the deadline of the request counts from it. An error at the home of the
// request's key has the outcome unknown, because another attempt may have run.
func ToRequest(e *estate.Estate, f *peerpb.Forward, body []byte, start time.Time) (*filter.Request, *outcome.Error) {
	r, err := toRequest(e, f, body, start)
	if err != nil && filter.Stage(f.Stage) == filter.StageHome {
		err = filter.WithUnknownOutcome(err)
	}
	return r, err
}

// toRequest is ToRequest without the rule for the home of the key.
func toRequest(e *estate.Estate, f *peerpb.Forward, body []byte, start time.Time) (*filter.Request, *outcome.Error) {
	if stage := filter.Stage(f.Stage); stage < filter.StageHome || stage > filter.StageOwner {
		return nil, outcome.NotRunError(outcome.KindInternal, peerLostRetryAfter, "the forwarded request has the unknown stage %d; the sender may run another version", stage)
	}
	if e == nil {
		return nil, outcome.NotRunError(outcome.KindNotReady, peerLostRetryAfter, "the instance that the request was forwarded to has no configuration yet")
	}
	s := e.ServiceOf(f.Service)
	if s == nil {
		return nil, outcome.NotRunError(outcome.KindUnknownService, peerLostRetryAfter, "the configuration of the instance that the request was forwarded to has no service %q yet", f.Service)
	}
	if int64(len(body)) != f.BodyLength {
		return nil, outcome.NotRunError(outcome.KindInternal, peerLostRetryAfter, "the body of the request was truncated between instances")
	}
	// A malformed address is not an error, because the address of the caller only
	// affects steering.
	caller, _ := netip.ParseAddr(f.Caller)
	return &filter.Request{
		ID: f.RequestId, Caller: caller, Service: s, Method: f.Method, Path: f.Path, Header: FromHeaders(f.Headers),
		Body: body, Key: f.Key, Operation: f.Operation, Idempotent: f.Idempotent,
		Deadline: start.Add(time.Duration(f.DeadlineMs) * time.Millisecond), Stage: filter.Stage(f.Stage), Hops: int(f.Hops),
		FromRegion: f.FromRegion,
	}, nil
}

// ToFailure returns the peer message for an error.
func ToFailure(e *outcome.Error) *peerpb.Failure {
	return &peerpb.Failure{
		Outcome: int32(e.Outcome), Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// FromFailure returns the error in a peer message. Every outcome other than not
// run becomes unknown, except for a request that was done and whose response was
// dropped.
func FromFailure(f *peerpb.Failure) *outcome.Error {
	o, kind := outcome.Outcome(f.Outcome), outcome.Kind(f.Kind)
	if o != outcome.NotRun && (o != outcome.Done || kind != outcome.KindResponseDropped) {
		o = outcome.Unknown
	}
	return &outcome.Error{
		Outcome: o, Kind: kind, Message: f.Message, Remedy: f.Remedy,
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond,
	}
}

// ToHeaders returns the peer messages for a header, sorted by name.
func ToHeaders(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// FromHeaders returns the header in peer messages.
func FromHeaders(hs []*peerpb.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.Name] = h.Values
	}
	return out
}

// bodyReader returns a reader of b, or nil if b is empty.
func bodyReader(b []byte) io.Reader {
	if len(b) == 0 {
		return nil
	}
	return bytes.NewReader(b)
}
