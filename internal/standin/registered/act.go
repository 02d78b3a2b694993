package registered

import (
	"net/http"
	"time"
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
