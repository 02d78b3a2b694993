// Package once decides, for one instance, which attempt of a request may run,
// so that a request that carries an idempotency key runs at most once.
//
// Each key has one authority at a time. A key issued by a look-up names its
// home, one run of an instance; a key chosen by the caller gets its home by a
// claim in the table service. The home runs the key at most once and keeps the
// outcome until the key expires. Other instances forward attempts to it. A
// home that stops on plan hands its authority over as a whole to one
// successor; the authority of a home that died is lost, and its keys are
// answered as unknown for good.
//
// An outcome that was told is final: a key that was answered as not run never
// runs afterwards, since an older attempt may still be on its way here.
//
// Machine is a pure state machine: events and the time go in, actions come
// out. It does no I/O, reads no clock and starts no goroutine.
package once
