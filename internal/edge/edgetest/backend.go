package edgetest

import "github.com/banyandeal/banyandeal/internal/standin/registered"

// The types of the stand-in backend server, under the names that the tests use.
type (
	// Act is how a backend server handles a request.
	Act = registered.Act
	// Arrival is a request that has reached a backend server.
	Arrival = registered.Arrival
	// Backend is a stand-in for a backend server.
	Backend = registered.Backend
	// Start configures a Backend.
	Start = registered.Start
)

// Behaviours of a backend server.
const (
	// Run runs the request and responds.
	Run = registered.Run
	// Shed rejects the request without running it.
	Shed = registered.Shed
	// LoseAnswer runs the request and closes the connection without a response.
	LoseAnswer = registered.LoseAnswer
	// Mute runs the request and keeps the connection open without a response.
	Mute = registered.Mute
	// CutAnswer runs the request and closes the connection within the
	// response body.
	CutAnswer = registered.CutAnswer
	// Fail runs the request and responds with status 500.
	Fail = registered.Fail
	// Unstamped runs the request and responds without the server stamp.
	Unstamped = registered.Unstamped
	// Own503, Own429, Own408 and Own421 run the request and respond with that status, which
	// callers take for a promise that it has not run. BareOwn503 and BareOwn429 do so without the
	// stamp.
	Own503     = registered.Own503
	Own429     = registered.Own429
	Own408     = registered.Own408
	Own421     = registered.Own421
	BareOwn503 = registered.BareOwn503
	BareOwn429 = registered.BareOwn429
	// ExtraFirst sends a response to another request before the response.
	ExtraFirst = registered.ExtraFirst
	// ExtraAfter sends a second response after the response.
	ExtraAfter = registered.ExtraAfter
	// Crash resets all connections when the request begins to run and refuses new
	// ones for a while.
	Crash = registered.Crash
	// CrashSilently leaves all connections open without a response for a while.
	CrashSilently = registered.CrashSilently
	// CrashFromQueue is Crash after a wait, also if the connection was closed meanwhile.
	CrashFromQueue = registered.CrashFromQueue
	// EndAnswer answers without a length and ends the connection behind the body.
	EndAnswer = registered.EndAnswer
	// ResetAnswer answers without a length and resets the connection amid the body.
	ResetAnswer = registered.ResetAnswer
)
