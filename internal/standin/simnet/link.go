package simnet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// pieceBytes is the most that a connection sends before others have their turn on
// the link of the node.
const pieceBytes = 4 << 10

// link is the outgoing link of a node. It sends pieces in the order in which they
// come, whatever their connection.
type link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when the link has sent all pieces that it has taken.
	free time.Time
	// pending holds what the streams of a Memory have written at this moment.
	pending []pending
}

// pending is a piece that waits for its place on the link.
type pending struct {
	stream *stream
	piece  *piece
}

// gather is how long a link waits for what else is sent at a moment. It is more than the separation
// of things that happen at the same moment.
const gather = 2 * maxSeparation

// add queues a piece of a stream. What is written at the same moment is sent as one, in the order
// of the streams and not in that of the goroutines, so that a run can be repeated.
func (l *link) add(s *stream, p *piece) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		time.AfterFunc(gather+separation(s.from), l.send)
	}
	l.pending = append(l.pending, pending{s, p})
}

// send gives all that is pending its time.
func (l *link) send() {
	l.mu.Lock()
	all := l.pending
	l.pending = nil
	l.mu.Unlock()
	slices.SortStableFunc(all, func(a, b pending) int {
		return cmp.Or(cmp.Compare(a.stream.to, b.stream.to), a.stream.pair.compare(b.stream.pair))
	})
	bytes := 0
	for _, p := range all {
		bytes += len(p.piece.bytes)
	}
	left := l.take(bytes, time.Now())
	for _, p := range all {
		p.stream.mu.Lock()
		p.stream.schedule(p.piece, left)
		p.stream.mu.Unlock()
	}
}

// take queues a piece and returns when it is sent.
func (l *link) take(bytes int, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.free
}
