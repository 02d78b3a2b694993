// Package cas keeps one row of the platform's table in step with this instance:
// it paces reads, has at most one compare-and-set write outstanding, and
// settles a write whose reply was lost.
//
// A write is settled by the first row seen with a version above the one the
// write expected: from then on the write can never take effect any more, so
// the row as read is the truth whether or not the write was part of it. As long
// as the row has the expected version the same write, with the same change ID,
// is sent again. Rows older than one already seen are stale reads and ignored.
package cas

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyandeal/banyandeal/internal/platform"
)

// Backoff of failed reads and writes.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// jitterShare is the share of a wait that is spread over instances.
	jitterShare = 0.5
)

// Row is the state machine of one row. It is not safe for concurrent use.
type Row struct {
	name   string
	writer string
	// current is the newest row seen; known is false before the first.
	current platform.Row
	known   bool
	// pending is the write whose effect is not known, or nil.
	pending *platform.Txn
	// writing and reading are set while a request is on its way.
	writing, reading bool
	// readAt is when to read next.
	readAt time.Time
	// hinted is the newest version that others told of.
	hinted   uint64
	failures int
	// writes counts the writes of this writer; it makes change IDs unique.
	writes uint64
}

// NewRow returns the machine of the named row. writer names this incarnation
// and makes its change IDs unique.
func NewRow(name, writer string, now time.Time) *Row {
	return &Row{name: name, writer: writer, readAt: now}
}

// Current returns the newest row seen. ok is false before the first read.
func (r *Row) Current() (row platform.Row, ok bool) { return r.current, r.known }

// CanWrite reports whether Propose may be called: the row is known and no write
// is outstanding.
func (r *Row) CanWrite() bool { return r.known && r.pending == nil }

// Pending returns the write whose effect is not known yet, or nil.
func (r *Row) Pending() *platform.Txn { return r.pending }

// Propose makes a write of value over the current row and returns its change
// ID. It must only be called when CanWrite.
func (r *Row) Propose(value []byte) string {
	r.writes++
	id := fmt.Sprintf("%s/%s/%d", r.writer, r.name, r.writes)
	r.pending = &platform.Txn{ID: id, Writes: []platform.Write{{Row: r.name, Expect: r.current.Version, Value: value}}}
	return id
}

// Hint takes notice that the row has reached a version; it is read at once when
// that is news.
func (r *Row) Hint(now time.Time, version uint64) {
	if version > r.hinted {
		r.hinted = version
		if version > r.current.Version {
			r.readAt = now
		}
	}
}

// Observe takes a row that was read, or that a write's reply carried, and
// reports whether it is newer than any before. A row that does not exist has
// version 0.
func (r *Row) Observe(now time.Time, row platform.Row, poll time.Duration) bool {
	r.reading, r.failures = false, 0
	r.readAt = now.Add(r.jitter(poll))
	if r.known && row.Version < r.current.Version {
		return false
	}
	isNew := !r.known || row.Version > r.current.Version
	r.current, r.known = row, true
	r.settle()
	return isNew
}

// Replied takes the reply to the write with change ID id and reports whether
// its row is newer than any before.
func (r *Row) Replied(now time.Time, id string, reply platform.TxnReply, poll time.Duration) bool {
	r.answered(id)
	isNew := false
	for _, row := range reply.Rows {
		if row.Name == r.name {
			isNew = r.Observe(now, row, poll)
		}
	}
	if r.pending != nil && r.pending.ID == id {
		// Neither committed nor overtaken: the row is older than the write
		// expects, which only a stale reply or a lost row can show.
		r.backOff(now)
	}
	return isNew
}

// Failed takes the failure or timeout of the write with change ID id. The row
// is read back after a while.
func (r *Row) Failed(now time.Time, id string) {
	r.answered(id)
	r.backOff(now)
}

// ReadFailed takes the failure or timeout of a read.
func (r *Row) ReadFailed(now time.Time) {
	r.reading = false
	r.backOff(now)
}

// Next returns what to send now: a read, a write, or neither. The write is sent
// when it is new, and again each time a read showed that it has not taken
// effect.
func (r *Row) Next(now time.Time) (read bool, write *platform.Txn) {
	if r.pending != nil && !r.writing && r.failures == 0 {
		r.writing = true
		return false, r.pending
	}
	if !r.reading && !now.Before(r.readAt) {
		r.reading = true
		return true, nil
	}
	return false, nil
}

func (r *Row) answered(id string) {
	if r.pending != nil && r.pending.ID == id {
		r.writing = false
	}
}

// settle drops a write that can no longer take effect, or did.
func (r *Row) settle() {
	if r.pending != nil && r.current.Version > r.pending.Writes[0].Expect {
		r.pending, r.writing = nil, false
	}
}

func (r *Row) backOff(now time.Time) {
	wait := minBackoff << min(r.failures, 10)
	r.failures++
	r.readAt = now.Add(r.jitter(min(wait, maxBackoff)))
}

// jitter spreads d over [d*(1-jitterShare), d], differently for each writer and
// each call.
func (r *Row) jitter(d time.Duration) time.Duration {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%d/%d", r.writer, r.name, r.writes, r.failures, r.readAt.UnixNano()))
	fraction := float64(h>>11) / (1 << 53)
	return d - time.Duration(float64(d)*jitterShare*fraction)
}
