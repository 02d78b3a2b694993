// Package registered is a stand-in for backend servers that register themselves
// in the platform's store and speak the headers of its pages.
package registered

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/heldport"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// Backend is a stand-in for a backend server.
type Backend struct {
	Name, Zone, Service string
	advertise           string
	store               *store.Store
	seq                 atomic.Int64
	start               Start

	// port is held from the start to Stop, so that nobody else gets it while the backend
	// server is down; nil if it listens by Start.Listen.
	port *heldport.Port

	mu       sync.Mutex
	listener net.Listener
	born     int64
	// coldUntil is the end of the time in which it is cold after a start.
	coldUntil time.Time
	// open holds the connections that are open, the oldest first.
	open    []net.Conn
	stopped bool
	// leaving is set once it has reported that it drains, or has left. It does not come
	// back after a crash then.
	leaving bool
	crashed bool
	crashes []time.Time
	// silenced is closed when a silent crash is over; nil if there is none.
	silenced chan struct{}
	arrivals []*Arrival
	// misdirected counts the requests for other backend servers.
	misdirected int
	act         func(a *Arrival) Act
	work        time.Duration
	running     int
	conns       int
	// limits holds the request limits that its responses state, normally at most one, and
	// limitPeriods when they did so.
	limits       []string
	limitPeriods []LimitPeriod
	// retryAfter is the rest that is asked for by turning away one request of restEvery;
	// 0 turns none away. saysLeaving is set if all responses say that it leaves.
	retryAfter  string
	restEvery   int
	saysLeaving bool
}

// Start is how a backend server begins.
type Start struct {
	Name, Zone, Service string
	Slots               int
	ColdLeft            float64
	Work                time.Duration
	// Address is taken if set; Advertise is written to the entry instead of it.
	Address, Advertise string
	// Listen, if set, opens the listener at Address; the port is not held then.
	Listen func(network, address string) (net.Listener, error)
	// Down is how long the backend server is away after a Crash. OnCrash is called
	// when it ends, and OnRestart before it reports that it is back; while OnRestart
	// fails it stays away. Both may be nil.
	Down time.Duration
	// ColdTime is how long it is cold after each start but the first.
	ColdTime time.Duration
	// Body, if set, returns the body of the response to a request; the default names its id.
	Body func(a *Arrival) string
	// CutBody, if set, returns what CutAnswer sends of a body before it breaks off; the default
	// is the first half.
	CutBody func(body string) string
	// Raw returns what the act RawAnswer sends; the default are invalid responses in turn, of which
	// some have a whole response as their body.
	Raw func(a *Arrival) string
	// AnswersEarly is set if requests with a body are answered before the body is read.
	AnswersEarly bool
	// DropBodies is set if the bodies of requests are read without being kept.
	DropBodies bool
	// EndlessHealth is set if health checks are answered without end.
	EndlessHealth bool
	// QueueWait is how long a request waits before the act CrashFromQueue.
	QueueWait time.Duration
	OnCrash   func()
	OnRestart func() error
	// Act, if set, decides how requests are treated instead of SetAct, unless it returns
	// Run.
	Act func(a *Arrival) Act
}

// lingerer is a connection that closing can reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// healthPath is the path of the health check, which is not recorded.
const healthPath = "/health"

// StartBackend starts a backend server and registers it.
func StartBackend(s *store.Store, start Start) *Backend {
	b := &Backend{
		Name: start.Name, Zone: start.Zone, Service: start.Service, advertise: start.Advertise, store: s, born: time.Now().UnixMilli(),
		act: func(*Arrival) Act { return Run }, work: start.Work, start: start,
	}
	if start.Listen == nil {
		port, err := heldport.Hold(cmp.Or(start.Address, "127.0.0.1:0"))
		if err != nil {
			panic(err)
		}
		b.port, b.start.Listen, b.start.Address = port, net.Listen, port.Address()
	}
	l, err := b.start.Listen("tcp", b.start.Address)
	if err != nil {
		panic(err)
	}
	b.listener = l
	b.Report("ready", start.ColdLeft)
	go b.serve(l)
	return b
}

// Address returns host:port.
func (b *Backend) Address() string {
	return b.start.Address
}

// Report writes the entry of the backend server.
func (b *Backend) Report(state string, coldLeft float64) {
	b.mu.Lock()
	b.leaving = b.leaving || state == "draining"
	born := b.born
	b.mu.Unlock()
	b.store.Put("servers", b.Name, map[string]any{
		"address": cmp.Or(b.advertise, b.start.Address), "born": born,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": b.Zone, "slots": 3},
		"status": map[string]any{"state": state, "seq": b.seq.Add(1), "cold_left_s": coldLeft},
	})
}

// Leave removes the entry.
func (b *Backend) Leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.store.Remove("servers", b.Name)
}

// Stop closes the listener for good.
func (b *Backend) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.stopped = true
	_ = b.listener.Close()
	if b.port != nil {
		b.port.Release()
	}
}

// Crash ends the process as the act Crash does. It does nothing while the backend
// server is down.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed {
		return
	}
	b.crashed = true
	b.crashes = append(b.crashes, time.Now())
	b.forgetRequests()
	_ = b.listener.Close()
	if b.start.OnCrash != nil {
		b.start.OnCrash()
	}
	b.resetConns()
	time.AfterFunc(b.start.Down, b.restart)
}

// resetConns resets the open connections, the oldest first. The caller must hold b.mu.
func (b *Backend) resetConns() {
	for _, nc := range b.open {
		// Without lingering, closing resets the connection.
		_ = nc.(lingerer).SetLinger(0)
		_ = nc.Close()
	}
}

// crashSilently ends the process as the act CrashSilently does.
func (b *Backend) crashSilently() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silenced != nil {
		return
	}
	b.silenced = make(chan struct{})
	b.crashes = append(b.crashes, time.Now())
	b.forgetRequests()
	time.AfterFunc(b.start.Down, b.endSilence)
}

// endSilence resets the connections of a silent crash and reports a new incarnation.
func (b *Backend) endSilence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.silenced)
	b.silenced = nil
	b.resetConns()
	if b.stopped || b.leaving {
		return
	}
	b.born = time.Now().UnixMilli()
	b.seq.Store(0)
	go b.Report("ready", 0)
}

// awaitSilence returns true after a silent crash during which the request arrived, which then
// gets no response.
func (b *Backend) awaitSilence() bool {
	b.mu.Lock()
	silenced := b.silenced
	b.mu.Unlock()
	if silenced == nil {
		return false
	}
	<-silenced
	return true
}

// restartRetry is the time between attempts to listen again after a crash.
const restartRetry = 20 * time.Millisecond

// restart listens again after a crash and reports a new incarnation.
func (b *Backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || b.leaving {
		return
	}
	l, err := b.listenAgain()
	if err != nil {
		time.AfterFunc(restartRetry, b.restart)
		return
	}
	b.listener, b.born, b.crashed = l, time.Now().UnixMilli(), false
	b.coldUntil = time.Now().Add(b.start.ColdTime)
	b.seq.Store(0)
	go b.Report("ready", b.start.ColdTime.Seconds())
	go b.serve(l)
}

// BecomeCold lets the backend server be cold for a time without starting again.
func (b *Backend) BecomeCold(d time.Duration) {
	b.mu.Lock()
	b.coldUntil = time.Now().Add(d)
	b.mu.Unlock()
	go b.Report("ready", d.Seconds())
}

// coldLeft returns how long the backend server stays cold.
func (b *Backend) coldLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, time.Until(b.coldUntil))
}

// listenAgain opens the listener and calls OnRestart.
func (b *Backend) listenAgain() (net.Listener, error) {
	l, err := b.start.Listen("tcp", b.start.Address)
	if err != nil || b.start.OnRestart == nil {
		return l, err
	}
	if err := b.start.OnRestart(); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// SetWork sets how long a run takes.
func (b *Backend) SetWork(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = d
}

// Arrivals returns what has arrived.
func (b *Backend) Arrivals() []*Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Arrival(nil), b.arrivals...)
}

// Runs returns how many requests ran.
func (b *Backend) Runs() int {
	n := 0
	for _, a := range b.Arrivals() {
		if a.Ran {
			n++
		}
	}
	return n
}

// Misdirected returns how many requests for other backend servers have arrived.
func (b *Backend) Misdirected() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misdirected
}

// Crashes returns when the backend server crashed, in order.
func (b *Backend) Crashes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.crashes)
}

// Conns returns how many connections were opened.
func (b *Backend) Conns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}
