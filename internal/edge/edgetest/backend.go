package edgetest

import "github.com/banyandeal/banyandeal/internal/standin/registered"

// The stand-in for backend servers, under the names that the tests use.
type (
	Act     = registered.Act
	Arrival = registered.Arrival
	Backend = registered.Backend
	Start   = registered.Start
)

// Acts of a backend server.
const (
	Run        = registered.Run
	Shed       = registered.Shed
	LoseAnswer = registered.LoseAnswer
	CutAnswer  = registered.CutAnswer
	Fail       = registered.Fail
	Unstamped  = registered.Unstamped
	ExtraFirst = registered.ExtraFirst
	ExtraAfter = registered.ExtraAfter
)
