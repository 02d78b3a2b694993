package daemon

import (
	"context"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/banyandeal/banyandeal/internal/control"
	decidequarantine "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/forward"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// callHandler serves the calls of other instances. Forwarded requests go to the
// pipeline, all other calls to control.
type callHandler struct {
	control  *control.Control
	recorder *trace.Recorder
	guard    *quarantine.Guard
	// home serves a request as the authority of its key; run serves a request
	// that is to run in this zone.
	home, run filter.Handler
}

// ServeCall implements peer.Handler.
func (c *callHandler) ServeCall(ctx context.Context, call *peerpb.Call, body io.Reader) (*peerpb.Reply, io.ReadCloser) {
	f := call.GetForward()
	if f == nil {
		return c.control.ServeCall(ctx, call, body)
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(c.recorder.Extract(ctx, f.TraceParent), time.Duration(f.DeadlineMs)*time.Millisecond)
	ctx, span := c.recorder.Start(ctx, "serve", attribute.String("request", f.RequestId))
	data, err := io.ReadAll(body)
	var response *filter.Response
	if err == nil {
		response, err = c.serve(ctx, f, data, start)
	} else {
		err = outcome.NotRunError(outcome.KindInternal, time.Second, "failed to read the body of the forwarded request: %v", err)
	}
	trace.End(span, err)
	reply, out := forward.ToReply(f, response, err)
	if err != nil {
		fp := decidequarantine.FingerprintOf(f.Service, f.Method, f.Path, data)
		reply.GetForward().Suspicion = quarantine.Encode(c.guard.Notice(fp))
	}
	if out == nil {
		cancel()
		return reply, nil
	}
	return reply, &cancelBody{out, cancel}
}

func (c *callHandler) serve(ctx context.Context, f *peerpb.Forward, data []byte, start time.Time) (*filter.Response, error) {
	snap := c.control.Snapshot()
	if to := f.To; to.GetIncarnation() != 0 && (to.Id != snap.Self.ID || to.Incarnation != snap.Self.Incarnation) {
		return nil, outcome.UnknownError(outcome.KindHomeGone, "incarnation %d of instance %s, the home of the key, has ended", to.Incarnation, to.Id)
	}
	r, bad := forward.ToRequest(snap.Estate, f, data, start)
	if bad != nil {
		return nil, bad
	}
	c.guard.MergeNotices(quarantine.Decode(f.Suspicion))
	if r.Stage == filter.StageHome {
		return c.home.Serve(ctx, r)
	}
	return c.run.Serve(ctx, r)
}

// cancelBody is the body of a reply that cancels the call's context when it is
// closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
