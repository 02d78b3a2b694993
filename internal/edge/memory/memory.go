// Package memory bounds what an instance holds of the bodies of requests and responses.
//
// An instance has one Budget, a share of the memory limit of its process. Each request has an
// Account. It takes from the budget before a body is read, and gives all of it back when the
// request has ended.
package memory

import (
	"fmt"
	"sync"
)

const (
	// bodyShare is the share of the memory limit of the process that bodies may hold.
	bodyShare = 0.45
	// largeShare is the share of the budget that large accounts may hold. The rest is left to
	// small ones, which are served beside any number of large ones.
	largeShare = 0.8
	// knownShare is the share of what large accounts may hold that is left to bodies whose length
	// is known.
	knownShare = 0.125
	// smallBytes bounds what a small account holds.
	smallBytes = 64 << 10
	// runtimeShare is the share of the memory limit of the process that the Go runtime may
	// take. The rest is for threads, for buffers outside of the runtime, and for what is
	// allocated while garbage is collected.
	runtimeShare = 0.7
)

// RuntimeLimit returns the memory limit of the Go runtime, in bytes, in a process that may take
// so many.
func RuntimeLimit(processBytes int64) int64 { return int64(float64(processBytes) * runtimeShare) }

// Budget counts the bytes that the accounts of an instance hold. It is safe for concurrent use.
type Budget struct {
	limit, large int64
	// onRefused is told of each refusal. It may be nil and must not block.
	onRefused func(*Error)

	mu sync.Mutex
	// used is what all accounts hold.
	used int64
}

// NewBudget returns the budget of a process that may take so many bytes of memory, nil if that
// is not known.
func NewBudget(processBytes int64, onRefused func(*Error)) *Budget {
	if processBytes <= 0 {
		return nil
	}
	limit := int64(float64(processBytes) * bodyShare)
	return &Budget{limit: limit, large: int64(float64(limit) * largeShare), onRefused: onRefused}
}

// Largest returns the size of the largest body that an account can hold.
func (b *Budget) Largest() int64 { return b.large }

// Used returns what all accounts hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account returns an empty account. A nil Budget returns a nil Account, which has no bound.
func (b *Budget) Account() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// Error is the error of an account that cannot have more.
type Error struct {
	// Wanted is the size that was asked for, Used what all accounts held, in bytes.
	Wanted, Used int64
	// TooLarge is set if the account could not have it either while all others are empty.
	TooLarge bool
}

// Error implements error.
func (e *Error) Error() string {
	if e.TooLarge {
		return fmt.Sprintf("a body of %d bytes does not fit into the memory of an instance; send it in smaller parts, or raise memory_mb", e.Wanted)
	}
	return fmt.Sprintf("the bodies that are held take %d bytes of memory and leave no room for %d; retry later, or raise memory_mb", e.Used, e.Wanted)
}

// Account counts the bytes that are held for one request. It is safe for concurrent use. A nil
// Account has no bound.
type Account struct {
	budget *Budget
	// held is what the account holds; budget.mu guards it and closed.
	held   int64
	closed bool
}

// Take takes n bytes for a body of this length. Errors: *Error.
func (a *Account) Take(n int64) error { return a.takeWith(n, n) }

// Grow takes n bytes for a body whose end is not in sight. It must leave as much to others, and
// the share of bodies whose length is known: none of many bodies without end takes the room of
// those that end. Errors: *Error.
func (a *Account) Grow(n int64) error {
	if a == nil {
		return nil
	}
	return a.takeWith(n, n+max(n, int64(float64(a.budget.large)*knownShare)))
}

// takeWith takes n bytes if there is so much room, or if the account stays small.
func (a *Account) takeWith(n, room int64) error {
	if a == nil {
		return nil
	}
	err := a.tryTake(n, room)
	if err == nil {
		return nil
	}
	if a.budget.onRefused != nil {
		a.budget.onRefused(err)
	}
	return err
}

func (a *Account) tryTake(n, room int64) *Error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	total := a.held + n
	left := b.large - b.used
	if total <= smallBytes {
		room, left = n, b.limit-b.used
	}
	if a.closed || room > left {
		return &Error{Wanted: n, Used: b.used, TooLarge: a.held+room > b.large}
	}
	a.held = total
	b.used += n
	return nil
}

// Give gives n bytes back that were taken.
func (a *Account) Give(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	n = min(n, a.held)
	a.held -= n
	a.budget.used -= n
}

// Close gives back all that the account holds. Nothing can be taken any more.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.used -= a.held
	a.held = 0
	a.closed = true
}
