// Package forward passes requests between entry instances: the request and its
// answer as peer messages, and the outcome that a failed call has for the
// request.
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

// smallAnswer is the largest answer, in bytes, that is read whole before it is
// passed on.
const smallAnswer = 64 << 10

// lostRetryAfter is when a caller comes back whose request could not reach
// another instance.
const lostRetryAfter = 500 * time.Millisecond

// Sender sends requests to other instances.
type Sender struct {
	Client   *peer.Client
	Recorder *trace.Recorder
	// Region is the region of this instance.
	Region func() string
	// Guard knows requests that bring backend servers down.
	Guard *quarantine.Guard
	// Unreachable is told of an address that a request could not be sent to.
	Unreachable func(addr string)
}

// Target names the instance that a request goes to.
type Target struct {
	Address string
	ID      string
	// Incarnation is that of the key's home at StageHome, else 0.
	Incarnation uint64
}

// Send passes the request on at the given stage and returns the answer. The
// error wraps an *outcome.Error: a call that was never sent leaves the request
// not run, a call that was lost leaves it unknown.
func (s *Sender) Send(ctx context.Context, to Target, r *filter.Request, stage filter.Stage) (*filter.Response, error) {
	left := time.Until(r.Deadline)
	if left <= 0 {
		return nil, &Failed{Err: outcome.NotRunError(outcome.KindDeadline, 0, "the deadline passed before the request was passed on")}
	}
	fp := quarantine.Fingerprint(r)
	call := &peerpb.Call{Call: &peerpb.Call_Forward{Forward: &peerpb.Forward{
		RequestId: r.ID, Service: r.Service.Name, Method: r.Method, Path: r.Path, Headers: ToHeaders(r.Header),
		BodyLength: int64(len(r.Body)), DeadlineMs: max(left.Milliseconds(), 1), Key: r.Key, Stage: int32(stage),
		TraceParent: s.Recorder.Inject(ctx), Idempotent: r.Idempotent, Operation: r.Operation,
		To: &peerpb.Identity{Id: to.ID, Incarnation: to.Incarnation}, FromRegion: s.Region(), Caller: r.Caller.String(),
		Hops: int32(r.Hops + 1), Suspicion: quarantine.Encode(s.Guard.Notice(fp)),
	}}}
	reply, body, err := s.Client.Call(ctx, to.Address, call, bodyOf(r.Body))
	if err != nil {
		failed := callFailure(to, err)
		if !failed.Sent {
			s.Unreachable(to.Address)
		}
		return nil, failed
	}
	if known := reply.GetForward().GetSuspicion(); len(known) > 0 {
		s.Guard.Hear(quarantine.Decode(known))
	}
	answer, err := s.answer(r, to, reply, body)
	if err != nil {
		body.Close()
		return nil, err
	}
	return answer, nil
}

// Failed is a request that got no reply of the other instance.
type Failed struct {
	// Sent is false if no byte of it left this instance.
	Sent bool
	Err  *outcome.Error
}

// Error implements error.
func (f *Failed) Error() string { return f.Err.Error() }

// Unwrap returns the outcome of the request.
func (f *Failed) Unwrap() error { return f.Err }

func callFailure(to Target, err error) *Failed {
	var cerr *peer.CallError
	if errors.As(err, &cerr) && cerr.Sent == peer.NotSent {
		return &Failed{Err: outcome.NotRunError(outcome.KindPeerLost, lostRetryAfter, "instance %s can't be reached: %v", to.ID, cerr.Err)}
	}
	return &Failed{Sent: true, Err: outcome.UnknownError(outcome.KindPeerLost, "instance %s was lost while it held the request: %v", to.ID, err)}
}

func (s *Sender) answer(r *filter.Request, to Target, reply *peerpb.Reply, body io.ReadCloser) (*filter.Response, error) {
	f := reply.GetForward()
	if f == nil || f.RequestId != r.ID {
		return nil, outcome.UnknownError(outcome.KindInternal, "instance %s answered another request: %s", to.ID, reply.Error)
	}
	if f.Failure != nil {
		return nil, FromFailure(f.Failure)
	}
	a := &filter.Response{Status: int(f.Status), Header: FromHeaders(f.Headers), Length: f.BodyLength, Backend: f.Backend}
	if f.Streamed {
		a.Stream = body
		return a, nil
	}
	data, err := io.ReadAll(io.LimitReader(body, smallAnswer+1))
	if err != nil || int64(len(data)) != f.BodyLength {
		return nil, outcome.UnknownError(outcome.KindTruncatedResponse, "the answer from instance %s was cut", to.ID)
	}
	a.Body = data
	body.Close()
	return a, nil
}

// ToReply returns the message and body that carry an answer or an error back.
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

// ToRequest returns the request of a call. start is when the call arrived. An
// error at the home of the request's key leaves the outcome unknown.
func ToRequest(e *estate.Estate, f *peerpb.Forward, body []byte, start time.Time) (*filter.Request, *outcome.Error) {
	r, err := toRequest(e, f, body, start)
	if err != nil && filter.Stage(f.Stage) == filter.StageHome {
		err = filter.WithUnknownOutcome(err)
	}
	return r, err
}

func toRequest(e *estate.Estate, f *peerpb.Forward, body []byte, start time.Time) (*filter.Request, *outcome.Error) {
	if stage := filter.Stage(f.Stage); stage < filter.StageHome || stage > filter.StageOwner {
		return nil, outcome.NotRunError(outcome.KindInternal, lostRetryAfter, "the request came with stage %d", stage)
	}
	if e == nil {
		return nil, outcome.NotRunError(outcome.KindNotReady, lostRetryAfter, "the instance has no configuration yet")
	}
	s := e.ServiceOf(f.Service)
	if s == nil {
		return nil, outcome.NotRunError(outcome.KindUnknownService, lostRetryAfter, "the instance does not know service %q yet", f.Service)
	}
	if int64(len(body)) != f.BodyLength {
		return nil, outcome.NotRunError(outcome.KindInternal, lostRetryAfter, "the request's body was cut between instances")
	}
	// An address that does not parse is left invalid: it only steers.
	caller, _ := netip.ParseAddr(f.Caller)
	return &filter.Request{
		ID: f.RequestId, Caller: caller, Service: s, Method: f.Method, Path: f.Path, Header: FromHeaders(f.Headers),
		Body: body, Key: f.Key, Operation: f.Operation, Idempotent: f.Idempotent,
		Deadline: start.Add(time.Duration(f.DeadlineMs) * time.Millisecond), Stage: filter.Stage(f.Stage), Hops: int(f.Hops),
		FromRegion: f.FromRegion,
	}, nil
}

// ToFailure returns the peer message of an error.
func ToFailure(e *outcome.Error) *peerpb.Failure {
	return &peerpb.Failure{
		Outcome: int32(e.Outcome), Kind: string(e.Kind), Message: e.Message, Remedy: e.Remedy, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// FromFailure returns the error of a peer message. What is not surely not run
// is unknown, unless it was done and only its answer is missing.
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

// ToHeaders returns the peer messages of a header, by name.
func ToHeaders(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// FromHeaders returns the header of peer messages.
func FromHeaders(hs []*peerpb.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.Name] = h.Values
	}
	return out
}

func bodyOf(b []byte) io.Reader {
	if len(b) == 0 {
		return nil
	}
	return bytes.NewReader(b)
}
