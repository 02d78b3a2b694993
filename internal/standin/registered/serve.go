package registered

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/invalid"
)

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
