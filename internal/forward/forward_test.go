package forward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/forward"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/trace"
)

var scoring = &estate.Service{Name: "scoring"}

// receiver answers every request it gets with reply and body.
type receiver struct {
	reply *peerpb.ForwardReply
	body  io.Reader
}

func (r receiver) ServeCall(_ context.Context, call *peerpb.Call, _ io.Reader) (*peerpb.Reply, io.ReadCloser) {
	if r.reply.RequestId == "" {
		r.reply.RequestId = call.GetForward().RequestId
	}
	return &peerpb.Reply{Reply: &peerpb.Reply_Forward{Forward: r.reply}}, io.NopCloser(r.body)
}

func send(t *testing.T, r receiver, deadline time.Duration) (*filter.Response, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv, client := peer.NewServer(r), peer.NewClient(nil)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { client.Close(); l.Close(); srv.Close() })
	s := &forward.Sender{
		Client: client, Recorder: trace.NewRecorder("a", 16, nil), Region: func() string { return "r" },
		Guard: quarantine.NewGuard("a", nil, func([]decide.Notice) {}), Unreachable: func(string) {},
	}
	return s.Send(t.Context(), forward.Target{Address: l.Addr().String(), ID: "b"}, &filter.Request{
		ID: "mine", Service: scoring, Method: "GET", Path: "/", Header: http.Header{}, Deadline: time.Now().Add(deadline),
	}, filter.StageOwner)
}

// cut ends with an error and so without an end frame.
func cut(text string) io.Reader {
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, text)
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return r
}

func TestAnswersThatAreNotTheWholeOwnOne(t *testing.T) {
	text := "an answer"
	whole := int64(len(text))
	cases := map[string]struct {
		receiver
		kind outcome.Kind
	}{
		"another request": {receiver{&peerpb.ForwardReply{RequestId: "other", BodyLength: whole}, strings.NewReader(text)}, outcome.KindInternal},
		"cut":             {receiver{&peerpb.ForwardReply{BodyLength: whole}, cut(text)}, outcome.KindTruncatedResponse},
		"short":           {receiver{&peerpb.ForwardReply{BodyLength: whole + 1}, strings.NewReader(text)}, outcome.KindTruncatedResponse},
		"long":            {receiver{&peerpb.ForwardReply{BodyLength: whole - 1}, strings.NewReader(text)}, outcome.KindTruncatedResponse},
	}
	for name, c := range cases {
		_, err := send(t, c.receiver, time.Minute)
		e := outcome.AsError(err)
		require.Equal(t, outcome.Unknown, e.Outcome, name)
		require.Equal(t, c.kind, e.Kind, name)
	}
	a, err := send(t, receiver{&peerpb.ForwardReply{Streamed: true, BodyLength: -1}, cut(text)}, time.Minute)
	require.NoError(t, err)
	defer a.Close()
	got, err := io.ReadAll(a.Stream)
	require.Equal(t, text, string(got))
	require.Error(t, err)
}

func TestNothingIsSentPastTheDeadline(t *testing.T) {
	for _, left := range []time.Duration{0, -time.Second} {
		_, err := send(t, receiver{}, left)
		var failed *forward.Failed
		require.True(t, errors.As(err, &failed))
		require.False(t, failed.Sent)
		require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	}
}

func TestFailuresKeepTheirOutcome(t *testing.T) {
	dropped := &outcome.Error{Outcome: outcome.Done, Kind: outcome.KindResponseDropped, Message: "m", Remedy: "r"}
	require.Equal(t, dropped, forward.FromFailure(forward.ToFailure(dropped)))
	full := outcome.NotRunError(outcome.KindNoCapacity, time.Second, "full")
	require.Equal(t, full, forward.FromFailure(forward.ToFailure(full)))
	for _, o := range []int32{-1, 0, 1, 3, 9} {
		got := forward.FromFailure(&peerpb.Failure{Outcome: o, Kind: string(outcome.KindBackendLost)})
		require.Equal(t, outcome.Unknown, got.Outcome, "an error is not run only by the word of who knows")
	}
}

// TestRefusalAtTheHomeIsUnknown: a home that turns a request away before its key
// was looked up cannot say that no other attempt has run.
func TestRefusalAtTheHomeIsUnknown(t *testing.T) {
	e := &estate.Estate{Services: []estate.Service{*scoring}}
	cases := map[string]struct {
		e *estate.Estate
		f *peerpb.Forward
	}{
		"no configuration": {nil, &peerpb.Forward{Service: "scoring"}},
		"unknown service":  {e, &peerpb.Forward{Service: "new"}},
		"cut body":         {e, &peerpb.Forward{Service: "scoring", BodyLength: 1}},
	}
	for name, c := range cases {
		for stage, want := range map[filter.Stage]outcome.Outcome{filter.StageHome: outcome.Unknown, filter.StageOwner: outcome.NotRun} {
			c.f.Stage = int32(stage)
			_, err := forward.ToRequest(c.e, c.f, nil, time.Now())
			require.NotNil(t, err, name)
			require.Equal(t, want, err.Outcome, name)
			require.Positive(t, err.RetryAfter, name)
		}
	}
	for stage := filter.StageEntry - 1; stage <= filter.StageOwner+1; stage++ {
		_, err := forward.ToRequest(e, &peerpb.Forward{Service: "scoring", Stage: int32(stage), DeadlineMs: -5}, nil, time.Now())
		require.Equal(t, stage > filter.StageEntry && stage <= filter.StageOwner, err == nil, "stage %d", stage)
	}
}
