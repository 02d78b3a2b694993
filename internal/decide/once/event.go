package once

import (
	"net/http"
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// AttemptID names one attempt of a request at this instance. The driver never
// uses one twice.
type AttemptID uint64

// RunID names one permission to run a key. A key that went back to the queue
// after a cancellation gets a new one.
type RunID uint64

// Result is the end of a request as it is kept and told.
type Result struct {
	Outcome outcome.Outcome
	// Status, Header and Body are the backend server's answer; set when the
	// outcome is Done.
	Status int
	Header http.Header
	Body   []byte
	// BodyDropped is set when the answer had a body that was not kept.
	BodyDropped bool
	// Err is set when the outcome is not Done.
	Err *outcome.Error
	// Replayed is set when the answer comes from memory.
	Replayed bool
}

// Event is what a Machine reacts to.
type Event interface{ event() }

// Arrive is an attempt that reached this instance, from a caller or, with Hops
// above 0, from another instance. Its body has been read in full.
type Arrive struct {
	Attempt     AttemptID
	Key         string
	Fingerprint Fingerprint
	Hops        int
}

// CancelReason says why an attempt ended early.
type CancelReason uint8

// Reasons of a cancellation.
const (
	// CallerDisconnected needs no answer.
	CallerDisconnected CancelReason = iota
	// DeadlineExceeded is answered.
	DeadlineExceeded
)

// Cancel ends an attempt that has not been answered.
type Cancel struct {
	Attempt AttemptID
	Reason  CancelReason
}

// Start asks for leave to send the run's request to a backend server. It is
// answered at once by Proceed or Halt, and asked again before each further
// try. After a Halt the driver finishes the run with what it knows.
type Start struct{ Run RunID }

// Finish reports the end of a run. NotRun may be reported only when no try of
// the run can have reached a backend server that did not refuse it.
type Finish struct {
	Run    RunID
	Result Result
}

// ForwardResult reports the end of a forwarded attempt.
type ForwardResult struct {
	Attempt AttemptID
	// Replied is set when Result came from the other instance.
	Replied bool
	// NotSent is set when no byte of the attempt was written.
	NotSent bool
	Result  Result
}

// ClaimResult reports the end of a Claim.
type ClaimResult struct {
	Shard uint32
	// Failed is set when it is not known whether the claims took effect.
	Failed bool
	// Claims holds the claim that stands for each key of the batch. A key that
	// is missing was refused, because its row is full.
	Claims []Claim
}

// StartHandover starts a planned stop: the authority over all keys goes to another
// instance. It is ignored when a handover is under way.
type StartHandover struct{ To Home }

// TransferReply is the successor's reply to a SendTransfer.
type TransferReply struct {
	From     Home
	Accepted bool
}

// TransferReceived is a transfer that reached this instance.
type TransferReceived struct{ Transfer Transfer }

// RunResults brings the ends of runs that were in progress at a handover.
type RunResults struct {
	From    Home
	Records []Record
}

// RunResultsAck acknowledges a SendSettle.
type RunResultsAck struct {
	From Home
	Keys []string
}

// AuthorityMoved tells that one home's authority went to another.
type AuthorityMoved struct{ From, To Home }

// HomeTerminated is evidence that a home's process has ended: a new incarnation in its
// place, or the platform's list. Elapsed time alone is no evidence.
type HomeTerminated struct{ Home Home }

// Tick lets time pass.
type Tick struct{}

func (Arrive) event()        {}
func (Cancel) event()        {}
func (Start) event()         {}
func (Finish) event()        {}
func (ForwardResult) event() {}
func (ClaimResult) event()   {}
func (StartHandover) event()      {}
func (TransferReply) event() {}
func (TransferReceived) event()         {}
func (RunResults) event()        {}
func (RunResultsAck) event()   {}
func (AuthorityMoved) event()         {}
func (HomeTerminated) event()          {}
func (Tick) event()          {}

// Action is what the driver of a Machine has to do.
type Action interface{ action() }

// Run asks the driver to run the request of the attempt. The run belongs to
// the key and outlives the attempt; it ends with a Finish.
type Run struct {
	Run     RunID
	Attempt AttemptID
	Key     string
}

// Join tells that the attempt waits for the end of a run in progress.
type Join struct {
	Attempt AttemptID
	Key     string
}

// AllowStart grants a Start.
type AllowStart struct{ Run RunID }

// DenyStart refuses a Start: the request must not be sent.
type DenyStart struct{ Run RunID }

// CancelQueuedRun tells that no attempt waits for the run: a try that is still queued,
// here or at a backend server's owner, is to be withdrawn. A request that a
// backend server has begun is left to end, so that a resend gets its answer.
type CancelQueuedRun struct{ Run RunID }

// Respond ends an attempt. It is ignored for an attempt whose answer has been
// streamed already.
type Respond struct {
	Attempt AttemptID
	Result  Result
}

// Reject ends an attempt that must be changed before it is sent again.
type Reject struct {
	Attempt AttemptID
	Err     *outcome.Error
}

// Forward asks the driver to send the attempt to another instance.
type Forward struct {
	Attempt AttemptID
	Key     string
	To      Home
}

// ClaimBatch asks the driver to put the claims into one row of the table
// service. At most one batch of a shard is in progress.
type ClaimBatch struct {
	Shard  uint32
	Claims []Claim
}

// SendTransfer asks the driver to send the transfer; it is repeated until a
// reply came.
type SendTransfer struct{ Transfer Transfer }

// SendTransferReply asks the driver to reply to a transfer.
type SendTransferReply struct {
	To       Home
	Accepted bool
}

// SendRunResults asks the driver to send ends of runs to the successor; it is
// repeated until it is acknowledged.
type SendRunResults struct {
	To      Home
	Records []Record
}

// SendRunResultsAck asks the driver to acknowledge a Settle.
type SendRunResultsAck struct {
	To   Home
	Keys []string
}

// AnnounceMove asks the driver to tell other instances that authority moved.
type AnnounceMove struct{ From, To Home }

func (Run) action()               {}
func (Join) action()              {}
func (AllowStart) action()           {}
func (DenyStart) action()              {}
func (CancelQueuedRun) action()           {}
func (Respond) action()            {}
func (Reject) action()            {}
func (Forward) action()           {}
func (ClaimBatch) action()        {}
func (SendTransfer) action()      {}
func (SendTransferReply) action() {}
func (SendRunResults) action()        {}
func (SendRunResultsAck) action()   {}
func (AnnounceMove) action()          {}

// RecordState is the state of a key in a transfer.
type RecordState uint8

// States of a key in a transfer.
const (
	// RecordIdle is a key that was seen and not run; it may run.
	RecordIdle RecordState = iota
	// RecordRunning is a key that the giver still runs.
	RecordRunning
	// RecordSettled is a key whose end is known.
	RecordSettled
)

// Record is a key with its state as it is handed over.
type Record struct {
	Key         string
	Home        Home
	Expiry      time.Time
	Fingerprint Fingerprint
	State       RecordState
	Result      Result
}

// Authority is the right to run the keys of one home.
type Authority struct {
	Home Home
	// Floor is an expiry: a key of the home that expires then or before, and
	// is not among the records, has been forgotten and never runs.
	Floor time.Time
}

// Transfer moves all authority of one instance to another. Records are sorted
// by key; every key of the authorities that has been seen and that expires
// after its floor is among them.
type Transfer struct {
	From, To    Home
	Authorities []Authority
	Records     []Record
}
