// Package once decides, for one instance, which attempts of a request may run,
// so that a request with an idempotency key runs at most once.
//
// At most one instance at a time holds the authority over a key, which is the
// right to run it. A key that a lookup issued names its home: one incarnation
// of an instance. A key chosen by the caller gets its home by a claim in the
// table service. The home runs the key at most once and keeps the outcome until
// the key expires. Other instances forward attempts to the home. A home that
// shuts down as planned hands its whole authority over to one successor. The
// authority of a home that terminated otherwise is lost, and the outcome of its
// keys stays unknown.
//
// An outcome that was reported to a caller is final. A key that was reported as
// not run never runs afterwards, because an older attempt of it may still be in
// transit to this instance.
//
// Machine is a pure state machine: it takes events and the time and returns
// actions. It does no I/O, reads no clock and starts no goroutine.
package once
