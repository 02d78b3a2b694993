package platform

import (
	"slices"
	"sync"
	"time"

	api "github.com/banyandeal/banyandeal/internal/platform"
)

// instanceList is the list of instances as it was lag ago.
type instanceList struct {
	lag time.Duration
	now func() time.Time

	mu sync.Mutex
	// visible is what readers see; pending holds later changes by time.
	visible map[string]api.Instance
	pending []listChange
	// frozen keeps visible as it is.
	frozen bool
}

type listChange struct {
	at       time.Time
	instance api.Instance
	removed  bool
}

func newInstanceList(lag time.Duration, now func() time.Time) *instanceList {
	return &instanceList{lag: lag, now: now, visible: map[string]api.Instance{}}
}

func (l *instanceList) put(in api.Instance) { l.change(listChange{instance: in}) }

func (l *instanceList) remove(id string) {
	l.change(listChange{instance: api.Instance{ID: id}, removed: true})
}

func (l *instanceList) change(c listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.now().Add(l.lag)
	l.pending = append(l.pending, c)
}

func (l *instanceList) freeze(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.frozen = on
}

func (l *instanceList) list() []api.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	out := make([]api.Instance, 0, len(l.visible))
	for _, in := range l.visible {
		out = append(out, in)
	}
	sortInstances(out)
	return out
}

// settle makes the changes visible whose time has come.
func (l *instanceList) settle() {
	if l.frozen {
		return
	}
	now := l.now()
	due := 0
	for _, c := range l.pending {
		if c.at.After(now) {
			break
		}
		due++
		if c.removed {
			delete(l.visible, c.instance.ID)
			continue
		}
		l.visible[c.instance.ID] = c.instance
	}
	l.pending = slices.Delete(l.pending, 0, due)
}
