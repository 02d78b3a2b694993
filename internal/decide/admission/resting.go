package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/rest"
)

// RestingBackend is the backend server whose rest ends first, of those that could get a
// request otherwise.
type RestingBackend struct {
	ID string
	// Left is what is left of its rest. Leaving is set if all others leave and it does too.
	Left    time.Duration
	Leaving bool
}

// restingBackend returns the rest that ends first for a request, one that leaves if there is
// no rest, or nil.
func (m *Machine) restingBackend(req *RequestState, now time.Time) *RestingBackend {
	var first *RestingBackend
	for _, b := range req.query.Backends {
		state := m.rests.State(identityOf(b), now)
		if state.Available() || state.Replaced || req.query.Tried[b.ID] {
			continue
		}
		if first == nil || first.Leaving && !state.Leaving || first.Leaving == state.Leaving && state.Left < first.Left {
			first = &RestingBackend{ID: b.ID, Left: state.Left, Leaving: state.Leaving}
		}
	}
	return first
}

// Rests returns which backend servers have asked this instance for rest or leave.
func (m *Machine) Rests() *rest.Table { return m.rests }
