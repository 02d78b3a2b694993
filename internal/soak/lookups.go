package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// contact is the time for which an instance must be undisturbed to be in touch.
	contact = 4 * time.Second
	// maxGoneDelay is how long look-ups may name an instance that is gone.
	maxGoneDelay = contact + 3*time.Second
	// watchers is the number of concurrent look-ups, watchInterval the mean time between
	// two of one watcher.
	watchers      = 4
	watchInterval = 100 * time.Millisecond
)

// span is a time in which an instance was gone; to is zero while it lasts.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// recordExit records that the process has ended, and closes its address to the others.
func (i *instance) recordExit() {
	i.recordGone()
	i.peerProxy.Stop()
}

// recordReturn records that the instance is started, and opens its address to the others.
func (i *instance) recordReturn() error {
	i.mu.Lock()
	n := len(i.gone)
	back := n > 0 && i.gone[n-1].to.IsZero()
	if back {
		i.gone[n-1].to = time.Now()
	}
	i.mu.Unlock()
	if !back {
		return nil
	}
	return errors.Trace(i.peerProxy.Start())
}

// recordGone records that the instance is killed, has ended or has no power.
func (i *instance) recordGone() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := len(i.gone); n == 0 || !i.gone[n-1].to.IsZero() {
		i.gone = append(i.gone, span{from: time.Now()})
	}
}

// recordInterruption records that the instance is disturbed now.
func (i *instance) recordInterruption() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.interruptions = append(i.interruptions, time.Now())
}

// goneAt reports whether the instance is gone at a time.
func (i *instance) goneAt(at time.Time) bool {
	_, gone := i.goneSpan(at)
	return gone
}

func (i *instance) goneSpan(at time.Time) (span, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := slices.IndexFunc(i.gone, func(s span) bool { return s.contains(at) })
	if n < 0 {
		return span{}, false
	}
	return i.gone[n], true
}

// lookup is a response of the directory of an instance.
type lookup struct {
	instance  *instance
	sent, end time.Time
	addresses []string
}

// lookupWatch looks addresses up at all instances.
type lookupWatch struct {
	mu      sync.Mutex
	lookups []lookup
}

// run looks addresses up until ctx is done.
func (w *lookupWatch) run(ctx context.Context, e *environment, seed uint64) {
	var all sync.WaitGroup
	for n := range watchers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)<<32))
		all.Go(func() {
			for sleepRandomly(ctx, rng, watchInterval) {
				w.lookUp(ctx, e, rng)
			}
		})
	}
	all.Wait()
}

func (w *lookupWatch) lookUp(ctx context.Context, e *environment, rng *rand.Rand) {
	l := lookup{instance: e.anyInstance(rng), sent: time.Now()}
	if l.instance.goneAt(l.sent) {
		return
	}
	addresses, err := resolve(ctx, l.instance, zones[rng.IntN(len(zones))])
	if err != nil {
		return
	}
	l.end, l.addresses = time.Now(), addresses
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lookups = append(w.lookups, l)
}

// maxLateLookups is how many look-ups of a run may name an instance that is gone for longer
// than maxGoneDelay, as the users' rules say.
const maxLateLookups = 3

// violations describes the instances that look-ups named beside a running one later than
// maxGoneDelay after they were gone, if there were more than maxLateLookups.
func (w *lookupWatch) violations(e *environment) []string {
	type goneInstance struct {
		instance *instance
		from     time.Time
	}
	late, count := map[goneInstance][]lookup{}, 0
	for _, l := range w.lookups {
		if !e.inTouch(l.instance.address(callerPort), l.sent, l.end) {
			continue
		}
		gone := e.lateGone(l)
		if len(gone) > 0 {
			count++
		}
		for _, i := range gone {
			s, _ := i.goneSpan(l.sent)
			key := goneInstance{i, s.from}
			late[key] = append(late[key], l)
		}
	}
	if count <= maxLateLookups {
		return nil
	}
	var violations []string
	for key, list := range late {
		first := slices.MinFunc(list, func(a, b lookup) int { return a.sent.Compare(b.sent) })
		last := slices.MaxFunc(list, func(a, b lookup) int { return a.sent.Compare(b.sent) })
		violations = append(violations, fmt.Sprintf(
			"%d look-ups named %s, gone at %s, from %.1f s (by %s) to %.1f s (by %s) after that", len(list), key.instance.name,
			key.from.UTC().Format("15:04:05.000"), first.sent.Sub(key.from).Seconds(), first.instance.name, last.sent.Sub(key.from).Seconds(), last.instance.name))
	}
	return violations
}

// lateGone returns the instances that a look-up must no longer name, if it names a running
// one beside them.
func (e *environment) lateGone(l lookup) []*instance {
	var late []*instance
	running := false
	for _, i := range e.instances {
		if !slices.Contains(l.addresses, i.address(callerPort)) {
			continue
		}
		s, gone := i.goneSpan(l.sent)
		running = running || !gone
		if gone && l.sent.After(s.from.Add(maxGoneDelay)) {
			late = append(late, i)
		}
	}
	if !running {
		return nil
	}
	return late
}
