//go:build !race

// The race detector takes several times the memory of a process.

package edgetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/standin/registered"
)

// maxResident is the share of the memory of a process that bodies and all else may take.
const maxResident = 0.9

// memoryWatch reads the resident memory of a process.
type memoryWatch struct {
	peak    atomic.Int64
	stopped chan struct{}
	done    sync.WaitGroup
}

// watchMemory begins to read the resident memory of a process without files and program text, as
// the platform does.
func watchMemory(pid int) *memoryWatch {
	w := &memoryWatch{stopped: make(chan struct{})}
	w.done.Go(func() {
		for {
			w.peak.Store(max(w.peak.Load(), residentAnonymous(pid)))
			select {
			case <-w.stopped:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return w
}

// stop returns the largest size that was read, in bytes.
func (w *memoryWatch) stop() int64 {
	close(w.stopped)
	w.done.Wait()
	return w.peak.Load()
}

// residentAnonymous returns RssAnon of a process in bytes, 0 if it has ended.
func residentAnonymous(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// repeatedly lets many callers call do, one call after the other, for so long.
func repeatedly(callers int, d time.Duration, do func()) {
	until := time.Now().Add(d)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for time.Now().Before(until) {
				do()
			}
		})
	}
	all.Wait()
}

// startLimited starts a process with a limit on its memory and waits until it is ready.
func (e *Environment) startLimited(t *testing.T) *process {
	p := e.startProcess(t, "front-a1-1", "a1")
	require.Eventually(t, p.Ready, 10*time.Second, 20*time.Millisecond)
	return p
}

// TestMemoryBesideEndlessResponses guards against an instance that exceeds its memory, and loses
// the requests of all callers, because faulty backend servers send bodies without end to many
// callers at a time; and against responses of other backend servers that get no room.
func TestMemoryBesideEndlessResponses(t *testing.T) {
	for name, act := range map[string]registered.Act{
		"no length": registered.EndlessAnswer, "false length": registered.EndlessLength, "chunks": registered.EndlessChunks,
	} {
		t.Run(name, func(t *testing.T) {
			e := New(t)
			e.Configure(Route{Prefix: "/bad/", Kind: "safe", Service: "bad"}, Route{Prefix: "/good/", Kind: "safe", Service: "good"})
			for n := range 9 {
				e.Backend(Start{Name: fmt.Sprint("bad-", n), Zone: "a1", Service: "bad", Slots: 40, EndlessHealth: true}).SetAct(func(*Arrival) registered.Act { return act })
			}
			body := strings.Repeat("y", 200_000)
			for n := range 3 {
				e.Backend(Start{Name: fmt.Sprint("good-", n), Zone: "a1", Service: "good", Body: func(*Arrival) string { return body }})
			}
			p := e.startLimited(t)
			for _, callers := range []int{10, 100, 300} {
				watch := watchMemory(p.cmd.Process.Pid)
				var sent, served atomic.Int64
				var bad sync.WaitGroup
				bad.Go(func() {
					repeatedly(callers, 2*time.Second, func() { e.Do(&p.Instance, CallerRequest{Path: "/bad/x", DeadlineMs: 3000}) })
				})
				repeatedly(4, 2*time.Second, func() {
					sent.Add(1)
					if r := e.Do(&p.Instance, CallerRequest{Path: "/good/x", DeadlineMs: 3000}); r.Status == http.StatusOK && r.Body == body {
						served.Add(1)
					}
				})
				bad.Wait()
				peak := watch.stop()
				t.Logf("%d callers: %d MiB, %d of %d others served", callers, peak>>20, served.Load(), sent.Load())
				require.Less(t, float64(peak), maxResident*processMemory, "%d callers", callers)
				require.GreaterOrEqual(t, float64(served.Load()), 0.98*float64(sent.Load()), "%d callers", callers)
			}
		})
	}
}

// TestMemoryBesideSlowCallers guards against an instance that exceeds its memory because callers
// that read slowly let it hold large responses, which nothing counts once they are read.
func TestMemoryBesideSlowCallers(t *testing.T) {
	const callers, size = 60, 8 << 20
	e := New(t)
	e.Configure(Route{Prefix: "/large/", Kind: "safe", Service: "large"}, Route{Prefix: "/get/", Kind: "safe", Service: "s"})
	body := strings.Repeat("y", size)
	for n := range 6 {
		e.Backend(Start{Name: fmt.Sprint("large-", n), Zone: "a1", Service: "large", Slots: 20, Body: func(*Arrival) string { return body }})
		e.Backend(Start{Name: fmt.Sprint("i-", n), Zone: "a1", Service: "s", Slots: 20})
	}
	p := e.startLimited(t)
	watch := watchMemory(p.cmd.Process.Pid)
	for range callers {
		nc, err := net.Dial("tcp", p.Settings.Listen.Callers)
		require.NoError(t, err)
		defer nc.Close()
		_, err = io.WriteString(nc, CallerRequest{Path: "/large/x", DeadlineMs: 3000}.Encode(e.NewID()))
		require.NoError(t, err)
	}
	var sent, served atomic.Int64
	repeatedly(12, 4*time.Second, func() {
		sent.Add(1)
		if e.Do(&p.Instance, CallerRequest{Path: "/get/x", DeadlineMs: 3000}).Status == http.StatusOK {
			served.Add(1)
		}
	})
	peak := watch.stop()
	t.Logf("%d MiB, %d of %d others served", peak>>20, served.Load(), sent.Load())
	require.Less(t, float64(peak), maxResident*processMemory)
	require.GreaterOrEqual(t, float64(served.Load()), 0.98*float64(sent.Load()))
}

// TestMemoryBesideLargeUploads guards against an instance that exceeds its memory, and loses the
// requests of all callers, because of bodies that the limits allow.
func TestMemoryBesideLargeUploads(t *testing.T) {
	const largest = 64 << 20
	e := New(t)
	e.MaxBodyBytes = largest
	e.Configure(Route{Prefix: "/up/", Kind: "unsafe", Service: "s", TimeoutS: 20}, Route{Prefix: "/get/", Kind: "safe", Service: "s"})
	var backends []*Backend
	for n := range 4 {
		backends = append(backends, e.Backend(Start{Name: fmt.Sprint("i-", n), Zone: "a1", Service: "s", Slots: 20, Work: 20 * time.Millisecond, DropBodies: true}))
	}
	p := e.startLimited(t)
	for _, c := range []struct {
		callers, size int
		chunked       bool
	}{{1, largest, false}, {2, largest, false}, {64, largest, false}, {16, 16 << 20, false}, {16, 16 << 20, true}, {2, largest, true}, {64, 1 << 20, false}, {64, 24_000, true}} {
		watch := watchMemory(p.cmd.Process.Pid)
		var whole, refused, other, sent, served atomic.Int64
		var uploads sync.WaitGroup
		uploads.Go(func() {
			repeatedly(c.callers, 3*time.Second, func() {
				switch status := upload(p, e.NewID(), c.size, c.chunked); status {
				case http.StatusOK:
					whole.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
					time.Sleep(100 * time.Millisecond)
				default:
					other.Add(1)
				}
			})
		})
		repeatedly(12, 3*time.Second, func() {
			sent.Add(1)
			if e.Do(&p.Instance, CallerRequest{Path: "/get/x", DeadlineMs: 3000}).Status == http.StatusOK {
				served.Add(1)
			}
		})
		uploads.Wait()
		peak := watch.stop()
		t.Logf("%d callers, %d bytes: %d MiB; uploads %d whole, %d refused, %d otherwise; %d of %d others served",
			c.callers, c.size, peak>>20, whole.Load(), refused.Load(), other.Load(), served.Load(), sent.Load())
		require.Less(t, float64(peak), maxResident*processMemory)
		require.Positive(t, whole.Load())
		require.GreaterOrEqual(t, float64(served.Load()), 0.98*float64(sent.Load()))
		if c.size <= 24_000 {
			require.Zero(t, refused.Load()+other.Load())
		}
		require.GreaterOrEqual(t, wholeUploads(backends, int64(c.size)), whole.Load())
	}
}

// wholeUploads returns how many bodies of a size the backend servers have received.
func wholeUploads(backends []*Backend, size int64) int64 {
	n := int64(0)
	for _, b := range backends {
		for _, a := range b.Arrivals() {
			if a.BodySize == size {
				n++
			}
		}
	}
	return n
}

// upload sends a body and returns the status of the response, 0 if there is none.
func upload(p *process, id string, size int, chunked bool) int {
	nc, err := net.Dial("tcp", p.Settings.Listen.Callers)
	if err != nil {
		return 0
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	pr, pw := io.Pipe()
	go func() {
		_, err := io.CopyN(pw, zeros{}, int64(size))
		_ = pw.CloseWithError(err)
	}()
	r, err := http.NewRequest(http.MethodPost, "http://"+Host+"/up/x", pr)
	if err != nil {
		return 0
	}
	if !chunked {
		r.ContentLength = int64(size)
	}
	r.Header.Set("X-Banyandeal-Request-Id", id)
	r.Header.Set("X-Banyandeal-Deadline-Ms", "15000")
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		// A refusal may come before the body has been sent.
		_ = r.Write(nc)
	}()
	defer func() { <-sent }()
	defer nc.Close()
	defer pr.Close()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// zeros is a source of zeros.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
