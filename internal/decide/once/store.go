package once

import (
	"container/heap"
	"time"
)

// Sizes that bound the memory for keys, in bytes.
const (
	// MaxStoredBody is the largest response body that is stored.
	MaxStoredBody = 64 << 10
	// recordOverhead is the size counted for a record in addition to its key,
	// header and body.
	recordOverhead = 320
)

// state is the state of a key at this instance.
type state uint8

const (
	// idle: an attempt of the key has arrived and the key has not run. No
	// outcome was reported except foreign key errors.
	idle state = iota
	// queued: the key has a run that was not yet allowed to start.
	queued
	// started: the run may have reached a backend server.
	started
	// runningAtPredecessor: the instance that handed the key over still runs it.
	runningAtPredecessor
	// settled: the outcome is final and the key never runs again.
	settled
)

// record holds what this instance knows about one key.
type record struct {
	key         string
	home        Home
	expiry      time.Time
	fingerprint Fingerprint
	state       state
	// run identifies the run in the states queued and started; 0 otherwise.
	run RunID
	// predecessor is the home that handed the key over. It is set only in the
	// state runningAtPredecessor.
	predecessor Home
	// waiting holds the attempts that get the result, in order of arrival. It
	// is empty in the states idle and settled.
	waiting []AttemptID
	// result is the final result. It is set only in the state settled.
	result Result
	// size is the number of bytes that the store counts for the record.
	size int64
	// removed is set when the record was removed from the store.
	removed bool
	// indexed is set while the record is in store.byExpiry.
	indexed bool
}

// live reports whether the record must stay in memory because its key may
// still be running.
func (r *record) live() bool {
	return r.state == queued || r.state == started || r.state == runningAtPredecessor
}

// cost returns the size of the record in bytes, as counted by the store.
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

// store holds the records of an instance and bounds their total size. To make
// room it drops response bodies first and then whole records, each in order of
// expiry. Live records are never dropped.
type store struct {
	// max is the bound on bytes; live records may exceed it.
	max int64
	// bytes is the total size of the records.
	bytes int64
	// live counts the live records.
	live int
	// records holds the records by key.
	records map[string]*record
	// The two heaps index the records that are not live. byExpiry holds all of
	// them and may also hold live and removed records. bodies holds those with
	// a response body and may also hold removed records.
	byExpiry, bodies recordHeap
}

func newStore(maxBytes int64) *store {
	return &store{max: maxBytes, records: map[string]*record{}}
}

func (s *store) get(key string) *record { return s.records[key] }

// add inserts a new record.
func (s *store) add(r *record) {
	s.records[r.key] = r
	s.updateSize(r)
	if r.live() {
		s.live++
		return
	}
	s.index(r)
}

// setState changes the state of a record. The caller sets the result first.
func (s *store) setState(r *record, to state) {
	wasLive := r.live()
	r.state = to
	s.updateSize(r)
	switch {
	case wasLive && !r.live():
		s.live--
		s.index(r)
	case !wasLive && r.live():
		s.live++
	}
}

// index adds a record that is not live to the heaps that expire and shrink use.
func (s *store) index(r *record) {
	if !r.indexed {
		r.indexed = true
		heap.Push(&s.byExpiry, r)
	}
	if len(r.result.Body) > 0 {
		heap.Push(&s.bodies, r)
	}
}

// popExpiry removes the record that expires first from byExpiry and returns it,
// or nil if the record is live or was removed already. byExpiry must not be
// empty.
func (s *store) popExpiry() *record {
	r := heap.Pop(&s.byExpiry).(*record)
	r.indexed = false
	if r.removed || r.live() {
		return nil
	}
	return r
}

// updateSize counts the current size of a record.
func (s *store) updateSize(r *record) {
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

// expire removes the records that are not live and whose expiry is now or
// earlier.
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

// shrink drops response bodies and then records until need more bytes fit. It
// passes each dropped record to onDrop and reports whether the bytes fit.
func (s *store) shrink(need int64, onDrop func(*record)) bool {
	for s.bytes+need > s.max && len(s.bodies) > 0 {
		r := heap.Pop(&s.bodies).(*record)
		if !r.removed && len(r.result.Body) > 0 {
			r.result.Body, r.result.BodyDropped = nil, true
			s.updateSize(r)
		}
	}
	for s.bytes+need > s.max && len(s.byExpiry) > 0 {
		if r := s.popExpiry(); r != nil {
			s.remove(r)
			onDrop(r)
		}
	}
	return s.bytes+need <= s.max
}

// recordHeap is a heap of records ordered by expiry and then key.
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
