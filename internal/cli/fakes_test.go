package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// sessions holds the platform of each session by its *testscript.TestScript.
var sessions sync.Map

func startPlatform(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: platform")
	}
	s := platform.New(platform.Config{Addr: "127.0.0.1:0", Admin: "127.0.0.1:0"})
	ts.Check(s.Open())
	ts.Defer(s.Close)
	sessions.Store(ts, s)
	ts.Defer(func() { sessions.Delete(ts) })
	ts.Setenv("BANYAN_PLATFORM", s.URL())
	nameAddress(ts, s.URL(), "URL-of-platform")
}

func setFaults(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: faults JSON")
	}
	s, ok := sessions.Load(ts)
	if !ok {
		ts.Fatalf("start the platform first")
	}
	var f platform.Faults
	ts.Check(json.Unmarshal([]byte(args[0]), &f))
	ts.Check(s.(*platform.Server).SetFaults(f))
}

// fakeInstance is one instance of a session. Its status lists all instances.
type fakeInstance struct {
	Status operator.Status `json:"status"`
	// Versions are those that successive reads of the status see; the last one
	// stays. Empty means Status.Version.
	Versions []uint64     `json:"versions"`
	Spans    []trace.Span `json:"spans"`
	// Fault is "refuse" or "garbage" instead of answers.
	Fault string `json:"fault"`
	// Believed is the state that others hold it to be in, live by default.
	Believed string `json:"believed"`

	server *httptest.Server
	reads  atomic.Int64
}

func startInstances(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: instances FILE")
	}
	var fakes []*fakeInstance
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &fakes))
	var list []operator.InstanceStatus
	for i, f := range fakes {
		f.server = httptest.NewUnstartedServer(f)
		ts.Defer(f.server.Close)
		addr := f.server.Listener.Addr().String()
		ts.Setenv(strings.ToUpper(f.Status.Instance), addr)
		nameAddress(ts, addr, "operator-of-"+f.Status.Instance)
		if i == 0 {
			ts.Setenv("BANYAN_OPERATOR", addr)
		}
		if f.Believed == "" {
			f.Believed = "live"
		}
		list = append(list, operator.InstanceStatus{ID: f.Status.Instance, Zone: f.Status.Zone, State: f.Believed, Operator: addr})
	}
	for _, f := range fakes {
		f.Status.Instances = list
		f.server.Start()
		if f.Fault == "refuse" {
			f.server.Close()
		}
	}
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Fault == "garbage" {
		_, _ = w.Write([]byte("<html>"))
		return
	}
	switch id, one := strings.CutPrefix(r.URL.Path, "/v1/trace/"); {
	case r.URL.Path == "/v1/status":
		s := f.Status
		if n := len(f.Versions); n > 0 {
			s.Version = f.Versions[min(int(f.reads.Add(1)), n)-1]
		}
		_ = json.NewEncoder(w).Encode(s)
	case one:
		_ = json.NewEncoder(w).Encode(f.spans(func(s trace.Span) bool { return s.Trace == id }))
	case r.URL.Path == "/v1/trace":
		_ = json.NewEncoder(w).Encode(f.spans(func(s trace.Span) bool { return s.Parent == "" }))
	default:
		http.NotFound(w, r)
	}
}

func (f *fakeInstance) spans(wanted func(trace.Span) bool) []trace.Span {
	out := []trace.Span{}
	for _, s := range f.Spans {
		if wanted(s) {
			out = append(out, s)
		}
	}
	return out
}
