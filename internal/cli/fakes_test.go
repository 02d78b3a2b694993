package cli_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sys/unix"

	"github.com/banyandeal/banyandeal/internal/filter/accept"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/outcome"
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

// startLossy puts a front before the platform that passes calls on until a
// transaction is committed, loses its reply and is down from then on.
func startLossy(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: lossy")
	}
	target := ts.Getenv("BANYAN_PLATFORM")
	var down atomic.Bool
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		req, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), r.Body)
		if err != nil {
			panic(err)
		}
		req.Header = r.Header
		res, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = res.Body.Close() }()
		if r.Method == http.MethodPost && res.StatusCode == http.StatusOK {
			down.Store(true)
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(res.StatusCode)
		_, _ = io.Copy(w, res.Body)
	}))
	ts.Defer(front.Close)
	ts.Setenv("BANYAN_PLATFORM", front.URL)
	ts.Setenv("PLATFORM", target)
	nameAddress(ts, front.URL, "URL-of-lossy")
	nameAddress(ts, strings.TrimPrefix(front.URL, "http://"), "lossy")
}

// fakeInstance is one instance of a session. Its status lists all instances.
type fakeInstance struct {
	Status operator.Status `json:"status"`
	// Versions are those that successive reads of the status see; the last one
	// stays. Empty means Status.Version.
	Versions []uint64     `json:"versions"`
	Spans    []trace.Span `json:"spans"`
	// Lookup is the answer to look-ups of its service.
	Lookup json.RawMessage `json:"lookup"`
	// Fault is "refuse", "garbage" or "empty" instead of answers.
	Fault string `json:"fault"`
	// Believed is the state that others hold it to be in, live by default; it
	// is gone to one whose status was read more than GoneAfter times, if set.
	Believed  string `json:"believed"`
	GoneAfter int64  `json:"gone_after"`

	fleet  []*fakeInstance
	server *httptest.Server
	// address is where the instance is asked.
	address string
	reads   atomic.Int64
}

func startInstances(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: instances FILE")
	}
	var fakes []*fakeInstance
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &fakes))
	for i, f := range fakes {
		f.server = httptest.NewUnstartedServer(f)
		ts.Defer(f.server.Close)
		f.address = f.server.Listener.Addr().String()
		if f.Fault == "refuse" {
			f.address = refusingAddress(ts)
		}
		addr := f.address
		ts.Setenv(strings.ToUpper(f.Status.Instance), addr)
		nameAddress(ts, addr, "operator-of-"+f.Status.Instance)
		if i == 0 {
			ts.Setenv("BANYAN_OPERATOR", addr)
		}
		f.fleet = fakes
	}
	for _, f := range fakes {
		f.server.Start()
	}
}

// refusingAddress returns an address that refuses connections. Its port stays bound, so that
// no other process of a test run gets it and answers there.
func refusingAddress(ts *testscript.TestScript) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	ts.Check(err)
	ts.Defer(func() { _ = unix.Close(fd) })
	ts.Check(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	ts.Check(err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch f.Fault {
	case "garbage":
		_, _ = w.Write([]byte("<html>"))
		return
	case "empty":
		_, _ = w.Write([]byte("{}"))
		return
	}
	switch id, one := strings.CutPrefix(r.URL.Path, "/v1/trace/"); {
	case r.URL.Path == "/v1/status":
		s := f.status(f.reads.Add(1))
		switch r.FormValue("part") {
		case operator.PartSelf:
			s = s.WithoutLists()
		case operator.PartWork:
			s.Instances = nil
		}
		_ = json.NewEncoder(w).Encode(s)
	case one:
		_ = json.NewEncoder(w).Encode(f.spans(func(s trace.Span) bool { return s.Trace == id }))
	case r.URL.Path == "/v1/lookup":
		f.lookup(w, r.FormValue("service"))
	case r.URL.Path == "/v1/trace":
		_ = json.NewEncoder(w).Encode(f.spans(func(s trace.Span) bool { return s.Parent == "" }))
	default:
		http.NotFound(w, r)
	}
}

// status is what the read of the given number sees.
func (f *fakeInstance) status(read int64) operator.Status {
	s := f.Status
	if n := len(f.Versions); n > 0 {
		s.Version = f.Versions[min(int(read), n)-1]
	}
	for _, g := range f.fleet {
		in := operator.InstanceStatus{
			ID: g.Status.Instance, Zone: g.Status.Zone, State: cmp.Or(g.Believed, "live"), Operator: g.address,
		}
		if g.GoneAfter > 0 && read > g.GoneAfter {
			in.State = "gone"
		}
		s.Instances = append(s.Instances, in)
	}
	return s
}

func (f *fakeInstance) lookup(w http.ResponseWriter, service string) {
	switch {
	case f.Lookup == nil:
		accept.WriteError(w, outcome.NotRunError(outcome.KindNotReady, time.Second, "this instance has no configuration yet"))
	case service != "scoring":
		accept.WriteError(w, outcome.RejectedError(outcome.KindUnknownService, "ask for a declared service", "no service %q", service))
	default:
		_, _ = w.Write(f.Lookup)
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
