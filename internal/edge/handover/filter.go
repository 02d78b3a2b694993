// Package handover hands requests that this instance can send to no backend server over to
// other instances, and takes the requests that they hand over. A request is handed over once:
// whoever takes it sends it to backend servers itself or refuses it.
package handover

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	decide "github.com/banyandeal/banyandeal/internal/decide/handover"
	"github.com/banyandeal/banyandeal/internal/edge/credential"
	"github.com/banyandeal/banyandeal/internal/edge/filter/dispatch"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// maxHandovers bounds the instances that one request is handed over to.
	maxHandovers = 6
	// retryAfter is how long a caller waits whose request no instance could take. An instance
	// that reaches backend servers again knows it sooner.
	retryAfter = 500 * time.Millisecond
)

// reasonIsolated is the reason of a request that neither this instance nor another one could
// send.
const reasonIsolated = "isolated"

// reasonLost is the reason of a request that was handed over, and whose reply was lost.
const reasonLost = "handover_lost"

// Client hands requests over to other instances.
type Client interface {
	// Handover hands a request over to the instance with a peer address and returns its reply.
	// After an error other than *relay.NotSentError the request may have run.
	Handover(ctx context.Context, address string, r *relaypb.Handover) (*relaypb.HandoverReply, error)
}

// Reach tells whether this instance reaches backend servers.
type Reach interface {
	// Isolated reports whether new connections fail everywhere.
	Isolated() bool
	// OpenWork reports whether open connections work as far as is known.
	OpenWork() bool
}

// Filter implements gateway.Filter. It stands before the filter that sends requests to backend
// servers.
type Filter struct {
	reach   Reach
	client  Client
	metrics *metrics.Metrics

	mu      sync.Mutex
	machine *decide.Machine
}

// NewFilter returns a Filter for the instance with the given settings.
func NewFilter(s *traffic.Settings, r Reach, c Client, m *metrics.Metrics) *Filter {
	return &Filter{reach: r, client: c, metrics: m, machine: decide.New(s.Instance, s.Region, s.RegionOf)}
}

// Serve implements gateway.Filter.
func (f *Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	if ex.Handover != nil {
		return next(ctx, ex)
	}
	var resp *ingress.Response
	if !f.reach.Isolated() || f.reach.OpenWork() {
		resp = next(ctx, ex)
		if !f.wasCutOff(ctx, ex, resp) {
			return resp
		}
	}
	if handed := f.handOver(ctx, ex); handed != nil {
		return handed
	}
	if ex.Outcome.Runs() > 0 {
		return mayHaveRun(ctx, ex)
	}
	if resp != nil {
		return resp
	}
	ex.Outcome.Reason = reasonIsolated
	return gateway.UnavailableResponse(retryAfter, "neither this instance nor another one can send the request now; come back later")
}

// wasCutOff reports whether a request failed because this instance does not reach the backend
// servers, and may still be sent.
func (f *Filter) wasCutOff(ctx context.Context, ex *gateway.Exchange, resp *ingress.Response) bool {
	if ctx.Err() != nil || resp.Status < http.StatusInternalServerError || !f.reach.Isolated() {
		return false
	}
	attempts := ex.Outcome.Attempts
	if len(attempts) == 0 {
		return ex.Outcome.Rejected != nil
	}
	last := attempts[len(attempts)-1]
	cut := last.Reason == dispatch.ReasonUnreachable || last.Reason == dispatch.ReasonNotDialed
	return cut && mayRepeat(ex)
}

// mayRepeat reports whether the request may be sent to a further backend server.
func mayRepeat(ex *gateway.Exchange) bool {
	n := ex.Outcome.Runs()
	return n == 0 || ex.Route.Kind.Idempotent() && n < ex.Route.MaxAttempts
}

// handOver hands a request over until another instance has replied. It returns nil if none
// takes it. None takes a body of more than maxTakenBytes.
func (f *Filter) handOver(ctx context.Context, ex *gateway.Exchange) *ingress.Response {
	if ex.Body.Len() > maxTakenBytes {
		f.metrics.Add("handovers_too_large", 1)
		return nil
	}
	tried := map[string]bool{}
	for len(tried) < maxHandovers && ctx.Err() == nil {
		to, ok := f.choose(ex, tried)
		if !ok {
			return nil
		}
		tried[to.Name] = true
		reply, result := f.send(ctx, ex, to)
		switch {
		case result == decide.Replied:
			ex.Outcome.Reason = reply.Reason
			return &ingress.Response{Status: int(reply.Status), Header: decodeHeader(reply.Headers), Body: reply.Body}
		case !mayRepeat(ex):
			return mayHaveRun(ctx, ex)
		}
	}
	return nil
}

// mayHaveRun returns the response to a request that may have run, and that no instance has
// replied to.
func mayHaveRun(ctx context.Context, ex *gateway.Exchange) *ingress.Response {
	ex.Outcome.Reason = reasonLost
	if ctx.Err() != nil {
		return gateway.ErrorResponse(http.StatusGatewayTimeout, "no answer came in time; the request may have run")
	}
	return gateway.ErrorResponse(http.StatusBadGateway, "the instance that had the request does not respond; the request may have run")
}

// choose returns the instance that gets the request next.
func (f *Filter) choose(ex *gateway.Exchange, tried map[string]bool) (traffic.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	homes, ok := traffic.HomeRegions(ex.Route, ex.Account)
	if !ok {
		return traffic.Member{}, false
	}
	return f.machine.Choose(decide.Query{ID: ex.ID, HomeRegions: homes, Members: ex.View.Members, Tried: tried}, time.Now())
}

// send hands a request over to one instance and records the end.
func (f *Filter) send(ctx context.Context, ex *gateway.Exchange, to traffic.Member) (*relaypb.HandoverReply, decide.Result) {
	sent := time.Now()
	reply, err := f.client.Handover(ctx, to.Peer, f.request(ex))
	result := resultOf(reply, err)
	if ctx.Err() == nil {
		f.mu.Lock()
		f.machine.Record(to.Name, result, time.Now())
		f.mu.Unlock()
	}
	h := gateway.Handover{
		Instance: to.Name, Sent: sent, Took: time.Since(sent), Result: result.String(),
		MayHaveRun: result == decide.Lost || result == decide.Replied && reply.MayHaveRun,
	}
	if err != nil {
		h.Detail = err.Error()
	} else if reply.Declined {
		h.Detail = reply.Reason
	}
	ex.Outcome.Handovers = append(ex.Outcome.Handovers, h)
	f.metrics.Add("handovers_"+h.Result, 1)
	return reply, result
}

// resultOf returns how a handover ended.
func resultOf(reply *relaypb.HandoverReply, err error) decide.Result {
	var notSent *relay.NotSentError
	switch {
	case errors.As(err, &notSent):
		return decide.Unreachable
	case err != nil:
		return decide.Lost
	case reply.Declined:
		return decide.Declined
	case reply.Status < http.StatusOK || reply.Status > 599:
		// An instance that runs an earlier version passes on what a backend server has sent.
		return decide.Lost
	}
	return decide.Replied
}

// request returns the message for a request, with the time that the caller still waits.
func (f *Filter) request(ex *gateway.Exchange) *relaypb.Handover {
	h := ex.Header.Clone()
	platform.SetTimeout(h, time.Until(ex.CallerDeadline))
	r := &relaypb.Handover{
		Method: []byte(ex.Method), Target: []byte(ex.Target), Host: []byte(ex.Host), Headers: encodeHeader(h), Body: ex.Body.Bytes(),
		Runs: uint32(ex.Outcome.Runs()), Credential: encodeCredential(ex),
	}
	if ex.View.Config != nil {
		r.ConfigVersion = ex.View.Config.Version
	}
	return r
}

// encodeCredential returns the digest of the key of a request whose headers do not have it any
// more, empty if there is none.
func encodeCredential(ex *gateway.Exchange) []byte {
	if ex.View.Config == nil || !ex.View.Config.HasAccounts() || ex.Credential.State != credential.Present {
		return nil
	}
	return ex.Credential.Digest[:]
}

// decodeCredential is the inverse of encodeCredential.
func decodeCredential(digest []byte) credential.Credential {
	var c credential.Credential
	if len(digest) == len(c.Digest) {
		c.State, c.Digest = credential.Present, credential.Digest(digest)
	}
	return c
}

// encodeHeader converts headers to messages, in the order of their names.
func encodeHeader(h http.Header) []*relaypb.Header {
	var all []*relaypb.Header
	for _, name := range slices.Sorted(maps.Keys(h)) {
		for _, v := range h[name] {
			all = append(all, &relaypb.Header{Name: []byte(name), Value: []byte(v)})
		}
	}
	return all
}

// decodeHeader converts messages to headers.
func decodeHeader(all []*relaypb.Header) http.Header {
	h := http.Header{}
	for _, x := range all {
		name := string(x.Name)
		h[name] = append(h[name], string(x.Value))
	}
	return h
}
