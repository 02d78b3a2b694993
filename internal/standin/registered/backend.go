// Package registered is a stand-in for backend servers that register themselves
// in the platform's store and speak the headers of its pages.
package registered

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/heldport"
	"github.com/banyandeal/banyandeal/internal/standin/invalid"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// Act is how a backend server treats one request.
type Act uint8

// Acts.
const (
	// Run runs the request and answers.
	Run Act = iota
	// Shed refuses it, not run.
	Shed
	// LoseAnswer runs it and closes the connection.
	LoseAnswer
	// Mute runs it and keeps the connection open without a response.
	Mute
	// CutAnswer runs it and breaks off in the body.
	CutAnswer
	// Fail runs it and answers 500.
	Fail
	// Unstamped runs it and answers without the stamp.
	Unstamped
	// Own503, Own429, Own408 and Own421 run it and answer with a status that would promise that
	// it has not run, without a statement of that. BareOwn503 and BareOwn429 do so without the
	// stamp.
	Own503
	Own429
	Own408
	Own421
	BareOwn503
	BareOwn429
	// ExtraFirst answers another request's id first.
	ExtraFirst
	// ExtraAfter sends a second answer behind the first.
	ExtraAfter
	// Crash ends the process when the request begins to run: all connections are
	// reset and new ones are refused for Start.Down. Then the backend server is back
	// under its name and address, with a new born.
	Crash
	// CrashSilently ends the process as Crash does, but its connections stay open and new
	// ones are taken, without a byte in response, until the backend server is back.
	CrashSilently
	// CrashFromQueue is Crash after the request has waited for Start.QueueWait, also if its
	// connection has been closed meanwhile.
	CrashFromQueue
	// EndAnswer answers without a length and ends the connection behind the body. ResetAnswer
	// does the same, but resets the connection amid the body.
	EndAnswer
	ResetAnswer
	// EndlessAnswer answers without a length, EndlessLength with a false one and EndlessChunks
	// in chunks; each sends bytes until the connection is closed.
	EndlessAnswer
	EndlessLength
	EndlessChunks
	// RawAnswer runs the request and sends what Start.Raw returns, which may be no valid response,
	// and keeps the connection.
	RawAnswer
)

// ownStatus maps acts to the statuses of their responses.
var ownStatus = map[Act]int{
	Own503: http.StatusServiceUnavailable, Own429: http.StatusTooManyRequests, Own408: http.StatusRequestTimeout,
	Own421: http.StatusMisdirectedRequest, BareOwn503: http.StatusServiceUnavailable, BareOwn429: http.StatusTooManyRequests,
}

// Arrival is one request that reached a backend server.
type Arrival struct {
	ID, Method, Target, Body, Deadline string
	// Account is the name of the client account that the request came with, and Authorization the
	// credentials, of which there should be none.
	Account, Authorization string
	// BodySize is the length of the body in bytes, also if Start.DropBodies leaves Body empty.
	BodySize int64
	// From is the address that it came from.
	From string
	// Born is the incarnation that it has reached.
	Born int64
	// Cold is set if the backend server was cold then.
	Cold bool
	// Ran is set unless the request was refused.
	Ran bool
	// RetryAfter is the rest that the response asks for, as text; empty if none. Leaving is
	// set if the response says that the backend server leaves. Answered is when a response
	// with either was sent.
	RetryAfter string
	Leaving    bool
	Answered   time.Time
	At         time.Time
	// Gone is closed when the connection ended while the request ran.
	Gone chan struct{}
}

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

// LimitPeriod is a time in which a backend server stated one request limit.
type LimitPeriod struct {
	PerSecond float64
	// To is zero while the period lasts.
	From, To time.Time
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

// SetAct sets how requests are treated.
func (b *Backend) SetAct(f func(a *Arrival) Act) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.act = f
}

// SetLimits sets the request limits that responses state from now on, normally one number.
// Without limits, responses state none.
func (b *Backend) SetLimits(limits ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLimits(limits)
}

// setLimits is SetLimits for a caller that holds b.mu.
func (b *Backend) setLimits(limits []string) {
	now := time.Now()
	if n := len(b.limitPeriods); n > 0 && b.limitPeriods[n-1].To.IsZero() {
		b.limitPeriods[n-1].To = now
	}
	b.limits = limits
	if len(limits) != 1 {
		return
	}
	if perSecond, err := strconv.ParseFloat(limits[0], 64); err == nil {
		b.limitPeriods = append(b.limitPeriods, LimitPeriod{PerSecond: perSecond, From: now})
	}
}

// LimitPeriods returns the times in which responses stated one valid request limit. A crash
// ends them.
func (b *Backend) LimitPeriods() []LimitPeriod {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.limitPeriods)
}

// SetRest turns away one request of so many from now on, with the given Retry-After; 0
// turns none away. A crash ends it.
func (b *Backend) SetRest(retryAfter string, every int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryAfter, b.restEvery = retryAfter, every
}

// SayLeaving makes all responses say that the backend server leaves, whatever its entry
// says. A crash ends it.
func (b *Backend) SayLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saysLeaving = true
}

// asksForRest reports whether the newest request is turned away for a rest. The caller
// holds b.mu.
func (b *Backend) asksForRest() bool { return b.restEvery > 0 && len(b.arrivals)%b.restEvery == 0 }

// forgetRequests forgets what responses ask of instances. The caller holds b.mu.
func (b *Backend) forgetRequests() {
	b.setLimits(nil)
	b.restEvery, b.saysLeaving = 0, false
}

// statedHeaders returns the header lines with which a response to a request states what
// the backend server asks of instances, and notes it with the arrival.
func (b *Backend) statedHeaders(a *Arrival, turnedAway bool) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := ""
	if turnedAway && b.restEvery > 0 {
		a.RetryAfter = b.retryAfter
		lines += "Retry-After: " + b.retryAfter + "\r\n"
	}
	if b.saysLeaving {
		a.Leaving = true
		lines += "Server-Leaving: 1\r\n"
	}
	a.Answered = time.Now()
	for _, limit := range b.limits {
		lines += "Server-Limit: " + limit + "\r\n"
	}
	return lines
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

func (b *Backend) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns++
		b.open = append(b.open, nc)
		b.mu.Unlock()
		go b.conn(nc)
	}
}

func (b *Backend) conn(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.open = slices.DeleteFunc(b.open, func(other net.Conn) bool { return other == nc })
	}()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if b.start.AnswersEarly && r.ContentLength > 0 {
			if !b.answerEarly(nc, br, r) {
				return
			}
			continue
		}
		body, err := b.readBody(r)
		if err != nil || !b.handle(nc, br, r, body) {
			return
		}
	}
}

// requestBody is the body of a request. text is empty if bodies are not kept.
type requestBody struct {
	text string
	size int64
}

// readBody reads the body of a request. Errors: those of the connection.
func (b *Backend) readBody(r *http.Request) (requestBody, error) {
	if b.start.DropBodies {
		size, err := io.Copy(io.Discard, r.Body)
		return requestBody{size: size}, err
	}
	body, err := io.ReadAll(r.Body)
	return requestBody{text: string(body), size: int64(len(body))}, err
}

// answerEarly answers a request before it reads its body, and reports whether the connection
// stays. The body of the arrival is what is read where the body is due.
func (b *Backend) answerEarly(nc net.Conn, br *bufio.Reader, r *http.Request) bool {
	if !b.handle(nc, br, r, requestBody{}) {
		return false
	}
	body, err := b.readBody(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.arrivals[len(b.arrivals)-1]
	a.Body, a.BodySize = body.text, body.size
	return err == nil
}

// handle treats one request and reports whether the connection stays.
func (b *Backend) handle(nc net.Conn, br *bufio.Reader, r *http.Request, body requestBody) bool {
	a := &Arrival{
		ID: r.Header.Get("X-Banyandeal-Request-Id"), Method: r.Method, Target: r.RequestURI, Body: body.text, BodySize: body.size,
		Account: strings.Join(r.Header["X-Banyandeal-Tenant"], ","), Authorization: strings.Join(r.Header["Authorization"], ","),
		Deadline: r.Header.Get("X-Banyandeal-Deadline-Ms"), From: nc.RemoteAddr().String(), At: time.Now(), Gone: make(chan struct{}),
	}
	if expected := r.Header.Get("X-Banyandeal-Expect-Instance"); expected != "" && expected != b.Name {
		b.mu.Lock()
		b.misdirected++
		b.mu.Unlock()
		fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Banyandeal-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.Name)
		return true
	}
	if b.awaitSilence() {
		return false
	}
	if a.ID == "" && a.Target == healthPath {
		if b.start.EndlessHealth {
			return answerWithoutEnd(nc, "HTTP/1.1 200 OK\r\n", EndlessAnswer)
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Banyandeal-Instance-Id: %s\r\nX-Banyandeal-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", b.Name, b.coldLeft().Milliseconds())
		return true
	}
	b.mu.Lock()
	a.Born, a.Cold = b.born, a.At.Before(b.coldUntil)
	act, work := b.act(a), b.work
	if b.start.Act != nil {
		if special := b.start.Act(a); special != Run {
			act = special
		}
	}
	b.arrivals = append(b.arrivals, a)
	if act == Run && b.asksForRest() {
		act = Shed
	}
	a.Ran = act != Shed
	b.running++
	running := b.running
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	if act == Shed {
		fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Banyandeal-Request-Id: %s\r\nX-Banyandeal-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n", a.ID, b.statedHeaders(a, true))
		return true
	}
	switch act {
	case CrashFromQueue:
		time.Sleep(b.start.QueueWait)
		b.Crash()
		return false
	case Crash:
		b.Crash()
		return false
	case CrashSilently:
		b.crashSilently()
	}
	if !b.finish(nc, br, work, a) || b.awaitSilence() {
		return false
	}
	return b.reply(nc, a, act, running)
}

// finish waits for the run's end and reports whether the caller is still there.
func (b *Backend) finish(nc net.Conn, br *bufio.Reader, work time.Duration, a *Arrival) bool {
	if work == 0 {
		return true
	}
	_ = nc.SetReadDeadline(time.Now().Add(work))
	_, err := br.Peek(1)
	_ = nc.SetReadDeadline(time.Time{})
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return true
	}
	if err != nil {
		close(a.Gone)
		return false
	}
	return true
}

func (b *Backend) reply(nc net.Conn, a *Arrival, act Act, running int) bool {
	text := "answer to " + a.ID
	if b.start.Body != nil {
		text = b.start.Body(a)
	}
	stated := b.statedHeaders(a, false)
	head := func(status int, id string) string {
		return fmt.Sprintf("HTTP/1.1 %d OK\r\nX-Banyandeal-Request-Id: %s\r\nX-Banyandeal-Server-Load: %d,0,3\r\n%s", status, id, running, stated)
	}
	stamp := "X-Banyandeal-Server-Stamp: " + b.Name + "." + a.ID + "\r\n"
	whole := func(status int, id, stamp, text string) {
		fmt.Fprintf(nc, "%s%sContent-Length: %d\r\n\r\n%s", head(status, id), stamp, len(text), text)
	}
	switch act {
	case LoseAnswer:
		return false
	case Mute:
		// Only a connection that the instance closes ends it.
		_, _ = io.Copy(io.Discard, nc)
		return false
	case CutAnswer:
		sent := text[:len(text)/2]
		if b.start.CutBody != nil {
			sent = b.start.CutBody(text)
		}
		fmt.Fprintf(nc, "%s%sContent-Length: %d\r\n\r\n%s", head(200, a.ID), stamp, len(text), sent)
		return false
	case EndAnswer:
		fmt.Fprintf(nc, "%s%sConnection: close\r\n\r\n%s", head(200, a.ID), stamp, text)
		return false
	case ResetAnswer:
		fmt.Fprintf(nc, "%s%sConnection: close\r\n\r\n%s", head(200, a.ID), stamp, text[:len(text)/2])
		// Without lingering, closing resets the connection.
		_ = nc.(lingerer).SetLinger(0)
		return false
	case RawAnswer:
		_, _ = io.WriteString(nc, b.rawAnswer(a, head(200, a.ID)+stamp))
	case EndlessAnswer, EndlessLength, EndlessChunks:
		return answerWithoutEnd(nc, head(200, a.ID)+stamp, act)
	case Fail:
		whole(500, a.ID, stamp, text)
	case Unstamped:
		whole(200, a.ID, "", text)
	case Own503, Own429, Own408, Own421:
		whole(ownStatus[act], a.ID, stamp, text)
	case BareOwn503, BareOwn429:
		whole(ownStatus[act], a.ID, "", text)
	case ExtraFirst:
		whole(200, "another", stamp, "answer to another")
		whole(200, a.ID, stamp, text)
	case ExtraAfter:
		whole(200, a.ID, stamp, text)
		whole(200, "another", stamp, "answer to another")
	default:
		whole(200, a.ID, stamp, text)
	}
	return true
}

// rawAnswer returns what the act RawAnswer sends. head is that of a valid response.
func (b *Backend) rawAnswer(a *Arrival, head string) string {
	if b.start.Raw != nil {
		return b.start.Raw(a)
	}
	const body = "inner"
	return invalid.Nth(len(b.Arrivals()), fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
}

// endlessInterval is the time between the parts of a body without end, of 16 KiB each.
const endlessInterval = 10 * time.Millisecond

// answerWithoutEnd sends a head and a body until the connection is closed.
func answerWithoutEnd(nc net.Conn, head string, act Act) (open bool) {
	piece := strings.Repeat("x", 16<<10)
	switch act {
	case EndlessLength:
		head += "Content-Length: 900000000000\r\n"
	case EndlessChunks:
		head += "Transfer-Encoding: chunked\r\n"
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := io.WriteString(nc, head+"\r\n")
	for err == nil {
		_, err = io.WriteString(nc, piece)
		time.Sleep(endlessInterval)
	}
	return false
}
