// Package cas tracks one row of the platform's table and updates it by
// compare-and-set. It schedules the reads, keeps at most one write pending, and
// determines the outcome of a write whose reply was lost.
//
// A pending write is resolved by the first row seen with a version above the
// version that the write expected. From then on the write can no longer take
// effect, so the row as read is authoritative whether or not the write was
// applied. While the row still has the expected version, the same write is sent
// again with the same change ID. A row older than one already seen is a stale
// read and is ignored.
package cas

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyandeal/banyandeal/internal/platform"
)

// Backoff after failed reads and writes.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// jitterFraction is the fraction of a wait that is randomized, so that
	// instances do not read the row at the same time.
	jitterFraction = 0.5
)

// Row is the state machine that tracks one row. It sends nothing itself: the
// caller sends what Next returns and reports the outcome. It is not safe for
// concurrent use.
type Row struct {
	name string
	// writer identifies this incarnation in change IDs.
	writer string
	// current is the newest row seen.
	current platform.Row
	// known is false before the first row is seen.
	known bool
	// pending is the write whose outcome is not known, or nil.
	pending *platform.Txn
	// writing and reading are set while a request of that kind is in flight.
	writing, reading bool
	// readAt is the time of the next read.
	readAt time.Time
	// hintedVersion is the newest version that other instances reported.
	hintedVersion uint64
	// failures is the number of failed reads and writes since the last row was
	// received.
	failures int
	// writeCount is the number of writes proposed so far. It makes change IDs
	// unique.
	writeCount uint64
}

// NewRow returns the state machine of the named row, which is first read at
// now. writer identifies this incarnation and makes its change IDs unique.
func NewRow(name, writer string, now time.Time) *Row {
	return &Row{name: name, writer: writer, readAt: now}
}

// Current returns the newest row seen. ok is false before the first read.
func (r *Row) Current() (row platform.Row, ok bool) { return r.current, r.known }

// CanWrite reports whether Propose may be called: the row has been read and no
// write is pending.
func (r *Row) CanWrite() bool { return r.known && r.pending == nil }

// Pending returns the write whose outcome is not known yet, or nil.
func (r *Row) Pending() *platform.Txn { return r.pending }

// Propose creates a pending write that replaces the current row with value, and
// returns its change ID. It must be called only while CanWrite reports true.
func (r *Row) Propose(value []byte) string {
	r.writeCount++
	id := fmt.Sprintf("%s/%s/%d", r.writer, r.name, r.writeCount)
	r.pending = &platform.Txn{ID: id, Writes: []platform.Write{{Row: r.name, Expect: r.current.Version, Value: value}}}
	return id
}

// Hint records that another instance has seen the row at a version. If that
// version is newer than the current one, the row is read at once.
func (r *Row) Hint(now time.Time, version uint64) {
	if version > r.hintedVersion {
		r.hintedVersion = version
		if version > r.current.Version {
			r.readAt = now
		}
	}
}

// Observe processes a row that was read or that the reply to a write carried,
// and reports whether it is newer than every row before. A row that does not
// exist has version 0. The next read is due after about the poll period.
func (r *Row) Observe(now time.Time, row platform.Row, poll time.Duration) bool {
	r.reading, r.failures = false, 0
	r.readAt = now.Add(r.jitter(poll))
	if r.known && row.Version < r.current.Version {
		return false
	}
	isNew := !r.known || row.Version > r.current.Version
	r.current, r.known = row, true
	r.resolvePending()
	return isNew
}

// Replied processes the reply to the write with change ID id and reports
// whether the row in it is newer than every row before.
func (r *Row) Replied(now time.Time, id string, reply platform.TxnReply, poll time.Duration) bool {
	r.writeDone(id)
	isNew := false
	for _, row := range reply.Rows {
		if row.Name == r.name {
			isNew = r.Observe(now, row, poll)
		}
	}
	if r.pending != nil && r.pending.ID == id {
		// The write was neither committed nor superseded by another, so the row
		// is no newer than the version the write expects. Only a stale reply
		// or a row that was lost from the table leads here.
		r.backOff(now)
	}
	return isNew
}

// Failed records that the write with change ID id failed or timed out, so that
// its outcome is unknown. The row is read again after a backoff.
func (r *Row) Failed(now time.Time, id string) {
	r.writeDone(id)
	r.backOff(now)
}

// ReadFailed records that a read failed or timed out.
func (r *Row) ReadFailed(now time.Time) {
	r.reading = false
	r.backOff(now)
}

// Next returns what to send now: a read, a write, or neither. A write is sent
// when it is new, and again each time a read shows that it has not taken effect.
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

// writeDone records that the write with change ID id is no longer in flight.
func (r *Row) writeDone(id string) {
	if r.pending != nil && r.pending.ID == id {
		r.writing = false
	}
}

// resolvePending drops the pending write once the current version shows that it
// has taken effect or no longer can.
func (r *Row) resolvePending() {
	if r.pending != nil && r.current.Version > r.pending.Writes[0].Expect {
		r.pending, r.writing = nil, false
	}
}

// backOff delays the next read exponentially, up to maxBackoff.
func (r *Row) backOff(now time.Time) {
	wait := minBackoff << min(r.failures, 10)
	r.failures++
	r.readAt = now.Add(r.jitter(min(wait, maxBackoff)))
}

// jitter returns a pseudo-random duration in [d*(1-jitterFraction), d] that
// differs between writers and between calls.
func (r *Row) jitter(d time.Duration) time.Duration {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%d/%d", r.writer, r.name, r.writeCount, r.failures, r.readAt.UnixNano()))
	fraction := float64(h>>11) / (1 << 53)
	return d - time.Duration(float64(d)*jitterFraction*fraction)
}
