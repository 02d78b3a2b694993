package once

import (
	"container/heap"
	"time"
)

// Sizes of the memory for keys, in bytes.
const (
	// MaxStoredBody is the largest answer body that is kept.
	MaxStoredBody = 64 << 10
	// recordOverhead is counted for each record besides its texts.
	recordOverhead = 320
)

// state is where a key stands at this instance.
type state uint8

const (
	// idle keys were seen and not run; nothing was told but foreign key errors.
	idle state = iota
	// queued keys have a run that has not asked to start.
	queued
	// started keys may have reached a backend server.
	started
	// remote keys are run by the instance that handed them over.
	remote
	// settled keys never run again.
	settled
)

// record is what is known of one key.
type record struct {
	key         string
	home        Home
	expiry      time.Time
	fingerprint Fingerprint
	state       state
	// run is set in the states queued and started.
	run RunID
	// giver is set in the state remote.
	giver Home
	// waiting holds the attempts to answer at the end, in order of arrival;
	// empty in the states idle and settled.
	waiting []AttemptID
	// result is set in the state settled.
	result Result
	// size is what the store counts for the record.
	size int64
	// removed is set once the record has left the store.
	removed bool
	// indexed is set while the record is in the store's heap by expiry.
	indexed bool
}

// live reports whether the record must stay in memory.
func (r *record) live() bool { return r.state == queued || r.state == started || r.state == remote }

func (r *record) cost() int64 {
	n := recordOverhead + len(r.key) + len(r.result.Body)
	for name, values := range r.result.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// store holds the records of an instance within a bound on their bytes. What
// has to go goes in order of expiry: first answer bodies, then whole records.
type store struct {
	max     int64
	bytes   int64
	live    int
	records map[string]*record
	// byExpiry holds every record that is not live, bodies those with a body;
	// both may also hold removed records, and byExpiry live ones.
	byExpiry, bodies recordHeap
}

func newStore(maxBytes int64) *store {
	return &store{max: maxBytes, records: map[string]*record{}}
}

func (s *store) get(key string) *record { return s.records[key] }

// add puts a new record in.
func (s *store) add(r *record) {
	s.records[r.key] = r
	s.account(r)
	if r.live() {
		s.live++
		return
	}
	s.index(r)
}

// setState moves a record to another state; the result is set before.
func (s *store) setState(r *record, to state) {
	was := r.live()
	r.state = to
	s.account(r)
	switch {
	case was && !r.live():
		s.live--
		s.index(r)
	case !was && r.live():
		s.live++
	}
}

// index puts a record that is not live where expire and shrink find it.
func (s *store) index(r *record) {
	if !r.indexed {
		r.indexed = true
		heap.Push(&s.byExpiry, r)
	}
	if len(r.result.Body) > 0 {
		heap.Push(&s.bodies, r)
	}
}

// popExpiry takes the first record by expiry out of the index, or nil when it
// may not be dropped.
func (s *store) popExpiry() *record {
	r := heap.Pop(&s.byExpiry).(*record)
	r.indexed = false
	if r.removed || r.live() {
		return nil
	}
	return r
}

func (s *store) account(r *record) {
	n := r.cost()
	s.bytes += n - r.size
	r.size = n
}

func (s *store) remove(r *record) {
	if r.removed {
		return
	}
	r.removed = true
	if r.live() {
		s.live--
	}
	s.bytes -= r.size
	delete(s.records, r.key)
}

// expire removes the records that expired at now or before.
func (s *store) expire(now time.Time) {
	for len(s.byExpiry) > 0 {
		r := s.byExpiry[0]
		if !r.removed && !r.live() && r.expiry.After(now) {
			break
		}
		if r := s.popExpiry(); r != nil {
			s.remove(r)
		}
	}
	for len(s.bodies) > 0 && s.bodies[0].removed {
		heap.Pop(&s.bodies)
	}
}

// shrink drops bodies and then records until need more bytes fit. Each dropped
// record is passed to forget. It reports whether the bytes fit.
func (s *store) shrink(need int64, forget func(*record)) bool {
	for s.bytes+need > s.max && len(s.bodies) > 0 {
		r := heap.Pop(&s.bodies).(*record)
		if !r.removed && len(r.result.Body) > 0 {
			r.result.Body, r.result.BodyDropped = nil, true
			s.account(r)
		}
	}
	for s.bytes+need > s.max && len(s.byExpiry) > 0 {
		if r := s.popExpiry(); r != nil {
			s.remove(r)
			forget(r)
		}
	}
	return s.bytes+need <= s.max
}

// recordHeap orders records by expiry and key.
type recordHeap []*record

func (h recordHeap) Len() int { return len(h) }
func (h recordHeap) Less(i, j int) bool {
	if !h[i].expiry.Equal(h[j].expiry) {
		return h[i].expiry.Before(h[j].expiry)
	}
	return h[i].key < h[j].key
}
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *recordHeap) Push(x any)   { *h = append(*h, x.(*record)) }
func (h *recordHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
