package backend

import (
	"context"
	"sync"
)

// Lies of the health endpoint. The zero value tells the truth.
const (
	HealthOK   = "ok"
	HealthFail = "fail"
)

// Faults is the body of POST /admin/faults; it replaces the faults in force.
// The zero value is a healthy backend server.
type Faults struct {
	// Silent makes the connections open at this moment silent for good: they
	// carry nothing more and never close. New ones work.
	Silent bool `json:"silent,omitempty"`
	// Refuse refuses connections and cuts the open ones.
	Refuse bool `json:"refuse,omitempty"`
	// DropBefore takes the next so many requests and closes their connections
	// without running them; DropAfter runs them first.
	DropBefore int `json:"drop_before,omitempty"`
	DropAfter  int `json:"drop_after,omitempty"`
	// Cut closes the connection in the middle of the next so many answers.
	Cut int `json:"cut,omitempty"`
	// Late delays the next so many answers, which are ready, by LateMS
	// milliseconds.
	Late   int `json:"late,omitempty"`
	LateMS int `json:"late_ms,omitempty"`
	// LagMS is how old the answers of /healthz and /load are; Hang keeps them
	// from being answered at all.
	LagMS int  `json:"lag_ms,omitempty"`
	Hang  bool `json:"hang,omitempty"`
	// Health and Load, when set, are answered in place of the truth.
	Health string `json:"health,omitempty"`
	Load   *Load  `json:"load,omitempty"`
	// Shed sheds every request.
	Shed bool `json:"shed,omitempty"`
	// Hold keeps the requests that have a slot from ending until it is unset or
	// their deadline has passed.
	Hold bool `json:"hold,omitempty"`
	// CrashPath crashes the backend server on requests whose URL contains it.
	CrashPath string `json:"crash_path,omitempty"`
}

// faultState holds the faults in force and counts down those bounded by a
// number of requests.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	// released is closed when Hold is unset; nil while it is not set.
	released chan struct{}
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case faults.Hold && f.released == nil:
		f.released = make(chan struct{})
	case !faults.Hold && f.released != nil:
		close(f.released)
		f.released = nil
	}
	f.faults = faults
}

// held waits while Hold is set and reports whether the client stayed.
func (f *faultState) held(ctx context.Context) bool {
	f.mu.Lock()
	released := f.released
	f.mu.Unlock()
	if released == nil {
		return true
	}
	select {
	case <-released:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// take uses up one of the counted fault that field points at.
func (f *faultState) take(field func(*Faults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := field(&f.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func dropBefore(f *Faults) *int { return &f.DropBefore }
func dropAfter(f *Faults) *int  { return &f.DropAfter }
func cut(f *Faults) *int        { return &f.Cut }
func late(f *Faults) *int       { return &f.Late }
