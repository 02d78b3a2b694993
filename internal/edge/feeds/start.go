package feeds

import (
	"context"
	"sync"
	"time"
)

// membersWait is how long after the start of an instance its feeds wait for the members' table.
const membersWait = 500 * time.Millisecond

// start is the beginning of an instance. Until the other instances are known, the feeds have only
// the store. They read from it at once what requests need, and wait for the members with
// everything else.
type start struct {
	began time.Time
	// known is closed once the members are known.
	known chan struct{}
	once  *sync.Once
}

func newStart() start {
	return start{began: time.Now(), known: make(chan struct{}), once: &sync.Once{}}
}

// MembersKnown records that the members' table has been read and is in force.
func (s *SourceSelector) MembersKnown() {
	s.start.once.Do(func() { close(s.start.known) })
}

// awaitMembers waits until the members are known, at most until membersWait after the start.
func (s start) awaitMembers(ctx context.Context) {
	left := membersWait - time.Since(s.began)
	if left <= 0 {
		return
	}
	timeout := time.NewTimer(left)
	defer timeout.Stop()
	select {
	case <-s.known:
	case <-timeout.C:
	case <-ctx.Done():
	}
}
