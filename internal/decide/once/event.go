package once

import (
	"net/http"
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// AttemptID identifies one attempt of a request at this instance. The driver,
// which feeds events to the Machine and carries out its actions, never reuses
// an id.
type AttemptID uint64

// RunID identifies one run of a key. A key whose run was cancelled while it was
// queued gets a new id for its next run.
type RunID uint64

// Result is the result of a request, as it is stored and reported to callers.
type Result struct {
	Outcome outcome.Outcome
	// Status is the status code of the backend server's response. It is set if
	// the outcome is Done.
	Status int
	// Header is the header of the response. It is set if the outcome is Done.
	Header http.Header
	// Body is the body of the response. It is set if the outcome is Done.
	Body []byte
	// BodyDropped is set if the response had a body that was not stored.
	BodyDropped bool
	// Err is set if the outcome is not Done.
	Err *outcome.Error
	// Replayed is set if the result comes from memory.
	Replayed bool
}

// Event is an input of a Machine.
type Event interface{ event() }

// Arrive reports that an attempt has reached this instance and that its body has
// been read in full.
type Arrive struct {
	Attempt     AttemptID
	Key         string
	Fingerprint Fingerprint
	// Hops counts the instances that forwarded the attempt; 0 means that it
	// comes from a caller.
	Hops int
}

// CancelReason is the reason why an attempt was cancelled.
type CancelReason uint8

// Reasons for a cancellation.
const (
	// CallerDisconnected means that nobody waits for a response.
	CallerDisconnected CancelReason = iota
	// DeadlinePassed means that the caller still gets a response.
	DeadlinePassed
)

// Cancel ends an attempt that has got no response yet.
type Cancel struct {
	Attempt AttemptID
	Reason  CancelReason
}

// Start asks for permission to send the run's request to a backend server. The
// same step returns AllowStart or DenyStart. The driver asks again before each
// retry. After DenyStart it sends a Finish with the result that it has.
type Start struct{ Run RunID }

// Finish reports the result of a run. The outcome may be NotRun only if every
// backend server that a try may have reached refused it.
type Finish struct {
	Run    RunID
	Result Result
}

// ForwardResult reports the result of a Forward.
type ForwardResult struct {
	Attempt AttemptID
	// Replied is set if Result came from the other instance.
	Replied bool
	// NotSent is set if no byte of the attempt was written.
	NotSent bool
	// Result is used only if Replied is set.
	Result Result
}

// ClaimResult reports the result of a ClaimBatch.
type ClaimResult struct {
	Shard uint32
	// Failed is set if it is not known whether the claims took effect.
	Failed bool
	// Claims holds the effective claim of each key of the batch. The claim of a
	// missing key was refused because its row is full.
	Claims []Claim
}

// StartHandover starts a planned shutdown: this instance transfers its authority
// over all keys to the successor To. It is ignored if To is this instance, or if
// a handover is in progress or has completed.
type StartHandover struct{ To Home }

// TransferReply is the successor's reply to a transfer.
type TransferReply struct {
	From     Home
	Accepted bool
}

// TransferReceived reports a transfer from another instance. The reply is a
// SendTransferReply of the same step.
type TransferReceived struct{ Transfer Transfer }

// RunResults reports the results of runs that were in progress at the
// predecessor when it handed over.
type RunResults struct {
	From Home
	// Records has the state RecordSettled for a key with a final result, and
	// RecordIdle for a key that was not run and may still run.
	Records []Record
}

// RunResultsAck acknowledges the run results of the keys.
type RunResultsAck struct {
	From Home
	Keys []string
}

// AuthorityMoved reports that the authority of the home From was handed over to
// the home To.
type AuthorityMoved struct{ From, To Home }

// HomeTerminated reports evidence that the process of a home has ended: a new
// incarnation of the instance, or the platform's list of instances. Elapsed time
// alone is not evidence.
type HomeTerminated struct{ Home Home }

// Tick drops expired facts and retransmits unacknowledged messages. The driver
// sends it periodically.
type Tick struct{}

func (Arrive) event()           {}
func (Cancel) event()           {}
func (Start) event()            {}
func (Finish) event()           {}
func (ForwardResult) event()    {}
func (ClaimResult) event()      {}
func (StartHandover) event()    {}
func (TransferReply) event()    {}
func (TransferReceived) event() {}
func (RunResults) event()       {}
func (RunResultsAck) event()    {}
func (AuthorityMoved) event()   {}
func (HomeTerminated) event()   {}
func (Tick) event()             {}

// Action is an output of a Machine that the driver carries out.
type Action interface{ action() }

// Run asks the driver to run the request of the attempt. The run belongs to the
// key and may outlive the attempt. It ends with a Finish.
type Run struct {
	Run     RunID
	Attempt AttemptID
	Key     string
}

// Join tells the driver that the attempt waits for a run or a claim that another
// attempt of the key has started.
type Join struct {
	Attempt AttemptID
	Key     string
}

// AllowStart grants a Start; the request may be sent.
type AllowStart struct{ Run RunID }

// DenyStart refuses a Start; the request must not be sent.
type DenyStart struct{ Run RunID }

// CancelQueuedRun tells the driver that no attempt waits for the run any more.
// The driver cancels a try that is still queued, here or at the owner of a
// backend server. It does not cancel a request that a backend server has started
// to run, so that a resend gets its response.
type CancelQueuedRun struct{ Run RunID }

// Respond ends an attempt with a result. The driver ignores it for an attempt
// whose response it has already streamed.
type Respond struct {
	Attempt AttemptID
	Result  Result
}

// Reject ends an attempt that the caller must change before sending it again.
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

// ClaimBatch asks the driver to write the claims to one row of the table
// service. At most one batch of a shard is in progress.
type ClaimBatch struct {
	Shard  uint32
	Claims []Claim
}

// SendTransfer asks the driver to send the transfer to the successor. It is
// repeated until the successor has replied.
type SendTransfer struct{ Transfer Transfer }

// SendTransferReply asks the driver to reply to a transfer.
type SendTransferReply struct {
	To       Home
	Accepted bool
}

// SendRunResults asks the driver to send the results of runs to the successor.
// It is repeated until the successor has acknowledged them.
type SendRunResults struct {
	To      Home
	Records []Record
}

// SendRunResultsAck asks the driver to acknowledge the run results of the keys.
type SendRunResultsAck struct {
	To   Home
	Keys []string
}

// AnnounceMove asks the driver to tell the other instances that the authority of
// the home From was handed over to the home To.
type AnnounceMove struct{ From, To Home }

func (Run) action()               {}
func (Join) action()              {}
func (AllowStart) action()        {}
func (DenyStart) action()         {}
func (CancelQueuedRun) action()   {}
func (Respond) action()           {}
func (Reject) action()            {}
func (Forward) action()           {}
func (ClaimBatch) action()        {}
func (SendTransfer) action()      {}
func (SendTransferReply) action() {}
func (SendRunResults) action()    {}
func (SendRunResultsAck) action() {}
func (AnnounceMove) action()      {}

// RecordState is the state of a key in a transfer.
type RecordState uint8

// States of a key in a transfer.
const (
	// RecordIdle: an attempt of the key has arrived and the key has not run; it
	// may still run.
	RecordIdle RecordState = iota
	// RecordRunning: the predecessor still runs the key.
	RecordRunning
	// RecordSettled: the result of the key is final.
	RecordSettled
)

// Record is the state of a key in a transfer.
type Record struct {
	Key         string
	Home        Home
	Expiry      time.Time
	Fingerprint Fingerprint
	State       RecordState
	// Result is set in the state RecordSettled.
	Result Result
}

// Authority is the right to run the keys of one home.
type Authority struct {
	Home Home
	// Floor is a key expiry. A key of the home that expires at or before Floor
	// and has no record may have been dropped from memory, and never runs.
	Floor time.Time
}

// Transfer hands the whole authority of one instance over to another.
type Transfer struct {
	// From is the instance that hands over to its successor To.
	From, To Home
	// Authorities holds the authority of each home whose keys From may run.
	Authorities []Authority
	// Records is sorted by key. It has every key of the authorities that
	// arrived at From and expires after the floor of its authority.
	Records []Record
}
