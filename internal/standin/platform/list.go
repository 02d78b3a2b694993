package platform

import (
	"slices"
	"sync"
	"time"

	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

// instanceList is the list of instances as it was lag ago.
type instanceList struct {
	lag time.Duration
	now func() time.Time

	mu sync.Mutex
	// rows is what readers see; pending holds later changes by time.
	rows    *store.Store
	pending []listChange
	// frozen keeps the rows as they are.
	frozen bool
}

type listChange struct {
	at       time.Time
	instance api.Instance
	removed  bool
}

func newInstanceList(rows *store.Store, lag time.Duration, now func() time.Time) *instanceList {
	return &instanceList{rows: rows, lag: lag, now: now}
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

// refresh makes the changes visible whose time has come.
func (l *instanceList) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
}

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
			l.rows.Remove(api.TableInstances, c.instance.ID)
			continue
		}
		l.rows.Put(api.TableInstances, c.instance.ID, c.instance)
	}
	l.pending = slices.Delete(l.pending, 0, due)
}
